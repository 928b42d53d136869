//! Estimation of recent event rates.

use crate::api::{NANOS_PER_SECOND, Nanos};

/// An exponentially decaying event rate with a time constant of [`Rate::TIME_CONSTANT_SECONDS`],
/// for events at irregular times. Its expected value is the true rate, however rare the events are.
#[derive(Default)]
pub(crate) struct Rate {
    /// Events per second at the time of the last update.
    per_second: f64,
    updated_at: Nanos,
}

impl Rate {
    /// The time constant of the decay, in seconds.
    pub(crate) const TIME_CONSTANT_SECONDS: f64 = 5.0;

    /// Returns the rate at `now`, in events per second.
    pub(crate) fn per_second(&self, now: Nanos) -> f64 {
        let elapsed_seconds = (now - self.updated_at) as f64 / NANOS_PER_SECOND;
        self.per_second * (-elapsed_seconds / Self::TIME_CONSTANT_SECONDS).exp()
    }

    /// Counts `events` events at `now`.
    pub(crate) fn add(&mut self, now: Nanos, events: f64) {
        self.per_second = self.per_second(now) + events / Self::TIME_CONSTANT_SECONDS;
        self.updated_at = now;
    }
}
