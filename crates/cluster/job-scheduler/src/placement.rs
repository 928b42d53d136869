//! Where a task goes: the walkers' positions among the workers of its kind, then the one with the least in flight.
use crate::config::Now;
use crate::events::Event;
use crate::graphs::draw;
use crate::ids::TaskId;
use crate::scheduler::{ReadyKey, Scheduler};
use crate::spec::Stage;
use crate::worker::{Resources, Standing};
use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHashSet};

/// Units that a pass looks at without placing one.
const MAX_MISSES: usize = 200;
/// Units that it then looks at without placing one, of those behind.
const MISSES_BEHIND: usize = 32;
/// Of the time that a task loses far from its data, the share that it waits for a worker near them.
const NEAR_PATIENCE: f64 = 0.5;

/// What could not be placed in this pass: what needs as much of the same kind need not be tried.
#[derive(Default)]
struct Misses {
    needs: Vec<(CompactString, Vec<String>, Resources)>,
    count: usize,
}

impl Misses {
    fn cover(&self, service: &str, stage: &Stage) -> bool {
        let need = Resources::of(stage);
        let plain = stage.affinity.is_none() && stage.anti_affinity == 0;
        plain
            && self
                .needs
                .iter()
                .any(|(s, labels, missed)| s == service && *labels == stage.constraints && missed.fits(need))
    }

    fn add(&mut self, service: &CompactString, stage: &Stage) {
        self.count += 1;
        if !stage.gang && stage.affinity.is_none() && stage.anti_affinity == 0 {
            self.needs.push((service.clone(), stage.constraints.clone(), Resources::of(stage)));
        }
    }
}

impl Scheduler {
    /// Places what waits, as far as there is room.
    pub(crate) fn place_ready(&mut self, now: Now) {
        if !std::mem::take(&mut self.room_changed) || self.ready.is_empty() {
            return;
        }
        let units: Vec<(ReadyKey, u64)> = self.ready.iter().map(|(key, since)| (*key, *since)).collect();
        let mut misses = Misses::default();
        let Some(stopped) = self.place_units(now, &units, &mut misses, MAX_MISSES) else { return };
        // What waits behind so much that has no room would never be looked at: some of it is at each pass, in turn.
        let resume =
            self.place_from.take().map_or(stopped, |from| units.partition_point(|(key, _)| *key < from));
        let rest = &units[resume.max(stopped)..];
        let rest = if rest.is_empty() { &units[stopped..] } else { rest };
        let most = misses.count + MISSES_BEHIND;
        let stopped = self.place_units(now, rest, &mut misses, most);
        self.place_from = stopped.map(|at| rest[at].0);
        self.place_again = true;
    }

    /// Places units in their order; tells where it stopped when so many had no room.
    fn place_units(
        &mut self,
        now: Now,
        units: &[(ReadyKey, u64)],
        misses: &mut Misses,
        most_misses: usize,
    ) -> Option<usize> {
        for (at, (unit, since)) in units.iter().enumerate() {
            if misses.count > most_misses {
                return Some(at);
            }
            if self.starts_left() == 0 {
                // What can't be ordered now waits here, not on its way.
                self.place_again = true;
                return None;
            }
            self.place_unit(now, *unit, now.monotonic_ms.saturating_sub(*since), misses);
        }
        None
    }

    /// Places a task or gang that has waited so long, milliseconds, if there is room.
    fn place_unit(&mut self, now: Now, unit: ReadyKey, waited: u64, misses: &mut Misses) {
        let key = unit.2;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(stage) = self.stage(key) else { return };
        if !stage.gang && misses.cover(&job.service, stage) {
            return;
        }
        let (service, stage) = (job.service.clone(), stage.clone());
        let runs = self.task(key).is_some_and(|task| !task.active.is_empty());
        if !stage.gang && runs && !self.wants_copy(key) {
            // A copy was wanted while its run was in doubt, which it is no more.
            self.ready.remove(&unit);
            return;
        }
        let placed = if stage.gang {
            self.place_gang(now, key, &stage, &service, waited)
        } else {
            self.place_task(now, key, &stage, &service, waited)
        };
        if placed {
            self.throttle.take(if stage.gang { stage.count as usize } else { 1 });
            self.ready.remove(&unit);
        } else {
            misses.add(&service, &stage);
        }
    }

    /// Services of whose workers most are left alone: then that says nothing any more.
    pub(crate) fn services_mostly_avoided(&self, now: u64) -> FxHashSet<CompactString> {
        let mut counts: FxHashMap<&CompactString, (usize, usize)> = FxHashMap::default();
        for worker in self.workers.iter().filter(|w| w.takes()) {
            let (all, avoided) = counts.entry(&worker.service).or_default();
            *all += 1;
            *avoided += usize::from(now < worker.avoided_until);
        }
        counts.into_iter().filter(|(_, (all, avoided))| avoided * 2 > *all).map(|(s, _)| s.clone()).collect()
    }

