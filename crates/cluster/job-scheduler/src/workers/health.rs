//! How a worker is doing: the share of runs that fail there, and how fast it is.
use crate::smoothing::moving_average;

/// How much of the number of ends is kept at each.
const END_COUNT_DECAY: f64 = 0.85;
/// The share of failed ends at which a worker is ejected.
const MAX_FAILURE_RATE: f64 = 0.5;
/// The (decayed) number of ends from which on the share counts.
const MIN_END_COUNT: f64 = 2.5;
/// How long a worker is ejected for failures, milliseconds.
const EJECTION_MS: u64 = 4_000;

/// Failures of late, and the ejection of a worker where too much fails (outlier detection).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkerHealth {
    failure_rate: f64,
    end_count: f64,
    ejected_until_ms: u64,
}

impl WorkerHealth {
    pub(crate) fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Ejects the worker for at least `duration_ms` from now.
    pub(crate) fn eject_at_least(&mut self, now_ms: u64, duration_ms: u64) {
        self.ejected_until_ms = self.ejected_until_ms.max(now_ms + duration_ms);
    }

    /// Ejects the worker for `duration_ms` from now, whatever held before.
    pub(crate) fn eject_for(&mut self, now_ms: u64, duration_ms: u64) {
        self.ejected_until_ms = now_ms + duration_ms;
    }

    /// Counts the end of a run, and ejects the worker if too many failed.
    pub(crate) fn record_end(&mut self, now_ms: u64, failed: bool) {
        self.end_count = self.end_count * END_COUNT_DECAY + 1.0;
        let sample_count = self.end_count.min(1.0 / (1.0 - END_COUNT_DECAY));
        self.failure_rate += (f64::from(u8::from(failed)) - self.failure_rate) / sample_count;
        if failed && self.end_count > MIN_END_COUNT && self.failure_rate > MAX_FAILURE_RATE {
            self.eject_for(now_ms, EJECTION_MS);
            self.end_count = 0.0;
            self.failure_rate = 0.0;
        }
    }
}

/// The weight of a new sample in a worker's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.35;
/// How much of it is kept at each check of progress: old samples say less and less.
const SLOWDOWN_DECAY: f64 = 0.98;
/// The logarithm of how many times slower than others a worker must be to count as slow.
const MIN_SLOW_LOG: f64 = 0.7;
/// The bounds of one sample.
const SAMPLE_RANGE: (f64, f64) = (-1.0, 3.0);

/// How many times slower than others a worker is, as a smoothed logarithm.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkerSpeed {
    slowdown_log: f64,
}

impl WorkerSpeed {
    /// Takes the logarithm of how many times longer than expected a task took.
    pub(crate) fn add_sample(&mut self, deviation: f64) {
        let (min, max) = SAMPLE_RANGE;
        self.slowdown_log = moving_average(self.slowdown_log, deviation.clamp(min, max), SLOWDOWN_WEIGHT);
    }

    pub(crate) fn decay(&mut self) {
        self.slowdown_log *= SLOWDOWN_DECAY;
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.slowdown_log > MIN_SLOW_LOG
    }

    /// How many times slower than others it is, at least 1.
    pub(crate) fn slowdown(&self) -> f64 {
        self.slowdown_log.exp().max(1.0)
    }
}
