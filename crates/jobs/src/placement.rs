//! Where a task goes: the walkers' positions among the workers of its kind, then the one with the least in flight.
use crate::events::Event;
use crate::record::TaskKey;
use crate::scheduler::{Now, ReadyKey, Scheduler};
use crate::spec::Stage;
use crate::worker::{Resources, Standing, Worker};
use compact_str::CompactString;
use rand_pcg::Pcg64Mcg;
use rustc_hash::{FxHashMap, FxHashSet};
use spanlead_walkers::{Expander, below};

/// Walkers of a graph: the `d` of the scheme.
const WALKERS: usize = 4;
/// Steps that a walker goes on when it stands on a worker that can't take the task.
const STEPS_ON: usize = 4;
/// Units that a pass looks at without placing one.
const MAX_MISSES: usize = 200;
/// Of the time that a task loses far from its data, the share that it waits for a worker near them.
const NEAR_PATIENCE: f64 = 0.5;
/// How long a gang waits for room on one rack, in shares of what it loses on several.
const RACK_PATIENCE: f64 = 0.5;

/// Workers of a service, or those of them that have certain labels.
type Kind = (CompactString, Vec<String>);

/// A graph with its walkers for each kind that tasks have asked for.
#[derive(Debug, Default)]
pub(crate) struct Graphs {
    graphs: FxHashMap<Kind, Expander>,
}

impl Graphs {
    /// Takes the workers at `moved` in or out of all graphs.
    pub fn settle(&mut self, workers: &[Worker], moved: &[u32]) {
        for (kind, graph) in &mut self.graphs {
            graph.settle(workers, moved, |worker| belongs(worker, kind));
        }
    }

    /// The graph of a kind, made when it is first asked for.
    fn of(&mut self, workers: &[Worker], kind: &Kind) -> &mut Expander {
        if !self.graphs.contains_key(kind) {
            let mut graph = Expander::default();
            let all: Vec<u32> = (0..workers.len() as u32).collect();
            graph.settle(workers, &all, |worker| belongs(worker, kind));
            self.graphs.insert(kind.clone(), graph);
        }
        self.graphs.get_mut(kind).expect("was just made")
    }
}

fn belongs(worker: &Worker, (service, labels): &Kind) -> bool {
    worker.standing == Standing::Ready && worker.service == *service && worker.has_labels(labels)
}

