//! How long batches take to last, for the log and the metrics.
use std::collections::VecDeque;

/// A commit that takes longer is named in the log, milliseconds.
const SLOW_MS: u64 = 100;
/// The share of a new sample in the mean.
const SHARE: f64 = 0.05;

/// A batch that does not last yet.
#[derive(Clone, Copy, Debug)]
struct Proposed {
    sequence: u64,
    at: u64,
    bytes: usize,
}

/// The times of commits of a term.
#[derive(Clone, Debug, Default)]
pub struct CommitTimes {
    proposed: VecDeque<Proposed>,
    mean_ms: f64,
    batches: u64,
    bytes: u64,
}

impl CommitTimes {
    /// A batch of so many bytes was made.
    pub fn proposed(&mut self, sequence: u64, now: u64, bytes: usize) {
        self.batches += 1;
        self.bytes += bytes as u64;
        self.proposed.push_back(Proposed { sequence, at: now, bytes });
    }

    /// All batches up to this one last.
    pub fn committed(&mut self, sequence: u64, now: u64) {
        while self.proposed.front().is_some_and(|batch| batch.sequence <= sequence) {
            let Some(batch) = self.proposed.pop_front() else { return };
            let took_ms = now.saturating_sub(batch.at);
            self.mean_ms += SHARE * (took_ms as f64 - self.mean_ms);
            if took_ms >= SLOW_MS {
                log::debug!("batch {} of {} bytes took {took_ms} ms", batch.sequence, batch.bytes);
            }
        }
    }

    /// Batches and bytes of this term so far, and how long a batch takes of late, milliseconds.
    #[must_use]
    pub fn figures(&self) -> (u64, u64, u64) {
        (self.batches, self.bytes, self.mean_ms as u64)
    }
}
