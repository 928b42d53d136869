//! Gangs: tasks that are placed together or not at all.
use crate::config::Now;
use crate::ids::TaskId;
use crate::scheduler::Scheduler;
use crate::spec::Stage;
use crate::worker::Resources;
use compact_str::CompactString;
use rustc_hash::FxHashMap;

/// How long a gang waits for room on one rack, in shares of what it loses on several.
const RACK_PATIENCE: f64 = 0.5;

impl Scheduler {
    /// Places all of a gang or nothing.
    pub(crate) fn place_gang(
        &mut self,
        now: Now,
        key: TaskId,
        stage: &Stage,
        service: &CompactString,
        waited: u64,
    ) -> bool {
        let members: Vec<TaskId> = self.siblings(key).collect();
        if members.iter().any(|m| self.task(*m).is_some_and(|task| !task.active.is_empty())) {
            return false;
        }
        let run =
            members.iter().filter_map(|m| self.task(*m)).map(|task| task.last_run).max().unwrap_or(0) + 1;
        let mut placed = None;
        if stage.rack_local {
            placed = self.gang_on_one_rack(now, &members, stage, service);
            let lost = stage.estimated_runtime_ms as f64 * (self.bounds.remote_data_slowdown - 1.0);
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
        members: &[TaskId],
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
        members: &[TaskId],
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
