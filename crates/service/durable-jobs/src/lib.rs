//! The ledger of durable jobs, free of I/O: what is written down of a job, the states that it goes through, what is
//! recovered after a crash, and what a client's repeat of a request means.
//!
//! ```text
//!          ┌────────────── Released ──────────────┐
//!          ▼                                      │
//! Taken ──► taken ── Leased ──► leased ── Started ──► started
//!            │                    │                     │
//!            └────────── Ended ───┴─────────────────────┘──► ended ── Answered ──► answered
//!                                                              └─── time passes ──► expired (forgotten)
//! ```
//!
//! [`Ledger::apply`] is the only place where state changes, both when a record is made and when it is read back, so a
//! process that recovers stands where the one before it stood. A record that doesn't fit the state is [`Illegal`] and
//! changes nothing. Two leases of one job can't be expressed: [`Stage::Leased`] holds the one that there is.
//!
//! The order of records and what the world sees (a record is durable before its consequence leaves the process) is the
//! embedder's: it must not send, answer or acknowledge before the record that came first is on disk. That is "output
//! commit" (Strom and Yemini, "Optimistic Recovery in Distributed Systems", TOCS 3(3), 1985). Leases with a bound on the
//! clocks' drift follow Gray and Cheriton, "Leases" (SOSP 1989); fencing by growing tokens is Chubby's "sequencer"
//! (Burrows, OSDI 2006, section 2.4).
//!
//! All times are [`Nanos`] of the embedder's clock; what one process wrote is translated when the next one begins: see
//! [`Session`].
mod record;
mod state;

pub use record::{Anchor, End, Key, Past, Place, Record, Repeats, Session, Taken, decode, encode};
pub use spanlead_balancing_policy::Nanos;
pub use state::{Figures, Found, Illegal, Job, Lease, Ledger, Limits, Stage};

use serde::{Deserialize, Serialize};

/// The number of a record in the log, counted from 1 over the ledger's whole life.
pub type Lsn = u64;

/// A job's number, never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobNo(pub u64);

/// A lease's fencing token: a later lease has a larger one, over all jobs and processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub u64);
