//! The clocks of a process.
use spanlead_job_scheduler::Now;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Where the steady clock starts, milliseconds: times before the start of the process can be told too.
const BASE_MS: u64 = 1_000_000;

/// A steady clock, and the time of day reckoned from it: a jump of the system's time of day changes nothing here.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_unix: u64,
}

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock { started: Instant::now(), started_unix: since.map_or(0, |d| d.as_millis() as u64) }
    }

    /// Milliseconds of the steady clock.
    #[must_use]
    pub fn steady(&self) -> u64 {
        BASE_MS + self.started.elapsed().as_millis() as u64
    }

    /// Both times.
    #[must_use]
    pub fn now(&self) -> Now {
        let steady = self.steady();
        Now { monotonic_ms: steady, unix_ms: self.started_unix + (steady - BASE_MS) }
    }

    /// A number that differs from process to process.
    #[must_use]
    pub fn random(&self, name: &str) -> u64 {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
        let seed = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), nanos);
        seed ^ u64::from(std::process::id()).rotate_left(32)
    }
}
