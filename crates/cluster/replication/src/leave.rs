//! The state of a machine that was told to leave permanently.
use crate::timing::LEAVE_REQUEST_INTERVAL_MS;

/// The state of a request to leave.
#[derive(Clone, Debug)]
pub(crate) struct LeaveState {
    /// When the request was last sent to the primary, milliseconds; 0 if never.
    requested_at_ms: u64,
    /// Whether the machine may terminate.
    is_allowed: bool,
}

impl LeaveState {
    /// Creates the state of a request that has not been sent yet.
    pub(crate) fn new() -> Self {
        LeaveState { requested_at_ms: 0, is_allowed: false }
    }

    /// Whether the request is due at `now_ms`. If so, it counts as sent, and the next one is due
    /// after [`LEAVE_REQUEST_INTERVAL_MS`].
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
