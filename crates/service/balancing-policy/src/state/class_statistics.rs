//! What is known of the running times of a request class.

use crate::api::Nanos;

/// The least weight of a new sample in the running means.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;

/// The running time of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunTimeSample {
    /// How long it ran, in nanoseconds.
    pub(crate) run_time: Nanos,
    /// Its expected work in nanoseconds, if the client stated it.
    pub(crate) expected_work: Option<Nanos>,
}

impl RunTimeSample {
    /// The logarithm of the running time, divided by the expected work where there is one.
    fn log_run_time(self) -> f64 {
        (self.run_time.max(1) as f64 / self.expected_work.unwrap_or(1).max(1) as f64).ln()
    }
}

/// The running times of a request class.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassStatistics {
    /// The mean logarithm of the running time, divided by the expected work where there is one.
    mean_log_run_time: f64,
    /// The mean absolute deviation from it.
    pub(crate) deviation: f64,
    /// How many samples were taken.
    pub(crate) samples: f64,
    /// The most time that a request of the class arrived with, in nanoseconds: that of first
    /// attempts, which clients may give less than the class's deadline.
    pub(crate) longest_time_left: Nanos,
}

impl ClassStatistics {
    /// The typical running time, as a multiple of the expected work or else in nanoseconds. Without
    /// samples it is 1.
    pub(crate) fn typical_run_time(&self) -> f64 {
        self.mean_log_run_time.exp()
    }

    /// The typical running time, 0 while there is no sample.
    pub(crate) fn known_run_time(&self) -> f64 {
        self.typical_run_time() * f64::from(u8::from(self.samples > 0.0))
    }

    /// Takes a sample; returns how far its logarithm lies above the mean.
    pub(crate) fn record(&mut self, sample: RunTimeSample) -> f64 {
        let log_run_time = sample.log_run_time();
        self.samples += 1.0;
        let sample_weight = (1.0 / self.samples).max(MIN_SAMPLE_WEIGHT);
        self.mean_log_run_time += sample_weight * (log_run_time - self.mean_log_run_time);
        let excess = log_run_time - self.mean_log_run_time;
        self.deviation += sample_weight * (excess.abs() - self.deviation);
        excess
    }
}
