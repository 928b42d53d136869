//! The wire's messages as they are read.
//!
//! Unknown fields are skipped, absent ones get their documented meaning. Times are nanoseconds of
//! the simulator's clock. Where a name in the code differs from the wire's, the wire's stands in
//! `rename`; containers keep the names that they have in messages of the reader.

use serde::Deserialize;
use spanlead_deployment_settings::{DeploymentOptions, ReportedFigures};
use std::borrow::Cow;
use std::fmt;

/// The number of a dispatcher in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(transparent)]
pub(crate) struct InstanceId(u32);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One line: events that happen at the same time.
#[derive(Deserialize)]
pub(crate) struct Batch<'a> {
    #[serde(rename = "simTime")]
    pub(crate) now: u64,
    #[serde(rename = "batch")]
    pub(crate) number: u64,
    #[serde(borrow, rename = "input")]
    pub(crate) events: Vec<Event<'a>>,
}

/// What happens to one of the dispatchers.
#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Event<'a> {
    /// Starts a dispatcher.
    Configure {
        #[serde(rename = "who")]
        instance: InstanceId,
        #[serde(rename = "salt")]
        seed: u64,
        options: Box<DeploymentOptions>,
    },
    /// Service discovery sent an update.
    #[serde(borrow)]
    Announce(Announce<'a>),
    /// A request arrived.
    Call(Call),
    /// A streamed answer has begun.
    Streaming(Streaming),
    /// An attempt ended.
    #[serde(borrow)]
    Ended(Ended<'a>),
    /// The client left.
    Gone(Gone),
    /// A timer fired.
    Ring(Ring),
    /// A load probe ended.
    #[serde(borrow)]
    HealthResult(HealthResult<'a>),
    /// A peer's message.
    #[serde(borrow)]
    Mail(Mail<'a>),
    /// Ends a dispatcher.
    Shutdown(Shutdown),
    /// A worker reported the progress of an attempt.
    Notice(Notice),
}

/// Ends a dispatcher.
#[derive(Deserialize)]
pub(crate) struct Shutdown {
    #[serde(rename = "who")]
    pub(crate) instance: InstanceId,
}

/// An update of the endpoint list.
#[derive(Deserialize)]
pub(crate) struct Announce<'a> {
    #[serde(rename = "who")]
    pub(crate) instance: InstanceId,
    pub(crate) scope: UpdateScope,
    #[serde(borrow, default, rename = "rowsIn")]
    pub(crate) rows: Option<Vec<Row<'a>>>,
}

/// What an update of the endpoint list covers.
#[derive(Deserialize)]
#[serde(expecting = "enum ListScope", rename_all = "lowercase")]
pub(crate) enum UpdateScope {
    Update,
    Replace,
    Restored,
    Unavailable,
}

/// An entry of the endpoint list.
#[derive(Deserialize)]
pub(crate) struct Row<'a> {
    #[serde(rename = "readyAt")]
    pub(crate) ready_at: Option<u64>,
    #[serde(rename = "familyType")]
    pub(crate) machine_kind: Option<u32>,
    #[serde(borrow)]
    pub(crate) worker: Cow<'a, str>,
    #[serde(rename = "scale")]
    pub(crate) weight: Option<f64>,
    pub(crate) readiness: Readiness,
    #[serde(rename = "az")]
    pub(crate) zone: Option<u32>,
    pub(crate) cell: Option<u32>,
}

/// The state of a worker in the endpoint list.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Readiness {
    Healthy,
    Cordoned,
    Deregistered,
}

/// A request.
#[derive(Deserialize)]
pub(crate) struct Call {
    #[serde(rename = "who")]
    pub(crate) instance: InstanceId,
    #[serde(rename = "msgId")]
    pub(crate) request: u64,
    pub(crate) slots: Option<f64>,
    #[serde(rename = "mem")]
    pub(crate) memory: Option<f64>,
    #[serde(rename = "team")]
    pub(crate) tenant: Option<u32>,
    #[serde(rename = "type")]
    pub(crate) class: u32,
    #[serde(rename = "item")]
    pub(crate) affinity_key: Option<u64>,
    #[serde(rename = "estimate")]
    pub(crate) expected_work: Option<u64>,
    #[serde(rename = "timeLeft")]
    pub(crate) time_left: u64,
}

/// The beginning of a streamed answer.
#[derive(Deserialize)]
pub(crate) struct Streaming {
    #[serde(rename = "who")]
    pub(crate) instance: InstanceId,
    #[serde(rename = "msgId")]
    pub(crate) request: u64,
    #[serde(rename = "roundNo")]
    pub(crate) attempt: u32,
}

/// The end of an attempt.
#[derive(Deserialize)]
pub(crate) struct Ended<'a> {
    #[serde(rename = "who")]
    pub(crate) instance: InstanceId,
    #[serde(rename = "msgId")]
    pub(crate) request: u64,
    #[serde(borrow, rename = "how")]
    pub(crate) outcome: Cow<'a, str>,
    #[serde(rename = "roundNo")]
    pub(crate) attempt: u32,
    #[serde(default, rename = "noMore")]
    pub(crate) closed: Option<bool>,
    #[serde(default, rename = "lag")]
    pub(crate) elapsed: Option<u64>,
    #[serde(default, rename = "telemetry")]
    pub(crate) figures: Option<ReportedFigures>,
}

/// A client that left.
#[derive(Deserialize)]
pub(crate) struct Gone {
    #[serde(rename = "who")]
    pub(crate) instance: InstanceId,
    #[serde(rename = "msgId")]
    pub(crate) request: u64,
}

/// A timer that fired.
#[derive(Deserialize)]
pub(crate) struct Ring {
    #[serde(rename = "who")]
    pub(crate) instance: InstanceId,
    #[serde(rename = "ref")]
    pub(crate) token: u64,
}

/// The end of a load probe.
#[derive(Deserialize)]
pub(crate) struct HealthResult<'a> {
    #[serde(rename = "who")]
    pub(crate) instance: InstanceId,
    #[serde(borrow, rename = "how")]
    pub(crate) outcome: Cow<'a, str>,
    #[serde(rename = "lag")]
    pub(crate) elapsed: Option<u64>,
    #[serde(borrow)]
    pub(crate) worker: Cow<'a, str>,
    #[serde(default, rename = "telemetry")]
    pub(crate) figures: Option<ReportedFigures>,
}

/// A peer's message, in hexadecimal digits.
#[derive(Deserialize)]
pub(crate) struct Mail<'a> {
    #[serde(rename = "who")]
    pub(crate) instance: InstanceId,
    #[serde(rename = "neighbour")]
    pub(crate) sender: u32,
    #[serde(borrow)]
    pub(crate) data: Cow<'a, str>,
}

/// The progress of an attempt.
#[derive(Deserialize)]
pub(crate) struct Notice {
    #[serde(rename = "who")]
    pub(crate) instance: InstanceId,
    #[serde(rename = "msgId")]
    pub(crate) request: u64,
    #[serde(rename = "roundNo")]
    pub(crate) attempt: u32,
    /// The kind of the notice.
    pub(crate) what: u32,
    /// The completed fraction, if the notice reports one.
    pub(crate) level: Option<f64>,
}
