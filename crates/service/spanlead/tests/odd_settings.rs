//! Settings and reports at the edge of what a deployment can mean: the program serves by what they
//! say.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;
use harness::{Client, Scheduler, Server};
use std::time::{Duration, Instant};

/// Load by probes with free slots and memory.
const BY_PROBES: [(&str, &str); 2] = [
    (r#""cancel":true"#, r#""cancel":true,"probes":true"#),
    (
        r#""round":"#,
        r#""report":{"via":"probe"},"familyInfo":{"reportX0":"free slots","reportX1":"free memory"},"prices":{"probe":0.002},"round":"#,
    ),
];

fn memory_job(client: &mut Client, id: &str, memory: &str) {
    let headers = format!(
        "Req-Id: {id}\r\nReq-Owner: norrtrim\r\nReq-Deadline-Ms: 7000\r\nReq-Extra: memory={memory}\r\n"
    );
    client.post("/status-check/x", &headers, "payload");
}

// A report that lacks a field leaves that open, one with a field more is read for the rest, and one
// that can't be read says nothing: jobs go out on what is known.
#[test]
fn reports_may_lack_fields_or_have_more() {
    for report in ["TEXT x0=2", "TEXT x0=2, x1=2, queue=0, eps=0, novel=7", r#"{"x0":2,"unheard":{"of":1}}"#]
    {
        let (discovery, worker) = (Server::start(), Server::start());
        let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &BY_PROBES);
        let mut client = scheduler.client();
        client.job("status-check", "id-1", 7000);
        let probe = worker.next();
        assert_eq!(probe.message.start, "GET /load HTTP/1.1", "{report}");
        probe.reply("200 OK", "", report);
        assert_eq!(worker.next().message.header("req-id"), Some("id-1"), "{report}");
    }
}

// Where probes are barred nothing is asked of workers but jobs, whatever is said of reports.
#[test]
fn barred_probes_are_not_sent() {
    let (discovery, worker) = (Server::start(), Server::start());
    let edits =
        [(r#""round":"#, r#""report":{"via":"probe"},"familyInfo":{"reportX0":"free slots"},"round":"#)];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &edits);
    let mut client = scheduler.client();
    for id in ["id-1", "id-2", "id-3"] {
        client.job("status-check", id, 7000);
        let call = worker.next();
        assert_eq!(call.message.header("req-id"), Some(id));
        call.reply("202 Accepted", "", "");
        scheduler.client().notice(id, "s-a", r#""state":"done","result":"r""#);
        client.answer();
    }
}

// A drain grace of 0 means at once: what comes after the news goes elsewhere.
#[test]
fn no_drain_grace_means_at_once() {
    let (discovery, worker, other) = (Server::start(), Server::start(), Server::start());
    let edits = [(r#""drainGrace":750000000"#, r#""drainGrace":0"#)];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &edits);
    let news = [worker.entry("s-a", "leaving"), other.entry("s-b", "active")].join(",");
    discovery.next().reply("200 OK", "", &format!(r#"{{"seq":43,"whole":false,"hosts":[{news}]}}"#));
    // The next call shows that the news was read.
    assert_eq!(discovery.next().message.start, "GET /v1/servers?index=43&wait=4000 HTTP/1.1");
    let mut client = scheduler.client();
    for id in ["id-1", "id-2", "id-3", "id-4"] {
        client.job("status-check", id, 7000);
        let call = other.next();
        assert_eq!(call.message.header("req-id"), Some(id));
        call.reply("202 Accepted", "", "");
        scheduler.client().notice(id, "s-b", r#""state":"done","result":"r""#);
        client.answer();
    }
    assert!(worker.unasked());
}

// A zone that no worker stands in, and prices of nothing: jobs go where there are workers.
#[test]
fn an_empty_zone_and_prices_of_nothing_do_no_harm() {
    let (discovery, worker) = (Server::start(), Server::start());
    let edits = [
        (r#""azs":["solna","kista"]"#, r#""azs":["nowhere","solna","kista"]"#),
        (
            r#""round":"#,
            r#""prices":{"handshake":0,"probe":0,"crossZone":0,"waste":0,"connection":0,"peer":0,"lateFail":0,"origin":0},"round":"#,
        ),
    ];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &edits);
    let mut client = scheduler.client();
    client.job("status-check", "id-1", 7000);
    assert_eq!(worker.next().message.header("req-id"), Some("id-1"));
}

// A job that no worker has the memory for is refused at once, not held until its time is up, and
// not sent to be turned away.
#[test]
fn a_need_that_no_worker_can_meet_is_answered_at_once() {
    let (discovery, worker) = (Server::start(), Server::start());
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &BY_PROBES);
    let mut client = scheduler.client();
    memory_job(&mut client, "id-1", "1.5");
    worker.next().reply("200 OK", "", "TEXT x0=2, x1=2");
    assert_eq!(worker.next().message.header("req-id"), Some("id-1"));
    let mut other = scheduler.client();
    let begun = Instant::now();
    memory_job(&mut other, "id-2", "64");
    let answer = other.answer();
    assert_eq!(answer.start, "HTTP/1.1 503 Service Unavailable");
    assert!(answer.header("retry-after").is_some());
    // It may be held for 300 ms, its class's aim, and more; the bound is far from that on both
    // sides.
    assert!(begun.elapsed() < Duration::from_millis(200), "held for {:?}", begun.elapsed());
    assert!(worker.unasked());
}
