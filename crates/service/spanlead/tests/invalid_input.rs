//! What is invalid is counted by its reason.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{PATIENCE, Scheduler, Server, take, with_worker};
use std::io::Write;
use std::time::Instant;

// What comes in and can't be used is counted by its reason, and held against nobody: the next
// request, notice and list are taken.
#[test]
fn invalid_input_is_counted_by_reason() {
    let (scheduler, worker, discovery) = with_worker();
    let mut client = scheduler.taken(&worker, "status-check", "id-1", 60_000);
    let mut bad = scheduler.client();
    bad.post("/callback", "", r#"{"id":"id-1","from":"s-a","state":"dancing"}"#);
    assert_eq!(bad.answer().start, "HTTP/1.1 400 Bad Request");
    for text in
        ["\0\u{1}\u{2}\r\n\r\n", "POST /status-check HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n"]
    {
        let mut bad = scheduler.client();
        bad.write(text);
        assert_eq!(bad.answer().start, "HTTP/1.1 400 Bad Request");
    }
    let mut bad = scheduler.client();
    bad.post("/nothing", "", "");
    assert_eq!(bad.answer().start, "HTTP/1.1 404 Not Found");
    // The watch that stands, and the one that is opened after that.
    discovery.next().reply("200 OK", "", r#"{"seq":43,"whole":false,"hosts":[{"host":7}]}"#);
    discovery.next().reply("200 OK", "", r#"{"seq":43,"whole":false,"hosts":[]}"#);
    discovery.next();
    scheduler.client().notice("id-1", "s-a", r#""state":"done","result":"r""#);
    assert_eq!(client.answer().body, "r");
    let stats = scheduler.operate("GET /ops/stats");
    let counted = stats.split_once(r#""bad_input":"#).map_or("none", |(_, rest)| rest.trim_end());
    assert_eq!(counted, r#"{"not HTTP":2,"not a list":1,"not a notice":1,"unknown class":1}}"#);
}

// The same of what workers and discovery answer: the job goes on to the next worker, and so does
// the watch.
#[test]
fn invalid_answers_are_counted_by_reason() {
    let (discovery, workers) = (Server::start(), [(); 4].map(|()| Server::start()));
    let names = ["s-a", "s-b", "s-c", "s-d"];
    let known: Vec<_> = workers.iter().zip(names).map(|(w, name)| w.entry(name, "active")).collect();
    let edits = [
        (r#""cancel":true"#, r#""cancel":true,"probes":true"#),
        (r#""round":"#, r#""report":{"via":"answers"},"familyInfo":{"reportX0":"free slots"},"round":"#),
    ];
    let scheduler = Scheduler::start(discovery.addr, &known, &edits);
    let answer = |n: usize, body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {n}\r\n\r\n{body}");
    let bad = ["SPAM\r\n\r\n".to_owned(), answer(9, "short"), answer(65 * 1024, &"x".repeat(65 * 1024))];
    let (mut bad, mut probes) = (bad.iter(), 0);
    let mut client = scheduler.client();
    client.job("status-check", "id-1", 60_000);
    let began = Instant::now();
    let taken = loop {
        assert!(began.elapsed() < PATIENCE, "nobody is asked");
        let asked = workers.iter().zip(names).find_map(|(w, name)| Some((name, w.try_next()?)));
        let Some((name, mut call)) = asked else { continue };
        if call.message.start.starts_with("GET /load") {
            probes += 1;
            call.reply("200 OK", "", if probes == 1 { r#"{"x0":"# } else { "TEXT x0=2.1, util=0.1" });
        } else if let Some(text) = bad.next() {
            let _ = call.stream.write_all(text.as_bytes());
            call.hang_up();
        } else {
            take(call);
            break name;
        }
    };
    scheduler.client().notice("id-1", taken, r#""state":"done","result":"r""#);
    assert_eq!(client.answer().body, "r");
    let mut call = discovery.next();
    call.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n").expect("it reads");
    discovery.next();
    let stats = scheduler.operate("GET /ops/stats");
    let counted = stats.split_once(r#""bad_input":"#).map_or("none", |(_, rest)| rest.trim_end());
    assert_eq!(
        counted,
        r#"{"answer cut short":1,"answer not HTTP":2,"answer too long":1,"not a load report":1}}"#
    );
}
