//! The job scheduler: admits jobs, places their tasks on workers, monitors the runs, and recovers
//! after a failover.
//!
//! A [`Scheduler`] is a pure state machine without I/O or a clock. Its embedder passes it the
//! submissions of clients, the platform's list of workers, the responses of workers, and the time.
//! The embedder also replicates the [`RecordChange`]s that the scheduler emits, and performs its
//! [`WorkerCall`]s, which are released once the records that they depend on are committed. The
//! records hold the entire durable state of jobs, so another machine can take over from them
//! ([`Scheduler::recover`]). It learns from the workers which of the recorded runs are still
//! active.
//!
//! Invariants:
//! - **Starts** are recorded before they are sent. A start without a response counts as running
//!   until the worker reports otherwise or its lease has expired. A task therefore never runs twice
//!   at once, unless its stage allows hedged runs.
//! - **Run ends** are recorded before the worker may discard them. None is lost or counted twice.
//! - **Capacity** is reserved from the decision to start a run until its end is known. No worker is
//!   assigned more than its capacity.
//! - **Cancellations** are recorded before they are acknowledged, also those of unknown jobs. No
//!   submission that was sent before is accepted afterwards ([`cancelled_jobs`]).
//! - **Fencing**: each call carries the term, and a worker that has seen a later term rejects it.
//!   Calls of an earlier term have no effect on a worker that has responded to the current one.
//!
//! Components, each with its own state and invariants: [`jobs`] (job table), [`cancelled_jobs`]
//! (identifiers that may not be submitted any more), [`workers`] (registry and leases), [`pending`]
//! (queue), [`placement`], [`calls`] (calls in flight, time-outs, throttle), [`renewal`] (schedule of
//! lease renewals), [`commit`] (write batches) and [`occurrence_timer`]. [`scheduler`] coordinates
//! them.
#![warn(
    missing_docs,
    unreachable_pub,
    clippy::wildcard_imports,
    clippy::match_bool,
    clippy::too_many_lines,
    clippy::must_use_candidate,
    clippy::explicit_iter_loop,
    clippy::semicolon_if_nothing_returned
)]
#![allow(
    rustdoc::private_intra_doc_links,
    reason = "the crate's documentation links its private modules for maintainers"
)]

mod calls;
mod cancelled_jobs;
mod commit;
mod config;
mod estimates;
mod events;
mod ids;
mod jobs;
mod latency;
mod metrics;
mod occurrence_timer;
mod pending;
mod placement;
mod protocol;
mod record;
mod renewal;
mod resources;
mod scheduler;
mod smoothing;
mod spec;
mod workers;

pub use cancelled_jobs::MAX_SUBMISSION_AGE_MS;
pub use config::{Admission, Cancellation, Now, QueuePolicy, SchedulerConfig};
pub use ids::{JobId, QueueId, TaskId};
pub use jobs::JobState;
pub use latency::{LatencyHistogram, StartLatencies};
pub use metrics::{SchedulerCounts, SchedulerMetrics, StartLimit, TimeoutRange};
pub use protocol::{
    FinishedTask, ListedWorker, ListedWorkerState, RunningTask, WorkerCall, WorkerReport, WorkerRequest,
    WorkerResponse,
};
pub use record::{JobOutcome, RecordChange, is_readable_record};
pub use scheduler::{JobView, RunView, Scheduler, TaskView, Usage, WorkerView};
pub use spec::{JobSpec, SpecError, Stage};
