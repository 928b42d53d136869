//! Shared test support: a configuration, job bodies, a scheduler whose calls the test answers
//! itself ([`ManualScheduler`]), and a cluster simulated from a seed ([`SimulatedCluster`]).
#![allow(dead_code, unused_imports, reason = "each test file uses only a part of this module")]
mod manual;
mod simulated;

pub use manual::{ManualScheduler, listed_worker};
pub use simulated::SimulatedCluster;

use spanlead_cluster_testbed::{GANG_ASSEMBLY_TIMEOUT_MS, MAX_LEASE_MS, STOP_TIMEOUT_MS};
use spanlead_job_scheduler::{
    JobId, QueueId, QueuePolicy, RecordChange, SchedulerConfig, TaskId, WorkerCall, WorkerRequest,
};
use std::collections::BTreeMap;

/// The configuration of the schedulers under test, with the limits of the testbed's workers.
pub const CONFIG: SchedulerConfig = SchedulerConfig {
    max_lease_ms: MAX_LEASE_MS,
    gang_assembly_timeout_ms: GANG_ASSEMBLY_TIMEOUT_MS,
    stop_timeout_ms: STOP_TIMEOUT_MS,
    checkpoint_restore_ms: 600,
    closed_job_retention_ms: 120_000,
    remote_data_slowdown: 3.0,
    max_concurrent_calls: 10_000,
};

/// A job of one task. A worker of [`ManualScheduler`] has capacity for one such task.
pub const ONE_TASK: &str = r#"{"spec":"x","stages":[{"count":1,"cpu":600,"memMb":10,"estRuntimeMs":500}]}"#;
/// A job of one task. A worker of [`ManualScheduler`] has capacity for three such tasks.
pub const SMALL_TASK: &str = r#"{"spec":"x","stages":[{"count":1,"cpu":300,"memMb":10,"estRuntimeMs":500}]}"#;

/// The policy of the queue of all test jobs.
pub fn policy() -> QueuePolicy {
    QueuePolicy { queue: QueueId::default(), service: "s".into(), priority: 1, max_attempts: 3 }
}

/// The first task of the first stage of a job.
pub fn first_task(job: u64) -> TaskId {
    TaskId { job: JobId(job), occurrence: 0, stage: 0, index: 0 }
}

/// The records of the replicated key space: values by key.
pub type Records = BTreeMap<Vec<u8>, Vec<u8>>;

/// Writes changes to the records.
pub fn apply_changes(records: &mut Records, changes: Vec<RecordChange>) {
    for RecordChange { key, value } in changes {
        match value {
            Some(value) => records.insert(key, value),
            None => records.remove(&key),
        };
    }
}

/// Whether a call starts a run.
pub fn is_start(call: &WorkerCall) -> bool {
    matches!(call.request, WorkerRequest::Start { .. })
}

/// Whether a call stops a run.
pub fn is_stop(call: &WorkerCall) -> bool {
    matches!(call.request, WorkerRequest::Stop { .. })
}

/// The starts among `calls`.
pub fn starts(calls: &[WorkerCall]) -> Vec<&WorkerCall> {
    calls.iter().filter(|call| is_start(call)).collect()
}

/// The only start among `calls`. Panics unless there is exactly one.
pub fn single_start(calls: &[WorkerCall]) -> WorkerCall {
    let starts = starts(calls);
    assert_eq!(starts.len(), 1, "expected one start: {calls:?}");
    starts[0].clone()
}

/// The first lease renewal or query to a worker among `calls`, if any.
pub fn renewal_to<'a>(calls: &'a [WorkerCall], worker_id: &str) -> Option<&'a WorkerCall> {
    let is_renewal = |call: &WorkerCall| matches!(call.request, WorkerRequest::RenewLease { .. });
    calls.iter().find(|call| *call.worker_id == *worker_id && is_renewal(call))
}

/// The task and the number of the run that a call starts. Panics if the call is not a start.
pub fn started_run(start: &WorkerCall) -> (TaskId, u32) {
    let WorkerRequest::Start { task, run, .. } = start.request else { panic!("expected a start: {start:?}") };
    (task, run)
}
