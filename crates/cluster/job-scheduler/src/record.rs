//! What is kept of jobs: keys and records of the replicated key space.
use crate::ids::{JobId, QueueId, TaskId};
use crate::job::JobOutcome;
use crate::spec::JobSpec;
use rkyv::{Archive, Deserialize, Serialize};

/// A job as it was accepted.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub(crate) struct JobRecord {
    pub queue: QueueId,
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
    pub outcome: JobOutcome,
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
    Job(JobId),
    Closed(JobId),
    Task(TaskId),
}

impl Key {
    pub fn encode(self) -> Vec<u8> {
        match self {
            Key::Job(job) => [&[JOB][..], &job.0.to_be_bytes()].concat(),
            Key::Closed(job) => [&[CLOSED][..], &job.0.to_be_bytes()].concat(),
            Key::Task(task) => [
                &[TASK][..],
                &task.job.0.to_be_bytes(),
                &task.occurrence.to_be_bytes(),
                &task.stage.to_be_bytes(),
                &task.index.to_be_bytes(),
            ]
            .concat(),
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (kind, rest) = bytes.split_first()?;
        let job = JobId(u64::from_be_bytes(rest.get(..8)?.try_into().ok()?));
        match (*kind, rest.len()) {
            (JOB, 8) => Some(Key::Job(job)),
            (CLOSED, 8) => Some(Key::Closed(job)),
            (TASK, 18) => Some(Key::Task(TaskId {
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
