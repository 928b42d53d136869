//! Identifiers of jobs, tasks, runs, queues and workers.
use rkyv::{Archive, Deserialize, Serialize};
use std::fmt;

/// A job's identifier, chosen by its client: 16 hexadecimal digits on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The identifier of a job queue: the host and path prefix of the route that its requests match.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueId {
    /// The host of the route.
    pub host: String,
    /// The path prefix of the route.
    pub path_prefix: String,
}

/// The identifier of a task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The number of the job's occurrence, from 0.
    pub occurrence: u32,
    /// The number of the stage, from 0.
    pub stage: u16,
    /// The task's index within its stage, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.stage, self.index)
    }
}

impl TaskId {
    /// Parses the form that [`fmt::Display`] writes, which is also the form on the wire; `None` for
    /// any other form.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        let mut parts = name.split('.');
        let job = JobId(u64::from_str_radix(parts.next()?, 16).ok()?);
        let occurrence = parts.next()?.parse().ok()?;
        let stage = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(TaskId { job, occurrence, stage, index })
    }

    /// The first task of its stage, which represents a gang as a whole.
    pub(crate) fn first_of_stage(self) -> Self {
        TaskId { index: 0, ..self }
    }
}

/// The identifier of a run, which is one start of a task. Runs of a task are numbered from 1 in the
/// order of their starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RunId {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "task={} run={}", self.task, self.run)
    }
}

/// The identifier of a worker class. Classes are numbered in the order in which they were first
/// listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct WorkerClassId(pub(crate) u32);

impl WorkerClassId {
    /// The identifier of the class after this one.
    pub(crate) fn next(self) -> Self {
        WorkerClassId(self.0 + 1)
    }
}

/// The position of a worker in the registry. Workers are never removed from the registry, so an
/// index stays valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct WorkerIndex(pub(crate) u32);
