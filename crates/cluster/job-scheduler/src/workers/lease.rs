//! The renewal of a worker's lease, and the acknowledgement of the ends that it reports.
use super::clock::WorkerClock;

/// The renewal call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RenewalState {
    Idle,
    InFlight,
    /// Reported ends are being committed; the next call waits for that, so that it acknowledges
    /// them.
    AwaitingCommit,
}

/// A worker's lease.
///
/// `acknowledged_end <= received_end`: an end is acknowledged only after its record is durable,
/// since the worker forgets it then.
#[derive(Clone, Debug)]
pub(crate) struct WorkerLease {
    clock: WorkerClock,
    renewal: RenewalState,
    next_renewal_at_ms: u64,
    /// The serial of the last renewal that was scheduled, as opposed to status queries beside it.
    renewal_serial: u64,
    acknowledged_end: u64,
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

    /// When the next renewal is to be sent; `None` while one is in flight.
    pub(crate) fn next_renewal_at_ms(&self) -> Option<u64> {
        (self.renewal != RenewalState::InFlight).then_some(self.next_renewal_at_ms)
    }

    pub(crate) fn mark_renewal_sent(&mut self, serial: u64) {
        self.renewal = RenewalState::InFlight;
        self.renewal_serial = serial;
    }

    /// A response came; whether it is that of the renewal, after which the next can be scheduled.
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

    /// Renews now rather than when an idle worker's time has come.
    pub(crate) fn renew_soon(&mut self, now_ms: u64) {
        if self.renewal == RenewalState::Idle {
            self.next_renewal_at_ms = self.next_renewal_at_ms.min(now_ms);
        }
    }

    // Ends.

    /// The worker may forget ends up to this number.
    pub(crate) fn acknowledged_end(&self) -> u64 {
        self.acknowledged_end
    }

    /// The highest number of an end that was reported.
    pub(crate) fn received_end(&self) -> u64 {
        self.received_end
    }

    /// Takes the number of a reported end; `false` if it was reported before.
    pub(crate) fn receive_end(&mut self, number: u64) -> bool {
        let is_new = number > self.received_end;
        self.received_end = self.received_end.max(number);
        is_new
    }

    pub(crate) fn has_unacknowledged_ends(&self) -> bool {
        self.received_end > self.acknowledged_end
    }

    /// Has the next renewal wait until the ends are committed, `timeout_ms` at most.
    pub(crate) fn await_commit(&mut self, now_ms: u64, timeout_ms: u64) {
        if self.renewal == RenewalState::Idle {
            self.renewal = RenewalState::AwaitingCommit;
            self.next_renewal_at_ms = now_ms + timeout_ms;
        }
    }

    /// The records of ends up to a number are durable. Ends that were received since are in a later
    /// batch.
    pub(crate) fn acknowledge_ends(&mut self, up_to: u64, now_ms: u64) {
        self.acknowledged_end = self.acknowledged_end.max(up_to);
        if self.renewal == RenewalState::AwaitingCommit {
            self.renewal = RenewalState::Idle;
            self.next_renewal_at_ms = now_ms;
        }
    }
}
