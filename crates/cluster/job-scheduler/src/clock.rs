//! A worker's clock, and until when at the latest something may run there.

/// Workers' clocks may be slower than ours by this share.
const SLOW: f64 = 0.02;
/// Beside the slowness, for what is rounded, milliseconds.
const SLACK_MS: u64 = 150;

/// What is known of a worker's clock and of the holds that it was given.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerClock {
    /// Our time and the worker's at the last answer.
    heard: Option<(u64, u64)>,
    /// Nothing that was allowed so far runs past this time of ours.
    lapses_at: u64,
}

impl WorkerClock {
    /// A worker of which nothing is known: others may have allowed `hold_ms` until `now`.
    pub fn unknown(now: u64, hold_ms: u64) -> Self {
        WorkerClock { heard: None, lapses_at: stretched(now, hold_ms) }
    }

    /// A worker that started after this term began: nobody has allowed it anything.
    pub fn fresh() -> Self {
        WorkerClock { heard: None, lapses_at: 0 }
    }

    /// An answer came.
    pub fn hear(&mut self, now: u64, clock_ms: u64) {
        if self.heard.is_none_or(|(_, before)| clock_ms >= before) {
            self.heard = Some((now, clock_ms));
        }
    }

    /// A time on the worker's clock, at most `ahead_ms` from now there. From now on, something may run until then.
    pub fn allow(&mut self, now: u64, ahead_ms: u64) -> Option<u64> {
        let (at, clock) = self.heard?;
        let passed = (now.saturating_sub(at) as f64 * (1.0 - SLOW)) as u64;
        self.lapses_at = self.lapses_at.max(stretched(now, ahead_ms));
        Some(clock + passed + ahead_ms)
    }

    /// Whether everything that was ever allowed there has run out.
    pub fn lapsed(&self, now: u64) -> bool {
        now > self.lapses_at
    }
}

fn stretched(now: u64, ahead_ms: u64) -> u64 {
    now + (ahead_ms as f64 / (1.0 - SLOW)) as u64 + SLACK_MS
}
