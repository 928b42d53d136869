//! Recovery after a restart: open jobs continue from the state that the log recorded.
use super::{DurableJobs, DurableSettings, DurableSetup};
use crate::attempts::CANCEL_TIMEOUT;
use crate::request_table::{Attempt, AttemptStage};
use crate::requests::NewRequest;
use crate::timers::Timer;
use crate::{Answer, AttemptId, Effect, Engine, JobRequest, MS, WorkerEndpoint};
use spanlead_balancing_policy::{Event, Nanos, Outcome, PriorAttempt, RequestId, WorkerId, WorkerState};
use spanlead_deployment_settings::index_of;
use spanlead_durable_jobs::{AcceptedJob, JobNumber, Lease, PastAttempt};

/// How long a recovered attempt that its worker had not acknowledged may go without a notice.
/// Longer than the interval between two progress reports of a running job, if its worker sends
/// these.
const RECOVERY_NOTICE_TIMEOUT: Nanos = 3_000 * MS;
/// The bit that is set in the ids of recovered requests; the ids of clients' requests count from 0.
const RECOVERED_REQUEST_BIT: u64 = 1 << 63;

/// The recorded state of an attempt that was in flight when the previous process ended.
#[derive(Clone, Copy)]
struct PendingAttempt {
    /// Whether its worker has acknowledged the job.
    accepted: bool,
    /// Whether its worker honours the lease.
    lease_aware: bool,
}

/// A request that continues from earlier attempts.
struct ResumedRequest {
    request_id: RequestId,
    job: JobRequest,
    durable: Option<JobNumber>,
    /// The earlier attempts, including one that is still pending.
    past: Vec<PastAttempt>,
    /// Set if the last attempt of `past` is still pending.
    pending: Option<PendingAttempt>,
    /// Whether the client that sent the request waits for its answer.
    client_waits: bool,
}

impl Engine {
    /// Begins a session on the log and resumes all open jobs that were read from it.
    pub(crate) fn durable_jobs_opened(&mut self, now: Nanos, setup: DurableSetup, out: &mut Vec<Effect>) {
        let DurableSetup {
            job_table,
            clock_anchor,
            keep_all_jobs,
            lease_duration,
            clock_bound,
            max_disk_bytes,
            segment_bytes,
        } = setup;
        let session = job_table.session_record(clock_anchor);
        let settings =
            DurableSettings { keep_all_jobs, lease_duration, clock_bound, max_disk_bytes, segment_bytes };
        self.durable = Some(DurableJobs::new(job_table, settings));
        self.record(session, out);
        let Some(jobs) = &mut self.durable else { return };
        jobs.job_table.expire(now);
        for job in jobs.job_table.open_jobs() {
            self.recover(now, job, out);
        }
    }

    /// Resumes an open job, or fails it if it cannot continue.
    fn recover(&mut self, now: Nanos, number: JobNumber, out: &mut Vec<Effect>) {
        let Some(jobs) = &mut self.durable else { return };
        let Some(stored) = jobs.job_table.job(number).cloned() else { return };
        jobs.counters.recovered += 1;
        let lease = stored.lease();
        let request_id = RequestId(RECOVERED_REQUEST_BIT | number.0);
        let Some(job) = self.recovered_job(now, &stored.accepted) else {
            // The deadline has passed, or the settings no longer contain the class or the tenant.
            if let Some(lease) = lease {
                cancel_abandoned_attempt(now, request_id, &stored.accepted, lease, out);
            }
            return self.record_finished(now, Some(number), &Answer::Failed, out);
        };
        let mut past: Vec<PastAttempt> =
            stored.accepted.inherited_attempts.iter().chain(&stored.past_attempts).cloned().collect();
        let pending = lease
            .map(|lease| PendingAttempt { accepted: lease.acknowledged, lease_aware: lease.lease_aware });
        past.extend(lease.map(|lease| PastAttempt {
            location: lease.location.clone(),
            sent_at: lease.sent_at,
            may_have_run: true,
            token: lease.token,
        }));
        let durable = Some(number);
        let resumed = ResumedRequest { request_id, job, durable, past, pending, client_waits: false };
        self.resume(now, resumed, out);
    }

    /// Restores a job from its record; returns `None` if its deadline has passed, or if its class
    /// or tenant is no longer known.
    fn recovered_job(&self, now: Nanos, accepted: &AcceptedJob) -> Option<JobRequest> {
        let names = &self.classes.names;
        let class = names.class_index(&accepted.class)?;
        let tenant = if names.tenants.is_empty() { 0 } else { index_of(&names.tenants, &accepted.tenant)? };
        (now < accepted.deadline).then(|| JobRequest {
            id: accepted.id.clone(),
            class,
            tenant,
            slots: accepted.slots,
            memory: accepted.memory,
            affinity_key: accepted.affinity_key,
            deadline: accepted.deadline,
            durable_request: None,
        })
    }

    /// Opens a client's request that continues from attempts of an earlier request with its key.
    pub(crate) fn resume_retry(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        job: JobRequest,
        durable: Option<JobNumber>,
        past: Vec<PastAttempt>,
        out: &mut Vec<Effect>,
    ) {
        let resumed = ResumedRequest { request_id, job, durable, past, pending: None, client_waits: true };
        self.resume(now, resumed, out);
    }

