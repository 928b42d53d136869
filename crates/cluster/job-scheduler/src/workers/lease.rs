//! The renewal of a worker's lease, and the acknowledgement of the run ends that it reports.
use super::clock::WorkerClock;

/// The state of the scheduled renewal call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RenewalState {
    Idle,
    InFlight,
    /// Reported ends are being committed. The next call is delayed until then, so that it can
    /// acknowledge them.
    AwaitingCommit,
}

/// A worker's lease.
///
/// `acknowledged_end <= received_end`: an end is acknowledged only once its record is durable,
/// since the worker discards an acknowledged end.
#[derive(Clone, Debug)]
pub(crate) struct WorkerLease {
    clock: WorkerClock,
    renewal: RenewalState,
    next_renewal_at_ms: u64,
    /// The serial of the last scheduled renewal. Queries outside the schedule do not set it.
    renewal_serial: u64,
    /// The highest number of an end that the worker may discard.
    acknowledged_end: u64,
    /// The highest number of an end that the worker has reported.
    received_end: u64,
}

impl WorkerLease {
    pub(super) fn new(clock: WorkerClock, now_ms: u64) -> Self {
        WorkerLease {
            clock,
            renewal: RenewalState::Idle,
            next_renewal_at_ms: now_ms,
            renewal_serial: 0,
            acknowledged_end: 0,
            received_end: 0,
        }
    }

    pub(crate) fn clock_mut(&mut self) -> &mut WorkerClock {
        &mut self.clock
    }

    pub(crate) fn is_expired(&self, now_ms: u64) -> bool {
        self.clock.is_expired(now_ms)
    }

    // Renewal.

    /// The time of the next renewal, monotonic milliseconds; `None` while one is in flight.
    pub(crate) fn next_renewal_at_ms(&self) -> Option<u64> {
        (self.renewal != RenewalState::InFlight).then_some(self.next_renewal_at_ms)
    }

    /// Marks the scheduled renewal with this serial as in flight.
    pub(crate) fn mark_renewal_sent(&mut self, serial: u64) {
        self.renewal = RenewalState::InFlight;
        self.renewal_serial = serial;
    }

    /// Handles the result of a renewal or query. Returns whether it belongs to the last scheduled
    /// renewal, after which the next can be scheduled.
    pub(crate) fn complete_renewal(&mut self, serial: u64) -> bool {
        let is_renewal = serial == self.renewal_serial;
        if is_renewal {
            self.renewal = RenewalState::Idle;
        }
        is_renewal
    }

    pub(crate) fn schedule_renewal(&mut self, at_ms: u64) {
        self.next_renewal_at_ms = at_ms;
    }

    /// Makes the next renewal due now, unless one is in flight or awaits a commit.
    pub(crate) fn renew_soon(&mut self, now_ms: u64) {
        if self.renewal == RenewalState::Idle {
            self.next_renewal_at_ms = self.next_renewal_at_ms.min(now_ms);
        }
    }

    // Ends.

    /// The highest number of an end that the worker may discard; sent with each renewal.
    pub(crate) fn acknowledged_end(&self) -> u64 {
        self.acknowledged_end
    }

    /// The highest number of an end that the worker has reported.
    pub(crate) fn received_end(&self) -> u64 {
        self.received_end
    }

    /// Records the number of a reported end. Returns `false` if it was reported before.
    pub(crate) fn receive_end(&mut self, number: u64) -> bool {
        let is_new = number > self.received_end;
        self.received_end = self.received_end.max(number);
        is_new
    }

    pub(crate) fn has_unacknowledged_ends(&self) -> bool {
        self.received_end > self.acknowledged_end
    }

    /// Delays the next renewal until the received ends are committed, by at most `timeout_ms`.
    pub(crate) fn await_commit(&mut self, now_ms: u64, timeout_ms: u64) {
        if self.renewal == RenewalState::Idle {
            self.renewal = RenewalState::AwaitingCommit;
            self.next_renewal_at_ms = now_ms + timeout_ms;
        }
    }

    /// Acknowledges the ends up to number `up_to`, whose records are durable. Ends that were
    /// received since are part of a later batch.
    pub(crate) fn acknowledge_ends(&mut self, up_to: u64, now_ms: u64) {
        self.acknowledged_end = self.acknowledged_end.max(up_to);
        if self.renewal == RenewalState::AwaitingCommit {
            self.renewal = RenewalState::Idle;
            self.next_renewal_at_ms = now_ms;
        }
    }
}
