//! The units that did not fit since the last full pass over the pending queue began. Units that
//! demand at least as much need not be tried before the next full pass.
use crate::resources::Resources;
use crate::spec::Stage;
use compact_str::CompactString;

/// A demand for which no worker of the service with the required labels had capacity.
#[derive(Debug)]
struct Miss {
    service: CompactString,
    constraints: Vec<String>,
    demand: Resources,
}

/// The units that did not fit since the last full pass began.
#[derive(Debug, Default)]
pub(crate) struct PlacementMisses {
    misses: Vec<Miss>,
    count: usize,
    /// The highest priority (the lowest number) of the units that did not fit.
    highest_priority: Option<u8>,
}

impl PlacementMisses {
    /// The number of units that were tried and did not fit.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// The highest priority of the units that did not fit; 0 is the highest possible.
    pub(crate) fn highest_priority(&self) -> Option<u8> {
        self.highest_priority
    }

    /// Whether a task with the same service and constraints that demands no more than one of this
    /// stage did not fit, so that this one cannot fit either.
    pub(crate) fn covers(&self, service: &str, stage: &Stage) -> bool {
        let demand = Resources::demand_of(stage);
        let is_covering = |miss: &Miss| {
            miss.service == service && miss.constraints == stage.constraints && miss.demand.fits_in(demand)
        };
        has_no_affinity(stage) && self.misses.iter().any(is_covering)
    }

    pub(crate) fn add(&mut self, priority: u8, service: &CompactString, stage: &Stage) {
        self.count += 1;
        self.highest_priority = Some(self.highest_priority.map_or(priority, |highest| highest.min(priority)));
        if !stage.gang && has_no_affinity(stage) {
            self.misses.push(Miss {
                service: service.clone(),
                constraints: stage.constraints.clone(),
                demand: Resources::demand_of(stage),
            });
        }
    }
}

/// Whether the placement of a stage's tasks depends on demand and constraints only, so that the
/// result for one task applies to others.
fn has_no_affinity(stage: &Stage) -> bool {
    stage.affinity.is_none() && stage.anti_affinity == 0
}
