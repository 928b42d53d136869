//! The stored form of jobs and worker classes: keys and records of the replicated key space.
//!
//! rkyv encodes records by the order and the types of their fields and variants. Neither may
//! change; names may.
use crate::ids::{JobId, QueueId, TaskId, WorkerClassId};
use crate::spec::JobSpec;
use rkyv::{Archive, Deserialize, Serialize};

/// How a job ended.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks are done.
    Succeeded,
    /// A task used up its attempts, or no worker is able to run it.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

/// The record of an accepted job.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub(crate) struct JobRecord {
    pub(crate) queue: QueueId,
    pub(crate) service: String,
    pub(crate) priority: u8,
    pub(crate) max_attempts: u32,
    /// Milliseconds since the Unix epoch.
    pub(crate) accepted_at_ms: u64,
    pub(crate) spec: JobSpec,
}

/// The record of a closed job's end. Without a job record it holds the identifier of a cancelled
/// job, which may not be submitted any more.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClosedRecord {
    pub(crate) outcome: JobOutcome,
    /// Milliseconds since the Unix epoch.
    pub(crate) closed_at_ms: u64,
}

/// The record of a task that was started at least once.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct TaskRecord {
    /// The number of its last run.
    pub(crate) last_run: u32,
    /// The numbers of the runs that failed.
    pub(crate) failed_runs: Vec<u32>,
    pub(crate) done: bool,
    /// Its last checkpoint; empty for none.
    pub(crate) checkpoint: String,
    /// The runs whose end is not known: the number of the run and the identifier of its worker.
    pub(crate) active_runs: Vec<(u32, String)>,
}

/// The record of a worker class: what its workers have in common, and how many were ever listed at
/// once.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub(crate) struct WorkerClassRecord {
    pub(crate) service: String,
    pub(crate) labels: Vec<String>,
    pub(crate) cpu_millicores: u64,
    pub(crate) memory_mb: u64,
    pub(crate) gpus: u64,
    pub(crate) max_workers: u32,
}

/// A change of one key of the replicated key space.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordChange {
    /// The key.
    pub key: Vec<u8>,
    /// Its new value; `None` removes the key.
    pub value: Option<Vec<u8>>,
}

const JOB_PREFIX: u8 = b'j';
const CLOSED_PREFIX: u8 = b's';
const TASK_PREFIX: u8 = b't';
const WORKER_CLASS_PREFIX: u8 = b'w';

/// A key of the key space that belongs to the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum RecordKey {
    Job(JobId),
    Closed(JobId),
    Task(TaskId),
    WorkerClass(WorkerClassId),
}

impl RecordKey {
    /// Encodes the key as a prefix byte and the numbers in big-endian order, so that encoded keys
    /// sort like their identifiers.
    pub(crate) fn encode(self) -> Vec<u8> {
        match self {
            RecordKey::Job(job) => [&[JOB_PREFIX][..], &job.0.to_be_bytes()].concat(),
            RecordKey::Closed(job) => [&[CLOSED_PREFIX][..], &job.0.to_be_bytes()].concat(),
            RecordKey::Task(task) => [
                &[TASK_PREFIX][..],
                &task.job.0.to_be_bytes(),
                &task.occurrence.to_be_bytes(),
                &task.stage.to_be_bytes(),
                &task.index.to_be_bytes(),
            ]
            .concat(),
            RecordKey::WorkerClass(class) => [&[WORKER_CLASS_PREFIX][..], &class.0.to_be_bytes()].concat(),
        }
    }

    /// Decodes a key; `None` for a key of another component or of an unknown version.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let (prefix, rest) = bytes.split_first()?;
        if *prefix == WORKER_CLASS_PREFIX {
            return Some(RecordKey::WorkerClass(WorkerClassId(u32::from_be_bytes(rest.try_into().ok()?))));
        }
        let job = JobId(u64::from_be_bytes(rest.get(..8)?.try_into().ok()?));
        match (*prefix, rest.len()) {
            (JOB_PREFIX, 8) => Some(RecordKey::Job(job)),
            (CLOSED_PREFIX, 8) => Some(RecordKey::Closed(job)),
            (TASK_PREFIX, 18) => Some(RecordKey::Task(TaskId {
                job,
                occurrence: u32::from_be_bytes(rest[8..12].try_into().ok()?),
                stage: u16::from_be_bytes(rest[12..14].try_into().ok()?),
                index: u32::from_be_bytes(rest[14..18].try_into().ok()?),
            })),
            _ => None,
        }
    }
}

/// Implements encoding with rkyv; decoding validates the bytes.
macro_rules! impl_codec {
    ($($record:ty),*) => {$(
        impl $record {
            pub(crate) fn encode(&self) -> Vec<u8> {
                rkyv::to_bytes::<rkyv::rancor::Error>(self).map(|bytes| bytes.to_vec()).unwrap_or_default()
            }

            pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
                rkyv::from_bytes::<$record, rkyv::rancor::Error>(bytes).ok()
            }
        }
    )*};
}

impl_codec!(JobRecord, ClosedRecord, TaskRecord, WorkerClassRecord);

/// A record with its key.
pub(crate) enum StoredRecord {
    Job(JobId, JobRecord),
    Closed(JobId, ClosedRecord),
    Task(TaskId, TaskRecord),
    WorkerClass(WorkerClassId, WorkerClassRecord),
}

impl StoredRecord {
    /// Decodes a record; `None` if this version can't read it.
    pub(crate) fn decode(key: &[u8], value: &[u8]) -> Option<Self> {
        match RecordKey::decode(key)? {
            RecordKey::Job(job) => Some(StoredRecord::Job(job, JobRecord::decode(value)?)),
            RecordKey::Closed(job) => Some(StoredRecord::Closed(job, ClosedRecord::decode(value)?)),
            RecordKey::Task(task) => Some(StoredRecord::Task(task, TaskRecord::decode(value)?)),
            RecordKey::WorkerClass(class) => {
                Some(StoredRecord::WorkerClass(class, WorkerClassRecord::decode(value)?))
            }
        }
    }
}

/// Whether this version can decode a record of the key space.
#[must_use]
pub fn is_readable_record(key: &[u8], value: &[u8]) -> bool {
    StoredRecord::decode(key, value).is_some()
}
