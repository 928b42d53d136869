//! The attempts of requests at workers, from the send to the one place where they end.
use crate::durable;
use crate::members::Member;
use crate::{
    ACCEPT_TIMEOUT, ACKNOWLEDGE_TIMEOUT, Answer, Attempt, AttemptId, CANCEL_TIMEOUT, DispatchResult, Effect,
    Engine, JobUpdate, NoticeReply, Stage, Timer, WorkerNotice,
};
use spanlead_balancing_policy::{AttemptProgress, Event, LoadReport, Nanos, Outcome, RequestId, WorkerId};
use std::net::SocketAddr;

impl Engine {
    pub(crate) fn send(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        to: &WorkerId,
        wait: Option<Nanos>,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let attempt = AttemptId { request: request_id, number: request.attempts.len() as u32 };
        let until = wait.map_or(request.due, |span| request.due.min(now + span));
        let (durable, first) = (request.durable, request.first);
        // What can't be written down may not go out.
        let barred = durable.is_some() && self.durable.as_ref().is_none_or(|d| d.failed);
        let Some(Member { host, .. }) =
            self.workers.get(&to.0).filter(|_| !request.answered && now < until && !barred)
        else {
            let event = Event::AttemptEnded {
                id: request_id,
                attempt: attempt.number,
                outcome: Outcome::NotSent,
                closed: request.answered,
                elapsed: 0,
                report: None,
            };
            let addr = SocketAddr::from(([0, 0, 0, 0], 0));
            request.attempts.push(Attempt {
                worker: to.0.clone(),
                addr,
                sent: now,
                stage: Stage::Ended,
                may_have_run: false,
                token: None,
                leased: None,
            });
            return self.decide(now, event, out);
        };
        let addr = host.addr;
        let (worker, stage) = (to.0.clone(), Stage::Dispatched);
        request.attempts.push(Attempt {
            worker,
            addr,
            sent: now,
            stage,
            may_have_run: true,
            token: None,
            leased: None,
        });
        let offer = durable.and_then(|no| self.lease(now, no, attempt, out));
        self.set_timer(until, Timer::AttemptEnds(attempt));
        self.set_timer(until.min(now + ACCEPT_TIMEOUT), Timer::Untaken(attempt));
        let text = durable.filter(|_| !first).and_then(|no| self.text(no));
        let send = Effect::SendAttempt { attempt, addr, until, lease: offer, text };
        out.push(if durable.is_some() { durable::durably(send, until) } else { send });
    }

    pub(crate) fn stage(&self, AttemptId { request: request_id, number }: AttemptId) -> Option<Stage> {
        Some(self.requests.get(&request_id)?.attempts.get(number as usize)?.stage)
    }

    pub(crate) fn dispatch_finished(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        result: DispatchResult,
        out: &mut Vec<Effect>,
    ) {
        match (self.stage(attempt), result) {
            (Some(Stage::Dispatched), DispatchResult::Accepted { lease_aware: aware }) => {
                self.set_stage(attempt, Stage::Accepted);
                self.held(attempt, aware, out);
            }
            (Some(Stage::Dispatched | Stage::Cancelling(_)), DispatchResult::Ended(outcome, report)) => {
                self.end(now, attempt, outcome, report, out);
            }
            // The fault is the request's, so it is not the worker that must be left alone for it, and a repeat would
            // only take it to the next one.
            (Some(Stage::Dispatched | Stage::Cancelling(_)), DispatchResult::Unprocessable) => {
                self.answer(now, attempt.request, Answer::Unprocessable, out);
                self.end(now, attempt, Outcome::Cancelled, None, out);
            }
            // It was called off meanwhile, or a worker's notice has ended it before the answer to the send came.
            _ => {}
        }
    }

    pub(crate) fn set_stage(&mut self, AttemptId { request: request_id, number }: AttemptId, stage: Stage) {
        let request = self.requests.get_mut(&request_id);
        if let Some(attempt) = request.and_then(|r| r.attempts.get_mut(number as usize)) {
            attempt.stage = stage;
        }
    }

    /// Takes a worker's notice. Its acknowledgement waits until what the notice has changed is durable.
    pub(crate) fn worker_notice(&mut self, now: Nanos, notice: WorkerNotice, out: &mut Vec<Effect>) {
        let before = self.recorded();
        let number = notice.notice;
        let last = !matches!(notice.update, JobUpdate::Running(_));
        let reply = self.apply_notice(now, notice, out);
        let effect = Effect::Acknowledge { notice: number, reply };
        // A repeat may come before what its first has changed is durable.
        let waits = self.recorded() > before || last && self.durable.is_some();
        out.push(if waits { durable::durably(effect, now + ACKNOWLEDGE_TIMEOUT) } else { effect });
    }

