//! The part of the reducer that keeps durable jobs: what is written down before what, repeats that join or are answered
//! again, leases that end, and what comes back after a crash.
//!
//! The order is kept by where [`Effect::AppendRecord`] stands: what must wait for it is wrapped in [`Effect::AfterDurable`] behind it.
use crate::stats::DurableJobStats;
use crate::{
    ACCEPT_TIMEOUT, Answer, Attempt, AttemptId, CANCEL_TIMEOUT, Effect, Engine, Job, LeaseGrant, MS,
    NoticeReply, Stage, Timer, WorkerEndpoint,
};
use bytes::Bytes;
use spanlead_balancing_policy::{
    Event, Idempotency, Nanos, Outcome, PriorAttempt, RequestId, WorkerId, WorkerState,
};
use spanlead_deployment_settings::index_of;
use spanlead_durable_jobs::{
    AcceptedJob, ClockAnchor, FencingToken, IdempotencyKey, JobNumber, JobOutcome, JobState, JobTable,
    KeyLookup, Lsn, PastAttempt, Record, RetrySafety, WorkerLocation,
};
use std::collections::HashMap;
use std::sync::Arc;

/// How long an attempt of the process before may be silent that its worker had not been heard to have taken. Longer than
/// between two notices of a job that runs, where workers tell of progress.
const RECOVERY_NOTICE_TIMEOUT: Nanos = 3_000 * MS;
/// What clients that can't be taken down now are told to wait.
const RETRY_AFTER: Nanos = 1_000 * MS;
/// Jobs written anew at a time.
const MAX_REWRITTEN_JOBS: usize = 64;
/// Records that must have become needless before segments are looked through.
const TRUNCATE_INTERVAL_RECORDS: Lsn = 256;
/// Tickets of jobs that were recovered; those of clients count from 0.
const RECOVERED_REQUEST_BIT: u64 = 1 << 63;

/// A ledger that was read, and how it is kept.
#[derive(Debug)]
pub struct DurableSetup {
    pub ledger: JobTable,
    /// How this process's clock reads.
    pub anchor: ClockAnchor,
    /// Whether jobs are kept that nobody can come back for and whose repeats are harmless.
    pub all: bool,
    /// How long a worker may hold a job without being heard of.
    pub lease: Nanos,
    /// The most by which clocks drift apart, or a message waits, within a lease.
    pub clock_bound: Nanos,
    /// The most on disk, and the size of a segment, bytes.
    pub disk: u64,
    pub segment: u64,
}

pub(crate) struct Durable {
    pub ledger: JobTable,
    pub failed: bool,
    /// The open request of each job.
    pub request_ids: HashMap<JobNumber, RequestId>,
    all: bool,
    lease: Nanos,
    clock_bound: Nanos,
    disk: u64,
    segment: u64,
    trimmed: Lsn,
    figures: DurableJobStats,
}

impl Durable {
    pub fn figures(&self) -> DurableJobStats {
        let now = self.ledger.stats();
        let (open, kept, live_bytes) = (now.open, now.retained, now.live_bytes);
        DurableJobStats { open, kept, live_bytes, failed: self.failed, ..self.figures }
    }

    /// Whether the job of this id is kept with its end.
    pub fn has_end(&self, id: &str) -> bool {
        self.ledger.job_by_id(id).is_some_and(|job| !job.is_open())
    }

    fn full(&self) -> bool {
        !self.ledger.has_capacity() || self.figures.disk_bytes >= self.disk
    }
}

/// What a request is to the ledger.
pub(crate) enum Known {
    /// It is new, and goes on from these attempts of an earlier one.
    No(Vec<PastAttempt>),
    /// It repeats one that is open.
    Open(RequestId),
    /// It has its answer.
    Over(Answer, Option<JobNumber>),
}

/// An effect that waits for all records before it.
pub(crate) fn durably(effect: Effect, until: Nanos) -> Effect {
    Effect::AfterDurable { effect: Box::new(effect), until }
}

