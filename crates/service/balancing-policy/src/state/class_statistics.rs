//! Statistics of the running times of a request class.

use crate::api::Nanos;

/// The lower bound of a new sample's weight in the running means.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;

/// The running time of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunTimeSample {
    /// The running time in nanoseconds.
    pub(crate) run_time: Nanos,
    /// The request's expected work in nanoseconds, if the client stated it.
    pub(crate) expected_work: Option<Nanos>,
}

impl RunTimeSample {
    /// Returns the logarithm of the running time, which is first divided by the expected work if
    /// that is known.
    fn log_run_time(self) -> f64 {
        (self.run_time.max(1) as f64 / self.expected_work.unwrap_or(1).max(1) as f64).ln()
    }
}

/// Statistics of the running times of a request class.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassStatistics {
    /// The mean of [`RunTimeSample::log_run_time`].
    mean_log_run_time: f64,
    /// The mean absolute deviation from `mean_log_run_time`.
    pub(crate) deviation: f64,
    /// The number of samples recorded.
    pub(crate) samples: f64,
    /// The longest `time_left` with which a request of the class has arrived, in nanoseconds. It is
    /// the time that clients give their original requests, as opposed to retries. It may be less
    /// than the class's deadline.
    pub(crate) longest_time_left: Nanos,
}

impl ClassStatistics {
    /// Returns the typical running time: a multiple of the expected work if clients state that,
    /// else in nanoseconds. Without samples it is 1.
    pub(crate) fn typical_run_time(&self) -> f64 {
        self.mean_log_run_time.exp()
    }

    /// Returns the typical running time like [`Self::typical_run_time`], but 0 without samples.
    pub(crate) fn known_run_time(&self) -> f64 {
        self.typical_run_time() * f64::from(u8::from(self.samples > 0.0))
    }

    /// Records a sample and returns by how much its logarithm exceeds the mean; negative if it is
    /// below.
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
