//! What comes back after a crash: open jobs go on where the log says that they stood.
use super::{DurableJobs, DurableSettings, DurableSetup};
use crate::attempts::CANCEL_TIMEOUT;
use crate::request_table::{Attempt, AttemptStage};
use crate::requests::NewRequest;
use crate::timers::Timer;
use crate::{Answer, AttemptId, Effect, Engine, Job, MS, WorkerEndpoint};
use spanlead_balancing_policy::{Event, Nanos, Outcome, PriorAttempt, RequestId, WorkerId, WorkerState};
use spanlead_deployment_settings::index_of;
use spanlead_durable_jobs::{AcceptedJob, JobNumber, Lease, PastAttempt};

/// How long an attempt of the process before may bring no notice whose worker had not said that it
/// has the job. Longer than between two notices of a job that runs, where workers report progress.
const RECOVERY_NOTICE_TIMEOUT: Nanos = 3_000 * MS;
/// Set in the ids of requests that were recovered; those of clients count from 0.
const RECOVERED_REQUEST_BIT: u64 = 1 << 63;

/// What is known of an attempt that was pending when the process before ended.
#[derive(Clone, Copy)]
struct PendingAttempt {
    /// Its worker has said that it has the job.
    accepted: bool,
    /// Its worker goes by its lease.
    lease_aware: bool,
}

/// A request that goes on from attempts of before.
struct ResumedRequest {
    request_id: RequestId,
    job: Job,
    durable: Option<JobNumber>,
    past: Vec<PastAttempt>,
    /// The last of them is pending.
    pending: Option<PendingAttempt>,
    client_waits: bool,
}

impl Engine {
    /// Goes on with all open jobs of the log.
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

    fn recover(&mut self, now: Nanos, number: JobNumber, out: &mut Vec<Effect>) {
        let Some(jobs) = &mut self.durable else { return };
        let Some(stored) = jobs.job_table.job(number).cloned() else { return };
        jobs.counters.recovered += 1;
        let lease = stored.lease();
        let request_id = RequestId(RECOVERED_REQUEST_BIT | number.0);
        let Some(job) = self.recovered_job(now, &stored.accepted) else {
            // Its client has given up, or nothing is known any more of how to go on.
            if let Some(lease) = lease {
                cancel_lost(now, request_id, &stored.accepted, lease, out);
            }
            return self.record_end(now, Some(number), &Answer::Failed, out);
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

    /// A job as it was recorded; `None` if its client has given up, or its class or tenant is not
    /// known any more.
    fn recovered_job(&self, now: Nanos, accepted: &AcceptedJob) -> Option<Job> {
        let names = &self.classes.names;
        let class = names.class_index(&accepted.class)?;
        let tenant = if names.tenants.is_empty() { 0 } else { index_of(&names.tenants, &accepted.owner)? };
        (now < accepted.deadline).then(|| Job {
            id: accepted.id.clone(),
            class,
            tenant,
            slots: accepted.slots,
            memory: accepted.memory,
            affinity_key: accepted.subject,
            deadline: accepted.deadline,
            durable_request: None,
        })
    }

    /// Opens a client's request that goes on from attempts of an earlier one of its key.
    pub(crate) fn resume_repeat(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        job: Job,
        durable: Option<JobNumber>,
        past: Vec<PastAttempt>,
        out: &mut Vec<Effect>,
    ) {
        let resumed = ResumedRequest { request_id, job, durable, past, pending: None, client_waits: true };
        self.resume(now, resumed, out);
    }

    fn resume(&mut self, now: Nanos, resumed: ResumedRequest, out: &mut Vec<Effect>) {
        let ResumedRequest { request_id, job, durable, past, pending, client_waits } = resumed;
        self.introduce_workers(now, &past, out);
        let (class, deadline) = (job.class, job.deadline);
        let attempts = resumed_attempts(&past, pending);
        let new = NewRequest { request_id, job, attempts, durable, client_waits };
        let request = self.admit(now, new);
        // A class that must never run twice cannot go on from an attempt that may have run; the
        // policy decides that where an attempt ends, so it is told that the last one does so now.
        let is_exposed = self.classes.runs_at_most_once(class) && pending.is_none();
        let exposed = past.iter().rposition(|past| past.may_have_run).filter(|_| is_exposed);
        if let (Some(last), Some(pending)) = (past.len().checked_sub(1), pending) {
            let attempt = AttemptId { request: request_id, number: last as u32 };
            self.watch_pending(now, deadline, attempt, pending);
        }
        let attempts = prior_attempts(&past, pending, exposed);
        if attempts.is_empty() {
            self.run_policy(now, Event::RequestArrived(request), out);
        } else {
            self.run_policy(now, Event::RequestAdopted { request, attempts: &attempts }, out);
        }
        if let Some(number) = exposed {
            let event = Event::AttemptEnded {
                id: request_id,
                attempt: number as u32,
                outcome: Outcome::Cancelled,
                closed: false,
                elapsed: 0,
                report: None,
            };
            self.run_policy(now, event, out);
        }
    }

    /// Sets the timers of an attempt that the process before has left pending.
    fn watch_pending(&mut self, now: Nanos, deadline: Nanos, attempt: AttemptId, pending: PendingAttempt) {
        self.timers.set(deadline, Timer::AttemptTimeout(attempt));
        if pending.lease_aware {
            self.watch_lease(attempt);
        }
        if !pending.accepted {
            let notice_by = deadline.min(now + RECOVERY_NOTICE_TIMEOUT);
            self.timers.set(notice_by, Timer::AcceptTimeout(attempt));
        }
    }

    /// Tells the policy of workers that the endpoint list does not name (any more), as removed: it
    /// must know where an attempt was to know where the next one may go.
    fn introduce_workers(&mut self, now: Nanos, past: &[PastAttempt], out: &mut Vec<Effect>) {
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
                // A zone that is not there any more, or a pod that nobody knew, is no other
                // worker's.
                zone: index_of(&self.classes.names.zones, &location.zone),
                cell: Some(location.cell),
                weight: None,
            };
            self.introduce_removed(now, host, out);
        }
    }
}

/// Cancels the attempt of a job that does not go on.
fn cancel_lost(
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

/// The attempts of before, the last of them pending if `pending` says so.
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

/// The same as the policy takes them; those that are pending, or whose end it is still to be told,
/// have not ended.
fn prior_attempts(
    past: &[PastAttempt],
    pending: Option<PendingAttempt>,
    exposed: Option<usize>,
) -> Vec<PriorAttempt> {
    let prior = |(index, past_attempt): (usize, &PastAttempt)| {
        let is_pending = index + 1 == past.len() && pending.is_some();
        let has_ended = Some(index) != exposed && !is_pending;
        PriorAttempt {
            worker: WorkerId(past_attempt.location.worker.clone()),
            sent_at: past_attempt.sent_at,
            may_have_run: has_ended.then_some(past_attempt.may_have_run),
        }
    };
    past.iter().enumerate().map(prior).collect()
}
