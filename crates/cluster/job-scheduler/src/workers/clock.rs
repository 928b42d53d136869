//! A worker's clock, and the time at which all leases granted on it have expired.

/// The largest share by which a worker's clock may be slower than the scheduler's.
const MAX_CLOCK_DRIFT: f64 = 0.02;
/// A margin for rounding in the computation of expiry times, milliseconds.
const ROUNDING_MARGIN_MS: u64 = 150;

/// The scheduler's and the worker's clock at a response of the worker.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    monotonic_ms: u64,
    worker_clock_ms: u64,
}

/// A worker's clock as last read, and the expiry of the leases that were granted on it.
///
/// No lease that any scheduler granted so far lasts past `expires_at_ms` on this scheduler's
/// monotonic clock. After that time all runs on an unreachable worker are known to be over, even if
/// the worker's clock is slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerClock {
    last_reading: Option<ClockReading>,
    expires_at_ms: u64,
}

impl WorkerClock {
    /// The clock of a worker whose leases are not known: a scheduler of an earlier term may have
    /// granted one of `max_lease_ms` as late as now.
    pub(crate) fn unknown(now_ms: u64, max_lease_ms: u64) -> Self {
        WorkerClock { last_reading: None, expires_at_ms: latest_expiry_ms(now_ms, max_lease_ms) }
    }

    /// Records the worker's clock from a response. A reading older than the last one is ignored.
    pub(crate) fn observe(&mut self, now_ms: u64, worker_clock_ms: u64) {
        if self.last_reading.is_none_or(|last| worker_clock_ms >= last.worker_clock_ms) {
            self.last_reading = Some(ClockReading { monotonic_ms: now_ms, worker_clock_ms });
        }
    }

    /// Grants a lease and returns its end on the worker's clock, at most `lease_ms` ahead of that
    /// clock. Returns `None` while the clock is unknown.
    pub(crate) fn grant_lease(&mut self, now_ms: u64, lease_ms: u64) -> Option<u64> {
        let last = self.last_reading?;
        let elapsed_ms = now_ms.saturating_sub(last.monotonic_ms);
        let elapsed_worker_ms = (elapsed_ms as f64 * (1.0 - MAX_CLOCK_DRIFT)) as u64;
        self.expires_at_ms = self.expires_at_ms.max(latest_expiry_ms(now_ms, lease_ms));
        Some(last.worker_clock_ms + elapsed_worker_ms + lease_ms)
    }

    /// Whether all leases that were ever granted to the worker have expired.
    pub(crate) fn is_expired(&self, now_ms: u64) -> bool {
        now_ms > self.expires_at_ms
    }
}

/// The latest time on the scheduler's clock at which a lease granted now expires.
fn latest_expiry_ms(now_ms: u64, lease_ms: u64) -> u64 {
    now_ms + (lease_ms as f64 / (1.0 - MAX_CLOCK_DRIFT)) as u64 + ROUNDING_MARGIN_MS
}
