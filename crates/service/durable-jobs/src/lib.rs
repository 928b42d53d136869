//! Durable jobs: the log records of a job, its state machine, the recovery of jobs after a restart,
//! and the handling of a client's retry with the same idempotency key. This crate does no I/O.
//!
//! ```text
//!              ┌────────── Released ──────────┐
//!              ▼                              │
//! Accepted ─► accepted ─ Leased ─► leased ─ Started ─► running
//!              │                      │                   │
//!              └────── Finished ──────┴───────────────────┘──► finished ─ Delivered ─► delivered
//!                                                               └── retention ends ──► expired (removed)
//! ```
//!
//! Records are capitalised, states are in lower case. A job that is open again after `Released` can
//! get a new lease.
//!
//! The state of a job changes only in [`JobTable::apply`], both when a record is created and when
//! it is replayed from the log, so a recovering process arrives at the state of its predecessor. A
//! record that is invalid in the current state is rejected with an [`ApplyError`]; it changes
//! nothing, except that expired jobs may be removed. Two concurrent leases of one job cannot be
//! represented: [`JobState::Leased`] and [`JobState::Running`] contain the only lease.
//!
//! The caller is responsible for the order of records and effects: it must not send a job, answer a
//! client or acknowledge a message before the record that precedes this effect is durable ("output
//! commit": Strom and Yemini, "Optimistic Recovery in Distributed Systems", TOCS 3(3), 1985).
//! Leases with a bound on clock drift follow Gray and Cheriton, "Leases" (SOSP 1989); increasing
//! fencing tokens correspond to Chubby's "sequencer" (Burrows, OSDI 2006, section 2.4).
//!
//! All times are [`Nanos`] on the process's own clock. Times logged by an earlier process are
//! converted when the next process begins its session; see [`Session`].
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
