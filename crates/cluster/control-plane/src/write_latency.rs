//! The latency of writes to this machine's disk, for the metrics.
use spanlead_job_scheduler::LatencyHistogram;
use std::collections::VecDeque;

/// A record that is not on disk yet.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    token: u64,
    requested_at_ms: u64,
}

/// Measures the time from the request to write a record until the record is on disk.
#[derive(Clone, Debug, Default)]
pub struct WriteLatency {
    /// The pending writes in ascending order of their tokens.
    pending: VecDeque<PendingWrite>,
    histogram: LatencyHistogram,
}

impl WriteLatency {
    /// Records the request to write a record. Tokens must ascend.
    pub fn record_request(&mut self, token: u64, now_ms: u64) {
        self.pending.push_back(PendingWrite { token, requested_at_ms: now_ms });
    }

    /// Records that all writes up to this token are on disk.
    pub fn record_written(&mut self, token: u64, now_ms: u64) {
        while let Some(write) = self.pending.pop_front_if(|write| write.token <= token) {
            self.histogram.record(now_ms.saturating_sub(write.requested_at_ms));
        }
    }

    /// Returns the distribution of write latencies since the process started.
    #[must_use]
    pub fn histogram(&self) -> &LatencyHistogram {
        &self.histogram
    }
}
