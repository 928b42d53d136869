//! What a scheduler is told of its deployment, its time and its queues, and what it tells of itself.
use crate::record::Queue;

/// Bounds of the deployment, milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest that a worker holds what runs there.
    pub max_hold_ms: u64,
    /// How long a gang's members wait for one another.
    pub gang_ms: u64,
    /// How long a stop takes at most.
    pub stop_ms: u64,
    /// How long a task needs to go on from a checkpoint.
    pub restore_ms: u64,
    /// How long the state of a job that is over is told.
    pub status_ms: u64,
    /// How many times as long a task takes far from its data.
    pub far_factor: f64,
    /// Calls to workers that may be out at once.
    pub max_calls: usize,
}

/// The time: our steady clock and the time of day, milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// A clock that never jumps.
    pub steady: u64,
    /// Milliseconds since 1970.
    pub unix: u64,
}

/// What a job's queue says of it.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// The queue.
    pub queue: Queue,
    /// Whose workers run it.
    pub service: String,
    /// 0 comes first.
    pub priority: u8,
    /// Failed runs after which a task is given up.
    pub max_attempts: u32,
}

/// Whether a job was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It was, now or before.
    Accepted,
    /// There is no room for its record, and it will never run.
    Full,
}

/// Counts of a term so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Starts that were ordered.
    pub starts: u64,
    /// Starts that were given up without an answer, and those of them that had been carried out in time.
    pub given_up: u64,
    /// See `given_up`.
    pub premature: u64,
    /// Runs that were stopped.
    pub stops: u64,
    /// Starts beside a run that was in doubt.
    pub copies: u64,
    /// Starts that may go out between two ticks now.
    pub starts_at_a_time: u64,
    /// The shortest and the longest deadline of calls now, milliseconds; `None` before the first answer.
    pub deadlines_ms: Option<(u64, u64)>,
}
