//! The messages between the scheduler and workers, and what the platform's list tells of workers.
//!
//! The embedder turns them into HTTP calls; the names on the wire are the platform's.
use crate::ids::TaskId;
use compact_str::CompactString;
use std::sync::Arc;

/// A call to a worker. The embedder makes it and returns the response with
/// [`crate::Scheduler::handle_response`].
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerCall {
    /// The identifier of the incarnation that is called, as the platform lists it.
    pub worker_id: Arc<str>,
    /// Its address.
    pub address: Arc<str>,
    /// The request.
    pub request: WorkerRequest,
    /// The time-out of the call, milliseconds from now.
    pub timeout_ms: u64,
    /// The fencing token: the term of the scheduler. A worker that has seen a higher one rejects
    /// the call.
    pub fencing_token: u64,
}

/// A request to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerRequest {
    /// Start a task.
    Start {
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
        /// The job's payload.
        payload: Arc<str>,
        /// The end of the run's lease on the worker's clock, milliseconds. A start that arrives
        /// after it is rejected.
        lease_expires_at_ms: u64,
        /// The checkpoint to resume from; empty for the beginning.
        checkpoint: CompactString,
    },
    /// Stop a run. After the acknowledgement this start can no longer be carried out.
    Stop {
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
    },
    /// Renew the lease on all that runs on the worker, and list what runs there and what ended
    /// (`hold` on the wire).
    RenewLease {
        /// A number of the scheduler's own, higher for each request; not sent.
        serial: u64,
        /// The end of the lease on the worker's clock, milliseconds; `None` does not extend it.
        lease_expires_at_ms: Option<u64>,
        /// The worker may forget ends up to this number.
        acknowledged_end: u64,
        /// How long the worker may delay the response until a run ends, milliseconds.
        wait_ms: u64,
    },
}

/// The result of a call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerResponse {
    /// The request was carried out.
    Acknowledged {
        /// The worker's clock, milliseconds.
        clock_ms: u64,
    },
    /// The response to [`WorkerRequest::RenewLease`].
    Report(WorkerReport),
    /// The request was not carried out.
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The reason; empty if none was given.
        reason: CompactString,
    },
    /// Another incarnation of the worker is at that address.
    WrongIncarnation,
    /// No response in time, or the connection broke. The request may have been carried out, or may
    /// be later.
    NoResponse,
}

/// What a worker reports of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// The worker's clock, milliseconds.
    pub clock_ms: u64,
    /// The tasks that run there.
    pub running: Vec<RunningTask>,
    /// The runs that ended there and were not yet acknowledged.
    pub finished: Vec<FinishedTask>,
    /// For a draining worker, how long it still serves, milliseconds.
    pub drain_remaining_ms: Option<u64>,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// Its last checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// Its progress, 0 to 100.
    pub progress_percent: f64,
}

/// A run that ended on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedTask {
    /// The number of this end, ascending at the worker.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// How it ended: `done`, `failed`, or any other word for a run that was cut off.
    pub outcome: CompactString,
    /// Its last checkpoint; empty for none.
    pub checkpoint: CompactString,
}

/// Whether a listed worker accepts new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedWorkerState {
    /// It does.
    Ready,
    /// It is shutting down gracefully.
    Draining,
}

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// The identifier of this incarnation.
    pub id: CompactString,
    /// Its service.
    pub service: CompactString,
    /// Its address.
    pub address: CompactString,
    /// Its zone.
    pub zone: CompactString,
    /// Whether it accepts new tasks.
    pub state: ListedWorkerState,
    /// Processor capacity, thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory capacity, MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpus: u64,
    /// Its labels: kind, then rack.
    pub labels: Vec<CompactString>,
}
