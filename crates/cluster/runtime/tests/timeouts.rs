//! Time-outs that share one timer: whatever their order, they expire neither early nor much too
//! late.
use async_std::channel::unbounded;
use async_std::task;
use spanlead_cluster_runtime::timeout::{TimedOut, timeout};
use std::future::{pending, ready};
use std::time::{Duration, Instant};

/// Maximum lateness of a time-out on a busy test machine.
const MAX_LATENESS: Duration = Duration::from_millis(2_000);

#[async_std::test]
async fn a_ready_future_does_not_time_out() {
    assert_eq!(timeout(Duration::ZERO, ready(5)).await, Ok(5));
}

#[async_std::test]
async fn a_pending_future_times_out_no_earlier_than_its_deadline() {
    let started_at = Instant::now();
    let outcome: Result<(), TimedOut> = timeout(Duration::from_millis(30), pending()).await;
    assert_eq!(outcome, Err(TimedOut));
    assert!(started_at.elapsed() >= Duration::from_millis(30), "after {:?}", started_at.elapsed());
}

#[async_std::test]
async fn a_deadline_before_all_registered_ones_expires_on_time() {
    let long = task::spawn(timeout(Duration::from_secs(60), pending::<()>()));
    // Several rounds, so that the timer task sleeps until the long deadline in the later ones.
    let short = Duration::from_millis(20);
    for _ in 0..5 {
        let started_at = Instant::now();
        assert_eq!(timeout(short, pending::<()>()).await, Err(TimedOut));
        assert!(
            started_at.elapsed() >= short && started_at.elapsed() < MAX_LATENESS,
            "after {:?}",
            started_at.elapsed()
        );
    }
    long.cancel().await;
}

#[async_std::test]
async fn deadlines_registered_in_any_order_expire_on_time() {
    let (done, results) = unbounded();
    for number in 0..200u64 {
        let after = Duration::from_millis(number * 37 % 101);
        let done = done.clone();
        task::spawn(async move {
            let started_at = Instant::now();
            let outcome = timeout(after, pending::<()>()).await;
            let _ = done.send((outcome, after, started_at.elapsed())).await;
        });
    }
    for _ in 0..200 {
        let (outcome, after, elapsed) = results.recv().await.expect("a result");
        assert_eq!(outcome, Err(TimedOut));
        assert!(elapsed >= after && elapsed < after + MAX_LATENESS, "{after:?} expired after {elapsed:?}");
    }
}

#[async_std::test]
async fn a_future_that_moves_to_another_task_still_times_out() {
    let mut waiting = Box::pin(timeout(Duration::from_millis(40), pending::<()>()));
    // First polled by this task, then by another one, whose waker is the one to wake.
    assert!(futures_lite::future::poll_once(&mut waiting).await.is_none());
    assert_eq!(task::spawn(waiting).await, Err(TimedOut));
}