/// An answer to a client. A result waits until it is written down; whatever else is said of a job claims nothing that a
/// crash could make untrue.
pub(crate) fn as_recorded(
    request_id: RequestId,
    answer: Answer,
    job: Option<JobNumber>,
    due: Nanos,
) -> Effect {
    let waits = job.is_some() && matches!(answer, Answer::Served(_));
    let effect = Effect::Answer { request_id, answer, job };
    if waits { durably(effect, due) } else { effect }
}

fn end_of(answer: &Answer) -> JobOutcome {
    match answer {
        Answer::Served(result) => JobOutcome::Succeeded(Arc::from(result.as_str())),
        Answer::Rejected { .. } => JobOutcome::Rejected,
        Answer::Unprocessable => JobOutcome::Unschedulable,
        Answer::Failed | Answer::DuplicateId | Answer::KeyMismatch => JobOutcome::Failed,
    }
}

fn answer_of(end: &JobOutcome) -> Answer {
    match end {
        JobOutcome::Succeeded(result) => Answer::Served(result.to_string()),
        JobOutcome::Rejected => Answer::Rejected { retry_after: Some(RETRY_AFTER) },
        JobOutcome::Failed => Answer::Failed,
        JobOutcome::Unschedulable => Answer::Unprocessable,
    }
}

impl Engine {
    /// The number of the last record, if there is a ledger.
    pub(crate) fn recorded(&self) -> Lsn {
        self.durable.as_ref().map_or(0, |d| d.ledger.last_lsn())
    }

    /// The one place where a record is made: it changes the ledger and goes to the store.
    pub(crate) fn record(&mut self, record: Record, out: &mut Vec<Effect>) {
        let Some(d) = &mut self.durable else { return };
        match d.ledger.apply(&record) {
            Ok(()) if d.failed => {}
            Ok(()) => out.push(Effect::AppendRecord(record)),
            Err(illegal) => {
                debug_assert!(false, "{illegal}");
                out.push(Effect::Log(format!("the ledger turned a record down: {illegal}")));
            }
        }
    }

    // ------------------------------------------------------------ requests

    fn keeps(&self, job: &Job) -> bool {
        let all = self.durable.as_ref().is_some_and(|d| d.all);
        let never = self.effects.get(job.class as usize) == Some(&Idempotency::AtMostOnce);
        job.durable_request.as_ref().is_some_and(|logged| all || never || logged.key.is_some())
    }

    fn key(&self, job: &Job) -> Option<IdempotencyKey> {
        let key = job.durable_request.as_ref()?.key.clone()?;
        let (owner, class) = self.owner_and_class(job);
        Some(IdempotencyKey { owner, class, key })
    }

    fn owner_and_class(&self, job: &Job) -> (Arc<str>, Arc<str>) {
        let name = |names: &[String], i: u32| Arc::from(names.get(i as usize).map_or("", String::as_str));
        (name(&self.names.tenants, job.tenant), name(&self.names.classes, job.class))
    }

    /// Gives a client of the process before its place again. Its request is open here since the ledger was read, or has had
    /// its end since; it is not taken anew.
    pub(crate) fn take_over(&mut self, now: Nanos, request_id: RequestId, job: Job, out: &mut Vec<Effect>) {
        let here = self
            .durable
            .as_ref()
            .and_then(|d| d.request_ids.get(&d.ledger.job_by_id(&job.id)?.accepted.number));
        if let Some(first) = here.copied() {
            return self.join(request_id, first, job, out);
        }
        match self.recognise(now, &job) {
            Known::Open(first) => self.join(request_id, first, job, out),
            Known::Over(answer, no) => {
                self.count(job.class, &answer);
                out.push(durably(Effect::Answer { request_id, answer, job: no }, job.due));
            }
            Known::No(_) => {
                self.count(job.class, &Answer::Failed);
                out.push(Effect::Answer { request_id, answer: Answer::Failed, job: None });
            }
        }
    }

