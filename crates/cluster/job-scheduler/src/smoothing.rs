//! The exponentially weighted moving average that smooths round-trip times, worker speeds and
//! failure rates.

/// Returns the average after one more sample, which enters with `weight` (0 to 1).
pub(crate) fn moving_average(average: f64, sample: f64, weight: f64) -> f64 {
    average + weight * (sample - average)
}
