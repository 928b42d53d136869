//! The membership of a tier of schedulers: which of them are alive, draining, have left or are
//! dead.
//!
//! Each scheduler gossips the newest heartbeats that it knows (gossip-style failure detection: van
//! Renesse, Minsky, Hayden, Middleware 1998) and probes suspected members directly. Time is counted
//! in the periods through which this process has run, so a process that was suspended suspects
//! nobody when it resumes. This crate has no sockets and no clock. The reasons for this design are
//! in `docs/design/membership.md`.
//!
//! - `config`: the configuration of a member.
//! - `failure_detector`: the thresholds at which a member is suspected and declared dead, and the
//!   clock by which they are measured.
//! - `digest`, `datagram` and `limits`: the messages between members, and their encoding.
//! - `member` and `stats`: the state of members and the statistics that operators see.
//! - `gossip`: the state machine of the protocol.
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
