//! The clocks of a process.
use spanlead_job_scheduler::Now;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The reading of the monotonic clock when the process starts, milliseconds. Above zero, so that
/// times before the start can be represented too.
const START_MS: u64 = 1_000_000;

/// A monotonic clock, and the time of day derived from it: a step of the system's time of day after
/// the start has no effect here.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_unix_ms: u64,
}

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Clock { started: Instant::now(), started_unix_ms: since_unix_epoch().as_millis() as u64 }
    }

    /// The monotonic clock, milliseconds.
    #[must_use]
    pub fn monotonic_ms(&self) -> u64 {
        START_MS + self.started.elapsed().as_millis() as u64
    }

    /// The monotonic clock and the time of day, of the same moment.
    #[must_use]
    pub fn now(&self) -> Now {
        let monotonic_ms = self.monotonic_ms();
        Now { monotonic_ms, unix_ms: self.started_unix_ms + (monotonic_ms - START_MS) }
    }

    /// A seed for random numbers that differs between processes, starts and purposes.
    #[must_use]
    pub fn random_seed(&self, purpose: &str) -> u64 {
        let nanos = since_unix_epoch().as_nanos() as u64;
        xxh3_64_with_seed(purpose.as_bytes(), nanos) ^ u64::from(std::process::id()).rotate_left(32)
    }
}

fn since_unix_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
