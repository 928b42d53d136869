//! The graceful shutdown of a node.

/// The time that a primary has to complete accepted requests before it requests to leave the view,
/// milliseconds.
const PRIMARY_FINISH_MS: u64 = 400;
/// The time after [`PRIMARY_FINISH_MS`] for which the process keeps running to send responses,
/// milliseconds.
const RESPONSE_MS: u64 = 500;
/// The time before the end of the grace period at which the node stops waiting to be replaced,
/// milliseconds.
const GRACE_MARGIN_MS: u64 = 2_000;

/// Decides when a node that shuts down leaves the view and when its process ends.
///
/// The process ends once the node may leave the view, because a standby has replaced it or there is
/// no standby, and at the latest when the grace period is nearly over. In both cases it runs for at
/// least [`PRIMARY_FINISH_MS`] and [`RESPONSE_MS`] after the request, to complete open requests.
#[derive(Debug)]
pub(super) struct Shutdown {
    grace_ms: u64,
    requested_at_ms: Option<u64>,
    leave_allowed: bool,
}

impl Shutdown {
    pub(super) fn new(grace_ms: u64) -> Self {
        Shutdown { grace_ms, requested_at_ms: None, leave_allowed: false }
    }

    /// Requests the shutdown. A repeated request has no effect.
    pub(super) fn request(&mut self, now_ms: u64) {
        self.requested_at_ms.get_or_insert(now_ms);
    }

    pub(super) fn is_requested(&self) -> bool {
        self.requested_at_ms.is_some()
    }

    /// Records that the view no longer needs this node.
    pub(super) fn allow_leave(&mut self) {
        self.leave_allowed = true;
    }

    /// Returns whether the node must request to leave the view. A primary first completes the
    /// requests it has accepted.
    pub(super) fn should_leave(&self, now_ms: u64, is_primary: bool) -> bool {
        self.requested_at_ms.is_some_and(|requested| !is_primary || now_ms >= requested + PRIMARY_FINISH_MS)
    }

    /// Returns whether the process may end.
    pub(super) fn is_complete(&self, now_ms: u64) -> bool {
        self.requested_at_ms.is_some_and(|requested| {
            let is_response_time_over = now_ms >= requested + PRIMARY_FINISH_MS + RESPONSE_MS;
            let is_grace_over = now_ms >= requested + self.grace_ms.saturating_sub(GRACE_MARGIN_MS);
            is_response_time_over && (self.leave_allowed || is_grace_over)
        })
    }
}
