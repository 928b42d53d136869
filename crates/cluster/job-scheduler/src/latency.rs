//! Latency histograms of fixed size for the metrics.

/// The upper bounds of the buckets, milliseconds. Longer latencies go into an overflow bucket.
const BOUNDS_MS: [u64; 13] = [1, 2, 5, 10, 20, 30, 60, 100, 200, 400, 800, 1_600, 3_200];
/// The upper bound that is reported for the overflow bucket, milliseconds.
const OVERFLOW_MS: u64 = 10_000;

/// A histogram of latencies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyHistogram {
    counts: [u64; BOUNDS_MS.len()],
    overflow: u64,
}

impl LatencyHistogram {
    /// Records a latency, milliseconds.
    pub fn record(&mut self, ms: u64) {
        match BOUNDS_MS.iter().position(|bound| ms <= *bound) {
            Some(bucket) => self.counts[bucket] += 1,
            None => self.overflow += 1,
        }
    }

    /// The number of recorded latencies.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.counts.iter().sum::<u64>() + self.overflow
    }

    /// The upper bound, milliseconds, of the bucket that holds the given quantile (0 to 1); 0 if
    /// nothing was recorded.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> u64 {
        let count = self.count();
        if count == 0 {
            return 0;
        }
        let rank = (quantile * count as f64).ceil().max(1.0) as u64;
        let mut cumulative = 0;
        for (bucket, bound) in self.counts.iter().zip(BOUNDS_MS) {
            cumulative += bucket;
            if cumulative >= rank {
                return bound;
            }
        }
        OVERFLOW_MS
    }
}

/// The latencies of the steps of a start, each measured from the end of the step before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartLatencies {
    /// From the time at which a task or gang was queued to the choice of its workers; one value for
    /// a gang.
    pub placement: LatencyHistogram,
    /// From the choice of a worker until the record of the run is committed and the start is sent.
    pub commit: LatencyHistogram,
    /// From sending the start to the worker's acknowledgement.
    pub response: LatencyHistogram,
}
