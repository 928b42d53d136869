//! A worker's clock, and when everything that was ever allowed to run there has expired.

/// Workers' clocks may be slower than ours by this share.
const MAX_CLOCK_DRIFT: f64 = 0.02;
/// A margin for what is rounded, milliseconds.
const ROUNDING_MARGIN_MS: u64 = 150;

/// Our time and the worker's at its last response.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    monotonic_ms: u64,
    worker_clock_ms: u64,
}

/// What is known of a worker's clock and of the leases that were granted on it.
///
/// No lease that any scheduler granted so far lasts past `expires_at_ms` on our clock. So what runs
/// on a worker that can't be reached is known to be over after that time, even if the worker's
/// clock is slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerClock {
    last_reading: Option<ClockReading>,
    expires_at_ms: u64,
}

impl WorkerClock {
    /// A worker of which nothing is known: others may have granted a lease of `max_lease_ms` until
    /// now.
    pub(crate) fn unknown(now_ms: u64, max_lease_ms: u64) -> Self {
        WorkerClock { last_reading: None, expires_at_ms: latest_expiry_ms(now_ms, max_lease_ms) }
    }

    /// A worker that started after this term began: nobody has granted it a lease.
    pub(crate) fn without_lease() -> Self {
        WorkerClock { last_reading: None, expires_at_ms: 0 }
    }

    /// A response came with the worker's clock. One that is older than the last known says nothing.
    pub(crate) fn observe(&mut self, now_ms: u64, worker_clock_ms: u64) {
        if self.last_reading.is_none_or(|last| worker_clock_ms >= last.worker_clock_ms) {
            self.last_reading = Some(ClockReading { monotonic_ms: now_ms, worker_clock_ms });
        }
    }

    /// Grants a lease: its end on the worker's clock, at most `lease_ms` ahead of it. `None` while
    /// that clock is unknown.
    pub(crate) fn grant_lease(&mut self, now_ms: u64, lease_ms: u64) -> Option<u64> {
        let last = self.last_reading?;
        let elapsed_ms = now_ms.saturating_sub(last.monotonic_ms);
        let elapsed_there_ms = (elapsed_ms as f64 * (1.0 - MAX_CLOCK_DRIFT)) as u64;
        self.expires_at_ms = self.expires_at_ms.max(latest_expiry_ms(now_ms, lease_ms));
        Some(last.worker_clock_ms + elapsed_there_ms + lease_ms)
    }

    /// Whether every lease that was ever granted there has expired.
    pub(crate) fn is_expired(&self, now_ms: u64) -> bool {
        now_ms > self.expires_at_ms
    }
}

/// When a lease granted now has expired at the latest on our clock.
fn latest_expiry_ms(now_ms: u64, lease_ms: u64) -> u64 {
    now_ms + (lease_ms as f64 / (1.0 - MAX_CLOCK_DRIFT)) as u64 + ROUNDING_MARGIN_MS
}
