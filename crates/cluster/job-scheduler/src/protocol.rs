//! The messages between the scheduler and workers, and the entries of the platform's worker list.
//!
//! The embedder translates them to and from HTTP; the platform defines the names on the wire.
use crate::ids::TaskId;
use compact_str::CompactString;
use std::sync::Arc;

/// A call to a worker. The embedder performs it and passes the response to
/// [`crate::Scheduler::handle_response`].
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerCall {
    /// The identifier of the called incarnation of the worker, as the platform lists it.
    pub worker_id: Arc<str>,
    /// The address of the worker.
    pub address: Arc<str>,
    /// The request.
    pub request: WorkerRequest,
    /// The time-out of the call from when the embedder takes it, milliseconds.
    pub timeout_ms: u64,
    /// The fencing token, which is the term of the scheduler. A worker that has seen a higher token
    /// rejects the call.
    pub fencing_token: u64,
}

/// A request to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerRequest {
    /// Starts a task.
    Start {
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
        /// The job's payload.
        payload: Arc<str>,
        /// The expiry of the run's lease on the worker's clock, milliseconds. The worker rejects a
        /// start that arrives later.
        lease_expires_at_ms: u64,
        /// The checkpoint to resume from; empty to start from the beginning.
        checkpoint: CompactString,
    },
    /// Stops a run. Once the worker has acknowledged it, the start of this run can no longer take
    /// effect.
    Stop {
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
    },
    /// Renews the lease on all runs of the worker and requests a report of the running and the
    /// ended runs (`hold` on the wire).
    RenewLease {
        /// A serial number that ascends with each request; used by the scheduler only, not sent.
        serial: u64,
        /// The new expiry of the lease on the worker's clock, milliseconds; `None` does not extend
        /// the lease.
        lease_expires_at_ms: Option<u64>,
        /// The worker may discard run ends up to this number ([`FinishedTask::number`]).
        acknowledged_end: u64,
        /// How long the worker may delay the response until a run ends, milliseconds.
        wait_ms: u64,
    },
}

/// The result of a call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerResponse {
    /// The worker carried out the request.
    Acknowledged {
        /// The worker's clock, milliseconds.
        clock_ms: u64,
    },
    /// The response to [`WorkerRequest::RenewLease`].
    Report(WorkerReport),
    /// The worker did not carry out the request.
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The reason; empty if none was given.
        reason: CompactString,
    },
    /// The address belongs to another incarnation of the worker.
    WrongIncarnation,
    /// The call timed out or its connection broke. The worker may have carried out the request, or
    /// may still do so.
    NoResponse,
}

/// A worker's report on its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// The worker's clock, milliseconds.
    pub clock_ms: u64,
    /// The tasks that are running on the worker.
    pub running: Vec<RunningTask>,
    /// Runs that ended on the worker and whose ends are not acknowledged yet, in ascending order of
    /// their numbers.
    pub finished: Vec<FinishedTask>,
    /// Whether `finished` holds all such runs. Otherwise a run in neither list may have ended: a
    /// report has room for a limited number of ends, and the next ones follow once these are
    /// acknowledged.
    pub lists_all_ends: bool,
    /// For a draining worker, the time for which it continues to serve, milliseconds.
    pub drain_remaining_ms: Option<u64>,
}

/// A task that is running on a worker.
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
    /// The sequence number of this run end, ascending for each worker.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// The outcome: `done`, `failed`, or any other word for a run that was interrupted.
    pub outcome: CompactString,
    /// Its last checkpoint; empty for none.
    pub checkpoint: CompactString,
}

/// Whether a listed worker accepts new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedWorkerState {
    /// It accepts new tasks.
    Ready,
    /// It is shutting down gracefully and accepts none.
    Draining,
}

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// The identifier of this incarnation.
    pub id: CompactString,
    /// The service that it runs tasks of.
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
    /// The number of accelerators.
    pub gpus: u64,
    /// Its labels: its kind, then its rack.
    pub labels: Vec<CompactString>,
}
