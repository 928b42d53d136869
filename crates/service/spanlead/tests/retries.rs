//! Retries: a job that never ran goes to another worker, one that may have run does not.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{Scheduler, Server, nobody, take, with_worker};
use insta::assert_snapshot;
use std::time::{Duration, Instant};

// Guards the repeat of what surely never ran, whatever the class: refused connections, declined and
// returned jobs.
#[test]
fn a_job_that_never_ran_is_retried_elsewhere() {
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

// Guards workers against blame for a client's fault: a request that one turns away as unusable was
// tried at the next one, and the next, each of them then set aside for seconds. Every job here
// would then wait or be refused.
#[test]
fn an_unprocessable_request_is_not_retried() {
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
fn a_job_that_may_have_run_is_not_retried() {
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

// Guards against a job that a worker took without a word: it was waited for until the client gave
// up. What the worker tells of it, though, shows that it has it.
#[test]
fn an_unanswered_dispatch_is_retried_elsewhere() {
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
