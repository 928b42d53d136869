//! The operators' calls.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{Scheduler, Server, take, with_worker};
use insta::assert_snapshot;
use std::time::{Duration, Instant};

/// A good head, but for what says how long the body is.
fn head(id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /status-check/x HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nReq-Owner: norrtrim\r\nReq-Deadline-Ms: {deadline_ms}\r\n"
    )
}

// Guards against readiness that is not: without a worker no request could be served.
#[test]
fn a_scheduler_without_workers_is_not_ready() {
    let discovery = Server::start();
    let scheduler = Scheduler::start(discovery.addr, &[], &[]);
    assert_eq!(scheduler.health(), "HTTP/1.1 503 Service Unavailable");
}

// Guards the operators' door against callers who say nothing or the wrong thing: they keep nobody
// waiting.
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

// Guards the figures: each job is counted once, where it ended, also one that was turned away
// before it was taken; an attempt once it was written whole; a worker that drains is listed and
// unavailable, one that has left is neither.
#[test]
fn the_stats_count_each_job_where_it_ended() {
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

// Guards the way clients are sent away and taken back: the front is told at once, jobs still come
// in and are served, idle connections close, and nothing ends the process.
#[test]
fn draining_redirects_clients_until_it_stops() {
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
