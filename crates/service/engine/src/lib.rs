//! The scheduler's engine: a state machine without I/O. [`Engine::step`] processes one [`Input`]
//! and appends the resulting [`Effect`]s. The engine owns the balancing policy, the requests, their
//! attempts and the timers. It opens no sockets, knows no network protocol and reads no clock: the
//! caller passes the time with each input.
//!
//! | module | contents |
//! | --- | --- |
//! | `engine` | the state and the dispatch of inputs |
//! | `input`, `effect`, `snapshot`, `stats` | the types of the public interface |
//! | `request_table`, `requests`, `handover` | open requests and their handover to a successor |
//! | `attempts`, `notices` | attempts at workers and the notices that workers send |
//! | `durable` | durable jobs: records, client retries, leases, recovery |
//! | `durability_barrier` | effects that wait until their records are durable |
//! | `workers` | the endpoint list and the workers' attributes |
//! | `discovery` | the source of the endpoint list |
//! | `membership`, `roles` | the membership of schedulers and the singleton roles among them |
//! | `classes`, `timers`, `lifecycle` | settings by class, timers, shutdown and draining |
#![warn(
    missing_docs,
    unreachable_pub,
    clippy::wildcard_imports,
    clippy::match_bool,
    clippy::too_many_lines,
    clippy::too_many_arguments
)]
mod attempts;
mod classes;
mod discovery;
mod durability_barrier;
mod durable;
mod effect;
mod engine;
mod handover;
mod input;
mod lifecycle;
mod membership;
mod notices;
mod request_table;
mod requests;
mod roles;
mod snapshot;
mod stats;
mod timers;
mod workers;

pub use durability_barrier::{DurabilityBarrier, ReleasedEffect};
pub use durable::DurableSetup;
pub use effect::{Answer, Effect, LeaseGrant, NoticeReply};
pub use engine::Engine;
pub use input::{
    AttemptId, DispatchResult, DurableRequest, Input, InventoryUpdate, InventoryVersion, JobRequest,
    JobUpdate, SettingsChange, WorkerEndpoint, WorkerNotice,
};
pub use membership::{MemberView, MembersView};
pub use roles::{RoleCallResult, RoleTask, RoleView};
pub use snapshot::{AttemptSnapshot, RequestSnapshot};
pub use stats::{DurableJobStats, EngineStats, HostView, InventoryStats, RequestCounts};

use spanlead_balancing_policy::Nanos;

/// Nanoseconds per millisecond.
const MS: Nanos = 1_000_000;
