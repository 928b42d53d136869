//! When a member is suspected, and when a suspect is dead.
use crate::limits::TYPICAL_DIGEST_ENTRIES;

/// One check of a live member in this many finds it suspect.
const SUSPICION_ODDS: f64 = 1e3;
/// One suspicion of a live member in this many ends with it dead, at the loss that is tolerated.
const FALSE_DEATH_ODDS: f64 = 1e7;
/// The smallest share of datagrams that is expected to arrive, whatever loss is configured.
const MIN_ARRIVAL_SHARE: f64 = 0.05;
/// The smallest share of probes that is expected to fail, so that the number of probes is finite.
const MIN_PROBE_FAILURE_SHARE: f64 = 1e-4;

/// Ages and probe counts are kept in thousandths of a period, since the suspicion clock advances by
/// parts of one.
pub(crate) const MILLIPERIODS_PER_PERIOD: u64 = 1000;
/// The suspicion clock's first reading, milliperiods: a heartbeat may be older than the process
/// that receives it.
const INITIAL_READING: u64 = 1 << 44;
/// The slowest that the suspicion clock runs, as a share of its full rate.
const MIN_CLOCK_RATE: f64 = 0.25;
/// The weight of the last period in the mean number of datagrams received.
const RECEIVED_MEAN_WEIGHT: f64 = 0.2;

/// How old the newest heartbeat of a member is when the member is suspected, and what makes a
/// suspect dead.
///
/// A heartbeat of a member reaches another at a rate `r` a period: `fanout` datagrams that arrive,
/// each of which contains it if all heartbeats fit, else by chance. It spreads as an epidemic, so
/// all but one in `1/p` members have it after `(2 ln n + ln 1/p) / r` periods. Whoever suspects a
/// member probes it, and asks `fanout` others whether they have a newer heartbeat; a probe succeeds
/// if neither it nor its reply is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionThresholds {
    /// Periods without a new heartbeat until a member is suspected: one check in a thousand is
    /// wrong.
    pub suspect_after_periods: u32,
    /// Failed probes until a suspect is dead: one suspicion in ten million is wrong, at the loss
    /// that is tolerated.
    pub probes_until_dead: u32,
    /// Periods without a new heartbeat until a member is dead, where all that can be probed are.
    pub dead_after_periods: u32,
}

impl SuspicionThresholds {
    /// The thresholds of a tier of `member_count` schedulers.
    pub fn for_tier(member_count: u16, fanout: u16, tolerated_loss: f64) -> Self {
        let members = f64::from(member_count.max(2));
        let arrival_share = (1.0 - tolerated_loss).clamp(MIN_ARRIVAL_SHARE, 1.0);
        let contained_share = (TYPICAL_DIGEST_ENTRIES as f64 / members).min(1.0);
        let receivers = fanout.min(member_count.saturating_sub(1)).max(1);
        let heartbeat_rate = arrival_share * f64::from(receivers) * contained_share;
        let suspect_after = (2.0 * members.ln() + SUSPICION_ODDS.ln()) / heartbeat_rate;
        let probe_failure_share = (1.0 - arrival_share * arrival_share).max(MIN_PROBE_FAILURE_SHARE);
        let probes = FALSE_DEATH_ODDS.ln() / -probe_failure_share.ln();
        let probes_per_period = 1.0 + f64::from(fanout.min(member_count.saturating_sub(2)));
        let dead_after = suspect_after.ceil() + (probes / probes_per_period).ceil();
        SuspicionThresholds {
            suspect_after_periods: suspect_after.ceil() as u32,
            probes_until_dead: probes.ceil() as u32,
            dead_after_periods: dead_after as u32,
        }
    }
}

/// The clock that the age of heartbeats is measured by.
///
/// It advances by the periods that this process itself lives through, so a process that was
/// suspended suspects nobody when it wakes. It runs slower while few datagrams arrive, since then
/// it may be this process that is partitioned, or that the others do not send to (local health:
/// Dadgar, Phillips, Currey, "Lifeguard", 2018).
#[derive(Clone, Debug)]
pub(crate) struct SuspicionClock {
    /// The reading, milliperiods.
    reading: u64,
    /// How far the clock advances in this period, milliperiods.
    rate: u64,
    /// Datagrams received in this period.
    received: u32,
    /// The mean number of datagrams received in a period.
    mean_received: f64,
}

impl SuspicionClock {
    pub(crate) fn new() -> Self {
        SuspicionClock {
            reading: INITIAL_READING,
            rate: MILLIPERIODS_PER_PERIOD,
            received: 0,
            mean_received: 0.0,
        }
    }

    /// The reading, milliperiods.
    pub(crate) fn reading(&self) -> u64 {
        self.reading
    }

    /// How far the clock advances in this period, and what a probe of this period counts,
    /// milliperiods.
    pub(crate) fn rate(&self) -> u64 {
        self.rate
    }

    /// Whole periods between an earlier reading and now.
    pub(crate) fn periods_since(&self, reading: u64) -> u64 {
        (self.reading - reading) / MILLIPERIODS_PER_PERIOD
    }

    /// The reading of this many periods ago.
    pub(crate) fn reading_before(&self, periods: u32) -> u64 {
        self.reading - u64::from(periods) * MILLIPERIODS_PER_PERIOD
    }

    pub(crate) fn count_datagram(&mut self) {
        self.received += 1;
    }

    /// A period has passed, in which `expected` datagrams should have arrived.
    pub(crate) fn advance(&mut self, expected: f64) {
        let received = f64::from(std::mem::take(&mut self.received));
        self.mean_received += RECEIVED_MEAN_WEIGHT * (received - self.mean_received);
        let health = (self.mean_received / expected).clamp(MIN_CLOCK_RATE, 1.0);
        self.rate = (MILLIPERIODS_PER_PERIOD as f64 * health) as u64;
        self.reading += self.rate;
    }
}
