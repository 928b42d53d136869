//! Reads the wire's values as the balancing policy takes them.

use crate::error::{BatchError, BatchNumber, BatchProblem, EventName};
use crate::wire;
use serde::Deserialize;
use spanlead_balancing_policy::{
    AttemptProgress, Endpoint, EndpointUpdate, Outcome, Request, RequestId, WorkerState,
};

/// What a notice reports: an attempt's start.
const NOTICE_STARTED: u32 = 1;

/// What a notice reports: the completed fraction of an attempt.
const NOTICE_COMPLETED: u32 = 2;

/// Reads a line of events.
pub(crate) fn batch(line: &[u8]) -> Result<wire::Batch<'_>, BatchError> {
    serde_json::from_slice(line).map_err(|error| explain(line, error))
}

/// Reads the line once more, slower, to say which batch and which field is wrong.
fn explain(line: &[u8], error: serde_json::Error) -> BatchError {
    #[derive(Deserialize)]
    struct Number {
        batch: Option<u64>,
    }
    let number = serde_json::from_slice::<Number>(line).ok().and_then(|number| number.batch);
    let mut reader = serde_json::Deserializer::from_slice(line);
    let problem = match serde_path_to_error::deserialize::<_, wire::Batch<'_>>(&mut reader) {
        Err(error) => {
            let path = error.path().to_string();
            BatchProblem::UnreadableField { path, error: error.into_inner() }
        }
        Ok(_) => BatchProblem::Malformed(error),
    };
    BatchError { batch: BatchNumber(number), problem }
}

/// An entry of the endpoint list.
pub(crate) fn endpoint<'a>(row: &'a wire::Row<'_>) -> Endpoint<'a> {
    Endpoint {
        worker: &row.worker,
        state: match row.readiness {
            wire::Readiness::Healthy => WorkerState::Ready,
            wire::Readiness::Cordoned => WorkerState::Draining,
            wire::Readiness::Deregistered => WorkerState::Removed,
        },
        started_at: row.ready_at.filter(|time| *time > 0),
        machine_kind: row.machine_kind.unwrap_or(0),
        zone: row.zone.unwrap_or(0),
        cell: row.cell.unwrap_or(0),
        weight: row.weight.unwrap_or(1.0),
    }
}

/// What an update of the endpoint list covers.
pub(crate) fn endpoint_update(scope: &wire::UpdateScope) -> EndpointUpdate {
    match scope {
        wire::UpdateScope::Update => EndpointUpdate::Delta,
        wire::UpdateScope::Replace => EndpointUpdate::Snapshot,
        wire::UpdateScope::Restored => EndpointUpdate::CachedSnapshot,
        wire::UpdateScope::Unavailable => EndpointUpdate::Unavailable,
    }
}

/// A request.
pub(crate) fn request(call: &wire::Call) -> Request {
    Request {
        id: RequestId(call.request),
        class: call.class,
        slots: call.slots.unwrap_or(1.0),
        memory: call.memory.unwrap_or(0.0),
        tenant: call.tenant.unwrap_or(0),
        affinity_key: call.affinity_key,
        expected_work: call.expected_work,
        time_left: call.time_left,
    }
}

/// How an attempt or a probe ended; `event` is named if the text has no meaning.
pub(crate) fn outcome(event: EventName, text: &str) -> Result<Outcome, BatchProblem> {
    Ok(match text {
        "Ok" => Outcome::Ok,
        "Failed" => Outcome::Error,
        "QueueFull" => Outcome::Rejected,
        "TimedOut" => Outcome::Timeout,
        "ConnectError" => Outcome::ConnectFailed,
        "ResetByPeer" => Outcome::Reset,
        "Canceled" => Outcome::Cancelled,
        "Ignored" => Outcome::NotSent,
        other => return Err(BatchProblem::UnknownOutcome { event, outcome: other.to_owned() }),
    })
}

/// What a notice reports; `None` if this adapter does not know it.
pub(crate) fn progress(notice: &wire::Notice) -> Option<AttemptProgress> {
    match notice.what {
        NOTICE_STARTED => Some(AttemptProgress::Started),
        NOTICE_COMPLETED => Some(AttemptProgress::Completed(notice.level.unwrap_or(0.0))),
        _ => None,
    }
}

/// The bytes of a peer's message.
pub(crate) fn peer_message(hex: &str) -> Result<Vec<u8>, BatchProblem> {
    let pairs = hex.as_bytes().chunks(2);
    let bytes: Option<Vec<u8>> = pairs.map(hex_byte).collect();
    bytes.ok_or(BatchProblem::MalformedPeerMessage)
}

fn hex_byte(pair: &[u8]) -> Option<u8> {
    let [high, low] = *pair else { return None };
    Some(hex_digit(high)? << 4 | hex_digit(low)?)
}

fn hex_digit(character: u8) -> Option<u8> {
    char::from(character).to_digit(16).map(|digit| digit as u8)
}
