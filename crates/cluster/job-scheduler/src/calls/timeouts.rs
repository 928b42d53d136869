//! The time-outs of calls that a worker need not delay, adapted to how long responses take.
//!
//! Round trips are smoothed by zone, as TCP does for its retransmission timer (RFC 6298): mean and
//! mean deviation. They include what this process takes itself, so a busy scheduler waits longer.
//! Two things lengthen the time-out beside that: starts that timed out although the worker had
//! carried them out, and many time-outs within a short time.
use crate::metrics::TimeoutRange;
use crate::smoothing::moving_average;
use compact_str::CompactString;
use rustc_hash::FxHashMap;

/// The shortest time-out, milliseconds: pauses of a process or a link are shorter.
const MIN_TIMEOUT_MS: u64 = 60;
/// The longest time-out, and that of a zone of which too little is known, milliseconds.
pub(crate) const MAX_TIMEOUT_MS: u64 = 300;
/// Responses of a zone before its time-out follows from them.
const MIN_SAMPLES: u32 = 20;
/// The weight of a new sample in a zone's mean.
const MEAN_WEIGHT: f64 = 0.125;
/// The weight of a new sample in a zone's mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// The number of deviations that a time-out is above the mean.
const DEVIATION_FACTOR: f64 = 4.0;
/// How many times longer time-outs are after one that was too short.
const PREMATURE_FACTOR: f64 = 1.5;
/// How many times longer they are at most.
const MAX_EXTENSION: f64 = 6.0;
/// How much of the extension is kept at each response.
const EXTENSION_DECAY: f64 = 0.998;
/// The share of starts that time out above which all time-outs are the longest: when most time out,
/// this process or the network is the cause rather than workers.
const MAX_TIMEOUT_RATE: f64 = 0.6;
/// Up to this extension time-outs count as right: none of the last few hundred was too short.
const MAX_RELIABLE_EXTENSION: f64 = 1.2;
/// The weight of one start in that share.
const TIMEOUT_RATE_WEIGHT: f64 = 0.01;

/// The round trips of one zone.
#[derive(Clone, Copy, Debug, Default)]
struct RoundTrips {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
}

impl RoundTrips {
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

    fn timeout_ms(&self, extension: f64) -> u64 {
        if self.samples < MIN_SAMPLES {
            return MAX_TIMEOUT_MS;
        }
        let timeout_ms = (self.mean_ms + DEVIATION_FACTOR * self.deviation_ms) * extension;
        (timeout_ms.max(MIN_TIMEOUT_MS as f64 * extension) as u64).min(MAX_TIMEOUT_MS)
    }
}

/// The time-outs of calls to workers.
#[derive(Clone, Debug)]
pub(crate) struct CallTimeouts {
    zones: FxHashMap<CompactString, RoundTrips>,
    /// How many times longer than usual time-outs are.
    extension: f64,
    /// The smoothed share of starts that time out.
    timeout_rate: f64,
}

impl Default for CallTimeouts {
    fn default() -> Self {
        CallTimeouts { zones: FxHashMap::default(), extension: 1.0, timeout_rate: 0.0 }
    }
}

impl CallTimeouts {
    /// The time-out of a call to a worker of that zone, milliseconds.
    pub(crate) fn timeout_ms(&self, zone: &str) -> u64 {
        if self.timeout_rate > MAX_TIMEOUT_RATE {
            return MAX_TIMEOUT_MS;
        }
        let zone = self.zones.get(zone);
        zone.map_or(MAX_TIMEOUT_MS, |round_trips| round_trips.timeout_ms(self.extension))
    }

    /// Whether a start that times out was most likely not carried out, or not answered: of late
    /// none was acknowledged after its time-out, and not most time out.
    pub(crate) fn are_reliable(&self) -> bool {
        self.extension <= MAX_RELIABLE_EXTENSION && self.timeout_rate <= MAX_TIMEOUT_RATE
    }

    /// A start was acknowledged after so long.
    pub(crate) fn record_round_trip(&mut self, zone: &CompactString, ms: u64) {
        self.zones.entry(zone.clone()).or_default().add_sample(ms as f64);
        self.extension = 1.0 + (self.extension - 1.0) * EXTENSION_DECAY;
        self.timeout_rate = moving_average(self.timeout_rate, 0.0, TIMEOUT_RATE_WEIGHT);
    }

    /// A start had no response in time.
    pub(crate) fn record_timeout(&mut self) {
        self.timeout_rate = moving_average(self.timeout_rate, 1.0, TIMEOUT_RATE_WEIGHT);
    }

    /// A start that had timed out was acknowledged after all: the time-out was too short.
    pub(crate) fn record_premature_timeout(&mut self) {
        self.extension = (self.extension * PREMATURE_FACTOR).min(MAX_EXTENSION);
    }

    /// The shortest and the longest time-out at present; `None` before the first response.
    pub(crate) fn range(&self) -> Option<TimeoutRange> {
        let timeouts = || self.zones.keys().map(|zone| self.timeout_ms(zone));
        Some(TimeoutRange { shortest_ms: timeouts().min()?, longest_ms: timeouts().max()? })
    }
}
