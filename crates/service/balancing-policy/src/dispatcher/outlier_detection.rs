//! When a worker is ejected: it fails, or it runs much slower than the others.

use super::Dispatcher;
use crate::api::{MILLISECOND, Nanos, SECOND};
use crate::state::{RunTimeSample, WorkerIndex};

/// Failures are forgotten when the worker has had none for this time.
const FAILURE_MEMORY: Nanos = 10 * SECOND;

/// Failures beyond this number do not lengthen the ejection.
const MAX_FAILURES: u32 = 4;

/// The first ejection after a failure to connect, or a connection that dropped. It doubles with
/// each failure.
pub(super) const CONNECTION_EJECTION: Nanos = 2 * SECOND;

/// The first ejection after an error or a time-out. It doubles with each failure.
pub(super) const ERROR_EJECTION: Nanos = 4 * SECOND;

/// How long a slow worker is ejected.
const SLOW_EJECTION: Nanos = 5 * SECOND;

/// The logarithm of how much slower than the others a worker must run to be ejected.
const MAX_SLOWNESS: f64 = 0.9;

/// A worker's slowness must exceed this many times its class's deviation, by the samples taken.
const SLOWNESS_CONFIDENCE: f64 = 3.0;

/// The least deviation that is reckoned with.
const MIN_DEVIATION: f64 = 0.2;

/// A class's statistics count from this number of samples.
const MIN_CLASS_SAMPLES: f64 = 30.0;

/// The most samples that a worker's slowness is based on.
const MAX_WORKER_SAMPLES: f64 = 6.0;

/// How long a worker counts as full after a rejection. It doubles with each rejection in a row.
const FULL_UNIT: Nanos = 300 * MILLISECOND;

/// That time doubles at most this often.
const MAX_FULL_DOUBLINGS: u32 = 5;

impl Dispatcher {
    /// Counts a failure of a worker and ejects it; `first_ejection` is how long one failure ejects
    /// for.
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

    /// Counts a rejection. A worker that rejects everything looks idle by its reports and by own
    /// slots, and would be chosen for ever.
    pub(super) fn record_rejection(&mut self, worker: WorkerIndex, now: Nanos) {
        let health = &mut self.fleet.worker_mut(worker).health;
        health.full_until = now + (FULL_UNIT << health.rejections.min(MAX_FULL_DOUBLINGS));
        health.rejections += 1;
    }

    /// Takes the running time of a served attempt: compared with its class, it tells how slow the
    /// worker is.
    ///
    /// A worker that answers but is several times slower than the others is ejected: its free slots
    /// are not worth taking.
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