    /// Notices repeat, overtake the answer to the dispatch and come late: only one that matches a pending attempt at the
    /// worker that it was sent to changes anything. (The policy never sends a request twice to one worker, so id and
    /// worker name the attempt.)
    fn apply_notice(&mut self, now: Nanos, notice: WorkerNotice, out: &mut Vec<Effect>) -> NoticeReply {
        let WorkerNotice { job_id, worker, fencing_token: token, update, report, .. } = notice;
        let Some(attempt) = self.noticed_attempt(&job_id, &worker, token) else {
            return self.stale(&job_id, token);
        };
        if self.stage(attempt) == Some(Stage::Dispatched) {
            // Whatever became of its answer, it has the job.
            self.set_stage(attempt, Stage::Accepted);
            self.held(attempt, token.is_some(), out);
        }
        let mut lease = None;
        let note =
            |note| Event::AttemptProgressed { id: attempt.request, attempt: attempt.number, progress: note };
        match update {
            JobUpdate::Started => {
                lease = self.renew(now, attempt, token, out);
                self.started(attempt, out);
                self.decide(now, note(AttemptProgress::Started), out);
            }
            JobUpdate::Running(share) => {
                lease = self.renew(now, attempt, token, out);
                self.decide(now, note(AttemptProgress::Completed(share)), out);
            }
            JobUpdate::Done(result) => {
                self.answer(now, attempt.request, Answer::Served(result), out);
                self.end(now, attempt, Outcome::Ok, report, out);
            }
            JobUpdate::Failed => self.end(now, attempt, Outcome::Error, report, out),
            JobUpdate::Returned => self.end(now, attempt, Outcome::Rejected, report, out),
            JobUpdate::Lost => self.end(now, attempt, Outcome::Reset, report, out),
        }
        NoticeReply::Acknowledged { lease }
    }

    /// The pending attempt that a worker's notice is about.
    fn noticed_attempt(&self, job_id: &str, worker: &str, token: Option<u64>) -> Option<AttemptId> {
        let request_id = *self.by_id.get(job_id)?;
        let request = self.requests.get(&request_id)?;
        let matches = |attempt: &Attempt| {
            let fits = attempt.token.is_none() || token.is_none() || attempt.token.map(|t| t.0) == token;
            &*attempt.worker == worker && attempt.stage != Stage::Ended && fits
        };
        let number = request.attempts.iter().rposition(matches)?;
        Some(AttemptId { request: request_id, number: number as u32 })
    }

    /// Calls an attempt off. While another may follow, its outcome waits until the worker knows, so that two are
    /// never out at once; when the request is over, nothing waits for it.
    pub(crate) fn abandon(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        let (over, due) = (request.answered || now >= request.due, request.due);
        let Some(this) = request.attempts.get_mut(attempt.number as usize) else { return };
        let taken = match this.stage {
            Stage::Dispatched => false,
            Stage::Accepted => true,
            Stage::Cancelling(_) | Stage::Ended => return,
        };
        this.stage = Stage::Cancelling(outcome);
        let until = if over { now + CANCEL_TIMEOUT } else { due.max(now + CANCEL_TIMEOUT) };
        out.push(Effect::CancelAttempt {
            attempt,
            addr: this.addr,
            job_id: request.id.clone(),
            accepted: taken,
            until,
        });
        if over {
            self.end(now, attempt, outcome, None, out);
        }
    }

    pub(crate) fn abandon_all(&mut self, now: Nanos, request_id: RequestId, out: &mut Vec<Effect>) {
        let attempts = self.requests.get(&request_id).map_or(0, |r| r.attempts.len());
        for number in 0..attempts {
            self.abandon(
                now,
                AttemptId { request: request_id, number: number as u32 },
                Outcome::Cancelled,
                out,
            );
        }
    }

    /// The one place where an attempt ends.
    pub(crate) fn end(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        outcome: Outcome,
        report: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let AttemptId { request: request_id, number } = attempt;
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let closed = request.answered;
        let Some(this) = request.attempts.get_mut(number as usize).filter(|a| a.stage != Stage::Ended) else {
            return;
        };
        this.stage = Stage::Ended;
        this.may_have_run = !outcome.never_ran();
        let (ran, token, durable) = (this.may_have_run, this.token, request.durable);
        let elapsed = now.saturating_sub(this.sent);
        self.released(durable, token, ran, out);
        let event = Event::AttemptEnded { id: request_id, attempt: number, outcome, closed, elapsed, report };
        self.decide(now, event, out);
        self.forget(request_id);
    }
}
