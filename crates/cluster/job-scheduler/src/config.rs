//! What the embedder tells the scheduler: the deployment's bounds, the time, and a queue's policy.
use crate::ids::QueueId;

/// The bounds of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerConfig {
    /// The longest lease that a worker grants what runs there, milliseconds.
    pub max_lease_ms: u64,
    /// How long a gang's members wait for one another, milliseconds.
    pub gang_assembly_timeout_ms: u64,
    /// The longest time that a worker takes to stop a run, milliseconds.
    pub stop_timeout_ms: u64,
    /// How long a task needs to resume from a checkpoint, milliseconds.
    pub checkpoint_restore_ms: u64,
    /// How long the state of a closed job stays readable, milliseconds.
    pub closed_job_retention_ms: u64,
    /// How many times as long a task takes far from its data.
    pub remote_data_slowdown: f64,
    /// The largest number of calls to workers in flight.
    pub max_concurrent_calls: usize,
}

/// The time at which the embedder calls the scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// A monotonic clock, milliseconds.
    pub monotonic_ms: u64,
    /// The time of day, milliseconds since 1970.
    pub unix_ms: u64,
}

/// How the configuration has the jobs of a queue run.
#[derive(Clone, Debug, Default)]
pub struct QueuePolicy {
    /// The queue.
    pub queue: QueueId,
    /// The service whose workers run the jobs.
    pub service: String,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The number of failed runs after which a task has failed.
    pub max_attempts: u32,
}

/// Whether a submitted job was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It was, now or by an earlier submission with the same identifier.
    Accepted,
    /// Too many jobs are open; nothing was recorded.
    TooManyJobs,
}
