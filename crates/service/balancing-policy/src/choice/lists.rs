//! The list of workers: what it says, and when it is asked for.
use super::*;

/// A change counts as told 6 s after discovery had it and could be reached, whatever failed before. So those
/// that start make their first call within this time, and after failed calls the longest back-off ends here:
/// a call that was out when discovery came back takes 2 s, and the one that follows 1 s. As long as that
/// allows, since discovery works through its calls one by one.
const FIRST_CALL: Nanos = 15 * SEC / 4;
const BACK_OFF: Nanos = 11 * SEC / 4;

impl Dispatcher {
    pub(super) fn members(
        &mut self,
        now: Nanos,
        scope: ListScope,
        entries: &[Entry<'_>],
        out: &mut Vec<Action>,
    ) {
        let (mut listed, mut moved) = (vec![false; self.workers.len()], Vec::new());
        for entry in entries {
            let i = self.upsert(now, entry, &mut moved);
            if let Some(seen) = listed.get_mut(i as usize) {
                *seen = true;
            }
        }
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            for i in (0..listed.len()).filter(|&i| !listed[i]) {
                self.set_state(i as u32, WorkerState::Gone, self.workers[i].kind, &mut moved);
            }
        }
        if !moved.is_empty() {
            self.graphs.iter_mut().for_each(|g| g.settle(&self.workers, &moved));
        }
        self.counted_at = 0;
        self.listed(scope, out);
    }

    pub(super) fn upsert(&mut self, now: Nanos, entry: &Entry<'_>, moved: &mut Vec<u32>) -> u32 {
        let known = self.index.get(entry.worker).copied();
        let i = known.unwrap_or_else(|| {
            let id: Arc<str> = Arc::from(entry.worker);
            let i = self.workers.len() as u32;
            self.index.insert(id.clone(), i);
            self.workers.push(Worker::new(id, entry));
            i
        });
        let worker = &mut self.workers[i as usize];
        if worker.state == WorkerState::Ready {
            self.weight_sum += entry.weight - worker.weight;
        }
        (worker.weight, worker.zone, worker.cell) = (entry.weight, entry.zone, entry.cell);
        if entry.started != worker.started {
            // A restart under the same id: what was learned was of the process before.
            worker.started = entry.started.map(|t| t.min(now));
            worker.ejected_until = 0;
            worker.strikes = 0;
            worker.idle_conns = 0;
            (worker.report_at, worker.most_memory, worker.most_slots) = (None, None, 0.0);
            (worker.window_end, worker.window_left) = (0, 0.0);
        }
        self.set_state(i, entry.state, entry.kind, moved);
        i
    }

    pub(super) fn set_state(&mut self, i: u32, state: WorkerState, kind: u32, moved: &mut Vec<u32>) {
        let worker = &mut self.workers[i as usize];
        let counted = |s| f64::from(u8::from(s == WorkerState::Ready)) * worker.weight;
        self.weight_sum += counted(state) - counted(worker.state);
        if (worker.state, worker.kind) != (state, kind) {
            moved.push(i);
        }
        (worker.state, worker.kind) = (state, kind);
    }

    pub(super) fn listed(&mut self, scope: ListScope, out: &mut Vec<Action>) {
        if !self.set.must_ask {
            return;
        }
        let every = self.set.rules.ask_every.max(SEC);
        match scope {
            ListScope::Cached => {
                // Dispatchers that start together must not call together.
                let spread = (u64::from(self.set.instances) * 40 * MS).min(every / 2).min(FIRST_CALL);
                let after = (unit(&mut self.rng) * spread as f64) as Nanos;
                out.push(Action::Timer { after, token: Alarm::Discovery as u64 });
            }
            ListScope::Failed => {
                self.subscribed = false;
                self.asking = false;
                self.ask_failures = (self.ask_failures + 1).min(4);
                let wait = ((SEC / 4) << self.ask_failures).min(every).min(BACK_OFF) as f64;
                let after = (wait * (0.75 + unit(&mut self.rng) / 4.0)) as Nanos;
                out.push(Action::Timer { after, token: Alarm::Discovery as u64 });
            }
            ListScope::Changes | ListScope::Full => {
                if self.asking {
                    self.subscribed = true;
                }
                self.asking = false;
                self.ask_failures = 0;
            }
        }
    }

    pub(super) fn ask(&mut self, out: &mut Vec<Action>) {
        if !self.subscribed && !self.asking {
            self.asking = true;
            out.push(Action::Subscribe);
        }
    }
}
