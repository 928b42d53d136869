//! The requests that are open: taken once, ended once, given back in one place.
use crate::durable::{self, Known};
use crate::{
    Answer, Attempt, AttemptId, AttemptSnapshot, Effect, Engine, Job, MS, Request, RequestSnapshot, Stage,
    Timer,
};
use spanlead_balancing_policy::{Event, Nanos, PriorAttempt, RequestId, WorkerId};
use spanlead_durable_jobs::JobNumber;

impl Engine {
    pub(crate) fn request(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        job: Job,
        tries: Option<Vec<AttemptSnapshot>>,
        out: &mut Vec<Effect>,
    ) {
        let known = self.recognise(now, &job);
        let before = match known {
            Known::No(before) => before,
            Known::Open(first) => return self.join(request_id, first, job, out),
            Known::Over(answer, no) => {
                self.count(job.class, &answer);
                let effect = Effect::Answer { request_id, answer, job: no };
                return out.push(durable::durably(effect, job.due));
            }
        };
        // Two open requests under one id could be told apart by no worker, and would be two attempts of one.
        let full = tries.is_none() && (!self.taking(now) || self.requests.len() >= self.max_open);
        let at_once = match self.by_id.contains_key(&job.id) {
            true => Some(Answer::DuplicateId),
            false if full => Some(Answer::Rejected { retry_after: Some(300 * MS) }),
            false => self.turned_down(&job),
        };
        if let Some(answer) = at_once {
            self.count(job.class, &answer);
            return out.push(Effect::Answer { request_id, answer, job: None });
        }
        // One that a process without a ledger hands over goes on as it began.
        let durable = match tries.as_ref().is_none_or(Vec::is_empty) {
            true => self.take_down(now, &job, before.clone(), out),
            false => None,
        };
        if durable.is_some() && !before.is_empty() {
            // It goes on from what an earlier one of its key left unsettled.
            return self.resume(now, request_id, job, durable, before, None, out);
        }
        let tries = tries.unwrap_or_default();
        let known = tries.iter().all(|t| self.workers.contains_key(&t.worker));
        let attempts = tries.iter().filter_map(|t| {
            let stage = if t.may_have_run.is_none() { Stage::Accepted } else { Stage::Ended };
            let addr = self.workers.get(&t.worker)?.host.addr;
            let (worker, may_have_run) = (t.worker.clone(), t.may_have_run.unwrap_or(true));
            Some(Attempt { worker, addr, sent: t.sent, stage, may_have_run, token: None, leased: None })
        });
        let attempts = attempts.collect();
        let request = self.admit(now, request_id, &job, attempts, durable, true);
        if tries.is_empty() {
            return self.decide(now, Event::RequestArrived(request), out);
        }
        if !known {
            // Where it may have run can't be told to the module, which could then send it there or elsewhere again.
            self.answer(now, request_id, Answer::Failed, out);
            return self.abandon_all(now, request_id, out);
        }
        for number in 0..tries.len() as u32 {
            self.set_timer(job.due, Timer::AttemptEnds(AttemptId { request: request_id, number }));
        }
        let tried = |t: AttemptSnapshot| PriorAttempt {
            worker: WorkerId(t.worker),
            sent_at: t.sent,
            may_have_run: t.may_have_run,
        };
        let tries: Vec<PriorAttempt> = tries.into_iter().map(tried).collect();
        self.decide(now, Event::RequestAdopted { request, attempts: &tries }, out);
    }

    /// Opens a request; `first` tells whether its client waits here. Returns it as the module takes it.
    pub(crate) fn admit(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        job: &Job,
        attempts: Vec<Attempt>,
        durable: Option<JobNumber>,
        first: bool,
    ) -> spanlead_balancing_policy::Request {
        self.by_id.insert(job.id.clone(), request_id);
        let request = Request {
            id: job.id.clone(),
            class: job.class,
            due: job.due,
            answered: false,
            attempts,
            durable,
            first,
            joined: Vec::new(),
        };
        self.requests.insert(request_id, request);
        if let (Some(no), Some(d)) = (durable, &mut self.durable) {
            d.request_ids.insert(no, request_id);
        }
        self.pending += usize::from(first);
        // Guards the one rule that nothing may break: should the module ever hold a request past its due time,
        // it still gets its answer.
        self.set_timer(job.due + self.tick, Timer::Overdue(request_id));
        spanlead_balancing_policy::Request {
            id: request_id,
            class: job.class,
            slots: job.slots,
            memory: job.memory,
            tenant: job.tenant,
            affinity_key: job.affinity_key,
            expected_work: None,
            time_left: job.due.saturating_sub(now),
        }
    }

