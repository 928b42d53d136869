//! What is kept of jobs: keys and records of the replicated key space.
use crate::job::Outcome;
use crate::spec::JobSpec;
use rkyv::{Archive, Deserialize, Serialize};
use std::fmt;

/// A queue: the place of a route.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Queue {
    /// The host of its requests.
    pub host: String,
    /// How their paths begin.
    pub prefix: String,
}

/// A task: which job, which time, which step, which of the step's tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The job.
    pub job: u64,
    /// The time, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub stage: u16,
    /// The task, from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}.{}", self.job, self.occurrence, self.stage, self.index)
    }
}

impl TaskKey {
    /// Reads a task's name on the wire.
    #[must_use]
    pub fn read(name: &str) -> Option<Self> {
        let mut parts = name.split('.');
        let job = u64::from_str_radix(parts.next()?, 16).ok()?;
        let occurrence = parts.next()?.parse().ok()?;
        let stage = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(TaskKey { job, occurrence, stage, index })
    }
}

/// A job as it was accepted.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub(crate) struct JobRecord {
    pub queue: Queue,
    pub service: String,
    pub priority: u8,
    pub max_attempts: u32,
    /// Milliseconds since 1970.
    pub accepted_at: u64,
    pub spec: JobSpec,
}

/// How a job ended.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClosedRecord {
    pub outcome: Outcome,
    /// Milliseconds since 1970.
    pub at: u64,
}

/// A task that was ever started.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct TaskRecord {
    /// The number of its last start.
    pub run: u32,
    /// The runs that ended `failed`.
    pub failed: Vec<u32>,
    pub done: bool,
    /// Its last checkpoint; empty for none.
    pub saved: String,
    /// Starts whose end is not known: number and worker.
    pub active: Vec<(u32, String)>,
}

const JOB: u8 = b'j';
const CLOSED: u8 = b's';
const TASK: u8 = b't';

/// A key of the key space that belongs to jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Key {
    Job(u64),
    Closed(u64),
    Task(TaskKey),
}

impl Key {
    pub fn encode(self) -> Vec<u8> {
        match self {
            Key::Job(job) => [&[JOB][..], &job.to_be_bytes()].concat(),
            Key::Closed(job) => [&[CLOSED][..], &job.to_be_bytes()].concat(),
            Key::Task(task) => [
                &[TASK][..],
                &task.job.to_be_bytes(),
                &task.occurrence.to_be_bytes(),
                &task.stage.to_be_bytes(),
                &task.index.to_be_bytes(),
            ]
            .concat(),
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (kind, rest) = bytes.split_first()?;
        let job = u64::from_be_bytes(rest.get(..8)?.try_into().ok()?);
        match (*kind, rest.len()) {
            (JOB, 8) => Some(Key::Job(job)),
            (CLOSED, 8) => Some(Key::Closed(job)),
            (TASK, 18) => Some(Key::Task(TaskKey {
                job,
                occurrence: u32::from_be_bytes(rest[8..12].try_into().ok()?),
                stage: u16::from_be_bytes(rest[12..14].try_into().ok()?),
                index: u32::from_be_bytes(rest[14..18].try_into().ok()?),
            })),
            _ => None,
        }
    }
}

/// A record in the form of the key space.
macro_rules! coded {
    ($($record:ty),*) => {$(
        impl $record {
            pub fn encode(&self) -> Vec<u8> {
                rkyv::to_bytes::<rkyv::rancor::Error>(self).map(|bytes| bytes.to_vec()).unwrap_or_default()
            }

            pub fn decode(bytes: &[u8]) -> Option<Self> {
                rkyv::from_bytes::<$record, rkyv::rancor::Error>(bytes).ok()
            }
        }
    )*};
}

coded!(JobRecord, ClosedRecord, TaskRecord);
