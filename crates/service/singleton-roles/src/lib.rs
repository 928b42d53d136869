//! Singleton roles: each is held by one scheduler of a tier at a time, under a lease that a
//! majority of the **configured** schedulers grants (after `PaxosLease`: Trencseni, Gazso,
//! Reinhardt
//! 2009: nothing on disk, bounded by time), with terms that fence: whatever a lease holder acts on
//! rejects an older term. This crate has no sockets and no clock: the time comes with each call.
//! Why this form was chosen, and what it assumes: `docs/design/duties.md`.
//!
//! - `config` and `quorum`: how a scheduler takes part, and whose grants make a majority.
//! - `acceptor`: what one scheduler has granted of one role.
//! - `role`: one role, as one scheduler sees it.
//! - `manager`: requests, renews, hands over and loses the leases of all roles.
//! - `message` and `outbox`: what is sent.
#![warn(missing_docs, unreachable_pub, clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]

mod acceptor;
mod config;
mod manager;
mod message;
mod outbox;
mod quorum;
mod role;
mod time;

pub use acceptor::{Acceptor, Grant, GrantRequest, QueuedGrant};
pub use config::RoleConfig;
pub use manager::RoleManager;
pub use message::{MAX_MESSAGES, MAX_TERM, MessageBody, RoleMessage, Term, decode, encode};
pub use outbox::Action;
pub use quorum::{QuorumConfig, SchedulerNumber};
pub use role::{HeldLease, LeaseChange, LossReason, Role, RoleIndex, RoleStats};
pub use time::{ClockReading, Millis};
