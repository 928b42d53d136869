//! Updates from the platform's worker list, and the ends of runs whose worker was replaced or whose
//! leases have expired.
//!
//! Invariant: a list is no evidence about runs. It is read in parts, between which entries may
//! shift, so it may leave out a worker that lives. A run ends only by a report, by the expiry of all
//! leases of its worker, or because another incarnation responds at the worker's address.
use super::Scheduler;
use crate::config::Now;
use crate::events::{Event, RunEnd};
use crate::ids::{RunId, WorkerClassId, WorkerIndex};
use crate::protocol::ListedWorker;
use crate::workers::{Worker, WorkerClock};
use std::collections::{BTreeMap, BTreeSet};

impl Scheduler {
    /// Updates the workers from the platform's list. A worker that the list does not name is given
    /// no new tasks until it is listed again.
    pub fn update_workers(&mut self, now: Now, list: &[ListedWorker]) {
        self.has_worker_list = true;
        let mut changed = Vec::new();
        let mut listed = BTreeSet::new();
        for entry in list {
            let index = match self.workers.find(&entry.id) {
                Some(index) => index,
                None => self.add_listed_worker(now, entry),
            };
            listed.insert(index);
            if self.workers[index].update_listing(entry) {
                changed.push(index);
            }
        }
        for index in self.workers.indices().filter(|index| !listed.contains(index)) {
            if self.workers[index].mark_missing_in_list() {
                changed.push(index);
                self.report_missing(index);
            }
        }
        for index in &changed {
            // Sets the due time of the renewal again, as the worker may have got an address.
            self.change_renewal(*index, |_| ());
        }
        if !changed.is_empty() {
            self.record_worker_classes(now, &changed, &listed);
            self.placer.update_workers(&self.workers, &changed);
            self.pending.capacity_changed();
        }
    }

    /// Reports in the log and the metrics that the list does not name a worker.
    fn report_missing(&mut self, index: WorkerIndex) {
        let worker = &self.workers[index];
        log::info!("worker missing in list worker={} runs={}", worker.id(), worker.allocation.runs().len());
        self.metrics.workers_missing_in_list += 1;
    }

    /// Records the classes of which more workers are listed than ever before. `changed` are the
    /// workers whose class may be new.
    fn record_worker_classes(&mut self, now: Now, changed: &[WorkerIndex], listed: &BTreeSet<WorkerIndex>) {
        for index in changed.iter().filter(|index| listed.contains(index)) {
            let class = self.worker_classes.find_or_add(&self.workers[*index]);
            self.workers[*index].set_class(class);
        }
        let mut counts: BTreeMap<WorkerClassId, u32> = BTreeMap::new();
        for class in listed.iter().filter_map(|index| self.workers[*index].class()) {
            *counts.entry(class).or_default() += 1;
        }
        for (class, workers) in counts {
            if workers > self.worker_classes.max_workers(class) {
                self.record_event(now.monotonic_ms, Event::WorkersListed { class, workers });
            }
        }
    }

    /// Adds a listed worker that no record names. It may have a lease from an earlier term, whether
    /// or not it was in the first list of this term.
    fn add_listed_worker(&mut self, now: Now, entry: &ListedWorker) -> WorkerIndex {
        let clock = WorkerClock::unknown(self.term_started_at_ms, self.config.max_lease_ms);
        self.add_worker(Worker::new(&entry.id, clock, now.monotonic_ms))
    }

    /// Adds a worker to the registry and schedules its renewal.
    pub(super) fn add_worker(&mut self, worker: Worker) -> WorkerIndex {
        let index = self.workers.add(worker);
        self.change_renewal(index, |_| ());
        index
    }

    /// Marks an incarnation of a worker as replaced by another one, and ends all its runs.
    pub(super) fn mark_worker_replaced(&mut self, now: Now, index: WorkerIndex) {
        self.workers[index].mark_replaced();
        self.placer.update_workers(&self.workers, &[index]);
        self.end_all_runs_on(now, index);
    }

    fn end_all_runs_on(&mut self, now: Now, index: WorkerIndex) {
        let runs: Vec<RunId> = self.workers[index].allocation.runs().iter().copied().collect();
        for id in runs {
            let checkpoint = self.jobs.run(id).map(|run| run.checkpoint().clone()).unwrap_or_default();
            self.end_run(now, id, RunEnd::Interrupted, &checkpoint);
        }
    }

    /// Ends the runs on workers that are unreachable or have not responded in this term, and whose
    /// leases have all expired. Those of them that are not listed have departed.
    pub(super) fn end_expired_runs(&mut self, now: Now) {
        for index in self.workers.indices() {
            let worker = &mut self.workers[index];
            let has_contact = worker.is_reachable() && worker.has_seen_term();
            if has_contact || worker.is_gone() || !worker.lease.is_expired(now.monotonic_ms) {
                continue;
            }
            if worker.allocation.clear_orphans() {
                self.capacity_freed(index);
            }
            self.report_expired_runs(index);
            self.end_all_runs_on(now, index);
            if self.has_worker_list {
                self.workers[index].depart_if_unlisted();
            }
        }
    }

    /// Reports in the log and the metrics that the runs on a worker end because its leases have
    /// expired.
    fn report_expired_runs(&mut self, index: WorkerIndex) {
        let worker = &self.workers[index];
        let runs = worker.allocation.runs().len();
        if runs > 0 {
            log::info!("lease expired worker={} runs={runs}", worker.id());
            self.metrics.expired_runs += runs as u64;
        }
    }
}
