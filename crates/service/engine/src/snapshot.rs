//! Snapshots of open requests that a process of the scheduler hands over to its successor.
//!
//! They are sent as JSON between processes of different versions, so the names on the wire must not
//! change; `serde(rename)` keeps them.
use serde::{Deserialize, Serialize};
use spanlead_balancing_policy::Nanos;
use std::sync::Arc;

/// The state of an open request that another process needs to continue it.
#[derive(Debug, Deserialize, Serialize)]
pub struct RequestSnapshot {
    /// The job's id, chosen by the client.
    pub id: Arc<str>,
    /// The time at which the client gives up.
    #[serde(rename = "due")]
    pub deadline: Nanos,
    /// The attempts made so far. Empty for a durable request, whose attempts are in the log.
    #[serde(rename = "tries")]
    pub attempts: Vec<AttemptSnapshot>,
    /// Whether the request and its attempts are in the log of durable jobs.
    #[serde(default)]
    pub durable: bool,
}

/// An attempt of a request that is handed over.
#[derive(Debug, Deserialize, Serialize)]
pub struct AttemptSnapshot {
    pub(crate) worker: Arc<str>,
    pub(crate) sent: Nanos,
    /// Whether the job may have run at the worker; `None` while the attempt is pending.
    #[serde(rename = "ran")]
    pub(crate) may_have_run: Option<bool>,
}
