//! The exponentially weighted moving average that round trips, worker speeds and failures are
//! smoothed with.

/// The average after one more sample, which counts with `weight` (0 to 1).
pub(crate) fn moving_average(average: f64, sample: f64, weight: f64) -> f64 {
    average + weight * (sample - average)
}