/// Positions of the walkers, each stepped on past ineligible workers; then every walker steps.
fn draw(
    graph: &mut Expander,
    workers: &[Worker],
    rng: &mut Pcg64Mcg,
    eligible: &dyn Fn(u32) -> bool,
) -> Vec<u32> {
    let mut drawn = Vec::with_capacity(WALKERS);
    if graph.is_empty() {
        return drawn;
    }
    graph.start_walkers(WALKERS, rng);
    let mut walkers = std::mem::take(&mut graph.walkers);
    for walker in &mut walkers {
        for _ in 0..=STEPS_ON {
            if eligible(walker.at) {
                if !drawn.contains(&walker.at) {
                    drawn.push(walker.at);
                }
                break;
            }
            *walker = graph.step(workers, *walker, rng);
        }
    }
    for walker in &mut walkers {
        *walker = graph.step(workers, *walker, rng);
    }
    graph.walkers = walkers;
    if drawn.is_empty() {
        let (n, from) = (graph.len(), below(rng, graph.len()));
        let ring = &graph.cycles[0];
        drawn.extend((0..n).map(|k| ring[(from + k) % n].1).find(|at| eligible(*at)));
    }
    drawn
}

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
        let mut misses = Misses::default();
        let units: Vec<(ReadyKey, u64)> = self.ready.iter().map(|(key, since)| (*key, *since)).collect();
        let mut room = self.bounds.max_calls.saturating_sub(self.calls_out).min(self.starts_left());
        for (unit, since) in units {
            if misses.count > MAX_MISSES {
                break;
            }
            if room == 0 {
                // What can't be ordered now waits here, not on its way.
                self.place_again = true;
                break;
            }
            let key = unit.2;
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let Some(stage) = self.stage(key) else { continue };
            if !stage.gang && misses.cover(&job.service, stage) {
                continue;
            }
            let (service, stage) = (job.service.clone(), stage.clone());
            let runs = self.task(key).is_some_and(|task| !task.active.is_empty());
            if !stage.gang && runs && !self.wants_copy(key) {
                // A copy was wanted while its run was in doubt, which it is no more.
                self.ready.remove(&unit);
                continue;
            }
            let waited = now.steady.saturating_sub(since);
            let placed = if stage.gang {
                self.place_gang(now, key, &stage, &service, waited)
            } else {
                self.place_task(now, key, &stage, &service, waited)
            };
            if placed {
                let starts = if stage.gang { stage.count as usize } else { 1 };
                room = room.saturating_sub(starts);
                self.throttle.take(starts);
                self.ready.remove(&unit);
            } else {
                misses.add(&service, &stage);
            }
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
        key: TaskKey,
        stage: &Stage,
        service: &CompactString,
        waited: u64,
    ) -> bool {
        let Some(worker) = self.choose(now, key, stage, service, waited, None) else { return false };
        let (run, copy) =
            self.task(key).map_or((1, false), |task| (task.last_run + 1, !task.active.is_empty()));
        self.figures.copies += u64::from(copy);
        self.order(now, key, run, worker);
        true
    }

    fn order(&mut self, now: Now, key: TaskKey, run: u32, worker: u32) {
        self.record(now.steady, Event::Ordered { task: key, run, worker });
        self.stage_start(key, run);
    }

    /// Whether a task may go to a worker.
    fn eligible(&self, now: Now, key: TaskKey, stage: &Stage, service: &str, at: u32, strict: bool) -> bool {
        let worker = &self.workers[at as usize];
        if worker.service != service || !worker.takes() || !worker.has_labels(&stage.constraints) {
            return false;
        }
        if now.steady < worker.avoided_until && !self.panicking.contains(service) {
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
    fn kin_on(&self, key: TaskKey, at: u32) -> usize {
        let first = (TaskKey { index: 0, ..key }, 0);
        let last = (TaskKey { index: u32::MAX, ..key }, u32::MAX);
        self.workers[at as usize].runs.range(first..=last).count()
    }

    /// The worker for a task: on `rack` if one is given, else near its data if that is worth the wait.
    fn choose(
        &mut self,
        now: Now,
        key: TaskKey,
        stage: &Stage,
        service: &CompactString,
        waited: u64,
        rack: Option<&str>,
    ) -> Option<u32> {
        if let Some(near) = stage.affinity.as_deref().filter(|_| rack.is_none()) {
            if let Some(found) = self.choose_strict(now, key, stage, service, Some(near)) {
                return Some(found);
            }
            let lost = stage.est_runtime_ms as f64 * (self.bounds.far_factor - 1.0);
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
        key: TaskKey,
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
        key: TaskKey,
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

    /// Places all of a gang or nothing.
    fn place_gang(
        &mut self,
        now: Now,
        key: TaskKey,
        stage: &Stage,
        service: &CompactString,
        waited: u64,
    ) -> bool {
        let members: Vec<TaskKey> = self.siblings(key).collect();
        if members.iter().any(|m| self.task(*m).is_some_and(|task| !task.active.is_empty())) {
            return false;
        }
        let run =
            members.iter().filter_map(|m| self.task(*m)).map(|task| task.last_run).max().unwrap_or(0) + 1;
        let mut placed = None;
        if stage.rack_local {
            placed = self.gang_on_one_rack(now, &members, stage, service);
            let lost = stage.est_runtime_ms as f64 * (self.bounds.far_factor - 1.0);
            if placed.is_none() && (waited as f64) < lost * RACK_PATIENCE {
                self.place_again = true;
                return false;
            }
        }
        let Some(workers) =
            placed.or_else(|| self.gang_anywhere(now, &members, stage, service, waited, None))
        else {
            return false;
        };
        for (member, worker) in members.into_iter().zip(workers) {
            self.order(now, member, run, worker);
        }
        true
    }

    fn gang_on_one_rack(
        &mut self,
        now: Now,
        members: &[TaskKey],
        stage: &Stage,
        service: &CompactString,
    ) -> Option<Vec<u32>> {
        let need = Resources::of(stage);
        let mut racks: FxHashMap<String, u64> = FxHashMap::default();
        for (at, worker) in self.workers.iter().enumerate() {
            if self.eligible(now, members[0], stage, service, at as u32, false)
                && let Some(rack) = worker.rack()
            {
                let times = need.times_in(worker.room());
                let most =
                    if stage.anti_affinity == 0 { times } else { times.min(stage.anti_affinity.into()) };
                *racks.entry(rack.to_owned()).or_default() += most;
            }
        }
        let mut fitting: Vec<(u64, String)> = racks
            .into_iter()
            .filter(|(_, times)| *times >= members.len() as u64)
            .map(|(r, t)| (t, r))
            .collect();
        fitting.sort();
        let (_, rack) = fitting.pop()?;
        self.gang_anywhere(now, members, stage, service, u64::MAX, Some(&rack))
    }

    /// A worker for each member, room for all counted; `None` if they don't all fit.
    fn gang_anywhere(
        &mut self,
        now: Now,
        members: &[TaskKey],
        stage: &Stage,
        service: &CompactString,
        waited: u64,
        rack: Option<&str>,
    ) -> Option<Vec<u32>> {
        let need = Resources::of(stage);
        let mut taken: Vec<u32> = Vec::new();
        for member in members {
            let Some(worker) = self.choose(now, *member, stage, service, waited, rack) else { break };
            let held = &mut self.workers[worker as usize];
            held.used = held.used.plus(need);
            held.runs.insert((*member, 0));
            taken.push(worker);
        }
        for (member, worker) in members.iter().zip(&taken) {
            let held = &mut self.workers[*worker as usize];
            held.used = held.used.minus(need);
            held.runs.remove(&(*member, 0));
        }
        (taken.len() == members.len()).then_some(taken)
    }
}
