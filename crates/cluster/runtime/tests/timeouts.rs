//! Time-outs that share one timer: they expire in time, and not early, however they are mixed.
use async_std::channel::unbounded;
use async_std::task;
use spanlead_cluster_runtime::timeout::{TimedOut, timeout};
use std::future::{pending, ready};
use std::time::{Duration, Instant};

/// How late a time-out may expire on a busy machine that runs tests.
const MAX_LATENESS: Duration = Duration::from_millis(2_000);

#[async_std::test]
async fn a_ready_future_does_not_time_out() {
    assert_eq!(timeout(Duration::ZERO, ready(5)).await, Ok(5));
}

#[async_std::test]
async fn a_pending_future_times_out_and_not_early() {
    let began = Instant::now();
    let outcome: Result<(), TimedOut> = timeout(Duration::from_millis(30), pending()).await;
    assert_eq!(outcome, Err(TimedOut));
    assert!(began.elapsed() >= Duration::from_millis(30), "after {:?}", began.elapsed());
}

#[async_std::test]
async fn a_deadline_before_all_others_interrupts_the_sleep() {
    let long = task::spawn(timeout(Duration::from_secs(60), pending::<()>()));
    // Long enough for the sleeper to have taken the long deadline in.
    let short = Duration::from_millis(20);
    for _ in 0..5 {
        let began = Instant::now();
        assert_eq!(timeout(short, pending::<()>()).await, Err(TimedOut));
        assert!(began.elapsed() >= short && began.elapsed() < MAX_LATENESS, "after {:?}", began.elapsed());
    }
    long.cancel().await;
}

#[async_std::test]
async fn deadlines_of_any_order_all_expire_at_theirs() {
    let (done, results) = unbounded();
    for number in 0..200u64 {
        let after = Duration::from_millis(number * 37 % 101);
        let done = done.clone();
        task::spawn(async move {
            let began = Instant::now();
            let outcome = timeout(after, pending::<()>()).await;
            let _ = done.send((outcome, after, began.elapsed())).await;
        });
    }
    for _ in 0..200 {
        let (outcome, after, elapsed) = results.recv().await.expect("a result");
        assert_eq!(outcome, Err(TimedOut));
        assert!(elapsed >= after && elapsed < after + MAX_LATENESS, "{after:?} expired after {elapsed:?}");
    }
}

#[async_std::test]
async fn a_future_that_is_polled_by_several_wakers_still_times_out() {
    let mut waiting = Box::pin(timeout(Duration::from_millis(40), pending::<()>()));
    // Polled by this task first, then by another, whose waker must be the one that is woken.
    assert!(futures_lite::future::poll_once(&mut waiting).await.is_none());
    assert_eq!(task::spawn(waiting).await, Err(TimedOut));
}
