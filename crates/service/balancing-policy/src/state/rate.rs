//! How often something happened recently.

use crate::api::{NANOS_PER_SECOND, Nanos};

/// A decaying rate: exponential smoothing with a span of [`Rate::SPAN_SECONDS`] over events at any
/// times. Its mean is the true rate however seldom the events are.
#[derive(Default)]
pub(crate) struct Rate {
    /// Events a second at the time of the last update.
    per_second: f64,
    updated_at: Nanos,
}

impl Rate {
    /// The span of the smoothing, in seconds.
    pub(crate) const SPAN_SECONDS: f64 = 5.0;

    /// The rate now, in events a second.
    pub(crate) fn per_second(&self, now: Nanos) -> f64 {
        let elapsed_seconds = (now - self.updated_at) as f64 / NANOS_PER_SECOND;
        self.per_second * (-elapsed_seconds / Self::SPAN_SECONDS).exp()
    }

    /// Counts `events`.
    pub(crate) fn add(&mut self, now: Nanos, events: f64) {
        self.per_second = self.per_second(now) + events / Self::SPAN_SECONDS;
        self.updated_at = now;
    }
}
