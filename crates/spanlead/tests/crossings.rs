//! Moments in which two events cross: each test forces the bad order, by events. `docs/design/crossings.md` lists them all.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{Call, Scheduler, Server};
use std::time::{Duration, Instant};

/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);

fn list(seq: u64, rows: &str) -> String {
    format!(r#"{{"seq":{seq},"whole":false,"hosts":[{rows}]}}"#)
}

/// A scheduler that knows one worker, `s-a`, and has a watch at discovery.
fn with_worker() -> (Scheduler, Server, Server) {
    let (discovery, worker) = (Server::start(), Server::start());
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &[]);
    discovery.next().reply("200 OK", "", &list(42, ""));
    (scheduler, worker, discovery)
}

fn take(call: Call) {
    call.reply("202 Accepted", "", "");
}

// Guards against sends to what drains: a watch that falls silent in the moment of a change was given up after 6 s, by when the change
// counts as told, and only then came the back-off and another call. What the new call may take, 1 s, must fit in as well.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_before_its_news_counts_as_told() {
    let (_scheduler, _worker, discovery) = with_worker();
    let silent = discovery.next();
    let since = Instant::now();
    assert_eq!(discovery.next().message.start, "GET /v1/servers?index=42&wait=0 HTTP/1.1");
    assert!(
        since.elapsed() + Duration::from_secs(1) < TOLD - Duration::from_millis(500),
        "{:?}",
        since.elapsed()
    );
    drop(silent);
}

// Guards against the same after many failed calls: the back-off alone grew to 6 s.
#[test]
fn a_discovery_that_is_back_is_heard_before_its_news_counts_as_told() {
    let (scheduler, worker, discovery) = with_worker();
    let other = Server::start();
    discovery.next().reply("503 Service Unavailable", "", "");
    for _ in 0..6 {
        discovery.next().reply("503 Service Unavailable", "", "");
    }
    // From here on discovery can be reached, and has a change.
    let back = Instant::now();
    let call = discovery.next();
    assert!(back.elapsed() < TOLD / 2, "asked only after {:?}", back.elapsed());
    call.reply(
        "200 OK",
        "",
        &list(43, &[worker.entry("s-a", "leaving"), other.entry("s-b", "active")].join(",")),
    );
    discovery.next();
    let mut client = scheduler.client();
    client.job("status-check", "id-1", 10_000);
    take(other.next());
    assert!(worker.unasked());
}
