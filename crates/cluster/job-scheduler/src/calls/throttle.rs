//! Limits the starts between two ticks by the lateness of the ticks.
//!
//! Ticks are late when the process has too little processor time. A late tick halves the limit, a
//! tick in time raises it by a constant (additive increase, multiplicative decrease).

use crate::smoothing::moving_average;

/// The largest lateness of a tick at which the process does not count as overloaded, milliseconds.
const MAX_LATENESS_MS: u64 = 60;
/// The lower bound of the limit on starts between two ticks.
const MIN_STARTS_PER_TICK: usize = 8;
/// The upper bound of the limit on starts between two ticks.
const MAX_STARTS_PER_TICK: usize = 512;
/// The number of starts by which each tick in time raises the limit.
const STARTS_INCREMENT: usize = 16;

/// The smoothed lateness above which calls may time out because this process is slow, milliseconds.
const SLOW_LATENESS_MS: f64 = 15.0;
/// The weight of one tick in the smoothed lateness.
const LATENESS_WEIGHT: f64 = 0.2;

/// The limit on starts between two ticks.
///
/// `remaining` is the number of starts that may still be placed before the next tick, and at most
/// `limit`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartThrottle {
    limit: usize,
    remaining: usize,
    smoothed_lateness_ms: f64,
}

impl Default for StartThrottle {
    fn default() -> Self {
        StartThrottle {
            limit: MAX_STARTS_PER_TICK,
            remaining: MAX_STARTS_PER_TICK,
            smoothed_lateness_ms: 0.0,
        }
    }
}

impl StartThrottle {
    /// Adjusts the limit to the lateness of the next tick.
    pub(crate) fn record_lateness(&mut self, late_ms: u64) {
        self.smoothed_lateness_ms =
            moving_average(self.smoothed_lateness_ms, late_ms as f64, LATENESS_WEIGHT);
        if late_ms > MAX_LATENESS_MS {
            self.limit = (self.limit / 2).max(MIN_STARTS_PER_TICK);
            log::debug!("starts throttled late_ms={late_ms} max_starts_per_tick={}", self.limit);
        } else {
            self.limit = (self.limit + STARTS_INCREMENT).min(MAX_STARTS_PER_TICK);
        }
        self.remaining = self.remaining.min(self.limit);
    }

    /// Whether this process is so slow that a call without a response does not indicate a fault of
    /// the worker.
    pub(crate) fn is_process_slow(&self) -> bool {
        self.smoothed_lateness_ms > SLOW_LATENESS_MS
    }

    /// Makes the full limit available at the beginning of a tick.
    pub(crate) fn refill(&mut self) {
        self.remaining = self.limit;
    }

    /// The number of starts that may still be placed before the next tick.
    pub(crate) fn remaining(&self) -> usize {
        self.remaining
    }

    /// Subtracts placed starts from those that remain before the next tick.
    pub(crate) fn consume(&mut self, starts: usize) {
        self.remaining = self.remaining.saturating_sub(starts);
    }

    /// The current limit on starts between two ticks.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }
}