    /// Gives up what is open to the successor; a request of which a worker is just being told, one way or the other, must
    /// wait.
    pub(crate) fn hand_over(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let still = |r: &Request| {
            !r.answered && r.attempts.iter().all(|a| matches!(a.stage, Stage::Accepted | Stage::Ended))
        };
        let movable = self.requests.iter().filter(|(_, r)| still(r)).map(|(t, _)| *t);
        for request_id in movable.collect::<Vec<_>>() {
            let Some(request) = self.requests.remove(&request_id) else { continue };
            self.by_id.remove(&request.id);
            self.pending -= usize::from(request.first) + request.joined.len();
            let due = request.due;
            for (joined, id) in request.joined {
                self.joined.remove(&joined);
                out.push(Effect::HandOverRequest {
                    request_id: joined,
                    snapshot: RequestSnapshot { id, due, attempts: Vec::new(), durable: true },
                });
            }
            let attempt_snapshot = |a: Attempt| {
                let may_have_run = (a.stage == Stage::Ended).then_some(a.may_have_run);
                AttemptSnapshot { worker: a.worker, sent: a.sent, may_have_run }
            };
            // What the ledger holds the successor reads there.
            let durable = request.durable.is_some();
            let attempts = if durable { Vec::new() } else { request.attempts };
            let attempts = attempts.into_iter().map(attempt_snapshot).collect();
            if request.first {
                out.push(Effect::HandOverRequest {
                    request_id,
                    snapshot: RequestSnapshot { id: request.id, due, attempts, durable },
                });
            }
            self.decide(now, Event::ClientGone(request_id), out);
        }
    }

    pub(crate) fn client_left(&mut self, now: Nanos, request_id: RequestId, out: &mut Vec<Effect>) {
        if self.stays(request_id) {
            return;
        }
        let durable = self.requests.get(&request_id).and_then(|r| r.durable);
        if !self.close(request_id, &Answer::Failed) {
            return;
        }
        self.record_end(now, durable, &Answer::Failed, out);
        self.decide(now, Event::ClientGone(request_id), out);
        self.abandon_all(now, request_id, out);
        self.forget(request_id);
    }

    pub(crate) fn answer(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        answer: Answer,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let (first, durable, due) = (request.first, request.durable, request.due);
        if !self.close(request_id, &answer) {
            return;
        }
        let joined = self.requests.get_mut(&request_id).map(|r| (std::mem::take(&mut r.joined), r.class));
        self.record_end(now, durable, &answer, out);
        for (joined, class) in
            joined.into_iter().flat_map(|(all, class)| all.into_iter().map(move |j| (j.0, class)))
        {
            self.joined.remove(&joined);
            self.pending -= 1;
            self.count(class, &answer);
            out.push(durable::as_recorded(joined, answer.clone(), durable, due));
        }
        if first {
            out.push(durable::as_recorded(request_id, answer, durable, due));
        }
        self.forget(request_id);
    }

    /// The one end of a request that was taken, if it has not had it yet.
    pub(crate) fn close(&mut self, request_id: RequestId, how: &Answer) -> bool {
        let Some(request) = self.requests.get_mut(&request_id).filter(|r| !r.answered) else { return false };
        request.answered = true;
        let (class, first) = (request.class, request.first);
        if first {
            self.pending -= 1;
            self.count(class, how);
        }
        true
    }

    pub(crate) fn count(&mut self, class: u32, how: &Answer) {
        let Some(ends) = self.ends.get_mut(class as usize) else { return };
        match how {
            Answer::Served(_) => ends.completed += 1,
            Answer::Rejected { .. } => ends.rejected += 1,
            Answer::Failed | Answer::Unprocessable | Answer::DuplicateId | Answer::KeyMismatch => {
                ends.failed += 1
            }
        }
    }

    /// The one place where a request is given back: it is answered and no attempt is out.
    pub(crate) fn forget(&mut self, request_id: RequestId) {
        let done = |r: &Request| r.answered && r.attempts.iter().all(|a| a.stage == Stage::Ended);
        if self.requests.get(&request_id).is_some_and(done)
            && let Some(request) = self.requests.remove(&request_id)
        {
            self.by_id.remove(&request.id);
            if let (Some(no), Some(d)) = (request.durable, &mut self.durable) {
                d.request_ids.remove(&no);
            }
        }
    }
}
