//! Runs that must end.
use crate::deadlines;
use crate::ids::{JobId, TaskId};
use crate::job::Phase;
use crate::protocol::WorkerRequest;
use crate::scheduler::Scheduler;

/// How often at most the time between two stops of a run is doubled.
const MOST_STOP_DOUBLINGS: u32 = 4;

impl Scheduler {
    /// Stops all that runs of a job.
    pub(crate) fn stop_all(&mut self, now: u64, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let mut runs = Vec::new();
        for (occurrence, steps) in &job.occurrences {
            for (stage, step) in steps.stages.iter().enumerate() {
                for (index, task) in step.tasks.iter().enumerate() {
                    let (stage, index) = (stage as u16, index as u32);
                    let key = TaskId { job: id, occurrence: *occurrence, stage, index };
                    runs.extend(task.active.iter().map(|run| (key, run.run)));
                }
            }
        }
        for (key, run) in runs {
            self.stop_run(now, key, run);
        }
    }

    /// Stops all runs of a task.
    pub(crate) fn stop_task(&mut self, now: u64, key: TaskId) {
        let runs: Vec<u32> = self.task(key).iter().flat_map(|task| &task.active).map(|run| run.run).collect();
        for run in runs {
            self.stop_run(now, key, run);
        }
    }

    /// Stops a run. One that was not ordered yet ends when its record lasts.
    pub(crate) fn stop_run(&mut self, now: u64, key: TaskId, run: u32) {
        let Some(held) = self.run_mut(key, run) else { return };
        if held.stopping {
            return;
        }
        held.stopping = true;
        self.figures.stops += 1;
        let Some(held) = self.run_mut(key, run) else { return };
        if held.phase == Phase::Recorded {
            return;
        }
        held.stop_sent_at = now;
        let worker = held.worker;
        self.stopping.insert((key, run));
        self.call(worker, WorkerRequest::Stop { task: key, run }, deadlines::MOST_MS);
    }

    /// Says it again to workers that did not answer.
    pub(crate) fn resend_stops(&mut self, now: u64) {
        let wanted: Vec<_> = self.stopping.iter().copied().collect();
        for (key, run) in wanted {
            let Some(held) = self.run(key, run) else {
                self.stopping.remove(&(key, run));
                continue;
            };
            let (worker, sent_at, tries) = (held.worker, held.stop_sent_at, held.stop_tries);
            let timeout_ms = self.deadline(worker);
            if now < sent_at + (timeout_ms << tries) {
                continue;
            }
            if let Some(held) = self.run_mut(key, run) {
                held.stop_sent_at = now;
                held.stop_tries = (tries + 1).min(MOST_STOP_DOUBLINGS);
            }
            if self.workers[worker as usize].reachable {
                self.call(worker, WorkerRequest::Stop { task: key, run }, deadlines::MOST_MS);
            }
        }
    }
}
