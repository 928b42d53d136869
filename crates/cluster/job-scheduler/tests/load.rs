//! A scheduler with more to do than it can.
mod desk;
use desk::{BOUNDS, Desk, ONE, starts};
use spanlead_job_scheduler::*;

/// While calls are at their bound, the next look begins with the first worker that found no room.
#[test]
fn workers_are_asked_in_turn_while_calls_are_at_their_bound() {
    const WORKERS: usize = 200;
    let mut desk = Desk::unanswered(WORKERS, SchedulerConfig { max_concurrent_calls: 100, ..BOUNDS });
    let mut asked: std::collections::BTreeSet<String> = Default::default();
    for _ in 0..4 {
        // Those that turn the hold away are due again by the next round.
        for call in desk.pass(400) {
            asked.insert(call.worker_id.to_string());
            desk.answer(&call, WorkerResponse::Rejected { status: 503, reason: "".into() });
        }
    }
    assert_eq!(asked.len(), WORKERS);
}

/// Starts on their way are bounded; what waits does so where its order counts.
#[test]
fn starts_on_their_way_are_bounded() {
    const MOST: usize = 160;
    let mut desk = Desk::new(600);
    desk.submit(1, &ONE.replace("\"count\":1", "\"count\":500"));
    let mut out: Vec<WorkerCall> = Vec::new();
    for _ in 0..20 {
        out.extend(starts(&desk.pass(20)).into_iter().cloned());
        assert!(out.len() <= MOST, "{} at once", out.len());
    }
    assert_eq!(out.len(), MOST);
    for start in out.split_off(MOST / 2) {
        desk.answer(&start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    }
    let more = starts(&desk.pass(20)).len();
    assert_eq!(more, MOST / 2);
}

/// What waits behind many gangs that have no room is placed all the same.
#[test]
fn what_has_room_is_placed_behind_much_that_has_none() {
    let mut desk = Desk::new(3);
    let taken = ONE.replace("\"count\":1", "\"count\":2").replace("600", "900");
    desk.submit(1, &taken);
    for start in starts(&desk.write(true)) {
        desk.answer(start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    }
    let gang = ONE.replace("\"count\":1", "\"count\":2,\"gang\":true");
    for id in 2..602 {
        desk.submit(id, &gang);
    }
    desk.submit(1_000, ONE);
    let begun_at = desk.now;
    while starts(&desk.pass(20)).is_empty() {
        assert!(desk.now < begun_at + 1_000, "it waits behind what has no room");
    }
}

/// A scheduler that is behind begins less at a time, and more again once it keeps up.
#[test]
fn a_scheduler_that_is_behind_begins_less() {
    const LATE_MS: u64 = 200;
    let mut desk = Desk::new(600);
    for _ in 0..10 {
        desk.scheduler.record_tick_lateness(LATE_MS);
    }
    desk.submit(1, &ONE.replace("\"count\":1", "\"count\":500"));
    let calls = desk.write(true);
    let busy = starts(&calls).len();
    assert!((1..=8).contains(&busy), "{busy} while behind");
    for start in starts(&calls) {
        desk.answer(start, WorkerResponse::Acknowledged { clock_ms: desk.now - 900_000 });
    }
    for _ in 0..10 {
        desk.scheduler.record_tick_lateness(0);
    }
    let calls = desk.pass(20);
    assert!(starts(&calls).len() > 100, "{} once it keeps up", starts(&calls).len());
}
