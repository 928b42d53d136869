//! Connections of clients at the limit of descriptors.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{take, with_worker};
use std::time::{Duration, Instant};

// Guards the descriptor limit: idle connections make room for new ones, for as many as come.
#[test]
fn idle_connections_are_evicted_at_the_limit() {
    let (scheduler, worker, _discovery) = with_worker();
    let _idle: Vec<_> = (0..100).map(|_| scheduler.client()).collect();
    let (mut client, mut notices) = (scheduler.client(), scheduler.client());
    client.job("status-check", "id-1", 10_000);
    take(worker.next());
    notices.notice("id-1", "s-a", r#""state":"done","result":"r""#);
    assert_eq!(client.answer().body, "r");
}

// Guards usual clients in a flood of connections that say nothing: those go first, though the
// client's has been idle longer, and each is given a while to speak.
#[test]
fn silent_connections_are_evicted_before_proven_ones() {
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
