//! The endpoint list: the watch, and agents that lists are pushed to.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{Scheduler, Server, take, with_worker};
use std::time::{Duration, Instant};

// Guards the watch: it starts from the known list, goes on from each answer, starts again when a
// call fails, and what it tells is heeded.
#[test]
fn the_watch_continues_and_its_changes_are_applied() {
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

// Guards lists that are pushed: the module asks for none there, and nobody listened to the agent
// that they are pushed to, so jobs went to draining workers and never to new ones. It is heard from
// the start, again after a call that failed, and an agent that answers every call at once is not
// asked without a pause.
#[test]
fn an_agent_with_pushed_lists_is_followed() {
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

// Guards against changes missed for good: a discovery that counts anew is asked for the whole list.
#[test]
fn a_discovery_with_a_lower_version_is_asked_for_the_full_list() {
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
