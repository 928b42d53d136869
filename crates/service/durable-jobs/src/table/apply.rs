//! The effect of each record on the table: the transitions of the state machine that the crate's
//! documentation shows.
use super::JobTable;
use crate::error::{ApplyError, RejectReason};
use crate::ids::{FencingToken, JobNumber, Lsn};
use crate::job::{AcceptedJob, Job, JobOutcome, JobState, RetrySafety};
use crate::lease::{Lease, WorkerLocation};
use crate::record::Record;
use crate::session::Session;
use spanlead_balancing_policy::Nanos;

impl JobTable {
    /// Applies one record under the next LSN. Apart from [`JobTable::expire`], this is the only way
    /// to change a job.
    ///
    /// # Errors
    /// If the record is invalid in the current state. Then the table is unchanged, except that jobs
    /// whose retention ended before the time of the record may have been removed.
    pub fn apply(&mut self, record: &Record) -> Result<(), ApplyError> {
        let lsn = self.last_lsn + 1;
        self.apply_at(lsn, record).map_err(|reason| ApplyError {
            record_kind: record.kind(),
            job: record.job().unwrap_or(JobNumber(0)),
            reason,
        })?;
        self.last_lsn = lsn;
        Ok(())
    }

    fn apply_at(&mut self, lsn: Lsn, record: &Record) -> Result<(), RejectReason> {
        match record {
            Record::Session(session) => {
                self.begin_session(session, lsn);
                Ok(())
            }
            Record::Accepted(accepted) => self.accept(accepted, lsn),
            Record::Leased { job, token, location, sent_at, expires_at } => {
                self.grant_lease(*job, new_lease(*token, location.clone(), *sent_at, *expires_at))
            }
            Record::Acknowledged { job, token, lease_aware } => {
                self.update(*job, |job| acknowledge(job, *token, *lease_aware))
            }
            Record::Renewed { job, token, expires_at } => {
                self.update(*job, |job| renew_lease(job, *token, *expires_at))
            }
            Record::Started { job, token } => self.update(*job, |job| mark_running(job, *token)),
            Record::Released { job, token, may_have_run } => {
                self.update(*job, |job| release_lease(job, *token, *may_have_run))
            }
            Record::Finished { job, finished_at, outcome } => self.finish(*job, *finished_at, outcome),
            // The job may have expired before its outcome reached the client.
            Record::Delivered { job } if self.job(*job).is_none() => Ok(()),
            Record::Delivered { job } => self.update(*job, mark_delivered),
            Record::Snapshot(job) => self.restore_snapshot(job, lsn),
        }
    }

    /// Replays a record that the log contains at `lsn`.
    ///
    /// # Errors
    /// As for [`JobTable::apply`]. If the beginning of the log was dropped, records of jobs that
    /// only the dropped part introduced are not errors but skipped: the part was dropped because
    /// those jobs were no longer needed.
    pub fn replay(&mut self, lsn: Lsn, record: &Record) -> Result<(), ApplyError> {
        self.skip_to(lsn);
        let is_unknown = record.job().is_some_and(|number| self.job(number).is_none());
        if self.log_truncated && is_unknown && !record.is_self_contained() {
            self.last_lsn = lsn;
            return Ok(());
        }
        self.apply(record)
    }

    /// Sets the LSN of the next record to `next_lsn`. Records before it that were not replayed were
    /// dropped from the log because they were no longer needed.
    pub fn skip_to(&mut self, next_lsn: Lsn) {
        if self.last_lsn + 1 != next_lsn {
            self.last_lsn = next_lsn.saturating_sub(1);
            self.log_truncated = true;
        }
    }

    /// Begins a session and converts all times to the clock of its process.
    fn begin_session(&mut self, session: &Session, lsn: Lsn) {
        if let Some(previous) = self.session.take() {
            let shift = previous.anchor.shift_to(&session.anchor);
            if shift != 0 {
                self.shift_times(shift);
            }
        }
        self.next_job = self.next_job.max(session.next_job);
        self.next_token = self.next_token.max(session.next_token);
        self.session_lsns = self.session_lsns.split_off(&self.oldest_needed_lsn());
        self.session_lsns.insert(lsn);
        self.session = Some(session.clone());
    }

    fn accept(&mut self, accepted: &AcceptedJob, lsn: Lsn) -> Result<(), RejectReason> {
        if accepted.number < self.next_job {
            return Err(RejectReason::JobNumberReused);
        }
        // The process that accepted the job had removed all jobs that had expired by then, so a
        // replay must remove them as well.
        self.expire(accepted.accepted_at);
        let job = Job::new(accepted.clone());
        let previous = job.key().and_then(|key| self.by_key.get(&key).copied());
        let previous = previous.and_then(|number| self.job(number));
        if let Some(previous) = previous {
            check_key_reuse(accepted, previous)?;
        }
        // The previous job with the key has finished, so an open job with this id is a different
        // one.
        if self.job_by_id(&accepted.id).is_some_and(Job::is_open) {
            return Err(RejectReason::IdInUse);
        }
        if let Some(number) = previous.map(|previous| previous.accepted.number) {
            self.remove(number);
        }
        self.next_job = accepted.number.next();
        self.insert(job, lsn);
        Ok(())
    }

