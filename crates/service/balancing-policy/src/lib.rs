#![doc = include_str!("../README.md")]
//!
//! # Reading order
//!
//! [`Dispatcher::handle`] processes one [`Event`] and appends the resulting [`Action`]s. The
//! private module `dispatcher` makes the decisions, one file for each kind of decision; the private
//! module `state` holds the data that they are based on.
#![warn(missing_docs, unreachable_pub, clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]

#[doc(hidden)]
pub mod admission_limiter;
mod api;
mod dispatcher;
mod state;

pub use api::{
    Action, AttemptProgress, DeduplicationScope, Endpoint, EndpointUpdate, Event, Idempotency, Limits,
    LoadReport, LoadReporting, Nanos, Outcome, Prices, PriorAttempt, Request, RequestClass, RequestId,
    SafetyRules, Settings, SettingsError, SettingsSection, Tenant, WorkerId, WorkerState,
};
pub use dispatcher::Dispatcher;
