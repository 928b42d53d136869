//! The thresholds at which a member is suspected and declared dead, and the suspicion clock.
use crate::limits::TYPICAL_DIGEST_ENTRIES;

/// The suspicion threshold is set so that one in this many checks of a live member suspects it.
const FALSE_SUSPICION_ODDS: f64 = 1e3;
/// The number of probes is set so that one in this many suspicions of a live member declares it
/// dead, at the tolerated loss.
const FALSE_DEATH_ODDS: f64 = 1e7;
/// The lower bound of the share of datagrams that are assumed to arrive, at any configured loss.
const MIN_ARRIVAL_SHARE: f64 = 0.05;
/// The lower bound of the share of probes that are assumed to fail. It keeps the number of probes
/// finite.
const MIN_PROBE_FAILURE_SHARE: f64 = 1e-4;

/// Milliperiods in a period. Ages and probe counts are kept in thousandths, since the suspicion
/// clock may advance by a fraction of a period.
pub(crate) const MILLIPERIODS_PER_PERIOD: u64 = 1000;
/// The first reading of the suspicion clock, milliperiods. It is so high that the creation time of
/// a heartbeat is never negative, even if the heartbeat is older than the receiving process.
const INITIAL_READING: u64 = 1 << 44;
/// The minimum rate of the suspicion clock, as a share of its full rate.
const MIN_CLOCK_RATE: f64 = 0.25;
/// The weight of the last period in the moving average of the datagrams received in a period.
const RECEIVED_MEAN_WEIGHT: f64 = 0.2;

/// The age of its newest heartbeat at which a member is suspected, and the number of failed probes
/// at which a suspect is declared dead.
///
/// A member passes a given heartbeat on to others at a rate of `r` per period: the expected number
/// of its `fanout` datagrams that arrive and contain the heartbeat. A datagram contains it always
/// if the heartbeats of all `n` members fit, otherwise with the probability of a random choice. The
/// heartbeat spreads as an epidemic, so all members but a share of `p` have it after
/// `(2 ln n + ln 1/p) / r` periods. In each period a member probes each of its suspects, and asks
/// `fanout` other members for newer heartbeats of them. A probe succeeds if neither it nor its
/// reply is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionThresholds {
    /// Periods without a new heartbeat after which a member is suspected. One in a thousand checks
    /// of a live member exceeds it.
    pub suspect_after_periods: u32,
    /// Failed probes after which a suspect is declared dead. At the tolerated loss, one in ten
    /// million suspicions of a live member reaches it.
    pub probes_until_dead: u32,
    /// Periods without a new heartbeat after which a member is declared dead, if as many probes are
    /// sent in each period as the fanout allows.
    pub dead_after_periods: u32,
}

impl SuspicionThresholds {
    /// Computes the thresholds of a tier of `member_count` schedulers. `tolerated_loss` is a share
    /// of datagrams, 0 to 1.
    pub fn for_tier(member_count: u16, fanout: u16, tolerated_loss: f64) -> Self {
        let members = f64::from(member_count.max(2));
        let arrival_share = (1.0 - tolerated_loss).clamp(MIN_ARRIVAL_SHARE, 1.0);
        let contained_share = (TYPICAL_DIGEST_ENTRIES as f64 / members).min(1.0);
        let receivers = fanout.min(member_count.saturating_sub(1)).max(1);
        let heartbeat_rate = arrival_share * f64::from(receivers) * contained_share;
        let suspect_after = (2.0 * members.ln() + FALSE_SUSPICION_ODDS.ln()) / heartbeat_rate;
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

/// The clock by which the age of heartbeats is measured.
///
/// It advances by the periods through which this process has run, so a process that was suspended
/// suspects nobody when it resumes. It runs slower while few datagrams arrive, since then this
/// process itself may be partitioned or the others may not send to it (local health: Dadgar,
/// Phillips, Currey, "Lifeguard", 2018).
#[derive(Clone, Debug)]
pub(crate) struct SuspicionClock {
    /// The current reading, milliperiods.
    reading: u64,
    /// The advance of the clock in the current period, milliperiods.
    rate: u64,
    /// Number of datagrams received in the current period.
    datagrams_received: u32,
    /// The moving average of the datagrams received in a period.
    mean_datagrams_received: f64,
}

impl SuspicionClock {
    pub(crate) fn new() -> Self {
        SuspicionClock {
            reading: INITIAL_READING,
            rate: MILLIPERIODS_PER_PERIOD,
            datagrams_received: 0,
            mean_datagrams_received: 0.0,
        }
    }

    /// The current reading, milliperiods.
    pub(crate) fn reading(&self) -> u64 {
        self.reading
    }

    /// The advance of the clock in the current period, which is also the weight of a probe in this
    /// period, milliperiods.
    pub(crate) fn rate(&self) -> u64 {
        self.rate
    }

    /// The number of whole periods since an earlier reading.
    pub(crate) fn periods_since(&self, reading: u64) -> u64 {
        (self.reading - reading) / MILLIPERIODS_PER_PERIOD
    }

    /// The reading a number of periods ago, milliperiods.
    pub(crate) fn reading_before(&self, periods: u32) -> u64 {
        self.reading - u64::from(periods) * MILLIPERIODS_PER_PERIOD
    }

    pub(crate) fn count_datagram(&mut self) {
        self.datagrams_received += 1;
    }

    /// Advances the clock after a period, at a rate proportional to the average number of received
    /// datagrams up to `expected`.
    pub(crate) fn advance(&mut self, expected: f64) {
        let received = f64::from(std::mem::take(&mut self.datagrams_received));
        self.mean_datagrams_received += RECEIVED_MEAN_WEIGHT * (received - self.mean_datagrams_received);
        let health = (self.mean_datagrams_received / expected).clamp(MIN_CLOCK_RATE, 1.0);
        self.rate = (MILLIPERIODS_PER_PERIOD as f64 * health) as u64;
        self.reading += self.rate;
    }
}