    fn grant_lease(&mut self, job: JobNumber, lease: Lease) -> Result<(), RejectReason> {
        if lease.token < self.next_token {
            return Err(RejectReason::TokenReused);
        }
        let next_token = lease.token.next();
        self.update(job, |job| match &job.state {
            JobState::Accepted => {
                job.state = JobState::Leased(lease);
                Ok(())
            }
            JobState::Leased(_) | JobState::Running(_) => Err(RejectReason::AttemptInFlight),
            JobState::Finished { .. } | JobState::Delivered { .. } => Err(RejectReason::AlreadyFinished),
        })?;
        self.next_token = next_token;
        Ok(())
    }

    fn finish(
        &mut self,
        number: JobNumber,
        finished_at: Nanos,
        outcome: &JobOutcome,
    ) -> Result<(), RejectReason> {
        self.update(number, |job| {
            match &job.state {
                JobState::Finished { .. } | JobState::Delivered { .. } => {
                    return Err(RejectReason::AlreadyFinished);
                }
                // The attempt in flight may still run, whatever the outcome is.
                JobState::Leased(lease) | JobState::Running(lease) => {
                    job.past_attempts.push(lease.clone().into_past_attempt(true));
                }
                JobState::Accepted => {}
            }
            job.state = JobState::Finished { finished_at, outcome: outcome.clone() };
            Ok(())
        })?;
        self.remove_if_unneeded(number);
        Ok(())
    }

    fn restore_snapshot(&mut self, job: &Job, lsn: Lsn) -> Result<(), RejectReason> {
        let number = job.accepted.number;
        let key_owner = job.key().and_then(|key| self.by_key.get(&key).copied());
        if key_owner.is_some_and(|owner| owner != number) {
            return Err(RejectReason::KeyOfAnotherJob);
        }
        self.remove(number);
        self.next_job = self.next_job.max(number.next());
        let lease_token = job.lease().map(|lease| lease.token);
        let past_tokens = job.past_attempts.iter().map(|attempt| attempt.token);
        let tokens = lease_token.into_iter().chain(past_tokens);
        self.next_token = tokens.map(FencingToken::next).fold(self.next_token, Ord::max);
        self.insert(job.clone(), lsn);
        Ok(())
    }
}

/// Checks that a job may reuse the key of `previous`: the outcome of `previous` must not be final,
/// and the new job must inherit its attempts that may have run; otherwise a second run would not be
/// recognised as such.
///
/// # Errors
/// The rule that the new job breaks.
fn check_key_reuse(accepted: &AcceptedJob, previous: &Job) -> Result<(), RejectReason> {
    let inherits_all =
        previous.possibly_executed_attempts().all(|attempt| accepted.inherited_attempts.contains(attempt));
    let second_run_is_harmless = previous.accepted.retry_safety == RetrySafety::Idempotent;
    match previous.outcome() {
        None => Err(RejectReason::KeyInUse),
        Some(JobOutcome::Succeeded(_) | JobOutcome::Unprocessable) => Err(RejectReason::KeyHasFinalOutcome),
        Some(JobOutcome::Rejected | JobOutcome::Failed) if inherits_all || second_run_is_harmless => Ok(()),
        Some(JobOutcome::Rejected | JobOutcome::Failed) => Err(RejectReason::InheritedAttemptsMissing),
    }
}

fn new_lease(token: FencingToken, location: WorkerLocation, sent_at: Nanos, expires_at: Nanos) -> Lease {
    Lease { token, location, sent_at, expires_at, acknowledged: false, lease_aware: false }
}

fn acknowledge(job: &mut Job, token: FencingToken, lease_aware: bool) -> Result<(), RejectReason> {
    let lease = current_lease(job, token)?;
    lease.acknowledged = true;
    lease.lease_aware |= lease_aware;
    Ok(())
}

fn renew_lease(job: &mut Job, token: FencingToken, expires_at: Nanos) -> Result<(), RejectReason> {
    let lease = current_lease(job, token)?;
    // A worker that was already granted a later expiration keeps to that one.
    lease.expires_at = lease.expires_at.max(expires_at);
    lease.acknowledged = true;
    lease.lease_aware = true;
    Ok(())
}

fn mark_running(job: &mut Job, token: FencingToken) -> Result<(), RejectReason> {
    let mut lease = current_lease(job, token)?.clone();
    lease.acknowledged = true;
    job.state = JobState::Running(lease);
    Ok(())
}

fn release_lease(job: &mut Job, token: FencingToken, may_have_run: bool) -> Result<(), RejectReason> {
    let lease = current_lease(job, token)?.clone();
    job.past_attempts.push(lease.into_past_attempt(may_have_run));
    job.state = JobState::Accepted;
    Ok(())
}

fn mark_delivered(job: &mut Job) -> Result<(), RejectReason> {
    match &job.state {
        JobState::Finished { finished_at, outcome } => {
            job.state = JobState::Delivered { finished_at: *finished_at, outcome: outcome.clone() };
            Ok(())
        }
        JobState::Delivered { .. } => Ok(()),
        JobState::Accepted | JobState::Leased(_) | JobState::Running(_) => Err(RejectReason::NotFinished),
    }
}

/// Returns the job's lease if `token` is its fencing token.
///
/// # Errors
/// If the job has no lease, or one with another token.
fn current_lease(job: &mut Job, token: FencingToken) -> Result<&mut Lease, RejectReason> {
    match &mut job.state {
        JobState::Leased(lease) | JobState::Running(lease) if lease.token == token => Ok(lease),
        JobState::Leased(_) | JobState::Running(_) => Err(RejectReason::StaleToken),
        JobState::Accepted => Err(RejectReason::NotLeased),
        JobState::Finished { .. } | JobState::Delivered { .. } => Err(RejectReason::AlreadyFinished),
    }
}
