//! How often something happens of late.
use crate::api::Nanos;

/// A rate that forgets: exponential smoothing with a span of [`Rate::SPAN_S`] seconds over events at any times. Its mean is
/// the true rate however seldom the events are.
#[derive(Default)]
pub(crate) struct Rate {
    per_s: f64,
    at: Nanos,
}

impl Rate {
    pub const SPAN_S: f64 = 5.0;

    /// The rate now, events a second.
    pub fn at(&self, now: Nanos) -> f64 {
        self.per_s * (-((now - self.at) as f64 / 1e9) / Self::SPAN_S).exp()
    }

    /// Takes `n` events.
    pub fn add(&mut self, now: Nanos, n: f64) {
        self.per_s = self.at(now) + n / Self::SPAN_S;
        self.at = now;
    }
}