    /// What the ledger knows of a request.
    pub(crate) fn recognise(&mut self, now: Nanos, job: &Job) -> Known {
        let key = self.key(job);
        let Some(d) = &mut self.durable else { return Known::No(Vec::new()) };
        d.ledger.expire(now);
        let (Some(key), Some(logged)) = (key, &job.durable_request) else { return Known::No(Vec::new()) };
        match d.ledger.lookup(&key, &logged.fingerprint) {
            KeyLookup::New => Known::No(Vec::new()),
            KeyLookup::Retryable(before) => Known::No(before),
            KeyLookup::RequestMismatch => {
                d.figures.mismatched += 1;
                Known::Over(Answer::KeyMismatch, None)
            }
            KeyLookup::Finished(no, end) => {
                d.figures.replayed += 1;
                Known::Over(answer_of(&end), Some(no))
            }
            KeyLookup::InProgress(no) => match d.request_ids.get(&no) {
                Some(first) => Known::Open(*first),
                // It is on its way to another process.
                None => Known::Over(Answer::Rejected { retry_after: Some(RETRY_AFTER) }, None),
            },
        }
    }

    /// Why the ledger can't take a job that belongs there.
    pub(crate) fn turned_down(&mut self, job: &Job) -> Option<Answer> {
        if !self.wants_ledger || !self.keeps(job) {
            return None;
        }
        let ready = self.durable.as_ref().is_some_and(|d| !d.failed && !d.full());
        if ready {
            return None;
        }
        if let Some(d) = &mut self.durable {
            d.figures.turned_away += 1;
        }
        Some(Answer::Rejected { retry_after: Some(RETRY_AFTER) })
    }

    /// Writes a new job down, if it belongs in the ledger.
    pub(crate) fn take_down(
        &mut self,
        now: Nanos,
        job: &Job,
        before: Vec<PastAttempt>,
        out: &mut Vec<Effect>,
    ) -> Option<JobNumber> {
        if !self.keeps(job) {
            return None;
        }
        let (owner, class) = self.owner_and_class(job);
        let repeats = match self.effects.get(job.class as usize)? {
            Idempotency::Idempotent => RetrySafety::Idempotent,
            Idempotency::Deduplicated { window, .. } => RetrySafety::Deduplicated(*window),
            Idempotency::AtMostOnce => RetrySafety::NonIdempotent,
        };
        let (no, logged) = (self.durable.as_ref()?.ledger.next_job(), job.durable_request.as_ref()?);
        let taken = AcceptedJob {
            number: no,
            id: job.id.clone(),
            key: logged.key.clone(),
            class,
            owner,
            fingerprint: logged.fingerprint,
            retry_safety: repeats,
            accepted_at: now,
            deadline: job.due,
            slots: job.slots,
            memory: job.memory,
            subject: job.affinity_key,
            request_body: logged.text.clone(),
            inherited_attempts: before,
        };
        self.record(Record::Accepted(taken), out);
        Some(no)
    }

