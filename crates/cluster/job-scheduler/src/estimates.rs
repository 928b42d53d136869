//! How long tasks take, compared with what their clients estimated.
//!
//! Estimates of one queue are off by about the same factor. It is learnt from the tasks' real
//! running times; what remains of the deviation when it is taken out says how fast the worker was.
use crate::ids::QueueId;
use rustc_hash::FxHashMap;

/// The least weight of a new sample in a queue's mean and variance.
const SAMPLE_WEIGHT: f64 = 0.03;
/// The largest standard deviation (of the logarithm) of a queue's estimates by which workers are
/// judged.
const MAX_STANDARD_DEVIATION: f64 = 0.45;
/// Samples of a queue before workers are judged by it.
const MIN_SAMPLES: u32 = 30;
/// The bound of the deviation that one sample counts with, either way.
const MAX_DEVIATION: f64 = 2.0;

/// How good a queue's estimates are: mean and variance of the logarithm of real over estimated
/// running time.
#[derive(Clone, Copy, Debug, Default)]
struct QueueEstimates {
    mean: f64,
    variance: f64,
    samples: u32,
}

impl QueueEstimates {
    fn add_sample(&mut self, real_ms: f64, estimated_ms: f64) -> Option<f64> {
        let log_ratio = (real_ms.max(1.0) / estimated_ms.max(1.0)).ln();
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

/// The estimates of all queues.
#[derive(Debug, Default)]
pub(crate) struct RuntimeEstimates {
    queues: FxHashMap<QueueId, QueueEstimates>,
}

impl RuntimeEstimates {
    /// Learns from a task that took `real_ms`. Returns the logarithm of how many times longer than
    /// expected that was, if the queue's estimates are good enough to blame the worker for it.
    pub(crate) fn add_sample(&mut self, queue: &QueueId, real_ms: f64, estimated_ms: f64) -> Option<f64> {
        if let Some(estimates) = self.queues.get_mut(queue) {
            return estimates.add_sample(real_ms, estimated_ms);
        }
        self.queues.entry(queue.clone()).or_default().add_sample(real_ms, estimated_ms)
    }

    /// How long a task takes on a worker of usual speed, milliseconds; `f64::MAX` for a queue
    /// without samples.
    pub(crate) fn expected_runtime_ms(&self, queue: &QueueId, estimated_ms: f64) -> f64 {
        self.queues.get(queue).map_or(f64::MAX, |estimates| estimated_ms * estimates.mean.exp())
    }
}
