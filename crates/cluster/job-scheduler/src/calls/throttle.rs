//! How many starts a scheduler sends between two ticks, by how late its ticks come.
//!
//! Ticks come late when the process has too little processor time. Then fewer starts are allowed;
//! while ticks come in time, the number rises again (additive increase, multiplicative decrease).

use crate::smoothing::moving_average;

/// The lateness of a tick from which on the process counts as overloaded, milliseconds.
const MAX_LATENESS_MS: u64 = 60;
/// The smallest number of starts between two ticks.
const MIN_STARTS_PER_TICK: usize = 8;
/// The largest number of starts between two ticks.
const MAX_STARTS_PER_TICK: usize = 512;
/// By how many more starts each tick in time raises the number.
const STARTS_INCREMENT: usize = 16;

/// The smoothed lateness from which on calls may have no response in time since this process is slow,
/// milliseconds.
const SLOW_LATENESS_MS: f64 = 15.0;
/// The weight of a tick in the smoothed lateness.
const LATENESS_WEIGHT: f64 = 0.2;

/// The starts that may be sent before the next tick: `remaining <= limit` after each adjustment.
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
    /// The next tick comes so much later than it should.
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

    /// Whether this process is so slow that a call without response says nothing of the other side.
    pub(crate) fn is_process_slow(&self) -> bool {
        self.smoothed_lateness_ms > SLOW_LATENESS_MS
    }

    /// A tick begins.
    pub(crate) fn refill(&mut self) {
        self.remaining = self.limit;
    }

    /// Starts that may still be sent before the next tick.
    pub(crate) fn remaining(&self) -> usize {
        self.remaining
    }

    pub(crate) fn consume(&mut self, starts: usize) {
        self.remaining = self.remaining.saturating_sub(starts);
    }

    /// The present number of starts between two ticks.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }
}
