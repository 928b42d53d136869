//! The state of a machine that was told to leave for good.
use crate::timing::LEAVE_REQUEST_INTERVAL_MS;

/// A request to leave that the primary has not granted yet, or has.
#[derive(Clone, Debug)]
pub(crate) struct LeaveState {
    /// When the primary was asked last, milliseconds; 0 if it was not.
    requested_at_ms: u64,
    is_allowed: bool,
}

impl LeaveState {
    /// A machine that has not asked yet.
    pub(crate) fn new() -> Self {
        LeaveState { requested_at_ms: 0, is_allowed: false }
    }

    /// Whether the request is to be sent now; if so, the next one is due after an interval.
    pub(crate) fn take_due_request(&mut self, now_ms: u64) -> bool {
        if self.is_allowed || now_ms < self.requested_at_ms + LEAVE_REQUEST_INTERVAL_MS {
            return false;
        }
        self.requested_at_ms = now_ms;
        true
    }

    /// Allows the machine to terminate. Returns whether it was not allowed before.
    pub(crate) fn allow(&mut self) -> bool {
        !std::mem::replace(&mut self.is_allowed, true)
    }
}
