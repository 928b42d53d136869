//! The graceful shutdown of a node.

/// How long a primary waits at its shutdown for what it began, milliseconds.
const FINISH_MS: u64 = 400;
/// How long a node that gave its role away stays to respond, milliseconds.
const LINGER_MS: u64 = 500;
/// The part of the grace period that is left unused while the node waits to be replaced,
/// milliseconds.
const GRACE_MARGIN_MS: u64 = 2_000;

/// Decides when a node that shuts down leaves the view, and when its process ends.
///
/// The process ends once what the node began is answered and a spare has replaced it in the view,
/// or when its grace period is nearly over.
#[derive(Debug)]
pub(super) struct Shutdown {
    grace_ms: u64,
    requested_at_ms: Option<u64>,
    is_replaced: bool,
}

impl Shutdown {
    pub(super) fn new(grace_ms: u64) -> Self {
        Shutdown { grace_ms, requested_at_ms: None, is_replaced: false }
    }

    /// A shutdown is requested. A repeated request changes nothing.
    pub(super) fn request(&mut self, now_ms: u64) {
        self.requested_at_ms.get_or_insert(now_ms);
    }

    pub(super) fn is_requested(&self) -> bool {
        self.requested_at_ms.is_some()
    }

    /// The other members do without this node from now on.
    pub(super) fn set_replaced(&mut self) {
        self.is_replaced = true;
    }

    /// Whether the node is to leave the view: a primary first finishes what it began.
    pub(super) fn should_leave(&self, now_ms: u64, is_primary: bool) -> bool {
        self.requested_at_ms.is_some_and(|requested| !is_primary || now_ms >= requested + FINISH_MS)
    }

    /// Whether the process may end.
    pub(super) fn is_complete(&self, now_ms: u64) -> bool {
        self.requested_at_ms.is_some_and(|requested| {
            let is_answered = now_ms >= requested + FINISH_MS + LINGER_MS;
            let grace_over = now_ms >= requested + self.grace_ms.saturating_sub(GRACE_MARGIN_MS);
            is_answered && (self.is_replaced || grace_over)
        })
    }
}
