//! Primary-backup replication of a key space, with views that witnesses decide.
//!
//! - **Views.** A [`View`], numbered by its [`Epoch`], names the primary, the in-sync set and the
//!   members. A view is decided once a majority of the members, acting as witnesses, has it on
//!   disk. A witness stores only its promise and the newest view that it has accepted. View changes
//!   follow single-decree Paxos: a [`Ballot`] is prepared, then a view is accepted under it.
//! - **Leases.** A primary acts only while a majority of the witnesses has granted it a lease. A
//!   witness that has granted a lease makes no promise to another candidate until the lease
//!   expires or is released. So at most one primary acts at any time.
//! - **In-sync set.** A batch is committed once it is on disk at every replica of the in-sync set.
//!   The set always has at least f + 1 members, where f is the number of machines that may be lost
//!   at once. So at least one replica with all committed batches survives, and only a replica of
//!   the set may become primary.
//! - **Repair.** A replica that missed batches compares digests of key ranges with the primary's
//!   and receives only what differs, in chunks. It keeps every chunk that it has written, even if
//!   the session ends early.
//! - **Replacement.** A standby takes the place of a member that leaves permanently or is out of
//!   contact for too long.
//! - **Lost disks.** Every data folder has a random identity. A machine that lost its disk returns
//!   with a new identity and is not a member until a view change replaces the old identity by the
//!   new one. So it can't break a promise that it no longer remembers.
//!
//! [`Replica`] is the state machine. It does no I/O and reads no clock: the embedder passes in
//! messages, write completions and the time ([`Input`]) and executes what the replica requests
//! ([`Output`]). All times are milliseconds of the embedder's monotonic clock.
//!
//! | module | concern |
//! | --- | --- |
//! | `view` | members, ballots, views, quorums |
//! | `witness` | promises, accepted views and lease grants of one member |
//! | `election` | the state machine of one election |
//! | `keyspace`, `digest` | keys, values and the digests that repair compares |
//! | `primary` | the state of a primary, and the view changes that it proposes |
//! | `backup` | a backup's end of a replication session |
//! | `bootstrap`, `leave` | the state of a machine before the first view, and of a leaving member |
//! | `replica` | the state machine that combines these modules |
//! | `message`, `interface`, `config` | the wire format, the embedder's interface, the settings |
//! | `timing` | all timeouts and intervals |
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
