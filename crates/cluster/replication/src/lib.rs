//! Primary-backup replication of a key space, with views that are decided by witnesses.
//!
//! - **Views.** A [`View`], numbered by its [`Epoch`], names the primary, the in-sync set and the
//!   members. A view is in force when a majority of the members, acting as witnesses, have it on
//!   disk. Witnesses store nothing else. Changes of view follow single-decree Paxos: a [`Ballot`]
//!   is prepared, then a view is accepted under it.
//! - **Leases.** A primary acts only while a majority of the witnesses has granted it a lease; a
//!   witness that has granted one promises nothing to another candidate until it ends. So at most
//!   one primary acts at any time.
//! - **In-sync set.** A batch that the primary commits is on disk at every replica of the in-sync
//!   set. The set never has fewer members than one more than the number of machines that may be
//!   lost, so at least one replica with all committed batches is left, and only a replica of the
//!   set may become primary.
//! - **Repair.** A replica that was away compares digests of key ranges with the primary's and
//!   receives only what differs, in chunks. It keeps each chunk that it has written, whatever ends
//!   the session.
//! - **Replacement.** A standby takes the place of a member that leaves for good or is silent for
//!   too long.
//! - **Lost disks.** Every data folder has a random identity. A machine that lost its disk is
//!   another member until the others have replaced the old one by it, so it can't break a promise
//!   that it forgot.
//!
//! [`Replica`] is the state machine. It does no I/O and reads no clock: the embedder passes in
//! messages, finished writes and the time ([`Input`]), and carries out what the replica asks for
//! ([`Output`]). All times are milliseconds of the embedder's monotonic clock.
//!
//! | module | concern |
//! | --- | --- |
//! | `view` | members, ballots, views, quorums |
//! | `witness` | promises, accepted views and lease grants of one member |
//! | `election` | the course of one election |
//! | `keyspace`, `digest` | keys, values and the digests that repair compares |
//! | `primary` | what a primary tracks, and the changes of view that it decides on |
//! | `backup` | a backup's end of a replication session |
//! | `bootstrap`, `leave` | the state of a machine before the first view, and of one that leaves |
//! | `replica` | the state machine that joins these |
//! | `message`, `interface`, `config` | the wire format, the embedder's interface, the settings |
//! | `timing` | every time-out and interval |
#![warn(
    missing_docs,
    unreachable_pub,
    clippy::match_bool,
    clippy::too_many_arguments,
    clippy::too_many_lines,
    clippy::wildcard_imports
)]

mod backup;
mod bootstrap;
mod config;
mod digest;
mod election;
mod interface;
mod keyspace;
mod leave;
mod message;
mod primary;
mod replica;
mod timing;
mod view;
mod witness;

pub use config::ReplicaConfig;
pub use digest::{LEAF_COUNT, RANGE_COUNT};
pub use interface::{Input, MemberStatus, Output, Record, RecoveredState, ReplicaEvent};
pub use keyspace::{Change, Keyspace, LeafChunk, LeafEntry};
pub use message::{
    Envelope, Heartbeat, LeaseGrant, MajorityContact, Message, RangeLeafDigests, StreamItem, TrafficClass,
};
pub use replica::Replica;
pub use view::{AcceptedView, Ballot, Epoch, Member, MemberId, Position, Term, View};
pub use witness::WitnessRecord;
