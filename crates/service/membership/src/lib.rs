//! Membership of the schedulers of a tier: which of them are alive, draining, have left or are
//! dead.
//!
//! Each scheduler gossips the newest heartbeats that it knows (gossip-style failure detection: van
//! Renesse, Minsky, Hayden, Middleware 1998) and probes directly whoever is suspected. Time is
//! counted in the periods that this process itself lives through, so a process that was suspended
//! suspects nobody when it wakes. This crate has no sockets and no clock. Why this form was chosen:
//! `docs/design/membership.md`.
//!
//! - `config`: how a scheduler takes part.
//! - `failure_detector`: when a member is suspected, and when a suspect is dead; the clock that
//!   suspicion goes by.
//! - `digest`, `datagram` and `limits`: what is sent.
//! - `member` and `stats`: what operators are shown.
//! - `gossip`: the protocol's state machine.
#![warn(missing_docs, unreachable_pub, clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]

mod config;
mod datagram;
mod digest;
mod failure_detector;
mod gossip;
mod limits;
mod member;
mod stats;

pub use config::MembershipConfig;
pub use datagram::{Datagram, DropReason, MessageBody, PROTOCOL_VERSION, truncate_text};
pub use digest::{HeartbeatEntry, fit_into_datagram};
pub use failure_detector::SuspicionThresholds;
pub use gossip::{Action, GossipMembership};
pub use limits::{MAX_DATAGRAM_BYTES, MAX_DIGEST_ENTRIES, MAX_PAYLOAD_BYTES, MAX_TEXT_BYTES};
pub use member::{Incarnation, LifecyclePhase, Member, MemberNumber, MemberState, MemberStateChange};
pub use stats::MembershipStats;
