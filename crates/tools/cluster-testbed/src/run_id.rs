//! Runs of tasks, and how they end.
use spanlead_job_scheduler::TaskId;

/// One start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// The number of the start, which grows with each start of the task.
    pub run: u32,
}

/// How a run ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It succeeded.
    Done,
    /// It failed.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// The worker's lease expired.
    LeaseExpired,
    /// The other members of its gang were not there in time.
    GangIncomplete,
}

impl RunOutcome {
    /// The name in the worker protocol.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            RunOutcome::Done => "done",
            RunOutcome::Failed => "failed",
            RunOutcome::Stopped => "stopped",
            RunOutcome::LeaseExpired => "lapsed",
            RunOutcome::GangIncomplete => "alone",
        }
    }
}

/// The end of a run on a worker.
#[derive(Clone, Copy, Debug)]
pub struct RunEnd<'a> {
    /// The worker's incarnation.
    pub worker_id: &'a str,
    /// The number of the end on that worker, counted from 1.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub outcome: RunOutcome,
}
