//! Singleton roles: each role is held by at most one scheduler of a tier at a time, under a lease
//! that a majority of the **configured** schedulers grants. The protocol follows `PaxosLease`
//! (Trencseni, Gazso, Reinhardt 2009): it stores nothing on disk and relies on bounded time. Terms
//! act as fencing tokens: the resource that a lease holder acts on rejects a term older than the
//! newest one it knows. This crate has no sockets and no clock: the caller passes the time with
//! each call. The reasons for this design and its assumptions are in `docs/design/duties.md`.
//!
//! - `config` and `quorum`: the configuration of a scheduler, and the sets of schedulers whose
//!   majorities grant leases.
//! - `acceptor`: the grants of one scheduler for one role.
//! - `role`: the state of one role in the view of one scheduler.
//! - `manager`: requests, renews, releases and expires the leases on all roles.
//! - `message` and `outbox`: the messages between schedulers and their encoding.
#![warn(missing_docs, unreachable_pub, clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]

mod acceptor;
mod config;
mod manager;
mod message;
mod outbox;
mod quorum;
mod role;
mod time;

pub use acceptor::{Acceptor, DeferredGrant, Grant, GrantRequest};
pub use config::RoleConfig;
pub use manager::RoleManager;
pub use message::{MAX_MESSAGES, MAX_TERM, MessageBody, RoleMessage, Term, decode, encode};
pub use outbox::Action;
pub use quorum::{QuorumConfig, SchedulerNumber};
pub use role::{HeldLease, LeaseChange, LossReason, Role, RoleIndex, RoleStats};
pub use time::{ClockReading, Millis};
