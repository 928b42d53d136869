//! Gangs: tasks that only work while all members of their stage run.
use crate::run_id::{RunId, RunOutcome};
use crate::safety_checker::SafetyChecker;
use crate::simulated_worker::SimulatedWorker;
use spanlead_job_scheduler::TaskId;
use std::collections::BTreeMap;

/// A member of a gang, and the worker on which it runs.
struct GangMember {
    worker_index: usize,
    task: TaskId,
}

/// Ends the gangs that were complete for long enough: all their members succeed together.
///
/// `now_ms` is the time of the simulation in milliseconds.
pub fn finish_gangs(workers: &mut [SimulatedWorker], now_ms: u64, checker: &mut SafetyChecker) {
    for (gang, members) in running_gangs(workers) {
        let size = checker.stage(gang.task).map_or(0, |stage| stage.count) as usize;
        let is_complete = members.len() == size;
        let mut is_due = true;
        for GangMember { worker_index, task } in &members {
            // Visit every member: each keeps the time since which the gang is complete.
            let run = RunId { task: *task, run: gang.run };
            is_due &= workers[*worker_index].is_gang_run_due(now_ms, run, is_complete);
        }
        if is_complete && is_due {
            for GangMember { worker_index, task } in members {
                let run = RunId { task, run: gang.run };
                workers[worker_index].end_run(now_ms, run, RunOutcome::Done, checker);
            }
        }
    }
}

/// The members of each gang, by the run of its first task.
fn running_gangs(workers: &[SimulatedWorker]) -> BTreeMap<RunId, Vec<GangMember>> {
    let mut gangs: BTreeMap<RunId, Vec<GangMember>> = BTreeMap::new();
    for (worker_index, worker) in workers.iter().enumerate() {
        for run in worker.running.iter().filter(|run| run.is_gang) {
            let task = run.id.task;
            let gang = RunId { task: TaskId { index: 0, ..task }, run: run.id.run };
            gangs.entry(gang).or_default().push(GangMember { worker_index, task });
        }
    }
    gangs
}
