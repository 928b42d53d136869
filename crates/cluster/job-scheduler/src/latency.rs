//! Histograms of times, for the metrics: cheap to record, of a fixed size.

/// The upper bounds of the buckets, milliseconds. What takes longer is in a last bucket.
const BOUNDS_MS: [u64; 13] = [1, 2, 5, 10, 20, 30, 60, 100, 200, 400, 800, 1_600, 3_200];
/// The upper bound that is reported for the last bucket, milliseconds.
const OVERFLOW_MS: u64 = 10_000;

/// How many times fell into each bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyHistogram {
    counts: [u64; BOUNDS_MS.len()],
    overflow: u64,
}

impl LatencyHistogram {
    /// Counts a time, milliseconds.
    pub fn record(&mut self, ms: u64) {
        match BOUNDS_MS.iter().position(|bound| ms <= *bound) {
            Some(bucket) => self.counts[bucket] += 1,
            None => self.overflow += 1,
        }
    }

    /// How many times were counted.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.counts.iter().sum::<u64>() + self.overflow
    }

    /// The upper bound, milliseconds, of the bucket that holds the quantile of this share (0 to 1);
    /// 0 if nothing was counted.
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> u64 {
        let count = self.count();
        if count == 0 {
            return 0;
        }
        let wanted = (share * count as f64).ceil().max(1.0) as u64;
        let mut counted = 0;
        for (bucket, bound) in self.counts.iter().zip(BOUNDS_MS) {
            counted += bucket;
            if counted >= wanted {
                return bound;
            }
        }
        OVERFLOW_MS
    }
}

/// The stages of a start, each from the end of the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartLatencies {
    /// From the moment at which the task may start to the choice of a worker.
    pub placement: LatencyHistogram,
    /// From there until the record of the run is committed and the start is sent.
    pub commit: LatencyHistogram,
    /// From there to the worker's acknowledgement.
    pub response: LatencyHistogram,
}
