//! Outlier detection: workers that fail or run much slower than the others are ejected for a time;
//! workers that reject attempts count as full for a time.

use super::Dispatcher;
use crate::api::{MILLISECOND, Nanos, SECOND};
use crate::state::{RunTimeSample, WorkerIndex};

/// The time without failures after which earlier failures of a worker are forgotten.
const FAILURE_MEMORY: Nanos = 10 * SECOND;

/// The number of failures beyond which the ejection does not get longer.
const MAX_FAILURES: u32 = 4;

/// The duration of the first ejection after a failure to connect or a dropped connection. It
/// doubles with each failure.
pub(super) const CONNECTION_EJECTION: Nanos = 2 * SECOND;

/// The duration of the first ejection after an error or a timeout. It doubles with each failure.
pub(super) const ERROR_EJECTION: Nanos = 4 * SECOND;

/// The duration of the ejection of a slow worker.
const SLOW_EJECTION: Nanos = 5 * SECOND;

/// The slowness beyond which a worker is ejected: the logarithm of its running time relative to the
/// other workers.
const MAX_SLOWNESS: f64 = 0.9;

/// The multiple of the class's deviation, divided by the square root of the number of samples, that
/// a worker's slowness must exceed to be significant.
const SLOWNESS_CONFIDENCE: f64 = 3.0;

/// The lower bound of a class's deviation in the significance test.
const MIN_DEVIATION: f64 = 0.2;

/// The number of samples that a class's statistics must exceed to be used for ejection.
const MIN_CLASS_SAMPLES: f64 = 30.0;

/// The upper bound of the number of samples in a worker's slowness.
const MAX_WORKER_SAMPLES: f64 = 6.0;

/// The time for which a worker counts as full after a rejection. It doubles with each consecutive
/// rejection.
const BASE_FULL_DURATION: Nanos = 300 * MILLISECOND;

/// The maximum number of doublings of [`BASE_FULL_DURATION`].
const MAX_FULL_DOUBLINGS: u32 = 5;

impl Dispatcher {
    /// Counts a failure of a worker and ejects it; `first_ejection` is the duration of the ejection
    /// for a single failure, in nanoseconds.
    pub(super) fn record_failure(&mut self, worker: WorkerIndex, now: Nanos, first_ejection: Nanos) {
        let health = &mut self.fleet.worker_mut(worker).health;
        if now > health.last_failure_at + FAILURE_MEMORY {
            health.failures = 0;
        }
        health.failures = (health.failures + 1).min(MAX_FAILURES);
        health.last_failure_at = now;
        let duration = first_ejection << (health.failures - 1);
        self.fleet.eject(worker, now, duration);
    }

    /// Counts a rejection and marks the worker as full for a time. A worker that rejects every
    /// attempt looks idle by its reports and own slots, and would otherwise always be chosen.
    pub(super) fn record_rejection(&mut self, worker: WorkerIndex, now: Nanos) {
        let health = &mut self.fleet.worker_mut(worker).health;
        health.full_until = now + (BASE_FULL_DURATION << health.rejections.min(MAX_FULL_DOUBLINGS));
        health.rejections += 1;
    }

    /// Records the running time of a served attempt in the statistics of its class and the slowness
    /// of its worker.
    ///
    /// A worker that answers but is several times slower than the others is ejected, because its
    /// free slots are not worth using.
    pub(super) fn record_run_time(
        &mut self,
        worker: WorkerIndex,
        now: Nanos,
        class: usize,
        sample: RunTimeSample,
    ) {
        let health = &mut self.fleet.worker_mut(worker).health;
        let statistics = &mut self.classes[class];
        let excess = statistics.record(sample);
        health.slowness_samples = (health.slowness_samples + 1.0).min(MAX_WORKER_SAMPLES);
        health.slowness += (excess - health.slowness) / health.slowness_samples;
        let is_significant = health.slowness * health.slowness_samples.sqrt()
            > SLOWNESS_CONFIDENCE * statistics.deviation.max(MIN_DEVIATION);
        if is_significant && health.slowness > MAX_SLOWNESS && statistics.samples > MIN_CLASS_SAMPLES {
            health.slowness_samples = 1.0;
            self.fleet.eject(worker, now, SLOW_EJECTION);
        }
    }
}
