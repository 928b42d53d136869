//! What did not fit during a pass over the pending queue: whatever demands as much need not be
//! tried again.
use crate::resources::Resources;
use crate::spec::Stage;
use compact_str::CompactString;

/// A demand that no worker of its kind had capacity for.
#[derive(Debug)]
struct Miss {
    service: CompactString,
    constraints: Vec<String>,
    demand: Resources,
}

/// The units of a pass that did not fit.
#[derive(Debug, Default)]
pub(crate) struct PlacementMisses {
    misses: Vec<Miss>,
    count: usize,
}

impl PlacementMisses {
    /// How many units were tried and did not fit.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Whether a task that demands no more than this one did not fit.
    pub(crate) fn cover(&self, service: &str, stage: &Stage) -> bool {
        let demand = Resources::demand_of(stage);
        let is_covering = |miss: &Miss| {
            miss.service == service && miss.constraints == stage.constraints && miss.demand.fits_in(demand)
        };
        has_no_affinity(stage) && self.misses.iter().any(is_covering)
    }

    pub(crate) fn add(&mut self, service: &CompactString, stage: &Stage) {
        self.count += 1;
        if !stage.gang && has_no_affinity(stage) {
            self.misses.push(Miss {
                service: service.clone(),
                constraints: stage.constraints.clone(),
                demand: Resources::demand_of(stage),
            });
        }
    }
}

/// Whether a task's placement depends on demand and constraints only, so that one says something of
/// others.
fn has_no_affinity(stage: &Stage) -> bool {
    stage.affinity.is_none() && stage.anti_affinity == 0
}
