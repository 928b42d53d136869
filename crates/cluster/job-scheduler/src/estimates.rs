//! Accuracy of the clients' running time estimates, learned for each queue.
//!
//! The estimates within a queue are off by about the same factor. That factor is learned from the
//! actual running times; the deviation that remains after correcting for it indicates how fast the
//! worker was.
use crate::ids::QueueId;
use rustc_hash::FxHashMap;

/// The least weight of a new sample in a queue's mean and variance.
const SAMPLE_WEIGHT: f64 = 0.03;
/// The standard deviation of the logarithm of actual over estimated running time below which a
/// queue's estimates are precise enough to assess workers by them.
const MAX_STANDARD_DEVIATION: f64 = 0.45;
/// The number of samples of a queue that are needed before workers are assessed by its estimates.
const MIN_SAMPLES: u32 = 30;
/// The bound, in both directions, of the logarithmic deviation with which one sample enters the
/// mean and variance.
const MAX_DEVIATION: f64 = 2.0;

/// The accuracy of a queue's estimates: mean and variance of the logarithm of actual over estimated
/// running time.
#[derive(Clone, Copy, Debug, Default)]
struct EstimateAccuracy {
    mean: f64,
    variance: f64,
    samples: u32,
}

impl EstimateAccuracy {
    fn add_sample(&mut self, actual_ms: f64, estimated_ms: f64) -> Option<f64> {
        let log_ratio = (actual_ms.max(1.0) / estimated_ms.max(1.0)).ln();
        let deviation = log_ratio - self.mean;
        let bounded = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.samples = self.samples.saturating_add(1);
        self.mean += weight * bounded;
        self.variance += weight * (bounded.powi(2) - self.variance);
        let is_reliable = self.samples > MIN_SAMPLES && self.variance.sqrt() < MAX_STANDARD_DEVIATION;
        is_reliable.then_some(deviation)
    }
}

/// The accuracy of the estimates of all queues.
#[derive(Debug, Default)]
pub(crate) struct RuntimeEstimates {
    queues: FxHashMap<QueueId, EstimateAccuracy>,
}

impl RuntimeEstimates {
    /// Adds the running time of a task. Returns the logarithm of actual over expected running time
    /// if the queue's estimates are reliable enough to attribute the deviation to the worker.
    pub(crate) fn add_sample(&mut self, queue: &QueueId, actual_ms: f64, estimated_ms: f64) -> Option<f64> {
        if let Some(accuracy) = self.queues.get_mut(queue) {
            return accuracy.add_sample(actual_ms, estimated_ms);
        }
        self.queues.entry(queue.clone()).or_default().add_sample(actual_ms, estimated_ms)
    }

    /// The expected running time of a task on a worker of average speed, milliseconds; `f64::MAX`
    /// for a queue without samples.
    pub(crate) fn expected_runtime_ms(&self, queue: &QueueId, estimated_ms: f64) -> f64 {
        self.queues.get(queue).map_or(f64::MAX, |accuracy| estimated_ms * accuracy.mean.exp())
    }
}
