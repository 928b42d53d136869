//! Placement of gangs, whose tasks are placed together or not at all.
use super::placer::{Placement, Placer};
use super::request::PlacementRequest;
use crate::ids::{RunId, TaskId, WorkerIndex};
use crate::jobs::JobTable;
use crate::resources::Resources;
use crate::workers::WorkerRegistry;
use rustc_hash::FxHashMap;

/// The time that a gang waits for capacity on one rack, as a share of the time that running on
/// several racks would cost it.
const RACK_WAIT_SHARE: f64 = 0.5;

impl Placer {
    /// Chooses a worker for each member, in the members' order, such that there is capacity for all
    /// members together.
    pub(crate) fn place_gang(
        &mut self,
        jobs: &JobTable,
        workers: &mut WorkerRegistry,
        request: &PlacementRequest<'_>,
    ) -> Placement<Vec<WorkerIndex>> {
        if !self.may_fit(request, None) {
            return Placement::NoCapacity;
        }
        let members: Vec<TaskId> = jobs.tasks_of_stage(request.task).collect();
        if request.stage.rack_local {
            let placed = self.place_gang_on_one_rack(jobs, workers, request, &members);
            if let Placement::On(_) = placed {
                return placed;
            }
            let max_wait_ms = self.remote_loss_ms(request) * RACK_WAIT_SHARE;
            if (request.waited_ms as f64) < max_wait_ms {
                return Placement::WaitForRack;
            }
        }
        self.place_members(jobs, workers, request, &members, None)
    }

    fn place_gang_on_one_rack(
        &mut self,
        jobs: &JobTable,
        workers: &mut WorkerRegistry,
        request: &PlacementRequest<'_>,
        members: &[TaskId],
    ) -> Placement<Vec<WorkerIndex>> {
        let Some(rack) = self.rack_with_most_capacity(jobs, workers, request, members.len()) else {
            return Placement::NoCapacity;
        };
        self.place_members(jobs, workers, request, members, Some(&rack))
    }

    /// The rack on which the most tasks of the stage fit, if all members fit there.
    fn rack_with_most_capacity(
        &self,
        jobs: &JobTable,
        workers: &WorkerRegistry,
        request: &PlacementRequest<'_>,
        member_count: usize,
    ) -> Option<String> {
        let eligibility = self.eligibility(jobs, request, false);
        let mut racks: FxHashMap<&str, u64> = FxHashMap::default();
        for (index, worker) in workers.iter_indexed() {
            if eligibility.admits(index, worker)
                && let Some(rack) = worker.rack()
            {
                *racks.entry(rack).or_default() +=
                    Resources::tasks_that_fit(request.stage, worker.free_capacity());
            }
        }
        let fitting = racks.into_iter().filter(|(_, tasks)| *tasks >= member_count as u64);
        // Ties are broken by name, so that the result does not depend on the order of the map.
        let largest = fitting.max_by_key(|(rack, tasks)| (*tasks, *rack));
        largest.map(|(rack, _)| rack.to_owned())
    }

    /// Chooses a worker for one member after the other. Each choice reserves its capacity until the
    /// choices for all members are made.
    fn place_members(
        &mut self,
        jobs: &JobTable,
        workers: &mut WorkerRegistry,
        request: &PlacementRequest<'_>,
        members: &[TaskId],
        rack: Option<&str>,
    ) -> Placement<Vec<WorkerIndex>> {
        let demand = Resources::demand_of(request.stage);
        let mut chosen: Vec<WorkerIndex> = Vec::new();
        let mut result = Placement::NoCapacity;
        for member in members {
            let member_request = PlacementRequest { task: *member, ..*request };
            match self.choose(jobs, workers, &member_request, rack) {
                Placement::On(worker) => {
                    workers[worker].allocation.reserve(reservation_id(*member), demand);
                    chosen.push(worker);
                }
                Placement::NoCapacity => break,
                Placement::WaitForRack => {
                    result = Placement::WaitForRack;
                    break;
                }
            }
        }
        for (member, worker) in members.iter().zip(&chosen) {
            workers[*worker].allocation.release(reservation_id(*member), demand);
        }
        if chosen.len() == members.len() { Placement::On(chosen) } else { result }
    }
}

/// The run identifier under which a member's capacity is reserved during placement. Actual runs are
/// numbered from 1.
fn reservation_id(member: TaskId) -> RunId {
    RunId { task: member, run: 0 }
}
