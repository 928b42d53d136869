//! The graceful shutdown of a data plane.
//!
//! Clients may go on sending requests over open connections until the process is gone. So the
//! process does not wait for silence alone: near the end of the grace period it refuses further
//! requests, and it ends once all that it accepted are answered.
use crate::client_api::ClientApi;
use async_std::task;
use std::time::{Duration, Instant};

/// The minimum time for which a process that shuts down still accepts requests, so that the
/// platform can observe that it is no longer ready.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// The time before the end of the platform's grace period from which on requests are refused.
const REFUSAL_MARGIN: Duration = Duration::from_millis(1_000);
/// The time before the end of the grace period by which requests that arrived during the shutdown
/// are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// The time before the end of the grace period at which the process stops waiting for answers.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// The time that the last responses are given to be written.
const RESPONSE_WRITE_TIME: Duration = Duration::from_millis(100);
/// Time without a new request after which a draining process ends, milliseconds.
const IDLE_BEFORE_EXIT_MS: u64 = 500;
/// Interval between checks whether the drain is complete.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until the platform has routed clients to other processes and all requests are answered,
/// but not beyond the grace period, which begins now.
pub async fn drain(api: &ClientApi, grace: Duration) {
    let requested_at = Instant::now();
    api.limit_answer_time(grace.saturating_sub(ANSWER_MARGIN));
    let refuse_after = grace.saturating_sub(REFUSAL_MARGIN);
    task::sleep(MIN_DRAIN_TIME.min(refuse_after)).await;
    while !api.is_idle(IDLE_BEFORE_EXIT_MS) && requested_at.elapsed() < refuse_after {
        task::sleep(POLL_INTERVAL).await;
    }
    api.refuse_requests();
    let exit_after = grace.saturating_sub(EXIT_MARGIN);
    while api.has_open_requests() && requested_at.elapsed() < exit_after {
        task::sleep(POLL_INTERVAL).await;
    }
    task::sleep(RESPONSE_WRITE_TIME).await;
}
