//! The scheduler as its clients, its workers and discovery meet it, one test for each thing that can go wrong.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{PATIENCE, Scheduler, Server, config, folder, nobody, take, with_worker};
use insta::assert_snapshot;
use std::fs::File;
use std::io::Write;
use std::net::{TcpListener, UdpSocket};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixListener;
use std::time::{Duration, Instant};

// Guards the passage of a job: what a worker needs goes on unchanged, and its result comes back whole.
#[test]
fn a_job_is_handed_over_and_its_result_handed_back() {
    let (scheduler, worker, _discovery) = with_worker();
    let (mut client, mut notices) = (scheduler.client(), scheduler.client());
    client.job("status-check", "id-1", 5000);
    let call = worker.next();
    let left = call.message.header("req-deadline-ms").expect("a deadline").to_owned();
    assert!((1..=5000).contains(&left.parse::<u64>().expect("whole milliseconds")));
    assert_snapshot!(call.message.show().replace(&left, "LEFT"), @r"
    POST /status-check/x?y=1 HTTP/1.1
    host: backend.local
    req-id: id-1
    req-deadline-ms: LEFT
    idempotency-key: k-id-1
    content-length: 7

    payload
    ");
    take(call);
    notices.notice("id-1", "s-a", r#""state":"started""#);
    notices.notice("id-1", "s-a", r#""state":"done","result":"a \"result\"","load":{"x0":1}"#);
    assert_snapshot!(client.answer().show(), @r#"
    HTTP/1.1 200 OK
    content-length: 10

    a "result"
    "#);
}

// Guards the matching of notices: they overtake the 202, repeat, come late or for another's job, and are malformed.
#[test]
fn only_a_notice_that_matches_changes_anything() {
    let (scheduler, worker, _discovery) = with_worker();
    let (mut client, mut notices) = (scheduler.client(), scheduler.client());
    client.job("status-check", "id-1", 10_000);
    let call = worker.next();
    let ok = "HTTP/1.1 200 OK";
    assert_eq!(notices.notice("id-1", "s-other", r#""state":"done","result":"wrong worker""#), ok);
    assert_eq!(notices.notice("id-2", "s-a", r#""state":"done","result":"wrong job""#), ok);
    assert_eq!(notices.notice("id-1", "s-a", r#""state":"done","result":"right""#), ok);
    assert_eq!(notices.notice("id-1", "s-a", r#""state":"done","result":"again""#), ok);
    assert_eq!(notices.notice("id-1", "s-a", r#""state":"failed""#), ok);
    take(call);
    assert_eq!(client.answer().body, "right");
    assert_eq!(notices.notice("id-1", "s-a", r#""state":"strange""#), "HTTP/1.1 400 Bad Request");
    notices.post("/callback", "", "{");
    assert_eq!(notices.answer().start, "HTTP/1.1 400 Bad Request");
}

// Guards against bad input: it is turned down in words, never forwarded, and the scheduler goes on.
#[test]
fn bad_input_is_answered_and_goes_no_further() {
    let (scheduler, worker, _discovery) = with_worker();
    let good = "Req-Id: a\r\nReq-Owner: norrtrim\r\nReq-Deadline-Ms: 5000\r\n";
    let large = "x".repeat(64 * 1024 + 1);
    let cases = [
        ("/unknown", good.to_owned(), ""),
        ("/status-check", good.replace("Req-Id: a\r\n", ""), ""),
        ("/status-check", good.replace(": a\r", ": a/../b\r"), ""),
        ("/status-check", good.replace("norrtrim", "nobody"), ""),
        ("/status-check", good.replace("Req-Owner: norrtrim\r\n", ""), ""),
        ("/status-check", good.replace("5000", "soon"), ""),
        ("/status-check", good.replace("5000", "-1"), ""),
        ("/status-check", good.replace("5000", "99999999999999999999"), ""),
        ("/status-check", good.replace("5000", "18446744073709551615"), ""),
        ("/status-check", good.replace("Req-Deadline-Ms: 5000\r\n", ""), ""),
        ("/status-check", format!("{good}Req-Id: b\r\n"), ""),
        ("/status-check", format!("{good}Req-Extra: slots=1e300\r\n"), ""),
        ("/status-check", format!("{good}Req-Extra: memory=-1\r\n"), ""),
        ("/status-check", good.to_owned(), large.as_str()),
    ];
    let answers = cases.map(|(path, headers, body)| {
        let mut client = scheduler.client();
        client.post(path, &headers, body);
        let answer = client.answer();
        format!("{} {}", &answer.start[9..12], answer.body)
    });
    assert_snapshot!(answers.concat(), @r"
    404 unknown class
    400 Req-Id is missing
    400 Req-Id is not a plain word
    400 Req-Owner is unknown
    400 Req-Owner is missing
    400 Req-Deadline-Ms is not a whole number
    400 Req-Deadline-Ms is not a whole number
    400 Req-Deadline-Ms is not a whole number
    400 Req-Deadline-Ms is too far away
    400 Req-Deadline-Ms is missing
    400 a header came twice
    400 Req-Extra has a figure that no job can have
    400 Req-Extra has a figure that no job can have
    413 the body is too large
    ");
    let mut client = scheduler.client();
    client.post("/status-check", &format!("{good}Long: {}\r\n", "x".repeat(20 * 1024)), "");
    assert_eq!(client.answer().start, "HTTP/1.1 431 Request Header Fields Too Large");
    let mut client = scheduler.client();
    client.write("GET /status-check HTTP/1.1\r\nHost: backend.local\r\n\r\n");
    assert_eq!(client.answer().start, "HTTP/1.1 405 Method Not Allowed");
    assert!(worker.unasked());
    assert_eq!(scheduler.health(), "HTTP/1.1 200 OK");
}

// What comes in and can't be used is counted by its reason, and held against nobody: the next request, notice and list are taken.
#[test]
fn what_can_t_be_used_is_counted_by_reason() {
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

// The same of what workers and discovery answer: the job goes on to the next worker, and so does the watch.
#[test]
fn answers_that_can_t_be_read_are_counted_by_reason() {
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

/// A good head, but for what says how long the body is.
fn head(id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /status-check/x HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nReq-Owner: norrtrim\r\nReq-Deadline-Ms: {deadline_ms}\r\n"
    )
}

// Guards clients whose requests come slowly, cut anywhere: they were given up 2.5 s after the connection was accepted, though
// they went on coming. Their time counts from the last byte.
#[test]
fn a_request_is_read_as_long_as_it_goes_on_coming() {
    let (scheduler, worker, _discovery) = with_worker();
    let mut client = scheduler.client();
    let request = head("id-1", 1000) + "Content-Length: 9\r\n\r\nlong body";
    for piece in request.as_bytes().chunks(request.len() / 9) {
        client.write(std::str::from_utf8(piece).expect("text"));
        // The client's slowness: 3 s in all.
        std::thread::sleep(Duration::from_millis(350));
    }
    let call = worker.next();
    assert_eq!(call.message.body, "long body");
    take(call);
    scheduler.client().notice("id-1", "s-a", r#""state":"done","result":"r""#);
    assert_eq!(client.answer().body, "r");
}

// Guards against connections held for nothing: whoever says nothing, or half a request, is answered or cut within 3 s,
// also where a whole request came before.
#[test]
fn half_requests_are_not_waited_for() {
    let (scheduler, worker, _discovery) = with_worker();
    let began = Instant::now();
    let mut second = scheduler.client();
    second.write("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(second.answer().start, "HTTP/1.1 200 OK");
    second.write("POST /status-check HTTP/1.1\r\nHost: h\r\nReq-");
    let (mut silent, mut endless, mut stalled) = (scheduler.client(), scheduler.client(), scheduler.client());
    endless.write("POST /status-check HTTP/1.1\r\nHost: h\r\nReq-");
    stalled.write(&(head("a", 60_000) + "Content-Length: 9\r\n\r\nhalf"));
    assert_eq!(stalled.answer().start, "HTTP/1.1 408 Request Timeout");
    assert!(silent.closed() && endless.closed() && second.closed());
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    assert!(worker.unasked());
}

// Guards against an error that its own reset destroys: a client in the middle of a large body can read it to the end.
#[test]
fn an_early_error_outlives_what_the_client_still_sends() {
    let (scheduler, worker, _discovery) = with_worker();
    let mut client = scheduler.client();
    client.write(&(head("a", 60_000) + "Content-Length: 60000000\r\n\r\n" + &"x".repeat(100_000)));
    assert_eq!(client.answer().start, "HTTP/1.1 413 Payload Too Large");
    assert!(client.ended_in_order());
    // It doesn't know of the end yet, and what it sends is no reason for a reset: of two writes the second would fail.
    client.write("x");
    scheduler.health();
    client.write("x");
    assert!(worker.unasked());
}

// Guards against a request hidden in another's body, which two servers read as different requests.
#[test]
fn a_length_told_in_two_ways_is_refused_whole() {
    let (scheduler, worker, _discovery) = with_worker();
    let hidden = head("hidden", 60_000) + "Content-Length: 0\r\n\r\n";
    let lengths =
        [format!("Content-Length: {}\r\n", hidden.len() + 5), "Transfer-Encoding: chunked\r\n".to_owned()];
    for lengths in [lengths.concat(), [&*lengths[1], &*lengths[0]].concat()] {
        let mut client = scheduler.client();
        // An empty line before it is passed over by HTTP.
        client.write(&format!("\r\n{}{lengths}\r\n0\r\n\r\n{hidden}", head("a", 60_000)));
        assert_eq!(client.answer().start, "HTTP/1.1 400 Bad Request");
        assert!(client.closed());
    }
    assert!(worker.unasked());
}

// Guards against two attempts under one id: a second request with the id of one still open is not taken.
#[test]
fn an_id_that_is_open_is_not_taken_twice() {
    let (scheduler, worker, _discovery) = with_worker();
    let (mut first, mut second) = (scheduler.client(), scheduler.client());
    first.job("status-check", "id-1", 10_000);
    take(worker.next());
    second.job("status-check", "id-1", 10_000);
    assert_eq!(second.answer().start, "HTTP/1.1 409 Conflict");
    scheduler.client().notice("id-1", "s-a", r#""state":"done","result":"r""#);
    assert_eq!(first.answer().body, "r");
    assert!(worker.unasked());
}

// Guards the end of a request whose worker has gone silent: an answer by its deadline, and the job called off.
#[test]
fn a_silent_worker_is_given_up_at_the_deadline() {
    let (scheduler, worker, _discovery) = with_worker();
    let mut client = scheduler.taken(&worker, "guest-visit", "id-1", 300);
    assert_eq!(client.answer().start, "HTTP/1.1 502 Bad Gateway");
    let call = worker.next();
    assert_eq!(call.message.start, "DELETE /jobs/id-1 HTTP/1.1");
    // Unheard, it is said again.
    call.hang_up();
    assert_eq!(worker.next().message.start, "DELETE /jobs/id-1 HTTP/1.1");
}

// Guards against work for nobody: when the client leaves, the worker is told.
#[test]
fn a_job_whose_client_left_is_called_off() {
    let (scheduler, worker, _discovery) = with_worker();
    let client = scheduler.taken(&worker, "status-check", "id-1", 10_000);
    // Before the 202 closing the connection would do; this answer shows that it has been read.
    scheduler.client().notice("id-1", "s-a", r#""state":"started""#);
    drop(client);
    assert_eq!(worker.next().message.start, "DELETE /jobs/id-1 HTTP/1.1");
}

// Guards the repeat of what surely never ran, whatever the class: refused connections, declined and returned jobs.
#[test]
fn what_never_ran_goes_to_another_worker() {
    let (discovery, worker, other) = (Server::start(), Server::start(), Server::start());
    let known = [worker.entry("s-a", "active"), other.entry("s-b", "active"), worker.entry("s-c", "active")];
    let known = [&known[0], &known[1], &known[2].replace(&worker.addr.to_string(), &nobody().to_string())];
    let scheduler = Scheduler::start(discovery.addr, &known.map(String::clone), &[]);
    let (mut client, mut notices) = (scheduler.client(), scheduler.client());
    // A deadline past the test's patience: an answer that is held back would fail it.
    client.job("once", "id-1", 60_000);
    let servers = [("s-a", &worker), ("s-b", &other)];
    let asked = || loop {
        if let Some(found) = servers.iter().find_map(|(name, s)| Some((*name, s.try_next()?))) {
            return found;
        }
    };
    let (first, call) = asked();
    call.reply("503 Service Unavailable", "Srv-Declined: 1\r\nSrv-Load: TEXT x0=0, util=0.9\r\n", "");
    let (second, call) = asked();
    assert_ne!(first, second);
    take(call);
    notices.notice("id-1", second, r#""state":"returned""#);
    // All three have been tried: nothing ran, so it is refused, with advice.
    assert_snapshot!(client.answer().show(), @r"
    HTTP/1.1 503 Service Unavailable
    retry-after: 0.300
    content-length: 8

    no room
    ");
}

// Guards workers against blame for a client's fault: a request that one turns away as unusable was tried at the next one,
// and the next, each of them then set aside for seconds. Every job here would then wait or be refused.
#[test]
fn a_request_that_a_worker_can_t_use_ends_there() {
    let (scheduler, worker, _discovery) = with_worker();
    let (mut bad, mut client) = (scheduler.client(), scheduler.client());
    for round in 0..3 {
        bad.job("status-check", &format!("bad-{round}"), 60_000);
        worker.next().reply("400 Bad Request", "", "");
        assert_eq!(bad.answer().start, "HTTP/1.1 422 Unprocessable Entity");
    }
    client.job("once", "id-1", 60_000);
    assert_eq!(worker.next().message.header("req-id"), Some("id-1"));
}

// Guards against doing a thing twice: once the whole request is written, a break proves nothing.
#[test]
fn what_may_have_run_is_not_repeated() {
    let (discovery, worker, other) = (Server::start(), Server::start(), Server::start());
    let known = [worker.entry("s-a", "active"), other.entry("s-b", "active")];
    let scheduler = Scheduler::start(discovery.addr, &known, &[]);
    let mut client = scheduler.client();
    client.job("once", "id-1", 10_000);
    let call = loop {
        if let Some(call) = worker.try_next().or_else(|| other.try_next()) {
            break call;
        }
    };
    call.hang_up();
    assert_eq!(client.answer().start, "HTTP/1.1 502 Bad Gateway");
    assert!(worker.unasked() && other.unasked());
}

// Guards against a reset that leaves open whether a job has run: a worker may close a kept connection at any time, so each
// job goes out on a new one; what abandons it may use one that holds, also behind one that doesn't.
#[test]
fn jobs_go_out_on_connections_of_their_own() {
    let (discovery, worker) = (Server::start(), Server::start());
    let edits = [(r#""connIdle":10000000000"#, r#""connIdle":1000000000000"#)];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &edits);
    let (mut client, mut other, mut notices) = (scheduler.client(), scheduler.client(), scheduler.client());
    client.job("status-check", "id-1", 60_000);
    let first = worker.next();
    let kept = first.stream.peer_addr().expect("open");
    take(first);
    // The notices' answers show that the 202s have been read, and at last the end of a connection.
    notices.notice("id-1", "s-a", r#""state":"started""#);
    other.job("status-check", "id-2", 60_000);
    let second = worker.next();
    assert_ne!(second.stream.peer_addr().expect("open"), kept);
    let closed = second.stream.try_clone().expect("a handle");
    take(second);
    notices.notice("id-2", "s-a", r#""state":"started""#);
    closed.shutdown(std::net::Shutdown::Both).expect("open");
    worker.ended();
    notices.notice("id-2", "s-a", r#""state":"running","share":0.5"#);
    // A connection is used again when it has settled.
    std::thread::sleep(Duration::from_millis(60));
    drop(other);
    let call = worker.next();
    assert_eq!(call.message.start, "DELETE /jobs/id-2 HTTP/1.1");
    assert_eq!(call.stream.peer_addr().expect("open"), kept);
}

// Guards the price of handshakes: where the settings name one, a job goes out on the connection that the last one left, and on a
// new one where the worker has closed that. One that breaks under a job takes the other kept ones to that worker with it.
#[test]
fn where_handshakes_cost_jobs_go_out_on_kept_connections() {
    let (discovery, worker) = (Server::start(), Server::start());
    let edits = [(r#""round":"#, r#""prices":{"handshake":0.05},"round":"#)];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &edits);
    let mut notices = scheduler.client();
    let mut clients: Vec<_> = (1..=6).map(|_| scheduler.client()).collect();
    let mut send = |class: &str, n: usize| {
        clients[n - 1].job(class, &format!("id-{n}"), 60_000);
        let call = worker.next();
        assert_eq!(call.message.header("req-id"), Some(format!("id-{n}").as_str()));
        (call.stream.peer_addr().expect("open"), call)
    };
    // The notices' answers show that the 202s have been read.
    let mut started = |n: usize| {
        notices.notice(&format!("id-{n}"), "s-a", r#""state":"started""#);
        // A connection is used again when it has settled.
        std::thread::sleep(Duration::from_millis(60));
    };
    let (kept, first) = send("status-check", 1);
    take(first);
    started(1);
    let (again, second) = send("status-check", 2);
    assert_eq!(again, kept);
    // While that one is in use, a second one opens.
    let (beside, third) = send("status-check", 3);
    assert_ne!(beside, kept);
    take(third);
    started(3);
    take(second);
    started(2);
    let (last, fourth) = send("once", 4);
    assert_eq!(last, kept);
    fourth.hang_up();
    (0..2).for_each(|_| worker.ended());
    // Closed by the worker between jobs, it costs no job anything.
    let (new, fifth) = send("status-check", 5);
    assert!(new != kept && new != beside);
    let closed = fifth.stream.try_clone().expect("a handle");
    take(fifth);
    started(5);
    closed.shutdown(std::net::Shutdown::Both).expect("open");
    worker.ended();
    assert_ne!(send("once", 6).0, new);
    assert_eq!(clients[3].answer().start, "HTTP/1.1 502 Bad Gateway");
}

// Guards against a job that a worker took without a word: it was waited for until the client gave up. What the worker tells
// of it, though, shows that it has it.
#[test]
fn a_handover_without_an_answer_is_given_up_for_another() {
    let (discovery, worker, other) = (Server::start(), Server::start(), Server::start());
    let known = [worker.entry("s-a", "active"), other.entry("s-b", "active")];
    let scheduler = Scheduler::start(discovery.addr, &known, &[]);
    let mut client = scheduler.client();
    client.job("status-check", "id-1", 60_000);
    let began = Instant::now();
    let asked = || loop {
        assert!(began.elapsed() < Duration::from_secs(20), "nobody is asked");
        if let Some(found) =
            [("s-a", &worker), ("s-b", &other)].iter().find_map(|(n, s)| Some((*n, s.try_next()?)))
        {
            return found;
        }
    };
    let (first, _silent) = asked();
    let (second, _call) = asked();
    assert_ne!(first, second);
    if first == "s-a" { &worker } else { &other }.ended();
    let began = Instant::now();
    let mut notices = scheduler.client();
    notices.notice("id-1", second, r#""state":"started""#);
    while began.elapsed() < Duration::from_millis(1200) {
        assert!(worker.unasked() && other.unasked());
    }
    notices.notice("id-1", second, r#""state":"done","result":"r""#);
    assert_eq!(client.answer().body, "r");
}

// Guards workers against blame for our own want of descriptors: it passed for a refused connection, and the worker was
// set aside for seconds.
#[test]
fn no_worker_is_blamed_for_our_own_want_of_descriptors() {
    let (discovery, workers) = (Server::start(), [Server::start(), Server::start(), Server::start()]);
    let names = ["s-a", "s-b", "s-c"];
    let known: Vec<_> = workers.iter().zip(names).map(|(w, name)| w.entry(name, "active")).collect();
    let edits = [(r#""sockets":128"#, r#""sockets":81"#), (r#""maxAttempts":6"#, r#""maxAttempts":1"#)];
    let scheduler = Scheduler::start(discovery.addr, &known, &edits);
    let ask = |id: String| {
        let mut client = scheduler.client();
        client.job("status-check", &id, 60_000);
        client
    };
    let asked = |n: usize| {
        let mut calls = Vec::new();
        let began = Instant::now();
        while calls.len() < n {
            assert!(began.elapsed() < Duration::from_secs(20), "{} of {n} are asked", calls.len());
            calls.extend(workers.iter().zip(names).filter_map(|(w, name)| Some((name, w.try_next()?))));
        }
        calls
    };
    let mut clients: Vec<_> = (0..10).map(|n| ask(format!("id-{n}"))).collect();
    // All ten connections are taken while these wait for their 202.
    let held = asked(10);
    assert_eq!(ask("late".to_owned()).answer().start, "HTTP/1.1 503 Service Unavailable");
    let mut notices = scheduler.client();
    for (name, call) in held {
        let id = call.message.header("req-id").expect("an id").to_owned();
        take(call);
        notices.notice(&id, name, r#""state":"done","result":"r""#);
    }
    clients.iter_mut().for_each(|client| assert_eq!(client.answer().body, "r"));
    let _clients: Vec<_> = (0..3).map(|n| ask(format!("again-{n}"))).collect();
    let mut used: Vec<_> = asked(3).into_iter().map(|(name, _)| name).collect();
    used.sort_unstable();
    assert_eq!(used, names);
}

// Guards against a reset under a request: idle connections go well before the worker's limit for them.
#[test]
fn an_idle_connection_is_dropped_before_the_worker_would() {
    let (discovery, worker) = (Server::start(), Server::start());
    let edits = [(r#""connIdle":10000000000"#, r#""connIdle":400000000"#)];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &edits);
    let _client = scheduler.taken(&worker, "status-check", "id-1", 10_000);
    worker.ended();
}

// Guards the passage of load reports, whose names on sockets are their own: the module waits for a free slot.
#[test]
fn a_probe_s_report_decides_whether_a_job_goes_out() {
    let (discovery, worker) = (Server::start(), Server::start());
    let edits = [
        (r#""cancel":true"#, r#""cancel":true,"probes":true"#),
        (r#""round":"#, r#""report":{"via":"answers"},"familyInfo":{"reportX0":"free slots"},"round":"#),
    ];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &edits);
    let mut client = scheduler.client();
    client.job("status-check", "id-1", 10_000);
    for report in ["TEXT x0=0, util=0.9", r#"{"x0":0.0,"util":0.9}"#, "TEXT x0=2.1, util=0.1"] {
        let probe = worker.next();
        assert_eq!(probe.message.start, "GET /load HTTP/1.1");
        probe.reply("200 OK", "", report);
    }
    assert_eq!(worker.next().message.header("req-id"), Some("id-1"));
}

// Guards the watch: it starts from the known list, goes on from each answer, starts again when a call fails, and what
// it tells is heeded.
#[test]
fn the_watch_goes_on_and_what_it_tells_is_heeded() {
    let (scheduler, worker, discovery) = with_worker();
    let other = Server::start();
    let list = |seq: u64, rows: &str| format!(r#"{{"seq":{seq},"whole":false,"hosts":[{rows}]}}"#);
    let call = discovery.next();
    assert_eq!(call.message.start, "GET /v1/servers?index=41&wait=0 HTTP/1.1");
    call.reply("200 OK", "", &list(42, ""));
    let call = discovery.next();
    assert_eq!(call.message.start, "GET /v1/servers?index=42&wait=4000 HTTP/1.1");
    let news = [worker.entry("s-a", "leaving"), other.entry("s-b", "active")].join(",");
    call.reply("200 OK", "", &list(43, &news));
    let call = discovery.next();
    assert_eq!(call.message.start, "GET /v1/servers?index=43&wait=4000 HTTP/1.1");
    let mut client = scheduler.client();
    client.job("status-check", "id-1", 10_000);
    take(other.next());
    assert!(worker.unasked());
    call.reply("503 Service Unavailable", "", "");
    assert_eq!(discovery.next().message.start, "GET /v1/servers?index=43&wait=0 HTTP/1.1");
}

// Guards lists that are pushed: the module asks for none there, and nobody listened to the agent that they are pushed to, so jobs went
// to draining workers and never to new ones. It is heard from the start, again after a call that failed, and an agent that answers
// every call at once is not asked without a pause.
#[test]
fn an_agent_that_lists_are_pushed_to_is_heard() {
    let (discovery, worker, other) = (Server::start(), Server::start(), Server::start());
    let pushed = [(r#""discovery":"subscribe""#, r#""discovery":"automatic""#)];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &pushed);
    let list = |seq: u64, rows: &str| format!(r#"{{"seq":{seq},"whole":false,"hosts":[{rows}]}}"#);
    let call = discovery.next();
    assert_eq!(call.message.start, "GET /v1/servers?index=41&wait=0 HTTP/1.1");
    call.reply("503 Service Unavailable", "", "");
    let call = discovery.next();
    assert_eq!(call.message.start, "GET /v1/servers?index=41&wait=0 HTTP/1.1");
    let news = [worker.entry("s-a", "leaving"), other.entry("s-b", "active")].join(",");
    call.reply("200 OK", "", &list(43, &news));
    let mut calls = vec![];
    for _ in 0..5 {
        let call = discovery.next();
        assert_eq!(call.message.start, "GET /v1/servers?index=43&wait=4000 HTTP/1.1");
        calls.push(Instant::now());
        call.reply("200 OK", "", &list(43, ""));
    }
    // The first of them follows news and comes at once.
    assert!(calls[4] - calls[0] >= Duration::from_millis(4 * 40), "asked without a pause");
    let mut client = scheduler.client();
    client.job("status-check", "id-1", 10_000);
    take(other.next());
    assert!(worker.unasked());
}

// Guards a new configuration under load: SIGHUP ended the program before. The file's address goes before the variable's,
// the watch moves there at once though the old one's call still waits, a faulty file changes nothing, and the job that
// was out all the while is answered.
#[test]
fn a_new_configuration_moves_the_watch_and_nothing_else() {
    let (scheduler, worker, discovery) = with_worker();
    let (mut client, mut notices) = (scheduler.client(), scheduler.client());
    client.job("status-check", "id-1", 60_000);
    take(worker.next());
    discovery.next().reply("200 OK", "", r#"{"seq":42,"whole":false,"hosts":[]}"#);
    let _waiting = discovery.next();
    scheduler.reload(&config(nobody(), "").replace(r#""sockets":128"#, r#""sockets":"many""#));
    let faulty = scheduler.logged("ERROR");
    assert!(faulty.contains("configuration key `limits.sockets`"), "{faulty}");
    for (seq, moved) in [(42, Server::start()), (43, Server::start())] {
        scheduler.reload(&config(moved.addr, ""));
        let call = moved.next();
        assert_eq!(call.message.start, format!("GET /v1/servers?index={seq}&wait=0 HTTP/1.1"));
        call.reply("200 OK", "", r#"{"seq":43,"whole":false,"hosts":[]}"#);
        assert_eq!(moved.next().message.start, "GET /v1/servers?index=43&wait=4000 HTTP/1.1");
    }
    discovery.ended();
    assert!(discovery.unasked());
    notices.notice("id-1", "s-a", r#""state":"done","result":"r""#);
    assert_eq!(client.answer().body, "r");
}

// Guards against changes missed for good: a discovery that counts anew is asked for the whole list.
#[test]
fn a_discovery_that_counts_anew_is_asked_for_all() {
    let (_scheduler, _worker, discovery) = with_worker();
    discovery.next().reply("200 OK", "", r#"{"seq":7,"whole":false,"hosts":[]}"#);
    let call = discovery.next();
    assert_eq!(call.message.start, "GET /v1/servers HTTP/1.1");
    call.reply("200 OK", "", r#"{"seq":7,"whole":true,"hosts":[]}"#);
    assert_eq!(discovery.next().message.start, "GET /v1/servers?index=7&wait=4000 HTTP/1.1");
}

// Guards against a discovery that vanished: a silent call ends at its deadline and another follows.
#[test]
fn a_silent_discovery_is_asked_again() {
    let (_scheduler, _worker, discovery) = with_worker();
    let silent = discovery.next();
    assert_eq!(discovery.next().message.start, silent.message.start);
}

// Guards against readiness that is not: without a worker no request could be served.
#[test]
fn a_scheduler_without_workers_is_not_ready() {
    let discovery = Server::start();
    let scheduler = Scheduler::start(discovery.addr, &[], &[]);
    assert_eq!(scheduler.health(), "HTTP/1.1 503 Service Unavailable");
}

// Guards the descriptor limit: idle connections make room for new ones, for as many as come.
#[test]
fn idle_connections_make_room_at_the_limit() {
    let (scheduler, worker, _discovery) = with_worker();
    let _idle: Vec<_> = (0..100).map(|_| scheduler.client()).collect();
    let (mut client, mut notices) = (scheduler.client(), scheduler.client());
    client.job("status-check", "id-1", 10_000);
    take(worker.next());
    notices.notice("id-1", "s-a", r#""state":"done","result":"r""#);
    assert_eq!(client.answer().body, "r");
}

// Guards usual clients in a flood of connections that say nothing: those go first, though the client's has been idle
// longer, and each is given a while to speak.
#[test]
fn at_the_limit_silent_connections_go_before_proven_ones() {
    let (scheduler, worker, _discovery) = with_worker();
    let (mut client, mut notices) = (scheduler.client(), scheduler.client());
    let mut work = |id: &str| {
        client.job("status-check", id, 10_000);
        take(worker.next());
        notices.notice(id, "s-a", r#""state":"done","result":"r""#);
        assert_eq!(client.answer().body, "r");
    };
    work("id-1");
    let began = Instant::now();
    let _silent: Vec<_> = (0..100).map(|_| scheduler.client()).collect();
    assert_eq!(scheduler.health(), "HTTP/1.1 200 OK");
    assert!(began.elapsed() >= Duration::from_millis(250), "{:?}", began.elapsed());
    work("id-2");
}

// Guards a planned restart: what is owed is answered, notices still come in, nothing else is taken for long, and the
// process ends by itself.
#[test]
fn told_to_stop_it_finishes_what_it_owes() {
    let (mut scheduler, worker, _discovery) = with_worker();
    let (mut client, mut idle) = (scheduler.client(), scheduler.client());
    client.job("status-check", "id-1", 10_000);
    take(worker.next());
    scheduler.terminate();
    // The idle connection closes only when new requests have stopped being taken.
    assert!(idle.closed());
    assert_eq!(scheduler.health(), "HTTP/1.1 503 Service Unavailable");
    let mut late = scheduler.client();
    late.job("status-check", "id-2", 10_000);
    assert_snapshot!(late.answer().show(), @r"
    HTTP/1.1 503 Service Unavailable
    retry-after: 0.300
    connection: close
    content-length: 8

    no room
    ");
    assert!(late.closed());
    scheduler.client().notice("id-1", "s-a", r#""state":"done","result":"r""#);
    let answer = client.answer();
    assert_eq!((answer.body.as_str(), answer.header("connection")), ("r", Some("close")));
    assert!(scheduler.wait().success());
    assert!(worker.unasked());
}

// Guards the operators' door against callers who say nothing or the wrong thing: they keep nobody waiting.
#[test]
fn operators_are_answered_beside_silent_callers() {
    let (scheduler, _worker, _discovery) = with_worker();
    let mut silent: Vec<_> = (0..40).map(|_| scheduler.operator()).collect();
    let began = Instant::now();
    let calls = ["GET /ops/readiness", "POST /ops/readiness", "GET /ops/drain/start", "GET /ops", "PUT *"];
    assert_snapshot!(calls.map(|call| scheduler.operate(call)).concat(), @r"
    200 yes
    405 this call has another method
    405 this call has another method
    404 no such call
    404 no such call
    ");
    // The oldest made room, long before its own time was up.
    assert!(silent[0].closed());
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    assert_eq!(scheduler.health(), "HTTP/1.1 200 OK");
}

// Guards the figures: each job is counted once, where it ended, also one that was turned away before it was taken; an
// attempt once it was written whole; a worker that drains is listed and unavailable, one that has left is neither.
#[test]
fn the_figures_count_each_job_where_it_ended() {
    let (discovery, worker, other) = (Server::start(), Server::start(), Server::start());
    let known = [worker.entry("s-a", "active"), other.entry("s-b", "leaving"), other.entry("s-c", "left")];
    let scheduler = Scheduler::start(discovery.addr, &known, &[(r#""maxAttempts":6"#, r#""maxAttempts":1"#)]);
    let (mut client, mut open) = (scheduler.client(), scheduler.client());
    client.job("once", "served", 60_000);
    take(worker.next());
    scheduler.client().notice("served", "s-a", r#""state":"done","result":"r""#);
    client.answer();
    client.job("guest-visit", "no-tenant/", 60_000);
    client.answer();
    open.job("once", "open", 60_000);
    let call = worker.next();
    let figures = scheduler.operate("GET /ops/stats");
    assert_snapshot!(figures.replace("},", "},\n"), @r#"
    200 {"downstream_requests":{"guest-visit":{"completed":0,"rejected":0,"failed":1},
    "once":{"completed":1,"rejected":0,"failed":0},
    "status-check":{"completed":0,"rejected":0,"failed":0}},
    "upstream_requests":2,"pending":1,"members":2,"members_unavailable":1,"config_reloads":0,"config_reload_errors":0,"bad_input":{"Req-Id is not a plain word":1}}
    "#);
    call.reply("500 Internal Server Error", "", "");
    open.answer();
    open.job("status-check", "refused", 60_000);
    worker.next().reply("503 Service Unavailable", "Srv-Declined: 1\r\n", "");
    open.answer();
    assert_snapshot!(scheduler.operate("GET /ops/stats").replace("},", "},\n"), @r#"
    200 {"downstream_requests":{"guest-visit":{"completed":0,"rejected":0,"failed":1},
    "once":{"completed":1,"rejected":0,"failed":1},
    "status-check":{"completed":0,"rejected":1,"failed":0}},
    "upstream_requests":3,"pending":0,"members":2,"members_unavailable":1,"config_reloads":0,"config_reload_errors":0,"bad_input":{"Req-Id is not a plain word":1}}
    "#);
}

// Guards the way clients are sent away and taken back: the front is told at once, jobs still come in and are served, idle
// connections close, and nothing ends the process.
#[test]
fn a_drain_sends_clients_away_until_it_is_undone() {
    let (scheduler, worker, _discovery) = with_worker();
    let (mut client, mut idle, mut half) = (scheduler.client(), scheduler.client(), scheduler.client());
    client.job("status-check", "id-1", 60_000);
    take(worker.next());
    for _ in 0..2 {
        assert_eq!(scheduler.operate("POST /ops/drain/start"), "200 yes\n");
    }
    assert_eq!(scheduler.health(), "HTTP/1.1 503 Service Unavailable");
    assert_eq!(scheduler.operate("GET /ops/readiness"), "200 yes\n");
    let mut late = scheduler.taken(&worker, "status-check", "id-2", 60_000);
    half.write(&head("id-3", 60_000));
    assert!(idle.closed());
    // It had begun to come in, so it is still served.
    half.write("Content-Length: 0\r\n\r\n");
    take(worker.next());
    for (id, client) in [("id-1", &mut client), ("id-2", &mut late), ("id-3", &mut half)] {
        scheduler.client().notice(id, "s-a", r#""state":"done","result":"r""#);
        let answer = client.answer();
        assert_eq!((answer.body.as_str(), answer.header("connection")), ("r", Some("close")));
        assert!(client.closed());
    }
    for _ in 0..2 {
        assert_eq!(scheduler.operate("POST /ops/drain/stop"), "200 yes\n");
    }
    let mut back = scheduler.client();
    back.write("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(back.answer().header("connection"), None);
    back.job("status-check", "id-4", 60_000);
    assert_eq!(worker.next().message.header("req-id"), Some("id-4"));
}

// Guards a hand-over in a folder whose path is longer than a Unix socket's address holds.
#[test]
fn a_second_process_takes_over_in_a_folder_with_a_long_path() {
    let (discovery, worker) = (Server::start(), Server::start());
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let folder = folder().join("f".repeat(120));
    std::fs::create_dir_all(&folder).expect("a writable folder");
    let known = [worker.entry("s-a", "active")];
    let start = || Scheduler::start_beside(&platform, &folder, discovery.addr, &known, &[]);
    let mut old = start();
    let mut client = old.client();
    client.job("once", "id-1", 60_000);
    take(worker.next());
    let new = start();
    old.logged("successor=true");
    old.terminate();
    assert!(old.wait().success());
    new.client().notice("id-1", "s-a", r#""state":"done","result":"r""#);
    assert_eq!(client.answer().body, "r");
}

// Guards an upgrade: two processes serve by one inherited socket. Neither a file left behind nor the peers' address, which
// the old one holds, hinders the new one; a notice that reaches the wrong process finds its job; the old one, told to end,
// takes no connection any more, hands what is open to the new one with its clients' connections, and ends before that is
// done; the rules on repeats go on from what was tried.
#[test]
fn a_second_process_takes_over_and_nothing_is_lost() {
    let (discovery, worker) = (Server::start(), Server::start());
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peers = UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("a port");
    let edits = [
        (r#""cancel":true"#, r#""cancel":true,"peerMessages":true"#),
        (r#""seed":"#, &format!(r#""peer_listen":"{peers}","seed":"#)),
    ];
    let folder = folder();
    // By way of the open folder, whose own path may be longer than a socket's address holds.
    let open = File::open(&folder).expect("a folder");
    let left_behind = format!("/proc/self/fd/{}/n0.sock", open.as_raw_fd());
    drop(UnixListener::bind(left_behind).expect("a socket that is left behind"));
    let known = [worker.entry("s-a", "active")];
    let start = || Scheduler::start_beside(&platform, &folder, discovery.addr, &known, &edits);
    let mut old = start();
    let [mut soon, mut client, mut lost, mut slow, mut idle] = std::array::from_fn(|_| old.client());
    for (id, client) in [("id-0", &mut soon), ("id-1", &mut client), ("id-2", &mut lost)] {
        client.job("once", id, 60_000);
        take(worker.next());
    }
    slow.write(&head("id-3", 60_000));
    // It serves all these connections before there is another who could.
    old.health();
    let new = start();
    old.logged("successor=true");
    assert_eq!(new.operate("GET /ops/readiness"), "200 yes\n");
    old.terminate();
    old.logged("stopping");
    // Only the new one accepts by now, and the old one has the job.
    let done = r#""state":"done","result":"r""#;
    assert_eq!(new.client().notice("id-0", "s-a", done), "HTTP/1.1 200 OK");
    assert_eq!(soon.answer().body, "r");
    assert!(idle.closed());
    slow.write("Content-Length: 0\r\n\r\n");
    take(worker.next());
    assert!(old.wait().success());
    new.logged("predecessor=false");
    for (id, client) in [("id-1", &mut client), ("id-3", &mut slow)] {
        new.client().notice(id, "s-a", done);
        assert_eq!(client.answer().body, "r");
    }
    new.client().notice("id-2", "s-a", r#""state":"lost""#);
    assert_eq!(lost.answer().start, "HTTP/1.1 502 Bad Gateway");
    assert!(worker.unasked());
    // The connection goes on where it is now.
    client.job("once", "id-4", 60_000);
    assert_eq!(worker.next().message.header("req-id"), Some("id-4"));
    UdpSocket::bind(peers).expect_err("the new one has taken the peers' address");
    assert_snapshot!(new.operate("GET /ops/stats").replace("},", "},\n"), @r#"
    200 {"downstream_requests":{"guest-visit":{"completed":0,"rejected":0,"failed":0},
    "once":{"completed":1,"rejected":0,"failed":1},
    "status-check":{"completed":1,"rejected":0,"failed":0}},
    "upstream_requests":1,"pending":1,"members":1,"members_unavailable":0,"config_reloads":0,"config_reload_errors":0}
    "#);
}

// Guards clients that send their bodies in chunks, perhaps asking first: they were refused, as a length told in two ways is.
#[test]
fn a_body_may_come_in_chunks() {
    let (scheduler, worker, _discovery) = with_worker();
    let mut client = scheduler.client();
    client.write(&(head("id-1", 60_000) + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"));
    assert_eq!(client.answer().start, "HTTP/1.1 100 Continue");
    client.write("4\r\nlong\r\n5\r\n body\r\n0\r\n\r\n");
    let call = worker.next();
    assert_eq!((call.message.body.as_str(), call.message.header("content-length")), ("long body", Some("9")));
    take(call);
    scheduler.client().notice("id-1", "s-a", r#""state":"done","result":"r""#);
    let answer = client.answer();
    assert_eq!((answer.body.as_str(), answer.header("connection")), ("r", Some("close")));
}

// Guards new settings under load: classes come and go and their rules change, from then on. A job that is open keeps the
// rules and the attempts that it came under, and a dropped class its counts.
#[test]
fn new_settings_bind_new_jobs_and_leave_open_ones_alone() {
    let (discovery, worker, other) = (Server::start(), Server::start(), Server::start());
    let known = [worker.entry("s-a", "active"), other.entry("s-b", "active")];
    let scheduler = Scheduler::start(discovery.addr, &known, &[]);
    let asked = || {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(20) {
            if let Some(call) = worker.try_next().or_else(|| other.try_next()) {
                return call;
            }
        }
        panic!("nobody is asked");
    };
    let (mut client, mut open) = (scheduler.client(), scheduler.client());
    client.job("guest-visit", "no-worker/", 60_000);
    client.answer();
    open.job("status-check", "open", 60_000);
    let call = asked();
    let edits = [
        // The class that is open may not be repeated any more, the one before it in the list is gone, one is new.
        (r#""name":"status-check""#, r#""name":"card""#),
        (r#""name":"guest-visit""#, r#""name":"status-check""#),
        (r#""effect":"deduplicated""#, r#""effect":"at_most_once""#),
        (r#""maxAttempts":6"#, r#""maxAttempts":1"#),
    ];
    let known = known.join(",");
    let text = edits.iter().fold(config(discovery.addr, &known), |text, (from, to)| text.replace(from, to));
    scheduler.reload(&text);
    scheduler.logged("configuration reloaded");
    // Safe to repeat, as it was when it came in, and with more than one attempt.
    call.hang_up();
    take(asked());
    let mut notices = scheduler.client();
    for worker in ["s-a", "s-b"] {
        notices.notice("open", worker, r#""state":"done","result":"r""#);
    }
    assert_eq!(open.answer().body, "r");
    client = scheduler.client();
    client.job("guest-visit", "dropped", 60_000);
    assert_eq!(client.answer().start, "HTTP/1.1 404 Not Found");
    for (class, status) in [("card", "503 Service Unavailable"), ("status-check", "502 Bad Gateway")] {
        client = scheduler.client();
        client.job(class, class, 60_000);
        asked().hang_up();
        assert_eq!(client.answer().start, format!("HTTP/1.1 {status}"));
    }
    assert!(worker.unasked() && other.unasked());
    assert_snapshot!(scheduler.operate("GET /ops/stats").replace("},", "},\n"), @r#"
    200 {"downstream_requests":{"card":{"completed":0,"rejected":1,"failed":0},
    "guest-visit":{"completed":0,"rejected":0,"failed":1},
    "once":{"completed":0,"rejected":0,"failed":0},
    "status-check":{"completed":1,"rejected":0,"failed":1}},
    "upstream_requests":4,"pending":0,"members":2,"members_unavailable":0,"config_reloads":1,"config_reload_errors":0,"bad_input":{"Req-Id is not a plain word":1,"unknown class":1}}
    "#);
}

// Guards against half a configuration: from a file that is broken in any way nothing is taken, and one line says why.
#[test]
fn a_broken_file_changes_nothing() {
    let (scheduler, worker, discovery) = with_worker();
    let good = config(discovery.addr, "");
    let cases = [
        String::new(),
        good[..good.find(r#""once""#).expect("a class")].to_owned(),
        good[..good.len() - 1].to_owned(),
        good.replacen(r#""deadline":7500000000,"#, "", 1),
        good.replacen(r#""deadline":7500000000"#, r#""deadline":0"#, 1),
        good.replacen(r#""deadline":7500000000"#, r#""deadline":-7500000000"#, 1),
        good.replace(r#""maxAttempts":6"#, r#""maxAttempts":0"#),
        good.replace(r#""maxAttempts":6"#, r#""maxAttempts":"six""#),
        good.replace(r#""maxAttempts":6,"#, ""),
        good.replace(r#","drainGrace":750000000"#, ""),
        good.replace(r#""discovery":"subscribe","#, ""),
        good.replace(r#""name":"once""#, r#""name":"guest-visit""#),
    ];
    let lines = cases.clone().map(|text| {
        scheduler.reload(&text);
        let line = scheduler.logged("ERROR");
        line.split_once("not used: ").expect("a reason").1.to_owned() + "\n"
    });
    assert_snapshot!(lines.concat(), @r#"
    configuration key `ROUTER_CONFIG`: EOF while parsing a value at line 1 column 0
    configuration key `settings.grades[2].name`: EOF while parsing a value at line 4 column 290
    configuration key `ROUTER_CONFIG`: EOF while parsing an object at line 8 column 72
    configuration key `settings.grades[0]`: missing field `deadline` at line 4 column 133
    configuration key `settings.grades[0].deadline`: must be positive
    configuration key `settings.grades[0].deadline`: invalid value: integer `-7500000000`, expected u64 at line 4 column 133
    configuration key `settings.limits.maxAttempts`: must be positive
    configuration key `settings.limits.maxAttempts`: invalid type: string "six", expected u32 at line 6 column 93
    configuration key `settings.limits.maxAttempts`: is missing
    configuration key `settings.rules.drainGrace`: is missing
    configuration key `settings.discovery`: is missing
    configuration key `settings.grades[2].name`: is another class's name too
    "#);
    let figures = scheduler.operate("GET /ops/stats");
    assert!(
        figures.ends_with(&format!(r#""config_reloads":0,"config_reload_errors":{}}}"#, cases.len())),
        "{figures}"
    );
    let mut client = scheduler.client();
    client.job("guest-visit", "id-1", 60_000);
    assert_eq!(worker.next().message.header("req-id"), Some("id-1"));
}
