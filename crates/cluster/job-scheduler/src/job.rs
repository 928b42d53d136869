//! A job in memory.
use crate::record::{JobRecord, TaskRecord};
use compact_str::CompactString;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How a job ended.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks have ended `done`.
    Succeeded,
    /// A task has failed too often, or can never be done.
    Failed,
    /// The client said so.
    Cancelled,
}

/// A job's state as clients are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// Nothing of it was started.
    Queued,
    /// Something was.
    Running,
    /// It is over.
    Closed(JobOutcome),
}

/// Whether a start is known to have been carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Recorded; it goes out when the record lasts.
    Recorded,
    /// Ordered; the answer is out.
    Ordered,
    /// Known to run.
    Started,
    /// No answer came.
    Unknown,
}

/// A start of a task whose end is not known.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub run: u32,
    pub worker: u32,
    pub phase: Phase,
    /// An answer to a hold with a higher serial shows whether it is there.
    pub settled: Option<u64>,
    /// The start was given up: an answer to a hold with a higher serial shows whether it was carried out.
    pub given_up: Option<u64>,
    pub ordered_at: u64,
    /// Progress as last told, when it last rose, and since when it is watched: our time.
    pub percent: f64,
    pub progress_at: u64,
    pub started_at: u64,
    /// When the worker last listed it.
    pub told_at: u64,
    pub saved: CompactString,
    /// Whether it has been counted for its worker's pace.
    pub judged: bool,
    /// Whether it takes far longer where it is than it would elsewhere.
    pub slow: bool,
    pub stopping: bool,
    pub stop_sent_at: u64,
    /// How often it was told to stop without an answer.
    pub stop_tries: u32,
}

impl Run {
    /// A start of which nothing was heard yet.
    pub fn new(run: u32, worker: u32, phase: Phase, now: u64) -> Self {
        Run {
            run,
            worker,
            phase,
            settled: None,
            given_up: None,
            ordered_at: now,
            percent: 0.0,
            progress_at: now,
            started_at: now,
            told_at: now,
            saved: CompactString::default(),
            judged: false,
            slow: false,
            stopping: false,
            stop_sent_at: 0,
            stop_tries: 0,
        }
    }
}

/// A task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub last_run: u32,
    /// The runs that ended `failed`; of a gang, its first task keeps them.
    pub failed: Vec<u32>,
    pub done: bool,
    pub saved: CompactString,
    pub active: Vec<Run>,
    /// Workers where it failed.
    pub avoid: Vec<u32>,
}

impl Task {
    /// What is kept of it.
    pub fn record(&self, worker: impl Fn(u32) -> String) -> TaskRecord {
        TaskRecord {
            run: self.last_run,
            failed: self.failed.clone(),
            done: self.done,
            saved: self.saved.to_string(),
            active: self.active.iter().map(|run| (run.run, worker(run.worker))).collect(),
        }
    }
}

/// A step of one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageState {
    pub tasks: Vec<Task>,
    /// Tasks that are not done.
    pub remaining: u32,
    /// Whether its turn has come.
    pub open: bool,
}

/// All steps of one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Occurrence {
    pub stages: Vec<StageState>,
}

impl Occurrence {
    pub fn done(&self) -> bool {
        self.stages.iter().all(|stage| stage.remaining == 0)
    }
}

/// A job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub record: JobRecord,
    pub text: Arc<str>,
    pub service: CompactString,
    pub closed: Option<(JobOutcome, u64)>,
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// The next time that is not yet due.
    pub next_occurrence: u32,
    /// Whether anything was ever started.
    pub touched: bool,
    /// Whether a worker is known to have begun a task of it.
    pub begun: bool,
    /// Our time when it was first found to be impossible.
    pub impossible_since: Option<u64>,
}

impl Job {
    pub fn new(record: JobRecord) -> Self {
        Job {
            text: record.spec.payload.as_str().into(),
            service: record.service.as_str().into(),
            record,
            closed: None,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            touched: false,
            begun: false,
            impossible_since: None,
        }
    }

    pub fn state(&self) -> JobState {
        match self.closed {
            Some((outcome, _)) => JobState::Closed(outcome),
            None if self.touched => JobState::Running,
            None => JobState::Queued,
        }
    }

    /// Makes a time's steps, none begun.
    pub fn occurrence(&mut self, number: u32) -> &mut Occurrence {
        let stages = &self.record.spec.stages;
        self.occurrences.entry(number).or_insert_with(|| Occurrence {
            stages: stages
                .iter()
                .map(|stage| StageState {
                    tasks: vec![Task::default(); stage.count as usize],
                    remaining: stage.count,
                    open: false,
                })
                .collect(),
        })
    }
}