    fn place_task(
        &mut self,
        now: Now,
        key: TaskId,
        stage: &Stage,
        service: &CompactString,
        waited: u64,
    ) -> bool {
        let Some(worker) = self.choose(now, key, stage, service, waited, None) else { return false };
        let (run, copy) =
            self.task(key).map_or((1, false), |task| (task.last_run + 1, !task.active.is_empty()));
        self.figures.hedged_runs += u64::from(copy);
        self.order(now, key, run, worker);
        true
    }

    pub(crate) fn order(&mut self, now: Now, key: TaskId, run: u32, worker: u32) {
        self.record(now.monotonic_ms, Event::Ordered { task: key, run, worker });
        self.stage_start(key, run);
    }

    /// Whether a task may go to a worker.
    pub(crate) fn eligible(
        &self,
        now: Now,
        key: TaskId,
        stage: &Stage,
        service: &str,
        at: u32,
        strict: bool,
    ) -> bool {
        let worker = &self.workers[at as usize];
        if worker.service != service || !worker.takes() || !worker.has_labels(&stage.constraints) {
            return false;
        }
        if now.monotonic_ms < worker.avoided_until && !self.panicking.contains(service) {
            return false;
        }
        if !Resources::of(stage).fits(worker.room()) {
            return false;
        }
        if self.task(key).is_some_and(|task| task.active.iter().any(|run| run.worker == at)) {
            return false;
        }
        if strict && self.task(key).is_some_and(|task| task.avoid.contains(&at)) {
            return false;
        }
        stage.anti_affinity == 0 || self.kin_on(key, at) < stage.anti_affinity as usize
    }

    /// How many tasks of the same step and time are on a worker.
    fn kin_on(&self, key: TaskId, at: u32) -> usize {
        let first = (TaskId { index: 0, ..key }, 0);
        let last = (TaskId { index: u32::MAX, ..key }, u32::MAX);
        self.workers[at as usize].runs.range(first..=last).count()
    }

    /// The worker for a task: on `rack` if one is given, else near its data if that is worth the wait.
    pub(crate) fn choose(
        &mut self,
        now: Now,
        key: TaskId,
        stage: &Stage,
        service: &CompactString,
        waited: u64,
        rack: Option<&str>,
    ) -> Option<u32> {
        if let Some(near) = stage.affinity.as_deref().filter(|_| rack.is_none()) {
            if let Some(found) = self.choose_strict(now, key, stage, service, Some(near)) {
                return Some(found);
            }
            let lost = stage.estimated_runtime_ms as f64 * (self.bounds.remote_data_slowdown - 1.0);
            if (waited as f64) < lost * NEAR_PATIENCE && self.rack_serves(service, near) {
                self.place_again = true;
                return None;
            }
        }
        self.choose_strict(now, key, stage, service, rack)
    }

    /// Workers where the task has failed are taken only if there is no other.
    fn choose_strict(
        &mut self,
        now: Now,
        key: TaskId,
        stage: &Stage,
        service: &CompactString,
        rack: Option<&str>,
    ) -> Option<u32> {
        let found = self.choose_among(now, key, stage, service, rack, true);
        let avoids = self.task(key).is_some_and(|task| !task.avoid.is_empty());
        if found.is_none() && avoids {
            return self.choose_among(now, key, stage, service, rack, false);
        }
        found
    }

    fn choose_among(
        &mut self,
        now: Now,
        key: TaskId,
        stage: &Stage,
        service: &CompactString,
        rack: Option<&str>,
        strict: bool,
    ) -> Option<u32> {
        let mut labels = stage.constraints.clone();
        labels.extend(rack.map(str::to_owned));
        let kind = (service.clone(), labels);
        let mut graphs = std::mem::take(&mut self.graphs);
        let mut rng = self.rng.clone();
        let graph = graphs.of(&self.workers, &kind);
        let eligible = |at: u32| self.eligible(now, key, stage, service, at, strict);
        let drawn = draw(graph, &self.workers, &mut rng, &eligible);
        self.graphs = graphs;
        self.rng = rng;
        let load = |at: &u32| self.workers[*at as usize].cost();
        drawn.into_iter().min_by(|a, b| load(a).total_cmp(&load(b)))
    }

    fn rack_serves(&self, service: &str, rack: &str) -> bool {
        self.workers.iter().any(|w| {
            w.standing == Standing::Ready && w.reachable && w.service == service && w.rack() == Some(rack)
        })
    }
}
