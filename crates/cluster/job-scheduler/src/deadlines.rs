//! How long a worker may take to answer a call, judged by how long answers take.
//!
//! Round trips are smoothed by zone, as TCP does for its retransmission timer (RFC 6298): mean and mean deviation. They
//! include what this process takes itself, so a busy scheduler waits longer. Two things lengthen the deadline beside
//! that: answers that were given up although the worker had carried the call out, and many calls given up at a time.
use crate::metrics::TimeoutRange;
use compact_str::CompactString;
use rustc_hash::FxHashMap;

/// The shortest deadline, milliseconds: pauses of a process or a link are shorter.
pub(crate) const LEAST_MS: u64 = 60;
/// The longest, and that of a zone of which too little is known, milliseconds.
pub(crate) const MOST_MS: u64 = 300;
/// Answers of a zone before its deadline follows from them.
const MIN_SAMPLES: u32 = 20;
/// The share of a new sample in a zone's mean and in its deviation.
const MEAN_SHARE: f64 = 0.125;
const DEVIATION_SHARE: f64 = 0.25;
/// Deviations that a deadline is above the mean.
const DEVIATIONS: f64 = 4.0;
/// How many times longer a deadline is after one that was too short, and at most.
const PREMATURE_FACTOR: f64 = 1.5;
const MOST_CAUTION: f64 = 6.0;
/// How much of that is kept at each answer.
const CAUTION_KEPT: f64 = 0.998;
/// The share of starts given up, smoothed, from which on all deadlines are the longest: deadlines that many miss say more
/// of this process or the network than of workers.
const MOST_GIVEN_UP: f64 = 0.25;
/// The share of one more call in that share.
const GIVEN_UP_SHARE: f64 = 0.01;

/// The answers of one zone.
#[derive(Clone, Copy, Debug, Default)]
struct RoundTrip {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
}

impl RoundTrip {
    fn take(&mut self, ms: f64) {
        if self.samples == 0 {
            (self.mean_ms, self.deviation_ms) = (ms, ms / 2.0);
        } else {
            self.deviation_ms += DEVIATION_SHARE * ((ms - self.mean_ms).abs() - self.deviation_ms);
            self.mean_ms += MEAN_SHARE * (ms - self.mean_ms);
        }
        self.samples = self.samples.saturating_add(1);
    }

    fn deadline_ms(&self, caution: f64) -> u64 {
        if self.samples < MIN_SAMPLES {
            return MOST_MS;
        }
        let deadline = (self.mean_ms + DEVIATIONS * self.deviation_ms) * caution;
        (deadline.max(LEAST_MS as f64 * caution) as u64).min(MOST_MS)
    }
}

/// The deadlines of calls to workers.
#[derive(Clone, Debug)]
pub(crate) struct Deadlines {
    zones: FxHashMap<CompactString, RoundTrip>,
    caution: f64,
    given_up: f64,
}

impl Default for Deadlines {
    fn default() -> Self {
        Deadlines { zones: FxHashMap::default(), caution: 1.0, given_up: 0.0 }
    }
}

impl Deadlines {
    /// How long a worker of that zone may take, milliseconds.
    pub fn of(&self, zone: &str) -> u64 {
        if self.given_up > MOST_GIVEN_UP {
            return MOST_MS;
        }
        self.zones.get(zone).map_or(MOST_MS, |round_trip| round_trip.deadline_ms(self.caution))
    }

    /// An answer came after so long.
    pub fn answered(&mut self, zone: &CompactString, ms: u64) {
        self.zones.entry(zone.clone()).or_default().take(ms as f64);
        self.caution = 1.0 + (self.caution - 1.0) * CAUTION_KEPT;
        self.given_up -= GIVEN_UP_SHARE * self.given_up;
    }

    /// No answer to a start came in time.
    pub fn given_up(&mut self) {
        self.given_up += GIVEN_UP_SHARE * (1.0 - self.given_up);
    }

    /// A call that was given up had been carried out in time: the deadline was too short.
    pub fn premature(&mut self) {
        self.caution = (self.caution * PREMATURE_FACTOR).min(MOST_CAUTION);
    }

    /// The longest and the shortest deadline in use, milliseconds; `None` before the first answer.
    pub fn range(&self) -> Option<TimeoutRange> {
        let all = || self.zones.keys().map(|zone| self.of(zone));
        Some(TimeoutRange { shortest_ms: all().min()?, longest_ms: all().max()? })
    }
}
