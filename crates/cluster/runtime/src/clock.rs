//! The monotonic clock and the wall clock of a process.
use spanlead_job_scheduler::Now;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Value of the monotonic clock when it is started, in milliseconds. It is above zero so that times
/// before the start can be represented too.
const START_MS: u64 = 1_000_000;

/// A monotonic clock and a wall clock derived from it: a step of the system's wall clock after the
/// start has no effect on either.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_unix_ms: u64,
}

impl Clock {
    /// Starts a clock, reading the system's wall clock once.
    #[must_use]
    pub fn start() -> Self {
        Clock { started: Instant::now(), started_unix_ms: since_unix_epoch().as_millis() as u64 }
    }

    /// Returns the monotonic time in milliseconds.
    #[must_use]
    pub fn monotonic_ms(&self) -> u64 {
        START_MS + self.started.elapsed().as_millis() as u64
    }

    /// Returns the monotonic time and the wall clock time of the same instant.
    #[must_use]
    pub fn now(&self) -> Now {
        let monotonic_ms = self.monotonic_ms();
        Now { monotonic_ms, unix_ms: self.started_unix_ms + (monotonic_ms - START_MS) }
    }

    /// Returns a seed for random numbers that differs between processes, starts and purposes.
    #[must_use]
    pub fn random_seed(&self, purpose: &str) -> u64 {
        let nanos = since_unix_epoch().as_nanos() as u64;
        xxh3_64_with_seed(purpose.as_bytes(), nanos) ^ u64::from(std::process::id()).rotate_left(32)
    }
}

fn since_unix_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
