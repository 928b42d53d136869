//! The platform's list of workers.
use crate::clock::WorkerClock;
use crate::config::Now;
use crate::events::End;
use crate::protocol::{ListedWorker, ListedWorkerState};
use crate::scheduler::Scheduler;
use crate::worker::{Resources, Standing, Worker};
use std::collections::BTreeSet;

impl Scheduler {
    /// Takes a complete list.
    pub fn update_workers(&mut self, now: Now, list: &[ListedWorker]) {
        let first = self.listed_at.is_none();
        self.listed_at = Some(now.monotonic_ms);
        let mut moved = Vec::new();
        let mut named = BTreeSet::new();
        for entry in list {
            let at = match self.index.get(entry.id.as_str()) {
                Some(at) => *at,
                None => self.join(now, entry, first),
            };
            named.insert(at);
            if self.update(at, entry) {
                moved.push(at);
            }
        }
        let all = 0..self.workers.len() as u32;
        let gone: Vec<u32> = all.filter(|at| !named.contains(at)).collect();
        for at in gone {
            if self.workers[at as usize].standing != Standing::Gone {
                moved.push(at);
                self.lose_worker(now, at);
            }
        }
        self.graphs.settle(&self.workers, &moved);
        self.room_changed |= !moved.is_empty();
    }

    /// A worker that was not known, or only by the records of its runs.
    fn join(&mut self, now: Now, entry: &ListedWorker, first: bool) -> u32 {
        // Others may have allowed a worker of the first list something; later ones are new.
        let clock = if first {
            WorkerClock::unknown(self.term_began, self.bounds.max_lease_ms)
        } else {
            WorkerClock::fresh()
        };
        self.add_worker(Worker::new(&entry.id, clock, now.monotonic_ms))
    }

    pub(crate) fn add_worker(&mut self, worker: Worker) -> u32 {
        let at = self.workers.len() as u32;
        self.index.insert(worker.id.clone(), at);
        self.workers.push(worker);
        at
    }

    /// Takes what the list says of a known worker; whether that changes where tasks may go.
    fn update(&mut self, at: u32, entry: &ListedWorker) -> bool {
        let worker = &mut self.workers[at as usize];
        let standing = match entry.state {
            ListedWorkerState::Ready => Standing::Ready,
            ListedWorkerState::Draining => Standing::Draining,
        };
        let capacity =
            Resources { cpu_millicores: entry.cpu_millicores, memory_mb: entry.memory_mb, gpus: entry.gpus };
        // One that answered as another incarnation may be listed for a while yet.
        let replaced = worker.standing == Standing::Gone && worker.fenced;
        if replaced || worker.standing == standing && worker.capacity == capacity {
            return false;
        }
        worker.address = entry.address.as_str().into();
        worker.service = entry.service.clone();
        worker.labels.clone_from(&entry.labels);
        worker.zone = entry.zone.clone();
        worker.capacity = capacity;
        if worker.standing != Standing::Draining {
            worker.standing = standing;
        }
        true
    }

    /// A worker is no more: all that ran there is over.
    pub(crate) fn lose_worker(&mut self, now: Now, at: u32) {
        let worker = &mut self.workers[at as usize];
        worker.standing = Standing::Gone;
        worker.fenced = true;
        worker.strays.clear();
        self.end_all(now, at);
    }

    /// Ends all runs on a worker, none of which goes on.
    pub(crate) fn end_all(&mut self, now: Now, at: u32) {
        let runs: Vec<_> = self.workers[at as usize].runs.iter().copied().collect();
        for (key, run) in runs {
            let saved = self.run(key, run).map(|r| r.saved.clone()).unwrap_or_default();
            self.end_run(now, key, run, End::Void, &saved);
        }
    }

    /// Ends what was allowed on workers that can't be reached and has run out there.
    pub(crate) fn expire_workers(&mut self, now: Now) {
        for at in 0..self.workers.len() as u32 {
            let worker = &mut self.workers[at as usize];
            let silent = !worker.reachable || !worker.fenced;
            if worker.standing != Standing::Gone && silent && worker.clock.lapsed(now.monotonic_ms) {
                worker.strays.clear();
                if !worker.runs.is_empty() {
                    self.end_all(now, at);
                }
            }
        }
    }

    /// Whether the list of workers has been read since this scheduler began, `for_ms` ago at least.
    pub(crate) fn knows_workers(&self, now: u64, for_ms: u64) -> bool {
        self.listed_at.is_some() && now >= self.term_began + for_ms
    }
}