    /// Opens a request with its earlier attempts and passes both to the policy.
    fn resume(&mut self, now: Nanos, resumed: ResumedRequest, out: &mut Vec<Effect>) {
        let ResumedRequest { request_id, job, durable, past, pending, client_waits } = resumed;
        self.register_workers(now, &past, out);
        let (class, due) = (job.class, job.deadline);
        let attempts = resumed_attempts(&past, pending);
        let new = NewRequest { request_id, job, attempts, durable, client_waits };
        let request = self.admit(now, new);
        // A job of an at-most-once class cannot continue after an attempt that may have run. The
        // policy decides this at the end of an attempt, so the last such attempt is passed to it as
        // pending and reported as ended right after.
        let must_report_end = self.classes.runs_at_most_once(class) && pending.is_none();
        let deferred_end = past.iter().rposition(|attempt| attempt.may_have_run).filter(|_| must_report_end);
        if let (Some(last), Some(pending)) = (past.len().checked_sub(1), pending) {
            let attempt = AttemptId { request: request_id, number: last as u32 };
            self.set_pending_timers(now, due, attempt, pending);
        }
        let attempts = prior_attempts(&past, pending, deferred_end);
        if attempts.is_empty() {
            self.run_policy(now, Event::RequestArrived(request), out);
        } else {
            self.run_policy(now, Event::RequestAdopted { request, attempts: &attempts }, out);
        }
        if let Some(number) = deferred_end {
            let event = Event::AttemptEnded {
                id: request_id,
                attempt: number as u32,
                outcome: Outcome::Cancelled,
                request_closed: false,
                elapsed: 0,
                report: None,
            };
            self.run_policy(now, event, out);
        }
    }

    /// Sets the timers of an attempt that the previous process left pending.
    fn set_pending_timers(
        &mut self,
        now: Nanos,
        deadline: Nanos,
        attempt: AttemptId,
        pending: PendingAttempt,
    ) {
        self.timers.set(deadline, Timer::AttemptTimeout(attempt));
        if pending.lease_aware {
            self.track_lease_expiry(attempt);
        }
        if !pending.accepted {
            let notice_by = deadline.min(now + RECOVERY_NOTICE_TIMEOUT);
            self.timers.set(notice_by, Timer::AcceptTimeout(attempt));
        }
    }

    /// Reports workers of earlier attempts to the policy as removed if the endpoint list has not
    /// named them: the policy must know the locations of past attempts to decide where the next may
    /// go.
    fn register_workers(&mut self, now: Nanos, past: &[PastAttempt], out: &mut Vec<Effect>) {
        for PastAttempt { location, .. } in past {
            if self.workers.get(&location.worker).is_some() {
                continue;
            }
            let host = WorkerEndpoint {
                name: location.worker.clone(),
                addr: location.addr,
                state: WorkerState::Removed,
                started: None,
                kind: None,
                // A zone that the settings no longer contain, or a pod recorded as unknown, is not
                // shared with any other worker.
                zone: index_of(&self.classes.names.zones, &location.zone),
                cell: Some(location.cell),
                weight: None,
            };
            self.register_removed_worker(now, host, out);
        }
    }
}

/// Cancels the attempt in flight of a job that cannot continue.
fn cancel_abandoned_attempt(
    now: Nanos,
    request_id: RequestId,
    accepted: &AcceptedJob,
    lease: &Lease,
    out: &mut Vec<Effect>,
) {
    let attempt = AttemptId { request: request_id, number: 0 };
    let (addr, job_id, until) = (lease.location.addr, accepted.id.clone(), now + CANCEL_TIMEOUT);
    out.push(Effect::CancelAttempt { attempt, addr, job_id, accepted: true, until });
}

/// Converts the earlier attempts to entries of the request table; the last one is pending if
/// `pending` is set.
fn resumed_attempts(past: &[PastAttempt], pending: Option<PendingAttempt>) -> Vec<Attempt> {
    let attempt = |(index, past_attempt): (usize, &PastAttempt)| {
        let is_last = index + 1 == past.len();
        let stage = match pending.filter(|_| is_last) {
            None => AttemptStage::Ended,
            Some(pending) if pending.accepted => AttemptStage::Accepted,
            Some(_) => AttemptStage::Dispatched,
        };
        Attempt {
            worker: past_attempt.location.worker.clone(),
            addr: past_attempt.location.addr,
            sent: past_attempt.sent_at,
            stage,
            may_have_run: past_attempt.may_have_run,
            token: Some(past_attempt.token),
            lease_until: None,
        }
    };
    past.iter().enumerate().map(attempt).collect()
}

/// Converts the earlier attempts to the form that the policy takes. The pending attempt, and the
/// one whose end is yet to be reported (`deferred_end`), count as not ended.
fn prior_attempts(
    past: &[PastAttempt],
    pending: Option<PendingAttempt>,
    deferred_end: Option<usize>,
) -> Vec<PriorAttempt> {
    let prior = |(index, past_attempt): (usize, &PastAttempt)| {
        let is_pending = index + 1 == past.len() && pending.is_some();
        let has_ended = Some(index) != deferred_end && !is_pending;
        PriorAttempt {
            worker: WorkerId(past_attempt.location.worker.clone()),
            sent_at: past_attempt.sent_at,
            may_have_run: has_ended.then_some(past_attempt.may_have_run),
        }
    };
    past.iter().enumerate().map(prior).collect()
}
