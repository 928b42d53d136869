//! Cancellations of jobs, known or not, and the removal of closed jobs.
use super::Scheduler;
use crate::cancelled_jobs::MIN_RETENTION_MS;
use crate::config::{Cancellation, Now};
use crate::events::Event;
use crate::ids::JobId;
use crate::jobs::Job;
use crate::record::{ClosedRecord, JobOutcome};

/// The time that a closed job is kept beyond the configured retention, milliseconds.
const RETENTION_MARGIN_MS: u64 = 10_000;
/// The age of a closed job's retention from which on a cancellation renews it, milliseconds, so that
/// repeated cancellations cost few writes.
const RENEWAL_AGE_MS: u64 = 10_000;
/// The maximum number of identifiers that are forgotten in one check, so that neither the check nor
/// its batch is long.
const MAX_FORGOTTEN_PER_CHECK: usize = 500;

impl Scheduler {
    /// Cancels a job, unless it is closed already. The identifier of an unknown job is remembered.
    ///
    /// The result may be told to the client once the changes are committed. From then on, nothing
    /// of the job is started.
    pub fn cancel(&mut self, now: Now, job: JobId) -> Cancellation {
        let Some(known) = self.jobs.get(job) else { return self.cancel_unknown_job(now, job) };
        match known.closed() {
            None => self.close_job(now, job, JobOutcome::Cancelled),
            Some(closed) => self.renew_retention(now, job, closed),
        }
        Cancellation::Closed
    }

    fn cancel_unknown_job(&mut self, now: Now, job: JobId) -> Cancellation {
        let is_remembered = self.cancelled_jobs.renew(now.monotonic_ms, job)
            || self.remember_cancellation(now, job, now.unix_ms);
        if is_remembered {
            Cancellation::UnknownJob
        } else {
            self.metrics.refused_cancellations += 1;
            Cancellation::TooManyCancelled
        }
    }

    /// Begins the retention time of a closed job again, unless it has just begun: a submission that
    /// was sent before this cancellation must find the job.
    fn renew_retention(&mut self, now: Now, job: JobId, closed: ClosedRecord) {
        if now.unix_ms >= closed.closed_at_ms + RENEWAL_AGE_MS {
            self.record_event(now.monotonic_ms, Event::RetentionRenewed { job, closed_at_ms: now.unix_ms });
        }
    }

    /// Remembers the identifier of a cancelled job. Returns `false` if there is no room.
    fn remember_cancellation(&mut self, now: Now, job: JobId, cancelled_at_ms: u64) -> bool {
        if !self.cancelled_jobs.has_room() {
            return false;
        }
        self.record_event(now.monotonic_ms, Event::CancellationRemembered { job, cancelled_at_ms });
        true
    }

    /// Forgets identifiers of cancelled jobs that need not be remembered any longer, if there are
    /// many.
    pub(super) fn forget_expired_cancellations(&mut self, now: Now) {
        for _ in 0..MAX_FORGOTTEN_PER_CHECK {
            let Some(job) = self.cancelled_jobs.next_expired(now.monotonic_ms) else { return };
            self.record_event(now.monotonic_ms, Event::CancellationForgotten { job });
        }
    }

    /// Removes closed jobs whose retention is over. A job that still has active runs is kept for
    /// another retention time.
    pub(super) fn remove_expired_jobs(&mut self, now: Now) {
        let retention_ms = self.retention_ms();
        while let Some(job) = self.jobs.pop_expired(now.unix_ms, retention_ms) {
            let Some(closed) = self.jobs.get(job).and_then(Job::closed) else { continue };
            if self.jobs.get(job).is_some_and(Job::has_active_runs) {
                self.jobs.schedule_removal(now.unix_ms, job);
            } else if now.unix_ms < closed.closed_at_ms + retention_ms {
                // Its retention was renewed.
                self.jobs.schedule_removal(closed.closed_at_ms, job);
            } else {
                self.remove_closed_job(now, job, closed);
            }
        }
    }

    /// The time for which a closed job is kept, milliseconds: the configured one, and long enough
    /// for a submission that was sent before the job's last cancellation to find it.
    fn retention_ms(&self) -> u64 {
        let configured_ms = self.config.closed_job_retention_ms + RETENTION_MARGIN_MS;
        configured_ms.max(MIN_RETENTION_MS + RENEWAL_AGE_MS)
    }

    /// Removes a closed job. The identifier of a cancelled one is remembered while there is room.
    fn remove_closed_job(&mut self, now: Now, job: JobId, closed: ClosedRecord) {
        self.record_event(now.monotonic_ms, Event::JobRemoved { job });
        if closed.outcome == JobOutcome::Cancelled {
            self.remember_cancellation(now, job, closed.closed_at_ms);
        }
    }
}