    /// Lets a client wait for the answer to another's request, until its own time is up.
    pub(crate) fn join(&mut self, request_id: RequestId, first: RequestId, job: Job, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&first).filter(|r| !r.answered) else {
            // Its end waits only for a worker to know of it.
            self.count(job.class, &Answer::Failed);
            return out.push(Effect::Answer { request_id, answer: Answer::Failed, job: None });
        };
        request.joined.push((request_id, job.id));
        self.joined.insert(request_id, first);
        self.pending += 1;
        if let Some(d) = &mut self.durable {
            d.figures.joined += 1;
        }
        self.set_timer(job.due.saturating_sub(2 * self.tick), Timer::JoinedOverdue(request_id));
    }

    fn part(&mut self, request_id: RequestId) -> Option<u32> {
        let first = self.joined.remove(&request_id)?;
        let request = self.requests.get_mut(&first)?;
        request.joined.retain(|(t, _)| *t != request_id);
        let class = request.class;
        self.pending -= 1;
        self.count(class, &Answer::Failed);
        Some(class)
    }

    /// The time of a client that waits for another's request is up; that goes on.
    pub(crate) fn joined_overdue(&mut self, request_id: RequestId, out: &mut Vec<Effect>) {
        if self.part(request_id).is_some() {
            out.push(Effect::Answer { request_id, answer: Answer::Failed, job: None });
        }
    }

    /// Whether the request goes on although this client has left: others wait for it, or it may come back by its key.
    pub(crate) fn stays(&mut self, request_id: RequestId) -> bool {
        if self.part(request_id).is_some() {
            return true;
        }
        let Some(request) = self.requests.get_mut(&request_id).filter(|r| !r.answered) else { return false };
        let job = request.durable.and_then(|no| self.durable.as_ref()?.ledger.job(no));
        let stays = !request.joined.is_empty() || job.is_some_and(|job| job.accepted.key.is_some());
        if stays && request.first {
            request.first = false;
            let class = request.class;
            self.pending -= 1;
            self.count(class, &Answer::Failed);
        }
        stays
    }

    /// Writes a job's end down.
    pub(crate) fn record_end(
        &mut self,
        now: Nanos,
        durable: Option<JobNumber>,
        answer: &Answer,
        out: &mut Vec<Effect>,
    ) {
        if let Some(job) = durable {
            self.record(Record::Finished { job, finished_at: now, outcome: end_of(answer) }, out);
        }
    }

    /// The request as it goes to a worker.
    pub(crate) fn text(&self, no: JobNumber) -> Option<Bytes> {
        Some(self.durable.as_ref()?.ledger.job(no)?.accepted.request_body.clone())
    }

    // ------------------------------------------------------------ leases

    /// Writes down that an attempt is about to go out, and makes its lease.
    pub(crate) fn lease(
        &mut self,
        now: Nanos,
        job: JobNumber,
        attempt: AttemptId,
        out: &mut Vec<Effect>,
    ) -> Option<LeaseGrant> {
        let d = self.durable.as_ref()?;
        let (token, length) = (d.ledger.next_token(), d.lease);
        let this = self.requests.get_mut(&attempt.request)?.attempts.get_mut(attempt.number as usize)?;
        this.token = Some(token);
        let told = self.workers.get(&this.worker)?.told?;
        let zone = Arc::from(self.names.zones.get(told.zone as usize).map_or("", String::as_str));
        let location =
            WorkerLocation { worker: this.worker.clone(), addr: this.addr, zone, cell: told.lasting_cell() };
        // Its worker counts from when it came there, which is before we hear that it has.
        let until = now + ACCEPT_TIMEOUT + length;
        self.record(Record::Leased { job, token, location, sent_at: now, expires_at: until }, out);
        Some(LeaseGrant { token: token.0, length })
    }

    fn leased(&self, attempt: AttemptId) -> Option<(JobNumber, FencingToken)> {
        let request = self.requests.get(&attempt.request)?;
        Some((request.durable?, request.attempts.get(attempt.number as usize)?.token?))
    }

    /// The worker has the job; `aware` tells whether it goes by the lease.
    pub(crate) fn held(&mut self, attempt: AttemptId, aware: bool, out: &mut Vec<Effect>) {
        let Some((job, token)) = self.leased(attempt) else { return };
        self.record(Record::Acknowledged { job, token, lease_aware: aware }, out);
        if aware {
            self.watch_lease(attempt);
        }
    }

    /// Watches for the end of a lease that its worker goes by.
    fn watch_lease(&mut self, attempt: AttemptId) {
        let Some((job, _)) = self.leased(attempt) else { return };
        let Some(d) = &self.durable else { return };
        let Some(until) = d.ledger.job(job).and_then(|j| j.lease()).map(|l| l.expires_at) else { return };
        let ends = until + d.clock_bound;
        let this =
            self.requests.get_mut(&attempt.request).and_then(|r| r.attempts.get_mut(attempt.number as usize));
        let Some(this) = this else { return };
        let watched = this.leased.replace(until);
        if watched.is_none() {
            self.set_timer(ends, Timer::LeaseEnds(attempt));
        }
    }

    /// A worker that goes by its lease was heard: for how long it may go on from when it sent this. Not each notice moves
    /// the lease's end: what is told need only be written down when it has moved by a quarter.
    pub(crate) fn renew(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        token: Option<u64>,
        out: &mut Vec<Effect>,
    ) -> Option<Nanos> {
        token?;
        let (job, token) = self.leased(attempt)?;
        // What can't be written down may not be told: another process would believe the lease over before its worker does.
        let d = self.durable.as_ref().filter(|d| !d.failed)?;
        let length = d.lease;
        let lease = d.ledger.job(job)?.lease()?;
        let (told, aware) = (lease.expires_at, lease.lease_aware);
        if !aware || now + length > told + length / 4 {
            self.record(Record::Renewed { job, token, expires_at: now + length }, out);
        }
        self.watch_lease(attempt);
        let until = self.durable.as_ref()?.ledger.job(job)?.lease()?.expires_at;
        // Never beyond what is written down, nor what a lease is long.
        Some(until.saturating_sub(now).min(length))
    }

    /// The worker has begun to run the job.
    pub(crate) fn started(&mut self, attempt: AttemptId, out: &mut Vec<Effect>) {
        let Some((job, token)) = self.leased(attempt) else { return };
        let stage = self.durable.as_ref().and_then(|d| d.ledger.job(job)).map(|j| &j.state);
        if matches!(stage, Some(JobState::Leased(_))) {
            self.record(Record::Started { job, token }, out);
        }
    }

    /// The attempt is over; if the job is too, its end said so.
    pub(crate) fn released(
        &mut self,
        durable: Option<JobNumber>,
        token: Option<FencingToken>,
        ran: bool,
        out: &mut Vec<Effect>,
    ) {
        let (Some(job), Some(token)) = (durable, token) else { return };
        let lease = self.durable.as_ref().and_then(|d| d.ledger.job(job)?.lease());
        if lease.is_some_and(|l| l.token == token) {
            self.record(Record::Released { job, token, may_have_run: ran }, out);
        }
    }

    /// A lease may be over: its worker was not heard for so long that it has stopped by its own clock. What follows is
    /// the module's to decide, by the job's class.
    pub(crate) fn lease_ends(&mut self, now: Nanos, attempt: AttemptId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        let Some(this) = request.attempts.get_mut(attempt.number as usize) else { return };
        let (Some(until), Some(d)) = (this.leased, &mut self.durable) else { return };
        if matches!(this.stage, Stage::Ended) {
            return;
        }
        let ends = until + d.clock_bound;
        if now < ends {
            return self.set_timer(ends, Timer::LeaseEnds(attempt));
        }
        d.figures.leases_ended += 1;
        let (addr, id) = (this.addr, request.id.clone());
        // Should it be there all the same, it need not finish; nothing waits for its word.
        out.push(Effect::CancelAttempt {
            attempt,
            addr,
            job_id: id,
            accepted: true,
            until: now + CANCEL_TIMEOUT,
        });
        self.end(now, attempt, Outcome::Timeout, None, out);
    }

    /// A notice that fits no attempt that is out. A worker that goes by its lease is told that this is over.
    pub(crate) fn stale(&mut self, id: &str, token: Option<u64>) -> NoticeReply {
        let heard = NoticeReply::Acknowledged { lease: None };
        let (Some(token), Some(d)) = (token, &mut self.durable) else { return heard };
        // It repeats the notice that ended the job.
        let last =
            d.ledger.job_by_id(id).filter(|job| matches!(job.outcome(), Some(JobOutcome::Succeeded(_))));
        if last.and_then(|job| job.past_attempts.last()).is_some_and(|past| past.token.0 == token) {
            return heard;
        }
        d.figures.fenced += 1;
        NoticeReply::Fenced
    }

    // ------------------------------------------------------------ the store

    /// Forgets what has expired; what that frees on disk is looked for even if nothing more is written.
    pub(crate) fn expire(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let Some(d) = &mut self.durable else { return };
        if d.ledger.expire(now) > 0 {
            let bytes = d.figures.disk_bytes;
            self.stored(bytes, out);
        }
    }

    pub(crate) fn stored(&mut self, bytes: u64, out: &mut Vec<Effect>) {
        let Some(d) = &mut self.durable else { return };
        d.figures.disk_bytes = bytes;
        // What a few old jobs keep from going is written anew when it is more than what lives. `live` is reckoned high, so
        // that comes to an end.
        let live = d.ledger.stats().live_bytes as u64;
        if bytes > 2 * (live + d.segment) {
            for record in d.ledger.snapshot_records(MAX_REWRITTEN_JOBS) {
                self.record(record, out);
            }
        }
        let Some(d) = &mut self.durable else { return };
        let oldest = d.ledger.oldest_needed_lsn();
        if oldest >= d.trimmed + TRUNCATE_INTERVAL_RECORDS {
            d.trimmed = oldest;
            out.push(Effect::TruncateLog { oldest });
        }
    }

    pub(crate) fn store_failed(&mut self, out: &mut Vec<Effect>) {
        let Some(d) = self.durable.as_mut().filter(|d| !d.failed) else { return };
        d.failed = true;
        let open = d.ledger.stats().open;
        out.push(Effect::Log(format!(
            "the ledger can't be written to any more: new durable jobs are refused, {open} open ones end; restart when the \
             disk is mended"
        )));
    }

    // ------------------------------------------------------------ recovery

    /// Goes on with all that the ledger holds open.
    pub(crate) fn opened(&mut self, now: Nanos, durability: DurableSetup, out: &mut Vec<Effect>) {
        let DurableSetup { ledger, anchor, all, lease, clock_bound, disk, segment } = durability;
        let session = ledger.session_record(anchor);
        self.durable = Some(Durable {
            ledger,
            failed: false,
            request_ids: HashMap::new(),
            all,
            lease,
            clock_bound,
            disk,
            segment,
            trimmed: 0,
            figures: DurableJobStats::default(),
        });
        self.record(session, out);
        let Some(d) = &mut self.durable else { return };
        d.ledger.expire(now);
        let open = d.ledger.open_jobs();
        for no in open {
            self.recover(now, no, out);
        }
    }

    fn recover(&mut self, now: Nanos, no: JobNumber, out: &mut Vec<Effect>) {
        let Some(d) = &mut self.durable else { return };
        let Some(job) = d.ledger.job(no).cloned() else { return };
        d.figures.recovered += 1;
        let (taken, lease) = (&job.accepted, job.lease());
        let class = self.names.class_index(&taken.class);
        let tenant = match self.names.tenants.is_empty() {
            true => Some(0),
            false => index_of(&self.names.tenants, &taken.owner),
        };
        let (Some(class), Some(tenant), true) = (class, tenant, now < taken.deadline) else {
            // Its client has given up, or nothing is known any more of how to go on.
            if let Some(lease) = lease {
                let attempt = AttemptId { request: RequestId(RECOVERED_REQUEST_BIT | no.0), number: 0 };
                let (addr, id, until) = (lease.location.addr, taken.id.clone(), now + CANCEL_TIMEOUT);
                out.push(Effect::CancelAttempt { attempt, addr, job_id: id, accepted: true, until });
            }
            return self.record_end(now, Some(no), &Answer::Failed, out);
        };
        let this = Job {
            id: taken.id.clone(),
            class,
            tenant,
            slots: taken.slots,
            memory: taken.memory,
            affinity_key: taken.subject,
            due: taken.deadline,
            durable_request: None,
        };
        let mut past: Vec<PastAttempt> =
            taken.inherited_attempts.iter().chain(&job.past_attempts).cloned().collect();
        let out_there = lease.map(|l| (l.acknowledged, l.lease_aware));
        past.extend(lease.map(|l| PastAttempt {
            location: l.location.clone(),
            sent_at: l.sent_at,
            may_have_run: true,
            token: l.token,
        }));
        let request_id = RequestId(RECOVERED_REQUEST_BIT | no.0);
        self.resume(now, request_id, this, Some(no), past, out_there, out);
    }

    /// Opens a request with attempts of before, the last of them out if `out_there`, which tells whether its worker has
    /// the job for certain and goes by its lease.
    #[allow(clippy::too_many_arguments, reason = "what is known of a request")]
    pub(crate) fn resume(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        job: Job,
        durable: Option<JobNumber>,
        past: Vec<PastAttempt>,
        out_there: Option<(bool, bool)>,
        out: &mut Vec<Effect>,
    ) {
        self.introduce(now, &past, out);
        let last = past.len().checked_sub(1);
        let attempt = |(i, p): (usize, &PastAttempt)| {
            let stage = match out_there.filter(|_| Some(i) == last) {
                None => Stage::Ended,
                Some((true, _)) => Stage::Accepted,
                Some((false, _)) => Stage::Dispatched,
            };
            let (worker, addr, token) = (p.location.worker.clone(), p.location.addr, Some(p.token));
            Attempt {
                worker,
                addr,
                sent: p.sent_at,
                stage,
                may_have_run: p.may_have_run,
                token,
                leased: None,
            }
        };
        let attempts = past.iter().enumerate().map(attempt).collect();
        let (class, due) = (job.class, job.due);
        let request =
            self.admit(now, request_id, &job, attempts, durable, request_id.0 & RECOVERED_REQUEST_BIT == 0);
        // A class that must never run twice can't go on from an attempt that may have run; the module decides that where an
        // attempt ends, so it is told that the last one does so now.
        let never = self.effects.get(class as usize) == Some(&Idempotency::AtMostOnce);
        let exposed = past.iter().rposition(|p| p.may_have_run).filter(|_| never && out_there.is_none());
        let tries: Vec<PriorAttempt> = past
            .iter()
            .enumerate()
            .map(|(i, p)| {
                let open = Some(i) == exposed || Some(i) == last && out_there.is_some();
                let may_have_run = if open { None } else { Some(p.may_have_run) };
                PriorAttempt { worker: WorkerId(p.location.worker.clone()), sent_at: p.sent_at, may_have_run }
            })
            .collect();
        if let (Some(last), Some((held, aware))) = (last, out_there) {
            let attempt = AttemptId { request: request_id, number: last as u32 };
            self.set_timer(due, Timer::AttemptEnds(attempt));
            if aware {
                self.watch_lease(attempt);
            }
            if !held {
                self.set_timer(due.min(now + RECOVERY_NOTICE_TIMEOUT), Timer::Untaken(attempt));
            }
        }
        match tries.is_empty() {
            true => self.decide(now, Event::RequestArrived(request), out),
            false => self.decide(now, Event::RequestAdopted { request, attempts: &tries }, out),
        }
        if let Some(number) = exposed {
            let (id, attempt, outcome) = (request_id, number as u32, Outcome::Cancelled);
            self.decide(
                now,
                Event::AttemptEnded { id, attempt, outcome, closed: false, elapsed: 0, report: None },
                out,
            );
        }
    }

    /// Tells the module of workers that the list does not name (any more), as gone: it must know where an attempt was to
    /// know where the next one may go.
    fn introduce(&mut self, now: Nanos, past: &[PastAttempt], out: &mut Vec<Effect>) {
        for PastAttempt { location: place, .. } in past {
            if self.workers.contains_key(&place.worker) {
                continue;
            }
            let host = WorkerEndpoint {
                name: place.worker.clone(),
                addr: place.addr,
                state: WorkerState::Removed,
                started: None,
                kind: None,
                // A zone that is not there any more, or a pod that nobody knew, is no other worker's.
                zone: index_of(&self.names.zones, &place.zone),
                cell: Some(place.cell),
                weight: None,
            };
            self.introduce_gone(now, host, out);
        }
    }
}
