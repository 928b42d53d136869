//! The public types of the policy: its settings, the events that it handles and the actions that it
//! returns.

mod action;
mod endpoint;
mod event;
mod load_report;
mod request;
mod settings;
mod settings_error;
mod time;
mod validation;

pub use action::Action;
pub use endpoint::{Endpoint, EndpointUpdate, WorkerId, WorkerState};
pub use event::Event;
pub use load_report::{LoadReport, LoadReporting};
pub use request::{AttemptProgress, Outcome, PriorAttempt, Request, RequestId};
pub(crate) use settings::top_priority;
pub use settings::{
    DeduplicationScope, Idempotency, Limits, Prices, RequestClass, SafetyRules, Settings, Tenant,
};
pub use settings_error::{SettingsError, SettingsSection};
pub use time::Nanos;
pub(crate) use time::{MILLISECOND, NANOS_PER_SECOND, SECOND};
