//! Graceful shutdown and draining.
use crate::{Effect, Engine, MS};
use spanlead_balancing_policy::{Nanos, WorkerState};

/// How long clients may take to notice that they are redirected to other schedulers. Until then
/// they keep using their connections, and new requests are still accepted; afterwards idle
/// connections may be closed.
const REDIRECT_GRACE: Nanos = 500 * MS;

/// Whether this process is shutting down or draining.
#[derive(Default)]
pub(crate) struct Lifecycle {
    /// When the shutdown was requested.
    shutdown_since: Option<Nanos>,
    /// When an operator started draining.
    draining_since: Option<Nanos>,
    /// Whether another process takes over new connections when this one shuts down.
    pub(crate) has_successor: bool,
}

impl Lifecycle {
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown_since.is_some()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Whether a connection is to be closed after its pending answers.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_shutting_down() || self.is_draining()
    }

    /// Whether new requests are still accepted. With a successor this process gets no new
    /// connections, and it serves the requests on the existing ones.
    pub(crate) fn accepts_requests(&self, now: Nanos) -> bool {
        self.has_successor || self.shutdown_since.is_none_or(|since| now < since + REDIRECT_GRACE)
    }

    /// Whether the process is shutting down and the redirect grace period is over.
    fn is_finishing(&self, now: Nanos) -> bool {
        self.shutdown_since.is_some_and(|since| now >= since + REDIRECT_GRACE)
    }

    fn is_redirect_grace_over(&self, now: Nanos) -> bool {
        let since = [self.shutdown_since, self.draining_since].into_iter().flatten();
        since.into_iter().any(|since| now >= since + REDIRECT_GRACE)
    }

    /// The end of the redirect grace period of a shutdown, if it is in the future.
    pub(crate) fn redirect_deadline(&self, now: Nanos) -> Option<Nanos> {
        self.shutdown_since.map(|since| since + REDIRECT_GRACE).filter(|deadline| *deadline > now)
    }
}

impl Engine {
    /// Whether this process can serve requests: it is not shutting down, its log is writable if it
    /// keeps durable jobs, and at least one worker is ready.
    pub fn is_serving(&self) -> bool {
        let has_log = !self.keeps_durable_jobs || self.durable.as_ref().is_some_and(|jobs| !jobs.failed);
        let has_worker = || self.workers.iter().any(|worker| worker.host.state == WorkerState::Ready);
        !self.lifecycle.is_shutting_down() && has_log && has_worker()
    }

    /// Whether new requests should be sent to this process: it can serve and is not draining.
    pub fn is_ready(&self) -> bool {
        self.is_serving() && !self.lifecycle.is_draining()
    }

    /// Whether a connection is to be closed after its pending answers, because of a shutdown or
    /// draining.
    pub fn is_closing(&self) -> bool {
        self.lifecycle.is_closing()
    }

    /// Whether the redirect grace period of a shutdown or of draining is over, so that idle
    /// connections may be closed.
    pub fn is_redirect_grace_over(&self, now: Nanos) -> bool {
        self.lifecycle.is_redirect_grace_over(now)
    }

    /// Whether the shutdown is complete: the redirect grace period is over and no request is open.
    pub fn is_finished(&self, now: Nanos) -> bool {
        self.is_finishing(now) && self.requests.is_empty()
    }

    /// Whether the process is shutting down and the redirect grace period is over.
    pub fn is_finishing(&self, now: Nanos) -> bool {
        self.lifecycle.is_finishing(now)
    }

    pub(crate) fn shut_down(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.lifecycle.shutdown_since = self.lifecycle.shutdown_since.or(Some(now));
        self.release_roles(now, out);
        self.announce_lifecycle_phase(out);
    }

    pub(crate) fn set_draining(&mut self, now: Nanos, draining: bool, out: &mut Vec<Effect>) {
        let since = self.lifecycle.draining_since.unwrap_or(now);
        self.lifecycle.draining_since = draining.then_some(since);
        if draining {
            self.release_roles(now, out);
        }
        self.announce_lifecycle_phase(out);
    }
}
