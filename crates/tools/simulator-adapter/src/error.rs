//! Why a batch is rejected.

use crate::wire::InstanceId;
use spanlead_balancing_policy::SettingsError;
use spanlead_deployment_settings::InvalidField;
use std::fmt;
use thiserror::Error;

/// A batch that the adapter cannot handle.
#[derive(Debug, Error)]
#[error("batch {batch}: {problem}")]
pub(crate) struct BatchError {
    pub(crate) batch: BatchNumber,
    pub(crate) problem: BatchProblem,
}

/// The number of a batch; `None` if the line does not even tell that.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchNumber(pub(crate) Option<u64>);

impl fmt::Display for BatchNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => write!(f, "{number}"),
            None => f.write_str("unknown"),
        }
    }
}

/// What is wrong with a batch.
#[derive(Debug, Error)]
pub(crate) enum BatchProblem {
    /// The line is not JSON.
    #[error("{0}")]
    Malformed(serde_json::Error),
    /// A field has no value that the adapter can read.
    #[error("field {path}: {error}")]
    UnreadableField { path: String, error: serde_json::Error },
    /// The settings object of an instance is wrong.
    #[error("CONFIGURE of {instance}: {error}")]
    InvalidOptions { instance: InstanceId, error: InvalidField },
    /// The balancing policy rejects the settings of an instance.
    #[error("CONFIGURE of {instance}: {error}")]
    InvalidSettings { instance: InstanceId, error: SettingsError },
    /// An event for an instance that does not exist.
    #[error("{event}: field who: instance {instance} was never configured")]
    UnknownInstance { event: EventName, instance: InstanceId },
    /// A request of a class that its instance does not have.
    #[error("CALL: type {class} is no class of instance {instance}")]
    UnknownClass { class: u32, instance: InstanceId },
    /// An outcome without meaning.
    #[error("{event}: unknown how `{outcome}`")]
    UnknownOutcome { event: EventName, outcome: String },
    /// A peer's message that is not hexadecimal.
    #[error("MAIL: data is not hex")]
    MalformedPeerMessage,
}

/// The name of an event in messages.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EventName {
    Announce,
    Ended,
    HealthResult,
    Mail,
    /// Any other event.
    Other,
}

impl fmt::Display for EventName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EventName::Announce => "ANNOUNCE",
            EventName::Ended => "ENDED",
            EventName::HealthResult => "HEALTH_RESULT",
            EventName::Mail => "MAIL",
            EventName::Other => "event",
        })
    }
}
