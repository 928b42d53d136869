//! Attempts of a job: the lease of the attempt in flight, and the attempts that are over.
use crate::ids::FencingToken;
use serde::{Deserialize, Serialize};
use spanlead_balancing_policy::Nanos;
use std::net::SocketAddr;
use std::sync::Arc;

/// A worker as it was when an attempt was sent to it. It is stored since the worker list may not
/// name it any more when the log is replayed.
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

/// A lease: the only attempt of a job that is in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The fencing token.
    pub token: FencingToken,
    /// The worker that the lease is granted to.
    #[serde(rename = "place")]
    pub location: WorkerLocation,
    /// When the attempt was sent.
    #[serde(rename = "sent")]
    pub sent_at: Nanos,
    /// The latest moment, by this scheduler's clock, until which the worker may believe that it has
    /// the lease.
    #[serde(rename = "until")]
    pub expires_at: Nanos,
    /// The worker has acknowledged the job.
    #[serde(rename = "held")]
    pub acknowledged: bool,
    /// The worker obeys the lease: it stops the job when the lease has expired.
    #[serde(rename = "aware")]
    pub lease_aware: bool,
}

impl Lease {
    /// The attempt of this lease, now that it is over.
    pub(crate) fn into_past_attempt(self, may_have_run: bool) -> PastAttempt {
        PastAttempt { location: self.location, sent_at: self.sent_at, may_have_run, token: self.token }
    }
}

/// An attempt that is over.
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
