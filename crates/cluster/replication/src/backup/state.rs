//! The state of a backup: its session, and the timeouts after which it replaces the session.
use super::session::BackupSession;
use crate::timing::{
    MAX_STALL_DOUBLINGS, REPAIR_STALL_TIMEOUT_MS, SESSION_STALL_TIMEOUT_MS, STALL_BACKOFF_RESET_MS,
};
use crate::view::{Member, MemberId, Term};

/// The primary's progress as its heartbeat reports it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrimaryProgress {
    pub(crate) primary: MemberId,
    pub(crate) term: Term,
    /// The number of the session in which the primary replicates to this backup; `None` if there is
    /// none.
    pub(crate) session: Option<u64>,
    /// The sequence number of the last proposed batch.
    pub(crate) sequence: u64,
}

/// A back-off of the timeouts of sessions: each session that stalled doubles those of the next.
#[derive(Clone, Debug, Default)]
struct StallBackoff {
    stalls: u32,
    last_stall_at_ms: u64,
}

impl StallBackoff {
    fn scale(&self, timeout_ms: u64) -> u64 {
        timeout_ms << self.stalls.min(MAX_STALL_DOUBLINGS)
    }

    fn record_stall(&mut self, now_ms: u64) {
        self.stalls += 1;
        self.last_stall_at_ms = now_ms;
    }

    /// Resets the back-off if the last stall was long enough ago.
    fn record_progress(&mut self, now_ms: u64) {
        if now_ms > self.last_stall_at_ms + STALL_BACKOFF_RESET_MS {
            self.stalls = 0;
        }
    }
}

/// The state of a backup.
///
/// Invariant: session numbers increase, so messages of an ended session never match the current
/// session.
#[derive(Clone, Debug)]
pub(crate) struct BackupState {
    pub(crate) session: Option<BackupSession>,
    last_session_number: u64,
    backoff: StallBackoff,
}

impl BackupState {
    /// Creates the state of a backup without a session. `random` determines the first session
    /// number, so that the sessions of earlier processes of this machine have other numbers.
    pub(crate) fn new(random: u64) -> Self {
        BackupState { session: None, last_session_number: random >> 1, backoff: StallBackoff::default() }
    }

    /// Starts a session with this primary, replacing any other, and returns its number.
    pub(crate) fn start_session(&mut self, primary: &Member, term: Term, now_ms: u64) -> u64 {
        self.last_session_number += 1;
        let session = BackupSession::begin(primary, term, self.last_session_number, now_ms);
        self.session = Some(session);
        self.last_session_number
    }

    /// Ends the session. Messages of it that arrive later are not applied.
    pub(crate) fn end_session(&mut self) {
        self.session = None;
    }

    /// The current session, if it has this number.
    pub(crate) fn session_mut(&mut self, number: u64) -> Option<&mut BackupSession> {
        self.session.as_mut().filter(|session| session.number == number)
    }

    /// Whether a new session is needed: there is none with this primary, the primary does not have
    /// it, or it has stalled.
    pub(crate) fn needs_session(&mut self, progress: &PrimaryProgress, now_ms: u64) -> bool {
        let Some(session) = &mut self.session else { return true };
        if session.term != progress.term || session.primary != progress.primary {
            return true;
        }
        let start_timeout_ms = self.backoff.scale(SESSION_STALL_TIMEOUT_MS);
        if progress.session != Some(session.number) && now_ms > session.started_at_ms + start_timeout_ms {
            return true;
        }
        if session.has_received_all(progress.sequence) {
            session.behind_since_ms = None;
            return false;
        }
        let stall_timeout_ms = if session.is_repairing() && !session.has_gap() {
            REPAIR_STALL_TIMEOUT_MS
        } else {
            SESSION_STALL_TIMEOUT_MS
        };
        let is_stalled = session.ms_without_progress(now_ms) > self.backoff.scale(stall_timeout_ms);
        if is_stalled {
            log::debug!("replication session stalled, requesting a new one session={}", session.number);
            self.backoff.record_stall(now_ms);
        } else {
            self.backoff.record_progress(now_ms);
        }
        is_stalled
    }
}
