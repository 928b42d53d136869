//! Jobs and the tasks they consist of.
//!
//! A [`Scheduler`] is fed what clients hand in, the platform's list of workers, the answers of workers and the time. It
//! answers with records that must be durable and with calls to workers that go out once those are. Everything it knows
//! of jobs follows from the records, so another machine goes on from them ([`Scheduler::recover`]); what runs where right
//! now it learns from the workers.
//!
//! - **Starts** are recorded before they are ordered. A start without an answer counts as running until the worker says
//!   otherwise, a stop was acknowledged, or its time has run out there.
//! - **Ends** are recorded before the worker may forget them.
//! - **Room** is counted strictly: what was ordered counts until its end is known.
//! - **Fencing**: every call carries the term; a worker that has seen a later one does nothing for it.
mod answers;
mod clock;
mod config;
mod copies;
mod deadlines;
mod events;
mod gangs;
mod graphs;
mod holds;
mod ids;
mod inspect;
mod job;
mod listing;
mod lookup;
mod metrics;
mod pace;
mod placement;
mod protocol;
mod queue;
mod record;
mod recover;
mod runs;
mod scheduler;
mod spec;
mod stops;
mod throttle;
mod watch;
mod worker;
mod writing;

pub use config::{Admission, Now, QueuePolicy, SchedulerConfig};
pub use ids::{JobId, QueueId, TaskId};
pub use inspect::{JobView, RunView, TaskView, Usage, WorkerView};
pub use job::{JobOutcome, JobState};
pub use metrics::{SchedulerCounts, SchedulerMetrics, TimeoutRange};
pub use protocol::{
    Effect, FinishedTask, ListedWorker, ListedWorkerState, RunningTask, WorkerCall, WorkerReport,
    WorkerRequest, WorkerResponse,
};
pub use recover::is_readable_record;
pub use scheduler::Scheduler;
pub use spec::{JobSpec, SpecError, Stage};
pub use writing::RecordChange;
