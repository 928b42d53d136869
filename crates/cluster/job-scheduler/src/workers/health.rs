//! A worker's health: the share of its runs that fail, and its speed.
use crate::smoothing::moving_average;

/// The factor by which the number of ends decays at each end.
const END_COUNT_DECAY: f64 = 0.85;
/// The share of failed ends above which a worker is ejected.
const MAX_FAILURE_RATE: f64 = 0.5;
/// The decayed number of ends above which the share of failed ends is evaluated.
const MIN_END_COUNT: f64 = 2.5;
/// The duration of an ejection for failures, milliseconds.
const EJECTION_MS: u64 = 4_000;

/// The recent failures of a worker's runs, and the worker's ejection if too many fail (outlier
/// detection).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkerHealth {
    /// The smoothed share of ended runs that failed.
    failure_rate: f64,
    /// The decayed number of ended runs.
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

    /// Ejects the worker for `duration_ms` from now, which may shorten an earlier ejection.
    pub(crate) fn eject_for(&mut self, now_ms: u64, duration_ms: u64) {
        self.ejected_until_ms = now_ms + duration_ms;
    }

    /// Counts the end of a run, and ejects the worker if too many of its runs failed.
    pub(crate) fn record_run_end(&mut self, now_ms: u64, failed: bool) {
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
/// The factor by which a worker's slowdown decays at each progress check, so that old samples lose
/// weight.
const SLOWDOWN_DECAY: f64 = 0.98;
/// The natural logarithm of the slowdown above which a worker counts as slow.
const MIN_SLOW_LOG_SLOWDOWN: f64 = 0.7;
/// The range to which a sample is clamped.
const SAMPLE_RANGE: (f64, f64) = (-1.0, 3.0);

/// The slowdown of a worker: the ratio of its running times to the expected ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkerSpeed {
    /// The smoothed natural logarithm of the slowdown.
    log_slowdown: f64,
}

impl WorkerSpeed {
    /// Adds a sample: the natural logarithm of a task's running time divided by the expected one.
    pub(crate) fn add_sample(&mut self, deviation: f64) {
        let (min, max) = SAMPLE_RANGE;
        self.log_slowdown = moving_average(self.log_slowdown, deviation.clamp(min, max), SLOWDOWN_WEIGHT);
    }

    /// Reduces the weight of the samples so far.
    pub(crate) fn decay(&mut self) {
        self.log_slowdown *= SLOWDOWN_DECAY;
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.log_slowdown > MIN_SLOW_LOG_SLOWDOWN
    }

    /// The ratio of running times on this worker to the expected ones, at least 1.
    pub(crate) fn slowdown(&self) -> f64 {
        self.log_slowdown.exp().max(1.0)
    }
}
