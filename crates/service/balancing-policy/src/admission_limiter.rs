//! The fraction of new requests that is admitted when the fleet cannot serve all, and of which
//! classes.
//!
//! How much is admitted in all follows signals of free capacity. Which request groups it is made of
//! follows the value that a second of a worker earns with each group: of the work that can be
//! admitted, a group gets a share in proportion to the square root of that value, never more than
//! arrives of it. So a group of short, valuable requests is admitted nearly complete and the others
//! share the rest. The square root is taken because the worst-served class counts too: in
//! proportion to the value itself, the total value is a little higher and the worst class fares
//! worse.
//!
//! A request group is the requests of one class that can still be answered in time, or those that
//! cannot.

/// The step of the admitted fraction for one capacity signal, on a logarithmic scale. The signals
/// are compared with a target share: of probed workers that report a free slot, and of attempts
/// that start within half of their latency target.
const SIGNAL_GAIN: f64 = 0.03;

/// The admitted fraction never falls below this: a dispatcher that admits little learns little, and
/// must find out that capacity is back.
const MIN_ADMITTED: f64 = 0.05;

/// The admitted fraction grows by this part with each request. Growth by the clock instead would
/// let many quiet dispatchers flood the fleet.
const GROWTH_PER_REQUEST: f64 = 0.002;

/// The part of the counted arrivals that each request lets fade.
const DECAY_PER_REQUEST: f64 = 0.01;

/// A group with fewer arrivals than this, after decay, counts as absent.
const MIN_ARRIVALS: f64 = 1e-3;

/// Keeps a division by a total demand of 0 finite.
const MIN_DEMAND: f64 = 1e-12;

/// What the limiter must know of a request group.
#[derive(Clone, Copy, Debug)]
pub struct GroupStatistics {
    /// The value that a second of a worker earns with the group.
    pub value_rate: f64,
    /// How long its requests run, in any unit common to all groups; 0 if that is not known.
    pub run_time: f64,
}

impl GroupStatistics {
    fn is_known(&self) -> bool {
        self.run_time > 0.0 && self.value_rate > 0.0
    }

    /// The weight by which the group shares the work that can be admitted.
    fn weight(&self) -> f64 {
        self.value_rate.sqrt()
    }
}

/// A request group that arrives, while the admitted work is shared out.
#[derive(Clone, Copy)]
struct Demand {
    group: usize,
    /// The work that arrives.
    work: f64,
    weight: f64,
}

/// Decides which fraction of each request group is admitted.
///
/// Invariant: the admitted fraction lies between `MIN_ADMITTED` and 1.
pub struct AdmissionLimiter {
    /// The fraction of all arriving work that is admitted.
    admitted: f64,
    /// Recent arrivals by request group, decayed.
    arrivals: Vec<f64>,
}

impl Default for AdmissionLimiter {
    /// A limiter that admits everything.
    fn default() -> Self {
        AdmissionLimiter { admitted: 1.0, arrivals: Vec::new() }
    }
}

impl AdmissionLimiter {
    /// Counts the arrival of a request of a group.
    pub fn record_arrival(&mut self, group: usize) {
        self.admitted = (self.admitted * (1.0 + GROWTH_PER_REQUEST)).min(1.0);
        for count in &mut self.arrivals {
            *count *= 1.0 - DECAY_PER_REQUEST;
        }
        if self.arrivals.len() <= group {
            self.arrivals.resize(group + 1, 0.0);
        }
        self.arrivals[group] += 1.0;
    }

    /// Takes one signal of whether the fleet has free capacity and moves the admitted fraction
    /// towards the target share of such signals. The signals are shares over many workers, so their
    /// age matters little.
    pub fn record_capacity_signal(&mut self, has_capacity: bool, target_share: f64) {
        let error = f64::from(u8::from(has_capacity)) - target_share;
        self.admitted = (self.admitted * (SIGNAL_GAIN * error).exp()).clamp(MIN_ADMITTED, 1.0);
    }

    /// The fraction of a group's requests that is admitted.
    ///
    /// While the figures of any arriving group are unknown, all groups are admitted alike.
    pub fn admitted_fraction(&self, group: usize, figures: impl Fn(usize) -> GroupStatistics) -> f64 {
        let arriving: Vec<usize> =
            (0..self.arrivals.len()).filter(|group| self.arrivals[*group] > MIN_ARRIVALS).collect();
        let all_known = arriving.iter().all(|group| figures(*group).is_known());
        if self.admitted >= 1.0 || !all_known || !arriving.contains(&group) {
            return self.admitted;
        }
        let demands = arriving.iter().map(|&group| self.demand(group, figures(group))).collect();
        share_of_group(group, self.admitted, demands)
    }

    fn demand(&self, group: usize, figures: GroupStatistics) -> Demand {
        Demand { group, work: self.arrivals[group] * figures.run_time, weight: figures.weight() }
    }
}

/// The fraction of a group's work that is admitted. Groups whose share would be more than arrives
/// of them are admitted complete; the others share what is left.
///
/// Ends, since each round removes at least one group or returns.
fn share_of_group(group: usize, admitted: f64, demands: Vec<Demand>) -> f64 {
    let mut work_left = admitted * demands.iter().map(|demand| demand.work).sum::<f64>();
    let mut open = demands;
    loop {
        let weighted_work = open.iter().map(|demand| demand.work * demand.weight).sum::<f64>();
        let scale = work_left / weighted_work.max(MIN_DEMAND);
        let (complete, partial): (Vec<Demand>, Vec<Demand>) =
            open.into_iter().partition(|demand| scale * demand.weight >= 1.0);
        if complete.iter().any(|demand| demand.group == group) {
            return 1.0;
        }
        if complete.is_empty() {
            return scale * weight_of(group, &partial);
        }
        work_left -= complete.iter().map(|demand| demand.work).sum::<f64>();
        open = partial;
    }
}

fn weight_of(group: usize, demands: &[Demand]) -> f64 {
    demands.iter().find(|demand| demand.group == group).map_or(0.0, |demand| demand.weight)
}
