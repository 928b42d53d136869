//! Admission control: which fraction of the new requests of each request group is admitted when the
//! fleet cannot serve all of them.
//!
//! The admitted fraction of the total work follows signals of free capacity. The admitted work is
//! divided among the request groups by value rate, the value that a worker earns per second of
//! running the group's requests: each group's share is proportional to its work times the square
//! root of its value rate, and never exceeds the work that arrives. A group of short, valuable
//! requests is therefore admitted almost completely and the other groups share the rest. The square
//! root protects the worst-served class: shares proportional to the value rate itself would raise
//! the total value slightly and serve the worst class worse.
//!
//! Each class has two request groups: the requests that can still be answered in time, and those
//! that cannot.

/// The step of the admitted fraction for one capacity signal, on a logarithmic scale. The signals
/// are compared with a target share, either of the workers that report a free slot or of the
/// attempts that start within half of their latency target.
const SIGNAL_GAIN: f64 = 0.03;

/// The lower bound of the admitted fraction. A dispatcher learns only from the requests that it
/// admits, and must notice when capacity is available again.
const MIN_ADMITTED: f64 = 0.05;

/// The relative growth of the admitted fraction with each arriving request. Growth over time would
/// let many dispatchers with little traffic overload the fleet together.
const GROWTH_PER_REQUEST: f64 = 0.002;

/// The fraction by which the arrival counts decay with each arriving request.
const DECAY_PER_REQUEST: f64 = 0.01;

/// Groups whose decayed arrival count is at most this are ignored.
const MIN_ARRIVALS: f64 = 1e-3;

/// The lower bound of the weighted demand in divisions, which prevents a division by 0.
const MIN_DEMAND: f64 = 1e-12;

/// The statistics of a request group that the limiter needs.
#[derive(Clone, Copy, Debug)]
pub struct GroupStatistics {
    /// The value that a worker earns per second of running the group's requests.
    pub value_rate: f64,
    /// The typical running time of the group's requests, in any unit common to all groups; 0 while
    /// unknown.
    pub run_time: f64,
}

impl GroupStatistics {
    fn is_known(&self) -> bool {
        self.run_time > 0.0 && self.value_rate > 0.0
    }

    /// Returns the group's weight in the division of the admitted work.
    fn weight(&self) -> f64 {
        self.value_rate.sqrt()
    }
}

/// The demand of one arriving request group, in the division of the admitted work.
#[derive(Clone, Copy)]
struct Demand {
    group: usize,
    /// The arriving work: arrivals times running time.
    work: f64,
    weight: f64,
}

/// The admission limiter: decides which fraction of each request group is admitted.
///
/// Invariant: the admitted fraction lies between `MIN_ADMITTED` and 1.
pub struct AdmissionLimiter {
    /// The fraction of all arriving work that is admitted.
    admitted: f64,
    /// Exponentially decayed arrival counts by request group.
    arrivals: Vec<f64>,
}

impl Default for AdmissionLimiter {
    /// Creates a limiter that admits everything.
    fn default() -> Self {
        AdmissionLimiter { admitted: 1.0, arrivals: Vec::new() }
    }
}

impl AdmissionLimiter {
    /// Counts the arrival of a request of a group and raises the admitted fraction by
    /// `GROWTH_PER_REQUEST`.
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

    /// Records one observation of whether the fleet has free capacity. The admitted fraction is
    /// stable while the share of positive observations equals `target_share`; it grows above that
    /// share and shrinks below it. The observations are averaged over many workers, so their age
    /// matters little.
    pub fn record_capacity_signal(&mut self, has_capacity: bool, target_share: f64) {
        let error = f64::from(u8::from(has_capacity)) - target_share;
        self.admitted = (self.admitted * (SIGNAL_GAIN * error).exp()).clamp(MIN_ADMITTED, 1.0);
    }

    /// Returns the fraction of a group's requests that is admitted.
    ///
    /// While the statistics of any arriving group are unknown, the fraction is the same for all
    /// groups.
    pub fn admitted_fraction(&self, group: usize, statistics: impl Fn(usize) -> GroupStatistics) -> f64 {
        let arriving: Vec<usize> =
            (0..self.arrivals.len()).filter(|group| self.arrivals[*group] > MIN_ARRIVALS).collect();
        let all_known = arriving.iter().all(|group| statistics(*group).is_known());
        if self.admitted >= 1.0 || !all_known || !arriving.contains(&group) {
            return self.admitted;
        }
        let demands = arriving.iter().map(|&group| self.demand(group, statistics(group))).collect();
        share_of_group(group, self.admitted, demands)
    }

    fn demand(&self, group: usize, statistics: GroupStatistics) -> Demand {
        Demand { group, work: self.arrivals[group] * statistics.run_time, weight: statistics.weight() }
    }
}

/// Returns the fraction of a group's work that is admitted. Groups whose share would exceed their
/// arriving work are admitted completely; the remaining groups divide the remaining work.
///
/// The loop terminates because each iteration returns or removes at least one group.
fn share_of_group(group: usize, admitted: f64, demands: Vec<Demand>) -> f64 {
    let mut work_left = admitted * demands.iter().map(|demand| demand.work).sum::<f64>();
    let mut remaining = demands;
    loop {
        let weighted_work = remaining.iter().map(|demand| demand.work * demand.weight).sum::<f64>();
        let scale = work_left / weighted_work.max(MIN_DEMAND);
        let (complete, partial): (Vec<Demand>, Vec<Demand>) =
            remaining.into_iter().partition(|demand| scale * demand.weight >= 1.0);
        if complete.iter().any(|demand| demand.group == group) {
            return 1.0;
        }
        if complete.is_empty() {
            return scale * weight_of(group, &partial);
        }
        work_left -= complete.iter().map(|demand| demand.work).sum::<f64>();
        remaining = partial;
    }
}

fn weight_of(group: usize, demands: &[Demand]) -> f64 {
    demands.iter().find(|demand| demand.group == group).map_or(0.0, |demand| demand.weight)
}
