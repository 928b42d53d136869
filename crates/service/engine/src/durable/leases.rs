//! The leases under which workers run durable jobs. A worker that honours its lease stops the job
//! when the lease expires, unless the reply to a notice has renewed it. Once the lease has expired,
//! the job can run on another worker.
use crate::attempts::{ACCEPT_TIMEOUT, CANCEL_TIMEOUT};
use crate::request_table::AttemptStage;
use crate::timers::Timer;
use crate::{AttemptId, Effect, Engine, LeaseGrant, NoticeReply};
use spanlead_balancing_policy::{Nanos, Outcome};
use spanlead_durable_jobs::{FencingToken, JobNumber, JobOutcome, JobState, Record, WorkerLocation};
use std::sync::Arc;

/// A renewal of a lease that is known to be honoured is recorded only if it extends the lease by
/// more than its length divided by this.
const RENEWAL_RECORD_DIVISOR: Nanos = 4;

/// The job and the fencing token that identify a lease.
struct LeaseKey {
    job: JobNumber,
    token: FencingToken,
}

impl Engine {
    /// Grants and records the lease of an attempt that is about to be dispatched. Returns `None` if
    /// there are no durable jobs here, or if the attempt or its worker is unknown.
    pub(crate) fn grant_lease(
        &mut self,
        now: Nanos,
        job: JobNumber,
        attempt: AttemptId,
        out: &mut Vec<Effect>,
    ) -> Option<LeaseGrant> {
        let jobs = self.durable.as_ref()?;
        let (token, length) = (jobs.job_table.next_token(), jobs.lease_duration);
        let entry = self.requests.attempt_mut(attempt)?;
        entry.token = Some(token);
        let (worker, addr) = (entry.worker.clone(), entry.addr);
        let reported = self.workers.get(&worker)?.reported?;
        let zone = self.classes.names.zones.get(reported.zone as usize).map_or("", String::as_str);
        let location = WorkerLocation { worker, addr, zone: Arc::from(zone), cell: reported.portable_cell() };
        // The worker counts the lease from the arrival of the attempt. That is at most
        // `ACCEPT_TIMEOUT` from now: an attempt that is not acknowledged by then is cancelled.
        let expires_at = now + ACCEPT_TIMEOUT + length;
        self.record(Record::Leased { job, token, location, sent_at: now, expires_at }, out);
        Some(LeaseGrant { token: token.0, duration: length })
    }

    /// Returns the key of an attempt's lease; `None` if the job is not durable.
    fn lease_key(&self, attempt: AttemptId) -> Option<LeaseKey> {
        let job = self.requests.get(attempt.request)?.durable?;
        let token = self.requests.attempt(attempt)?.token?;
        Some(LeaseKey { job, token })
    }

    /// Records that the worker has acknowledged the job; `lease_aware` states whether it honours
    /// the lease.
    pub(crate) fn record_acknowledged(
        &mut self,
        attempt: AttemptId,
        lease_aware: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(LeaseKey { job, token }) = self.lease_key(attempt) else { return };
        self.record(Record::Acknowledged { job, token, lease_aware }, out);
        if lease_aware {
            self.track_lease_expiry(attempt);
        }
    }

    /// Notes when a lease that its worker honours expires, and sets the timer for it if none is
    /// set.
    pub(super) fn track_lease_expiry(&mut self, attempt: AttemptId) {
        let Some(LeaseKey { job, .. }) = self.lease_key(attempt) else { return };
        let Some(jobs) = &self.durable else { return };
        let lease = jobs.job_table.job(job).and_then(|job| job.lease());
        let Some(expires_at) = lease.map(|lease| lease.expires_at) else { return };
        let safe_expiry = expires_at + jobs.clock_bound;
        let Some(entry) = self.requests.attempt_mut(attempt) else { return };
        let has_timer = entry.lease_until.replace(expires_at).is_some();
        if !has_timer {
            self.timers.set(safe_expiry, Timer::LeaseExpiry(attempt));
        }
    }

