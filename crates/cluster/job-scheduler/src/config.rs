//! Inputs from the embedder: the deployment's limits, the time, and the policy of a queue.
use crate::ids::QueueId;

/// The limits and characteristics of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerConfig {
    /// The longest lease on its runs that a worker accepts, milliseconds.
    pub max_lease_ms: u64,
    /// The longest time that the started members of a gang wait for the others, milliseconds.
    pub gang_assembly_timeout_ms: u64,
    /// The longest time that a worker takes to stop a run, milliseconds.
    pub stop_timeout_ms: u64,
    /// The time that a task needs to resume from a checkpoint, milliseconds.
    pub checkpoint_restore_ms: u64,
    /// How long a closed job is retained and can be queried, milliseconds.
    pub closed_job_retention_ms: u64,
    /// The factor by which the running time of a task grows on another rack than that of its data
    /// or its gang.
    pub remote_data_slowdown: f64,
    /// The limit on calls to workers in flight. No task is placed while it is reached, and lease
    /// renewals are sent only up to shares of it. Other calls, such as stops, may exceed it.
    pub max_concurrent_calls: usize,
}

/// The current time, passed by the embedder with each call.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The time on a monotonic clock, milliseconds.
    pub monotonic_ms: u64,
    /// The wall-clock time, milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// The configured policy for the jobs of a queue.
#[derive(Clone, Debug, Default)]
pub struct QueuePolicy {
    /// The queue.
    pub queue: QueueId,
    /// The service whose workers run the jobs.
    pub service: String,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The number of failed runs after which a task, and with it the job, has failed.
    pub max_attempts: u32,
}

/// The result of admission control for a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job was accepted, now or by an earlier submission with the same identifier.
    Accepted,
    /// Too many jobs are open; nothing was recorded.
    TooManyJobs,
    /// The identifier was cancelled before; the job never runs.
    AlreadyCancelled,
}

/// The result of cancelling a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// The job is closed, now or before.
    Closed,
    /// There is no such job. Its identifier is remembered, so that a submission which arrives later
    /// is refused.
    UnknownJob,
    /// There is no such job, and too many identifiers are remembered; nothing was recorded.
    TooManyCancelled,
}
