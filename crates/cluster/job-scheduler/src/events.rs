//! The events from which the state of jobs, tasks and worker allocations is derived, and a log of
//! the most recent ones.
use crate::ids::{JobId, RunId, WorkerClassId, WorkerIndex};
use crate::record::{JobOutcome, JobRecord};
use compact_str::CompactString;
use std::collections::VecDeque;
use std::fmt;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    Done,
    Failed,
    /// The run was stopped, expired, lost with its worker, or rejected. It does not count as an
    /// attempt, and the task may be started again.
    Interrupted,
}

impl RunEnd {
    /// Converts the outcome in a worker's report; any unknown outcome is an interruption.
    pub(crate) fn from_reported(outcome: &str) -> Self {
        match outcome {
            "done" => RunEnd::Done,
            "failed" => RunEnd::Failed,
            _ => RunEnd::Interrupted,
        }
    }
}

/// A state change that must be durable. Applying the same events in order gives the same state.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    JobAccepted {
        job: JobId,
        record: Box<JobRecord>,
    },
    JobClosed {
        job: JobId,
        outcome: JobOutcome,
        closed_at_ms: u64,
    },
    JobRemoved {
        job: JobId,
    },
    /// A closed job was cancelled: its retention time begins again.
    RetentionRenewed {
        job: JobId,
        closed_at_ms: u64,
    },
    /// The identifier of a cancelled job that is not in the job table is remembered.
    CancellationRemembered {
        job: JobId,
        cancelled_at_ms: u64,
    },
    CancellationForgotten {
        job: JobId,
    },
    RunAssigned {
        run: RunId,
        worker: WorkerIndex,
    },
    RunEnded {
        run: RunId,
        end: RunEnd,
        checkpoint: CompactString,
    },
    /// More workers of a class are listed at once than ever before.
    WorkersListed {
        class: WorkerClassId,
        workers: u32,
    },
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::JobAccepted { job, record } => {
                write!(
                    f,
                    "job accepted job={job} host={} path_prefix={}",
                    record.queue.host, record.queue.path_prefix
                )
            }
            Event::JobClosed { job, outcome, .. } => write!(f, "job closed job={job} outcome={outcome:?}"),
            Event::JobRemoved { job } => write!(f, "closed job removed job={job}"),
            Event::RetentionRenewed { job, .. } => write!(f, "retention of closed job renewed job={job}"),
            Event::CancellationRemembered { job, .. } => write!(f, "cancellation remembered job={job}"),
            Event::CancellationForgotten { job } => write!(f, "cancellation forgotten job={job}"),
            Event::RunAssigned { run, worker } => write!(f, "run assigned {run} worker={}", worker.0),
            Event::RunEnded { run, end, .. } => write!(f, "run ended {run} end={end:?}"),
            Event::WorkersListed { class, workers } => {
                write!(f, "workers listed class={} workers={workers}", class.0)
            }
        }
    }
}

/// The number of most recent events that are kept.
const MAX_RECENT_EVENTS: usize = 1_000;

/// The most recent events, for debugging a running process or its core dump.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    recent: VecDeque<Event>,
    count: u64,
}

impl EventLog {
    pub(crate) fn append(&mut self, event: Event) {
        if self.recent.len() == MAX_RECENT_EVENTS {
            self.recent.pop_front();
        }
        self.recent.push_back(event);
        self.count += 1;
    }

    /// The number of events appended so far, including those no longer kept.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}
