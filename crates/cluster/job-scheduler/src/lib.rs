//! Jobs and the tasks they consist of: accepted, placed on workers, watched, recovered.
//!
//! A [`Scheduler`] is a pure state machine without I/O or clock. Its embedder calls it with what
//! clients submit, the platform's list of workers, the responses of workers, and the time. It
//! replicates the [`RecordChange`]s that the scheduler makes, and makes its [`WorkerCall`]s,
//! which are released once the records that they depend on are committed. All
//! that must last about jobs is in the records, so another machine goes on from them
//! ([`Scheduler::recover`]); what runs where at the moment it learns from the workers.
//!
//! Invariants:
//! - **Starts** are recorded before they are sent. A start without response counts as running until
//!   the worker reports otherwise, or its lease has expired: so a task never runs twice at once,
//!   unless its stage allows hedged runs.
//! - **Ends** are recorded before the worker may forget them: so none is lost or counted twice.
//! - **Capacity** is reserved from the decision to start until the end is known: so no worker is
//!   given more than it has.
//! - **Fencing**: each call carries the term; a worker that has seen a later one rejects it. So
//!   calls of an earlier term have no effect after a worker responded to this one.
//!
//! Parts, each with its own state and invariants: [`jobs`] (job table), [`workers`] (registry and
//! leases), [`pending`] (queue), [`placement`], [`calls`] (in flight, time-outs, throttle),
//! [`renewal`] (schedule of lease renewals), [`commit`] (write batches) and [`occurrence_timer`].
//! [`scheduler`] coordinates them.
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
#![allow(rustdoc::private_intra_doc_links, reason = "the crate's page names its parts for maintainers")]

mod calls;
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

pub use config::{Admission, Now, QueuePolicy, SchedulerConfig};
pub use ids::{JobId, QueueId, TaskId};
pub use jobs::JobState;
pub use latency::{LatencyHistogram, StartLatencies};
pub use metrics::{SchedulerCounts, SchedulerMetrics, StartBound, TimeoutRange};
pub use protocol::{
    FinishedTask, ListedWorker, ListedWorkerState, RunningTask, WorkerCall, WorkerReport, WorkerRequest,
    WorkerResponse,
};
pub use record::{JobOutcome, RecordChange, is_readable_record};
pub use scheduler::{JobView, RunView, Scheduler, TaskView, Usage, WorkerView};
pub use spec::{JobSpec, SpecError, Stage};
