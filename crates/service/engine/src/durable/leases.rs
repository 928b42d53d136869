//! The leases under which workers run durable jobs. A worker that goes by its lease stops when that
//! expires, unless it was renewed by the answer to a notice; so the job can then run elsewhere.
use crate::attempts::{ACCEPT_TIMEOUT, CANCEL_TIMEOUT};
use crate::request_table::AttemptStage;
use crate::timers::Timer;
use crate::{AttemptId, Effect, Engine, LeaseGrant, NoticeReply};
use spanlead_balancing_policy::{Nanos, Outcome};
use spanlead_durable_jobs::{FencingToken, JobNumber, JobOutcome, JobState, Record, WorkerLocation};
use std::sync::Arc;

/// A lease need only be recorded anew when its end has moved by this part of its length.
const RENEWAL_RECORD_DIVISOR: Nanos = 4;

/// A lease of a durable job.
struct JobLease {
    job: JobNumber,
    token: FencingToken,
}

impl Engine {
    /// Records that an attempt is about to be dispatched, and grants its lease.
    pub(crate) fn grant_lease(
        &mut self,
        now: Nanos,
        job: JobNumber,
        attempt: AttemptId,
        out: &mut Vec<Effect>,
    ) -> Option<LeaseGrant> {
        let jobs = self.durable.as_ref()?;
        let (token, length) = (jobs.job_table.next_token(), jobs.lease_duration);
        let this = self.requests.attempt_mut(attempt)?;
        this.token = Some(token);
        let (worker, addr) = (this.worker.clone(), this.addr);
        let reported = self.workers.get(&worker)?.reported?;
        let zone = self.classes.names.zones.get(reported.zone as usize).map_or("", String::as_str);
        let location = WorkerLocation { worker, addr, zone: Arc::from(zone), cell: reported.portable_cell() };
        // Its worker counts from when the attempt came there, which is before this process hears
        // that it has.
        let until = now + ACCEPT_TIMEOUT + length;
        self.record(Record::Leased { job, token, location, sent_at: now, expires_at: until }, out);
        Some(LeaseGrant { token: token.0, duration: length })
    }

    fn lease_of(&self, attempt: AttemptId) -> Option<JobLease> {
        let job = self.requests.get(attempt.request)?.durable?;
        let token = self.requests.attempt(attempt)?.token?;
        Some(JobLease { job, token })
    }

    /// Records that the worker has the job; `lease_aware` tells whether it goes by the lease.
    pub(crate) fn record_accepted(&mut self, attempt: AttemptId, lease_aware: bool, out: &mut Vec<Effect>) {
        let Some(JobLease { job, token }) = self.lease_of(attempt) else { return };
        self.record(Record::Acknowledged { job, token, lease_aware }, out);
        if lease_aware {
            self.watch_lease(attempt);
        }
    }

    /// Watches for the end of a lease that its worker goes by.
    pub(super) fn watch_lease(&mut self, attempt: AttemptId) {
        let Some(JobLease { job, .. }) = self.lease_of(attempt) else { return };
        let Some(jobs) = &self.durable else { return };
        let lease = jobs.job_table.job(job).and_then(|job| job.lease());
        let Some(until) = lease.map(|lease| lease.expires_at) else { return };
        let expiry = until + jobs.clock_bound;
        let Some(this) = self.requests.attempt_mut(attempt) else { return };
        let was_watched = this.lease_until.replace(until).is_some();
        if !was_watched {
            self.timers.set(expiry, Timer::LeaseExpiry(attempt));
        }
    }

    /// A worker that goes by its lease has sent a notice: for how long it may go on from when it
    /// sent that. Not each notice moves the recorded end: what the worker is told need only be
    /// recorded when it has moved by a quarter.
    pub(crate) fn renew_lease(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        token: Option<u64>,
        out: &mut Vec<Effect>,
    ) -> Option<Nanos> {
        token?;
        let JobLease { job, token } = self.lease_of(attempt)?;
        // What cannot be recorded must not be told: another process would believe the lease expired
        // before its worker does.
        let jobs = self.durable.as_ref().filter(|jobs| !jobs.failed)?;
        let length = jobs.lease_duration;
        let lease = jobs.job_table.job(job)?.lease()?;
        let is_late = now + length > lease.expires_at + length / RENEWAL_RECORD_DIVISOR;
        if !lease.lease_aware || is_late {
            self.record(Record::Renewed { job, token, expires_at: now + length }, out);
        }
        self.watch_lease(attempt);
        let until = self.durable.as_ref()?.job_table.job(job)?.lease()?.expires_at;
        // Never beyond what is recorded, nor what a lease is long.
        Some(until.saturating_sub(now).min(length))
    }

    /// Records that the worker has begun to run the job.
    pub(crate) fn record_started(&mut self, attempt: AttemptId, out: &mut Vec<Effect>) {
        let Some(JobLease { job, token }) = self.lease_of(attempt) else { return };
        let stage = self.durable.as_ref().and_then(|jobs| jobs.job_table.job(job)).map(|job| &job.state);
        if matches!(stage, Some(JobState::Leased(_))) {
            self.record(Record::Started { job, token }, out);
        }
    }

    /// Records that an attempt is over; if the job is too, its end said so.
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

    /// A lease may have expired: its worker has sent no notice for so long that it has stopped by
    /// its own clock. What follows is the policy's to decide, by the job's class.
    pub(crate) fn lease_expired(&mut self, now: Nanos, attempt: AttemptId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(attempt.request) else { return };
        let job_id = request.job_id.clone();
        let Some(this) = self.requests.attempt(attempt) else { return };
        let (Some(until), Some(jobs)) = (this.lease_until, &mut self.durable) else { return };
        if this.stage == AttemptStage::Ended {
            return;
        }
        let expiry = until + jobs.clock_bound;
        if now < expiry {
            return self.timers.set(expiry, Timer::LeaseExpiry(attempt));
        }
        jobs.counters.expired_leases += 1;
        let addr = this.addr;
        // Should the worker be there all the same, it need not finish; nothing waits for its
        // answer.
        let until = now + CANCEL_TIMEOUT;
        out.push(Effect::CancelAttempt { attempt, addr, job_id, accepted: true, until });
        self.end_attempt(now, attempt, Outcome::Timeout, None, out);
    }

    /// The reply to a notice that fits no pending attempt. A worker that goes by its lease is told
    /// that this is over.
    pub(crate) fn late_notice_reply(&mut self, job_id: &str, token: Option<u64>) -> NoticeReply {
        let acknowledged = NoticeReply::Acknowledged { lease: None };
        let (Some(token), Some(jobs)) = (token, &mut self.durable) else { return acknowledged };
        // It repeats the notice that ended the job.
        let is_served =
            |job: &&spanlead_durable_jobs::Job| matches!(job.outcome(), Some(JobOutcome::Succeeded(_)));
        let served = jobs.job_table.job_by_id(job_id).filter(is_served);
        let last = served.and_then(|job| job.past_attempts.last());
        if last.is_some_and(|past| past.token.0 == token) {
            return acknowledged;
        }
        jobs.counters.fenced += 1;
        NoticeReply::Fenced
    }
}
