//! The engine of the program in service: a pure state machine. [`Engine::step`] takes one [`Input`]
//! and appends the [`Effect`]s that follow from it. It owns the balancing policy, the requests,
//! their attempts and the timers; it knows no socket and no protocol, and is given the time.
//!
//! | module | concern |
//! | --- | --- |
//! | `engine` | the state, and the one entry for inputs |
//! | `input`, `effect`, `snapshot`, `stats` | the types at the border |
//! | `request_table`, `requests`, `handover` | open requests: accepted once, ended once, removed in one place |
//! | `attempts`, `notices` | attempts at workers, and what workers notify of |
//! | `durable` | durable jobs: records, repeats, leases, recovery |
//! | `durability_barrier` | effects that wait until their records are durable |
//! | `workers` | the endpoint list and the workers' attributes |
//! | `discovery` | where the endpoint list comes from |
//! | `membership`, `roles` | the other schedulers, and singleton roles among them |
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
    AttemptId, DispatchResult, DurableRequest, Input, InventoryUpdate, InventoryVersion, Job, JobUpdate,
    SettingsChange, WorkerEndpoint, WorkerNotice,
};
pub use membership::{MemberView, MembersView};
pub use roles::{RoleCallResult, RoleTask, RoleView};
pub use snapshot::{AttemptSnapshot, RequestSnapshot};
pub use stats::{DurableJobStats, EngineStats, HostView, InventoryStats, RequestCounts};

use spanlead_balancing_policy::Nanos;

/// Nanoseconds of a millisecond.
const MS: Nanos = 1_000_000;
