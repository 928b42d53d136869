//! How many starts a scheduler orders at a time, judged by how far it is behind.
//!
//! A scheduler whose processor is full is told of it by its own clock: time passes for it later than it should. It then
//! begins less at a time, additively more again while it keeps up (additive increase, multiplicative decrease).

/// How far behind a scheduler may be before it counts as busy, milliseconds.
const BUSY_MS: u64 = 60;
/// Starts between two ticks, at least and at most.
const LEAST: usize = 8;
const MOST: usize = 512;
/// By how many more each tick in time allows.
const INCREASE: usize = 16;

/// The starts that may go out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Throttle {
    allowed: usize,
    left: usize,
}

impl Default for Throttle {
    fn default() -> Self {
        Throttle { allowed: MOST, left: MOST }
    }
}

impl Throttle {
    /// The scheduler is so far behind, milliseconds.
    pub fn adjust(&mut self, late_ms: u64) {
        if late_ms > BUSY_MS {
            self.allowed = (self.allowed / 2).max(LEAST);
            log::debug!("{late_ms} ms behind: {} starts at a time", self.allowed);
        } else {
            self.allowed = (self.allowed + INCREASE).min(MOST);
        }
        self.left = self.left.min(self.allowed);
    }

    /// A tick begins.
    pub fn refill(&mut self) {
        self.left = self.allowed;
    }

    /// Starts that may still go out before the next tick.
    pub fn left(&self) -> usize {
        self.left
    }

    /// So many went out.
    pub fn take(&mut self, starts: usize) {
        self.left = self.left.saturating_sub(starts);
    }

    /// Starts between two ticks as now allowed.
    pub fn allowed(&self) -> usize {
        self.allowed
    }
}
