//! A replicated key space with one primary.
//!
//! - **Views.** Who is primary, who is in sync and who the members are is a [`View`], numbered by its epoch. A view is
//!   in force when a majority of the members, acting as witnesses, have it on disk. Witnesses keep only that.
//! - **Leases.** A primary acts only while a majority of the witnesses has granted it a lease; a witness that has granted
//!   one promises nothing to another candidate until it ends.
//! - **In-sync set.** What the primary commits is on disk at every replica in sync. The set never falls below one more
//!   than the number of machines that may be lost, so whoever takes over from it lacks nothing.
//! - **Repair.** A replica that was away compares digests of ranges of the key space with the primary's, and is sent only
//!   what differs, in pieces. What it has taken it keeps, whatever ends the session.
//! - **Exchange.** A machine that stands by takes the place of a member that leaves for good or falls silent.
//! - **Empty disks.** Every data folder has a random identity. A machine that lost its disk is another member until the
//!   others have replaced the old one by it, so it can't forget a promise.
//!
//! [`Replica`] is the state machine. It does no I/O and reads no clock: the embedder feeds it messages, finished writes
//! and the time, and carries out its [`Output`]s.
mod election;
mod follower;
mod keyspace;
mod membership;
mod message;
mod primary;
mod replica;
mod session;
mod view;
mod witness;

pub use keyspace::{Change, Keyspace, LEAVES, Part, RANGES};
pub use message::{Contact, Envelope, Lane, Message, StreamItem};
pub use replica::{Input, MemberStatus, Notice, Options, Output, Record, Replica, Restored};
pub use view::{Accepted, Ballot, Member, MemberId, Position, View};
pub use witness::WitnessRecord;
