//! The reports of workers: ended, active, missing and orphaned runs.
use super::Scheduler;
use super::renewals::RENEWAL_TIMEOUT_MS;
use crate::commit::DeferredAction;
use crate::config::Now;
use crate::events::RunEnd;
use crate::ids::{RunId, WorkerIndex};
use crate::protocol::{FinishedTask, WorkerReport, WorkerRequest};
use crate::workers::Orphan;
use std::collections::BTreeSet;

/// The time to wait for the commit of run ends before the next renewal is sent without
/// acknowledging them, milliseconds.
const COMMIT_TIMEOUT_MS: u64 = 1_000;

/// A worker's report with the serial of the request that it answers. It does not show events later
/// than that request.
///
/// Invariant: only a report with all ends proves that a run is not on the worker. A partial one
/// proves what it lists and nothing about other runs, whose ends may follow in the next report.
#[derive(Clone, Debug)]
struct ReceivedReport<'a> {
    now: Now,
    worker: WorkerIndex,
    serial: u64,
    report: &'a WorkerReport,
    /// The runs that the report lists as active.
    running: BTreeSet<RunId>,
}

impl ReceivedReport<'_> {
    /// Whether the report lists the run as active or as ended.
    fn lists(&self, run: RunId) -> bool {
        self.running.contains(&run) || self.report.finished.iter().any(|finished| run_id(finished) == run)
    }
}

fn run_id(finished: &FinishedTask) -> RunId {
    RunId { task: finished.task, run: finished.run }
}

impl Scheduler {
    /// Handles a report. Ended runs are processed before active ones, and missing runs after both,
    /// so that a run counts as missing only if it is listed as neither.
    pub(super) fn handle_report(&mut self, now: Now, index: WorkerIndex, serial: u64, report: &WorkerReport) {
        let worker = &mut self.workers[index];
        let is_first = worker.mark_term_seen();
        if is_first || !report.lists_all_ends {
            log::debug!(
                "report received worker={} is_first={is_first} running={} ended={} lists_all_ends={}",
                worker.id(),
                report.running.len(),
                report.finished.len(),
                report.lists_all_ends
            );
        }
        if is_first {
            self.pending.capacity_changed();
        }
        if report.drain_remaining_ms.is_some() && worker.begin_draining() {
            self.placer.update_workers(&self.workers, &[index]);
        }
        let running = report.running.iter().map(|running| RunId { task: running.task, run: running.run });
        let running: BTreeSet<RunId> = running.collect();
        let received = ReceivedReport { now, worker: index, serial, report, running };
        self.resolve_timed_out_starts(&received);
        self.end_finished_runs(&received);
        self.update_running(&received);
        self.end_missing_runs(&received);
        self.stop_orphans(&received);
        self.defer_acknowledgement(now, index);
    }

    /// Resolves timed-out starts by the report: a listed run was started. If the report lists all
    /// ends, any other run is stopped, so that its start can no longer be carried out.
    fn resolve_timed_out_starts(&mut self, received: &ReceivedReport<'_>) {
        let mut not_carried_out = Vec::new();
        for id in self.workers[received.worker].allocation.runs() {
            let Some(run) = self.jobs.run_mut(*id) else { continue };
            if !run.has_timed_out_before(received.serial) {
                continue;
            }
            if received.lists(*id) {
                run.resolve_timeout();
                run.acknowledge_at(received.serial);
            } else if received.report.lists_all_ends {
                run.resolve_timeout();
                not_carried_out.push(*id);
            }
        }
        for run in not_carried_out {
            self.stop_run(received.now.monotonic_ms, run);
        }
    }

    /// Records the ends that the worker reports for the first time.
    fn end_finished_runs(&mut self, received: &ReceivedReport<'_>) {
        for finished in &received.report.finished {
            if !self.workers[received.worker].lease.receive_end(finished.number) {
                continue;
            }
            let run = run_id(finished);
            let end = RunEnd::from_reported(&finished.outcome);
            let is_active = self.jobs.is_run_on(run, received.worker);
            log::trace!("run end reported {run} outcome={} active={is_active}", finished.outcome);
            if is_active || self.is_new_end(run, end) {
                self.end_run(received.now, run, end, &finished.checkpoint);
            }
        }
    }

    /// Whether the end of a run that is no longer active still counts. A task is done at most once,
    /// and each run fails at most once.
    fn is_new_end(&self, run: RunId, end: RunEnd) -> bool {
        let Some(task) = self.jobs.task(run.task) else { return false };
        let is_new = end != RunEnd::Interrupted && !task.is_done() && !task.has_failed_run(run.run);
        is_new && self.jobs.is_open(run.task.job)
    }

    /// Updates progress and checkpoints of the runs that the report lists as active.
    fn update_running(&mut self, received: &ReceivedReport<'_>) {
        let now_ms = received.now.monotonic_ms;
        for running in &received.report.running {
            let id = RunId { task: running.task, run: running.run };
            let Some(run) = self.jobs.run_on_mut(id, received.worker) else { continue };
            run.record_report(now_ms, running);
            self.jobs.mark_begun(id.task.job);
            self.sample_speed(now_ms, id, false);
        }
    }

    /// Ends runs that the report lists neither as active nor as ended: they never began, or have
    /// ended without a reported end. A report without all ends shows neither.
    fn end_missing_runs(&mut self, received: &ReceivedReport<'_>) {
        if !received.report.lists_all_ends {
            return;
        }
        let runs = self.workers[received.worker].allocation.runs();
        let missing: Vec<RunId> = runs.difference(&received.running).copied().collect();
        for id in missing {
            let Some(run) = self.jobs.run(id) else { continue };
            // Starts of an earlier term have no effect once the worker responded to a renewal of
            // this term, as it has here.
            let is_fenced_off = run.may_be_of_earlier_term(self.term_started_at_ms);
            if run.is_observable_at(received.serial) || is_fenced_off {
                let checkpoint = run.checkpoint().clone();
                log::debug!("run missing in report {id} worker={}", self.workers[received.worker].id());
                self.end_run(received.now, id, RunEnd::Interrupted, &checkpoint);
            }
        }
    }

    /// Stops reported runs that no record assigns to the worker. These orphans occupy capacity
    /// until they are no longer reported.
    fn stop_orphans(&mut self, received: &ReceivedReport<'_>) {
        let mut orphans = Vec::new();
        for running in &received.report.running {
            let run = RunId { task: running.task, run: running.run };
            if !self.jobs.is_run_on(run, received.worker) {
                orphans.push(Orphan { run, demand: self.jobs.demand(run.task) });
            }
        }
        let worker = &mut self.workers[received.worker];
        for orphan in &orphans {
            let stop = WorkerRequest::Stop { task: orphan.run.task, run: orphan.run.run };
            self.calls.enqueue(worker, stop, RENEWAL_TIMEOUT_MS);
        }
        if worker.allocation.set_orphans(orphans) {
            self.capacity_freed(received.worker);
        }
    }

    /// Defers the acknowledgement of the ends received so far until their records are durable.
    fn defer_acknowledgement(&mut self, now: Now, worker: WorkerIndex) {
        if self.workers[worker].lease.has_unacknowledged_ends() {
            self.change_renewal(worker, |lease| lease.await_commit(now.monotonic_ms, COMMIT_TIMEOUT_MS));
            let up_to = self.workers[worker].lease.received_end();
            self.commits.defer(DeferredAction::AcknowledgeEnds { worker, up_to });
        }
    }
}
