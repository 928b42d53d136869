//! The attempts of a job: the lease of the attempt in flight, and the attempts that have ended.
use crate::ids::FencingToken;
use serde::{Deserialize, Serialize};
use spanlead_balancing_policy::Nanos;
use std::net::SocketAddr;
use std::sync::Arc;

/// The identity and location of a worker when an attempt was sent to it. They are stored because
/// the endpoint list may no longer contain the worker when the log is replayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLocation {
    /// The worker's name.
    pub worker: Arc<str>,
    /// The address that the attempt was sent to.
    pub addr: SocketAddr,
    /// The name of the worker's zone.
    pub zone: Arc<str>,
    /// The number of the worker's cell.
    pub cell: u32,
}

/// The lease of the one attempt of a job that is in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The fencing token.
    pub token: FencingToken,
    /// The worker that holds the lease.
    #[serde(rename = "place")]
    pub location: WorkerLocation,
    /// When the attempt was sent.
    #[serde(rename = "sent")]
    pub sent_at: Nanos,
    /// The latest time, on this scheduler's clock, until which the worker may consider its lease
    /// valid.
    #[serde(rename = "until")]
    pub expires_at: Nanos,
    /// Whether the worker has acknowledged the job.
    #[serde(rename = "held")]
    pub acknowledged: bool,
    /// Whether the worker honours the lease, that is, stops the job when the lease expires.
    #[serde(rename = "aware")]
    pub lease_aware: bool,
}

impl Lease {
    /// Converts the lease into the record of its attempt, which has ended.
    pub(crate) fn into_past_attempt(self, may_have_run: bool) -> PastAttempt {
        PastAttempt { location: self.location, sent_at: self.sent_at, may_have_run, token: self.token }
    }
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastAttempt {
    /// The worker of the attempt.
    #[serde(rename = "place")]
    pub location: WorkerLocation,
    /// When the attempt was sent.
    #[serde(rename = "sent")]
    pub sent_at: Nanos,
    /// Whether the worker may have run the job.
    #[serde(rename = "ran")]
    pub may_have_run: bool,
    /// The fencing token of the attempt's lease.
    pub token: FencingToken,
}
