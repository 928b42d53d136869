//! Open requests as one process of the scheduler hands them over to its successor.
//!
//! They travel as JSON between processes of different versions: the names on the wire are fixed by
//! `serde(rename)`.
use serde::{Deserialize, Serialize};
use spanlead_balancing_policy::Nanos;
use std::sync::Arc;

/// What another process must know of an open request to continue it.
#[derive(Debug, Deserialize, Serialize)]
pub struct RequestSnapshot {
    /// The request's id, as the client chose it.
    pub id: Arc<str>,
    /// When its client gives up.
    #[serde(rename = "due")]
    pub deadline: Nanos,
    /// The attempts so far. Empty for a durable request, whose attempts are in the log.
    #[serde(rename = "tries")]
    pub attempts: Vec<AttemptSnapshot>,
    /// The log of durable jobs holds the request and its attempts.
    #[serde(default)]
    pub durable: bool,
}

/// An attempt of a request that is handed over.
#[derive(Debug, Deserialize, Serialize)]
pub struct AttemptSnapshot {
    pub(crate) worker: Arc<str>,
    pub(crate) sent: Nanos,
    /// Whether it may have run, once it is over; `None` while it is pending.
    #[serde(rename = "ran")]
    pub(crate) may_have_run: Option<bool>,
}