    /// Renews the lease of an attempt whose worker honours it and has sent a notice. Returns how
    /// long the renewed lease lasts, counted from when the worker sent the notice; `None` if the
    /// lease cannot be renewed. A renewal is recorded only if it extends the lease by more than a
    /// quarter of its length, or if no record states yet that the worker honours the lease.
    pub(crate) fn renew_lease(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        token: Option<u64>,
        out: &mut Vec<Effect>,
    ) -> Option<Nanos> {
        token?;
        let LeaseKey { job, token } = self.lease_key(attempt)?;
        // A renewal that cannot be recorded must not be granted: the next process would consider
        // the lease expired while the worker still holds it.
        let jobs = self.durable.as_ref().filter(|jobs| !jobs.failed)?;
        let length = jobs.lease_duration;
        let lease = jobs.job_table.job(job)?.lease()?;
        let must_extend = now + length > lease.expires_at + length / RENEWAL_RECORD_DIVISOR;
        if !lease.lease_aware || must_extend {
            self.record(Record::Renewed { job, token, expires_at: now + length }, out);
        }
        self.track_lease_expiry(attempt);
        let expires_at = self.durable.as_ref()?.job_table.job(job)?.lease()?.expires_at;
        // The worker must not hold the lease beyond its recorded expiration, and no renewal lasts
        // longer than one lease.
        Some(expires_at.saturating_sub(now).min(length))
    }

    /// Records that the worker has reported that the job runs.
    pub(crate) fn record_started(&mut self, attempt: AttemptId, out: &mut Vec<Effect>) {
        let Some(LeaseKey { job, token }) = self.lease_key(attempt) else { return };
        let state = self.durable.as_ref().and_then(|jobs| jobs.job_table.job(job)).map(|job| &job.state);
        if matches!(state, Some(JobState::Leased(_))) {
            self.record(Record::Started { job, token }, out);
        }
    }

    /// Records that an attempt has ended without a result. If the job has finished, the record of
    /// its outcome has already ended the attempt, and nothing is recorded.
    pub(crate) fn record_released(
        &mut self,
        durable: Option<JobNumber>,
        token: Option<FencingToken>,
        may_have_run: bool,
        out: &mut Vec<Effect>,
    ) {
        let (Some(job), Some(token)) = (durable, token) else { return };
        let lease = self.durable.as_ref().and_then(|jobs| jobs.job_table.job(job)?.lease());
        if lease.is_some_and(|lease| lease.token == token) {
            self.record(Record::Released { job, token, may_have_run }, out);
        }
    }

    /// Handles the expiry timer of a lease. If the lease was not renewed meanwhile, the worker has
    /// sent no notice for so long that by its own clock it has stopped the job, and the attempt
    /// ends as timed out. The policy decides how to continue, by the class of the job.
    pub(crate) fn lease_expired(&mut self, now: Nanos, attempt: AttemptId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(attempt.request) else { return };
        let job_id = request.job_id.clone();
        let Some(entry) = self.requests.attempt(attempt) else { return };
        let (Some(expires_at), Some(jobs)) = (entry.lease_until, &mut self.durable) else { return };
        if entry.stage == AttemptStage::Ended {
            return;
        }
        let safe_expiry = expires_at + jobs.clock_bound;
        if now < safe_expiry {
            return self.timers.set(safe_expiry, Timer::LeaseExpiry(attempt));
        }
        jobs.counters.expired_leases += 1;
        let addr = entry.addr;
        // Spares a worker that is still reachable the rest of the job, whose result is no longer
        // awaited.
        let until = now + CANCEL_TIMEOUT;
        out.push(Effect::CancelAttempt { attempt, addr, job_id, accepted: true, until });
        self.end_attempt(now, attempt, Outcome::Timeout, None, out);
    }

    /// Returns the reply to a notice that matches no pending attempt. A worker that honours its
    /// lease is told that the lease is no longer valid, unless the notice repeats the one that
    /// finished the job.
    pub(crate) fn unmatched_notice_reply(&mut self, job_id: &str, token: Option<u64>) -> NoticeReply {
        let acknowledged = NoticeReply::Acknowledged { lease: None };
        let (Some(token), Some(jobs)) = (token, &mut self.durable) else { return acknowledged };
        // The lease of the last attempt of a succeeded job: the notice repeats the one that
        // finished the job.
        let has_succeeded =
            |job: &&spanlead_durable_jobs::Job| matches!(job.outcome(), Some(JobOutcome::Succeeded(_)));
        let succeeded = jobs.job_table.job_by_id(job_id).filter(has_succeeded);
        let last_attempt = succeeded.and_then(|job| job.past_attempts.last());
        if last_attempt.is_some_and(|attempt| attempt.token.0 == token) {
            return acknowledged;
        }
        jobs.counters.fenced += 1;
        NoticeReply::Fenced
    }
}
