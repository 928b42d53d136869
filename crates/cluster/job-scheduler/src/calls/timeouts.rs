//! Adaptive time-outs of the calls that workers answer at once.
//!
//! Each zone has a smoothed mean and mean deviation of the round-trip time, as TCP has for its
//! retransmission timer (RFC 6298). Round trips include the processing time of this process, so a
//! busy scheduler waits longer. Two further conditions lengthen time-outs: starts that timed out
//! although the worker carried them out, and a high share of starts that time out.
use crate::metrics::TimeoutRange;
use crate::smoothing::moving_average;
use compact_str::CompactString;
use rustc_hash::FxHashMap;

/// The shortest time-out, milliseconds: usual pauses of a process or a link are shorter.
const MIN_TIMEOUT_MS: u64 = 60;
/// The longest time-out, milliseconds; also that of a zone with fewer than [`MIN_SAMPLES`] round
/// trips.
pub(crate) const MAX_TIMEOUT_MS: u64 = 300;
/// The number of round trips from which on a zone's time-out is computed from them.
const MIN_SAMPLES: u32 = 20;
/// The weight of a new sample in a zone's mean round trip.
const MEAN_WEIGHT: f64 = 0.125;
/// The weight of a new sample in a zone's mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// The number of mean deviations that are added to the mean for a time-out.
const DEVIATION_FACTOR: f64 = 4.0;
/// The factor by which each premature time-out raises the multiplier.
const PREMATURE_TIMEOUT_FACTOR: f64 = 1.5;
/// The upper bound of the multiplier.
const MAX_MULTIPLIER: f64 = 6.0;
/// The factor by which each acknowledged start reduces the multiplier's excess over 1.
const MULTIPLIER_DECAY: f64 = 0.998;
/// The share of starts that time out above which every time-out is [`MAX_TIMEOUT_MS`]: when most
/// starts time out, the cause is this process or the network rather than single workers.
const MAX_TIMEOUT_RATE: f64 = 0.6;
/// The largest multiplier at which time-outs count as reliable: none of the last few hundred was
/// premature.
const MAX_RELIABLE_MULTIPLIER: f64 = 1.2;
/// The weight of one start in the share of starts that time out.
const TIMEOUT_RATE_WEIGHT: f64 = 0.01;

/// The smoothed round-trip time of one zone.
#[derive(Clone, Copy, Debug, Default)]
struct RoundTripEstimate {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
}

impl RoundTripEstimate {
    fn add_sample(&mut self, ms: f64) {
        if self.samples == 0 {
            self.mean_ms = ms;
            self.deviation_ms = ms / 2.0;
        } else {
            let deviation_ms = (ms - self.mean_ms).abs();
            self.deviation_ms = moving_average(self.deviation_ms, deviation_ms, DEVIATION_WEIGHT);
            self.mean_ms = moving_average(self.mean_ms, ms, MEAN_WEIGHT);
        }
        self.samples = self.samples.saturating_add(1);
    }

    fn timeout_ms(&self, multiplier: f64) -> u64 {
        if self.samples < MIN_SAMPLES {
            return MAX_TIMEOUT_MS;
        }
        let timeout_ms = (self.mean_ms + DEVIATION_FACTOR * self.deviation_ms) * multiplier;
        (timeout_ms.max(MIN_TIMEOUT_MS as f64 * multiplier) as u64).min(MAX_TIMEOUT_MS)
    }
}

/// The time-outs of calls to workers, by zone.
#[derive(Clone, Debug)]
pub(crate) struct CallTimeouts {
    zones: FxHashMap<CompactString, RoundTripEstimate>,
    /// The factor, at least 1, by which premature time-outs lengthen all time-outs.
    multiplier: f64,
    /// The smoothed share of starts that time out.
    timeout_rate: f64,
}

impl Default for CallTimeouts {
    fn default() -> Self {
        CallTimeouts { zones: FxHashMap::default(), multiplier: 1.0, timeout_rate: 0.0 }
    }
}

impl CallTimeouts {
    /// The time-out of a call to a worker of `zone`, milliseconds.
    pub(crate) fn timeout_ms(&self, zone: &str) -> u64 {
        if self.timeout_rate > MAX_TIMEOUT_RATE {
            return MAX_TIMEOUT_MS;
        }
        let zone = self.zones.get(zone);
        zone.map_or(MAX_TIMEOUT_MS, |round_trip| round_trip.timeout_ms(self.multiplier))
    }

    /// Whether a start that times out most likely was not carried out or has lost its response: no
    /// recent start was acknowledged after its time-out, and the share of starts that time out is
    /// not high.
    pub(crate) fn are_reliable(&self) -> bool {
        self.multiplier <= MAX_RELIABLE_MULTIPLIER && self.timeout_rate <= MAX_TIMEOUT_RATE
    }

    /// Records the round-trip time of an acknowledged start, milliseconds.
    pub(crate) fn record_round_trip(&mut self, zone: &CompactString, ms: u64) {
        self.zones.entry(zone.clone()).or_default().add_sample(ms as f64);
        self.multiplier = 1.0 + (self.multiplier - 1.0) * MULTIPLIER_DECAY;
        self.timeout_rate = moving_average(self.timeout_rate, 0.0, TIMEOUT_RATE_WEIGHT);
    }

    /// Records a start without a response in time.
    pub(crate) fn record_timeout(&mut self) {
        self.timeout_rate = moving_average(self.timeout_rate, 1.0, TIMEOUT_RATE_WEIGHT);
    }

    /// Records that a start was acknowledged after its time-out, which was too short.
    pub(crate) fn record_premature_timeout(&mut self) {
        self.multiplier = (self.multiplier * PREMATURE_TIMEOUT_FACTOR).min(MAX_MULTIPLIER);
    }

    /// The shortest and the longest current time-out of any zone; `None` before the first response.
    pub(crate) fn range(&self) -> Option<TimeoutRange> {
        let timeouts = || self.zones.keys().map(|zone| self.timeout_ms(zone));
        Some(TimeoutRange { shortest_ms: timeouts().min()?, longest_ms: timeouts().max()? })
    }
}
