//! Durable jobs: the records that are logged for a job, the states that it goes through, what a
//! restart recovers, and what a client's retry with the same idempotency key means. This crate does
//! no I/O.
//!
//! ```text
//!              ┌────────── Released ──────────┐
//!              ▼                              │
//! Accepted ─► accepted ─ Leased ─► leased ─ Started ─► running
//!              │                      │                   │
//!              └────── Finished ──────┴───────────────────┘──► finished ─ Delivered ─► delivered
//!                                                               └── retention ends ──► expired (forgotten)
//! ```
//!
//! [`JobTable::apply`] is the only place where the state of a job changes, both when a record is
//! made and when it is replayed from the log, so a process that recovers has the state of the
//! process before it. A record that does not fit the state is an [`ApplyError`] and changes
//! nothing. Two concurrent leases of one job cannot be expressed: [`JobState::Leased`] and
//! [`JobState::Running`] contain the only one.
//!
//! The caller keeps the order of records and effects: it must not send, answer or acknowledge
//! anything before the record that precedes it is durable ("output commit": Strom and Yemini,
//! "Optimistic Recovery in Distributed Systems", TOCS 3(3), 1985). Leases with a bound on clock
//! drift follow Gray and Cheriton, "Leases" (SOSP 1989); growing fencing tokens are Chubby's
//! "sequencer" (Burrows, OSDI 2006, section 2.4).
//!
//! All times are [`Nanos`] of the process's own clock. Times that another process logged are
//! translated when the next process begins its session: see [`Session`].
#![warn(missing_docs, unreachable_pub, clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]

mod error;
mod ids;
mod job;
mod lease;
mod record;
mod session;
mod table;

pub use error::{ApplyError, RecordCodecError, RejectReason};
pub use ids::{FencingToken, JobNumber, Lsn};
pub use job::{AcceptedJob, IdempotencyKey, Job, JobOutcome, JobState, RetrySafety};
pub use lease::{Lease, PastAttempt, WorkerLocation};
pub use record::{Record, decode, encode};
pub use session::{ClockAnchor, Session};
pub use spanlead_balancing_policy::Nanos;
pub use table::{JobTable, JobTableLimits, JobTableStats, KeyLookup};
