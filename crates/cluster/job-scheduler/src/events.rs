//! The events that jobs, tasks and workers' loads follow from, and a log of the last ones.
use crate::ids::{JobId, RunId, WorkerIndex};
use crate::record::{JobOutcome, JobRecord};
use compact_str::CompactString;
use std::collections::VecDeque;
use std::fmt;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    Done,
    Failed,
    /// Stopped, expired, lost with its worker, or rejected: it counts as no attempt and the task
    /// may start again.
    Interrupted,
}

impl RunEnd {
    /// The end as a worker reports it.
    pub(crate) fn from_reported(outcome: &str) -> Self {
        match outcome {
            "done" => RunEnd::Done,
            "failed" => RunEnd::Failed,
            _ => RunEnd::Interrupted,
        }
    }
}

/// Something that happened and must last. Applying the same events gives the same state.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    JobAccepted { job: JobId, record: Box<JobRecord> },
    JobClosed { job: JobId, outcome: JobOutcome, closed_at_ms: u64 },
    JobRemoved { job: JobId },
    RunAssigned { run: RunId, worker: WorkerIndex },
    RunEnded { run: RunId, end: RunEnd, checkpoint: CompactString },
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
            Event::RunAssigned { run, worker } => write!(f, "run assigned {run} worker={}", worker.0),
            Event::RunEnded { run, end, .. } => write!(f, "run ended {run} end={end:?}"),
        }
    }
}

/// The number of events that are kept.
const MAX_KEPT_EVENTS: usize = 1_000;

/// The last events, for whoever inspects a running process or its core dump.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    last: VecDeque<Event>,
    count: u64,
}

impl EventLog {
    pub(crate) fn append(&mut self, event: Event) {
        if self.last.len() == MAX_KEPT_EVENTS {
            self.last.pop_front();
        }
        self.last.push_back(event);
        self.count += 1;
    }

    /// The number of events so far.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}
