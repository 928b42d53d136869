//! The attempts of requests at workers, from the send to the one place where they end.
use crate::durable;
use crate::members::Member;
use crate::{
    ABANDON_WAIT, Answer, Attempt, AttemptId, Core, Effect, Handover, News, Reply, Stage, TAKE_WAIT, Timer,
};
use spanlead_balancing_policy::{Event, Nanos, Note, Outcome, Report, RequestId, WorkerId};
use std::net::SocketAddr;

impl Core {
    pub(crate) fn send(
        &mut self,
        now: Nanos,
        ticket: RequestId,
        to: &WorkerId,
        wait: Option<Nanos>,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let attempt = AttemptId(ticket, request.attempts.len() as u32);
        let until = wait.map_or(request.due, |span| request.due.min(now + span));
        let (durable, first) = (request.durable, request.first);
        // What can't be written down may not go out.
        let barred = durable.is_some() && self.durable.as_ref().is_none_or(|d| d.failed);
        let Some(Member { host, .. }) =
            self.workers.get(&to.0).filter(|_| !request.answered && now < until && !barred)
        else {
            let event = Event::Ended {
                id: ticket,
                attempt: attempt.1,
                outcome: Outcome::Moot,
                closed: request.answered,
                lag: 0,
                report: None,
            };
            let addr = SocketAddr::from(([0, 0, 0, 0], 0));
            request.attempts.push(Attempt {
                worker: to.0.clone(),
                addr,
                sent: now,
                stage: Stage::Over,
                may_have_run: false,
                token: None,
                leased: None,
            });
            return self.decide(now, event, out);
        };
        let addr = host.addr;
        let (worker, stage) = (to.0.clone(), Stage::Offered);
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
        self.set_timer(until.min(now + TAKE_WAIT), Timer::Untaken(attempt));
        let text = durable.filter(|_| !first).and_then(|no| self.text(no));
        let send = Effect::Send { attempt, addr, until, lease: offer, text };
        out.push(if durable.is_some() { durable::durably(send, until) } else { send });
    }

    pub(crate) fn stage(&self, AttemptId(ticket, number): AttemptId) -> Option<Stage> {
        Some(self.requests.get(&ticket)?.attempts.get(number as usize)?.stage)
    }

    pub(crate) fn handover(&mut self, now: Nanos, attempt: AttemptId, how: Handover, out: &mut Vec<Effect>) {
        match (self.stage(attempt), how) {
            (Some(Stage::Offered), Handover::Taken { aware }) => {
                self.set_stage(attempt, Stage::Taken);
                self.held(attempt, aware, out);
            }
            (Some(Stage::Offered | Stage::Leaving(_)), Handover::Ended(outcome, report)) => {
                self.end(now, attempt, outcome, report, out);
            }
            // The fault is the request's, so it is not the worker that must be left alone for it, and a repeat would
            // only take it to the next one.
            (Some(Stage::Offered | Stage::Leaving(_)), Handover::Unusable) => {
                self.answer(now, attempt.0, Answer::Unusable, out);
                self.end(now, attempt, Outcome::Cancelled, None, out);
            }
            // It was called off meanwhile, or a worker's notice has ended it before the answer to the send came.
            _ => {}
        }
    }

    pub(crate) fn set_stage(&mut self, AttemptId(ticket, number): AttemptId, stage: Stage) {
        let request = self.requests.get_mut(&ticket);
        if let Some(attempt) = request.and_then(|r| r.attempts.get_mut(number as usize)) {
            attempt.stage = stage;
        }
    }

    /// Notices repeat, overtake the answer to the send and come late: only one that matches an attempt that is
    /// still out, at the worker that it was sent to, changes anything. (The module never sends a request twice to
    /// one worker, so id and worker name the attempt.)
    #[allow(clippy::too_many_arguments, reason = "a notice's parts")]
    pub(crate) fn news(
        &mut self,
        now: Nanos,
        id: &str,
        from: &str,
        token: Option<u64>,
        news: News,
        report: Option<Report>,
        out: &mut Vec<Effect>,
    ) -> Reply {
        let ticket = self.by_id.get(id).copied();
        let request = ticket.and_then(|t| Some((t, self.requests.get(&t)?)));
        let out_there = |a: &Attempt| {
            let fits = a.token.is_none() || token.is_none() || a.token.map(|t| t.0) == token;
            &*a.worker == from && a.stage != Stage::Over && fits
        };
        let number = request.and_then(|(t, r)| Some((t, r.attempts.iter().rposition(out_there)?)));
        let Some((ticket, number)) = number else { return self.stale(id, token) };
        let attempt = AttemptId(ticket, number as u32);
        if self.stage(attempt) == Some(Stage::Offered) {
            // Whatever became of its answer, it has the job.
            self.set_stage(attempt, Stage::Taken);
            self.held(attempt, token.is_some(), out);
        }
        let mut lease = None;
        let note = |note| Event::Note { id: ticket, attempt: attempt.1, note };
        match news {
            News::Started => {
                lease = self.renew(now, attempt, token, out);
                self.started(attempt, out);
                self.decide(now, note(Note::Started), out);
            }
            News::Running(share) => {
                lease = self.renew(now, attempt, token, out);
                self.decide(now, note(Note::Progress(share)), out);
            }
            News::Done(result) => {
                self.answer(now, ticket, Answer::Served(result), out);
                self.end(now, attempt, Outcome::Ok, report, out);
            }
            News::Failed => self.end(now, attempt, Outcome::Error, report, out),
            News::Returned => self.end(now, attempt, Outcome::Full, report, out),
            News::Lost => self.end(now, attempt, Outcome::Reset, report, out),
        }
        Reply::Heard { lease }
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
        let Some(request) = self.requests.get_mut(&attempt.0) else { return };
        let (over, due) = (request.answered || now >= request.due, request.due);
        let Some(this) = request.attempts.get_mut(attempt.1 as usize) else { return };
        let taken = match this.stage {
            Stage::Offered => false,
            Stage::Taken => true,
            Stage::Leaving(_) | Stage::Over => return,
        };
        this.stage = Stage::Leaving(outcome);
        let until = if over { now + ABANDON_WAIT } else { due.max(now + ABANDON_WAIT) };
        out.push(Effect::Abandon { attempt, addr: this.addr, id: request.id.clone(), taken, until });
        if over {
            self.end(now, attempt, outcome, None, out);
        }
    }

    pub(crate) fn abandon_all(&mut self, now: Nanos, ticket: RequestId, out: &mut Vec<Effect>) {
        let attempts = self.requests.get(&ticket).map_or(0, |r| r.attempts.len());
        for number in 0..attempts {
            self.abandon(now, AttemptId(ticket, number as u32), Outcome::Cancelled, out);
        }
    }

    /// The one place where an attempt ends.
    pub(crate) fn end(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        outcome: Outcome,
        report: Option<Report>,
        out: &mut Vec<Effect>,
    ) {
        let AttemptId(ticket, number) = attempt;
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let closed = request.answered;
        let Some(this) = request.attempts.get_mut(number as usize).filter(|a| a.stage != Stage::Over) else {
            return;
        };
        this.stage = Stage::Over;
        this.may_have_run = !outcome.never_ran();
        let (ran, token, durable) = (this.may_have_run, this.token, request.durable);
        let lag = now.saturating_sub(this.sent);
        self.released(durable, token, ran, out);
        let event = Event::Ended { id: ticket, attempt: number, outcome, closed, lag, report };
        self.decide(now, event, out);
        self.forget(ticket);
    }
}
