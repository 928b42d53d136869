//! The outcome that a data plane reports to a client when the primary does not respond, rejects the
//! request or is replaced.
mod common;

use async_std::task;
use common::{Endpoints, Primary, Script, ScriptedResponse};
use spanlead_cluster_runtime::clock::Clock;
use spanlead_cluster_runtime::frame::ClientOperation;
use spanlead_data_plane::control_plane_client::{ControlPlaneClient, RequestOutcome};
use spanlead_data_plane::outcome_counts::{OutcomeCounts, UnknownCause};
use spanlead_job_scheduler::JobSpec;
use std::time::Duration;

/// The time until a request's deadline, milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// The outcome of a request, and the attempts that it took.
#[derive(Debug, PartialEq)]
struct RequestResult {
    outcome: RequestOutcome,
    /// The number of attempts that the primary received.
    attempts: usize,
}

/// Asserts that an unknown outcome is counted once, under the cause that applies to the scripts
/// here, and that no other outcome is counted.
fn assert_unknown_outcomes_counted(counts: &OutcomeCounts, outcome: &RequestOutcome, attempts: usize) {
    let is_unknown = *outcome == RequestOutcome::Unknown;
    // Scripts with an unknown outcome respond to the second attempt or to none.
    let (rejected, unanswered) =
        if attempts == 2 { (u64::from(is_unknown), 0) } else { (0, u64::from(is_unknown)) };
    assert_eq!(counts.count(UnknownCause::RefusedAfterUnanswered), rejected);
    assert_eq!(counts.count(UnknownCause::NoResponse), unanswered);
}

/// Submits a job through a data plane to a scripted primary. Both use loopback addresses that end
/// with this octet.
async fn submit(octet: u8, script: Script) -> RequestResult {
    let spec = JobSpec::from_json(br#"{"spec":"x","stages":[{"count":1,"cpu":1}]}"#).expect("a valid job");
    send(octet, script, ClientOperation::Submit(spec)).await
}

/// Sends a request as [`submit`] does, with a deadline in [`REQUEST_TIMEOUT_MS`].
async fn send(octet: u8, script: Script, operation: ClientOperation) -> RequestResult {
    let endpoints = Endpoints::new(octet);
    let primary = Primary::default();
    primary.serve(endpoints.primary_address(), script);
    let clock = Clock::start();
    let control_plane = ControlPlaneClient::start(&endpoints.settings(), clock);
    let mut outcome = RequestOutcome::NoEffect;
    // Until the primary is connected a request reaches no node and has no effect.
    while primary.request_count() == 0 {
        task::sleep(Duration::from_millis(20)).await;
        let deadline_ms = clock.monotonic_ms() + REQUEST_TIMEOUT_MS;
        outcome = control_plane.request("h", "/p/00000000000000aa", &operation, deadline_ms).await;
    }
    let attempts = primary.request_count();
    assert_unknown_outcomes_counted(&control_plane.outcome_counts(), &outcome, attempts);
    RequestResult { outcome, attempts }
}

#[async_std::test]
async fn rejection_of_the_first_attempt_is_forwarded() {
    let result = submit(1, |_| ScriptedResponse::Status(429)).await;
    assert_eq!(result, RequestResult { outcome: responded(429), attempts: 1 });
}

/// A primary that was then replaced may have accepted the first attempt, so a rejection of the
/// second does not prove that the job never runs.
#[async_std::test]
async fn rejection_after_an_unanswered_attempt_makes_the_outcome_unknown() {
    for (octet, script) in
        [(2, no_response_then_429 as Script), (3, no_response_then_404), (4, no_response_then_503)]
    {
        let result = submit(octet, script).await;
        assert_eq!(result, RequestResult { outcome: RequestOutcome::Unknown, attempts: 2 });
    }
}

fn no_response_then_429(before: usize) -> ScriptedResponse {
    if before > 0 { ScriptedResponse::Status(429) } else { ScriptedResponse::NoResponse }
}

fn no_response_then_404(before: usize) -> ScriptedResponse {
    if before > 0 { ScriptedResponse::Status(404) } else { ScriptedResponse::NoResponse }
}

fn no_response_then_503(before: usize) -> ScriptedResponse {
    if before > 0 { ScriptedResponse::Status(503) } else { ScriptedResponse::NoResponse }
}

#[async_std::test]
async fn job_accepted_after_an_unanswered_attempt_is_reported_as_accepted() {
    let no_response_then_200 =
        |before| if before > 0 { ScriptedResponse::Status(200) } else { ScriptedResponse::NoResponse };
    let result = submit(5, no_response_then_200).await;
    assert_eq!(result, RequestResult { outcome: responded(200), attempts: 2 });
}

/// The first node was not primary and did not execute the request, so the rejection by the next one
/// is conclusive.
#[async_std::test]
async fn rejection_after_an_attempt_that_was_not_executed_is_forwarded() {
    let not_taken_then_429 =
        |before| if before > 0 { ScriptedResponse::Status(429) } else { ScriptedResponse::NotTaken };
    let result = submit(6, not_taken_then_429).await;
    assert_eq!(result, RequestResult { outcome: responded(429), attempts: 2 });
}

/// A node that stopped being primary may have committed the request all the same.
#[async_std::test]
async fn rejection_after_an_abandoned_attempt_makes_the_outcome_unknown() {
    let abandoned_then_429 =
        |before| if before > 0 { ScriptedResponse::Status(429) } else { ScriptedResponse::Abandoned };
    let result = submit(7, abandoned_then_429).await;
    assert_eq!(result, RequestResult { outcome: RequestOutcome::Unknown, attempts: 2 });
}

#[async_std::test]
async fn job_that_no_node_takes_is_retried_until_its_deadline_without_effect() {
    let result = submit(8, |_| ScriptedResponse::NotTaken).await;
    assert_eq!(result.outcome, RequestOutcome::NoEffect);
    assert!(
        result.attempts > 1,
        "expected more than one attempt before the deadline, found {}",
        result.attempts
    );
}

/// A query changes no state, so its client can repeat it safely.
#[async_std::test]
async fn unanswered_query_has_no_effect_and_unanswered_cancel_has_an_unknown_outcome() {
    let query = send(9, |_| ScriptedResponse::NoResponse, ClientOperation::Query).await;
    assert_eq!(query.outcome, RequestOutcome::NoEffect);
    let cancel = send(10, |_| ScriptedResponse::NoResponse, ClientOperation::Cancel).await;
    assert_eq!(cancel.outcome, RequestOutcome::Unknown);
}

fn responded(status: u16) -> RequestOutcome {
    RequestOutcome::Responded { status, body: String::new() }
}
