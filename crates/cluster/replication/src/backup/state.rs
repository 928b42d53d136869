//! What a backup tracks: its session, and how patient it is with one that makes no progress.
use super::session::BackupSession;
use crate::timing::{
    MAX_STALL_DOUBLINGS, REPAIR_STALL_TIMEOUT_MS, SESSION_STALL_TIMEOUT_MS, STALL_BACKOFF_RESET_MS,
};
use crate::view::{Member, MemberId, Term};

/// What a heartbeat tells of the primary's progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrimaryProgress {
    pub(crate) primary: MemberId,
    pub(crate) term: Term,
    /// The session in which the primary replicates to this backup.
    pub(crate) session: Option<u64>,
    /// The last batch that was sent.
    pub(crate) sequence: u64,
}

/// Sessions that ended because they made no progress: each doubles the time-outs of the next.
#[derive(Clone, Debug, Default)]
struct StallBackoff {
    stalls: u32,
    last_stall_at_ms: u64,
}

impl StallBackoff {
    fn extend(&self, timeout_ms: u64) -> u64 {
        timeout_ms << self.stalls.min(MAX_STALL_DOUBLINGS)
    }

    fn note_stall(&mut self, now_ms: u64) {
        self.stalls += 1;
        self.last_stall_at_ms = now_ms;
    }

    fn note_progress(&mut self, now_ms: u64) {
        if now_ms > self.last_stall_at_ms + STALL_BACKOFF_RESET_MS {
            self.stalls = 0;
        }
    }
}

/// The state of a backup.
///
/// Invariant: numbers of sessions rise, so messages of an ended session never match the current
/// one.
#[derive(Clone, Debug)]
pub(crate) struct BackupState {
    pub(crate) session: Option<BackupSession>,
    last_session_number: u64,
    backoff: StallBackoff,
}

impl BackupState {
    /// A backup without a session. The first number is random, so that sessions of processes before
    /// are told apart.
    pub(crate) fn new(random: u64) -> Self {
        BackupState { session: None, last_session_number: random >> 1, backoff: StallBackoff::default() }
    }

    /// Starts a session with this primary in place of any other.
    pub(crate) fn start_session(&mut self, primary: &Member, term: Term, now_ms: u64) -> u64 {
        self.last_session_number += 1;
        let session = BackupSession::begin(primary, term, self.last_session_number, now_ms);
        self.session = Some(session);
        self.last_session_number
    }

    /// Ends the session: nothing that arrives for it is applied any more.
    pub(crate) fn end_session(&mut self) {
        self.session = None;
    }

    /// The session of this number, if it is the current one.
    pub(crate) fn session_mut(&mut self, number: u64) -> Option<&mut BackupSession> {
        self.session.as_mut().filter(|session| session.number == number)
    }

    /// Whether a new session is needed: there is none with this primary, the primary has lost it,
    /// or it is stalled.
    pub(crate) fn needs_session(&mut self, progress: &PrimaryProgress, now_ms: u64) -> bool {
        let Some(session) = &mut self.session else { return true };
        if session.term != progress.term || session.primary != progress.primary {
            return true;
        }
        let start_timeout_ms = self.backoff.extend(SESSION_STALL_TIMEOUT_MS);
        if progress.session != Some(session.number) && now_ms > session.began_at_ms + start_timeout_ms {
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
        let is_stalled = session.ms_without_progress(now_ms) > self.backoff.extend(stall_timeout_ms);
        if is_stalled {
            log::debug!("session stalled session={}", session.number);
            self.backoff.note_stall(now_ms);
        } else {
            self.backoff.note_progress(now_ms);
        }
        is_stalled
    }
}
