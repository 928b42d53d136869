//! Graceful shutdown and draining.
use crate::{Effect, Engine, MS};
use spanlead_balancing_policy::{Nanos, WorkerState};

/// How long clients may need to notice that they are to go elsewhere: they go on using the
/// connections they have, and new requests are still accepted. Then idle connections may close.
const REDIRECT_GRACE: Nanos = 500 * MS;

/// Whether this process is to end, and whether clients are to go elsewhere.
#[derive(Default)]
pub(crate) struct Lifecycle {
    /// When it was told to shut down.
    shutdown_since: Option<Nanos>,
    /// Since when operators want the clients elsewhere.
    draining_since: Option<Nanos>,
    /// Another process takes new connections in place of this one when it shuts down.
    pub(crate) has_successor: bool,
}

impl Lifecycle {
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown_since.is_some()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Whether connections are to end with the answers that they wait for.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_shutting_down() || self.is_draining()
    }

    /// Whether a request that comes now is still accepted. With a successor no new connection comes
    /// here, and what those that were accepted still bring is served.
    pub(crate) fn accepts_requests(&self, now: Nanos) -> bool {
        self.has_successor || self.shutdown_since.is_none_or(|since| now < since + REDIRECT_GRACE)
    }

    /// Whether it was told to shut down and clients have had their time.
    fn is_finishing(&self, now: Nanos) -> bool {
        self.shutdown_since.is_some_and(|since| now >= since + REDIRECT_GRACE)
    }

    fn is_redirect_grace_over(&self, now: Nanos) -> bool {
        let since = [self.shutdown_since, self.draining_since].into_iter().flatten();
        since.into_iter().any(|since| now >= since + REDIRECT_GRACE)
    }

    /// When the clients' time is over, if that is still to come.
    pub(crate) fn redirect_deadline(&self, now: Nanos) -> Option<Nanos> {
        self.shutdown_since.map(|since| since + REDIRECT_GRACE).filter(|deadline| *deadline > now)
    }
}

impl Engine {
    /// Whether this process can serve: it is not shutting down, it can write to its log if it keeps
    /// one, and a worker is ready.
    pub fn is_serving(&self) -> bool {
        let has_log = !self.keeps_durable_jobs || self.durable.as_ref().is_some_and(|jobs| !jobs.failed);
        let has_worker = || self.workers.iter().any(|worker| worker.host.state == WorkerState::Ready);
        !self.lifecycle.is_shutting_down() && has_log && has_worker()
    }

    /// Whether new requests should come here.
    pub fn is_ready(&self) -> bool {
        self.is_serving() && !self.lifecycle.is_draining()
    }

    /// Whether connections are to end with the answers that they wait for.
    pub fn is_closing(&self) -> bool {
        self.lifecycle.is_closing()
    }

    /// Whether clients have had their time to go elsewhere: connections with nothing in progress
    /// may be closed.
    pub fn is_redirect_grace_over(&self, now: Nanos) -> bool {
        self.lifecycle.is_redirect_grace_over(now)
    }

    /// Whether it was told to shut down, clients have had their time, and nothing is open.
    pub fn is_finished(&self, now: Nanos) -> bool {
        self.is_finishing(now) && self.requests.is_empty()
    }

    /// Whether it was told to shut down and clients have had their time.
    pub fn is_finishing(&self, now: Nanos) -> bool {
        self.lifecycle.is_finishing(now)
    }

    pub(crate) fn shut_down(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.lifecycle.shutdown_since = self.lifecycle.shutdown_since.or(Some(now));
        self.release_roles(now, out);
        self.announce_stage(out);
    }

    pub(crate) fn set_draining(&mut self, now: Nanos, draining: bool, out: &mut Vec<Effect>) {
        let since = self.lifecycle.draining_since.unwrap_or(now);
        self.lifecycle.draining_since = draining.then_some(since);
        if draining {
            self.release_roles(now, out);
        }
        self.announce_stage(out);
    }
}
