//! The handover of open requests to the successor process.
use crate::request_table::{Attempt, AttemptStage, JoinedClient};
use crate::{AttemptSnapshot, Effect, Engine, RequestSnapshot};
use spanlead_balancing_policy::{Event, Nanos, RequestId};

impl Engine {
    /// Hands over the open requests to the successor, except those with a dispatch or a
    /// cancellation in progress.
    pub(crate) fn hand_over_requests(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        for request_id in self.requests.ready_for_handover() {
            self.hand_over_request(now, request_id, out);
        }
    }

    fn hand_over_request(&mut self, now: Nanos, request_id: RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.remove_handed_over(request_id) else { return };
        let deadline = request.deadline;
        for JoinedClient { request_id, job_id } in request.joined {
            let snapshot = RequestSnapshot { id: job_id, deadline, attempts: Vec::new(), durable: true };
            out.push(Effect::HandOverRequest { request_id, snapshot });
        }
        // The successor reads the attempts of a durable job from the log.
        let durable = request.durable.is_some();
        let attempts = if durable { Vec::new() } else { request.attempts };
        let attempts = attempts.into_iter().map(attempt_snapshot).collect();
        if request.client_waits {
            let snapshot = RequestSnapshot { id: request.job_id, deadline, attempts, durable };
            out.push(Effect::HandOverRequest { request_id, snapshot });
        }
        self.run_policy(now, Event::ClientGone(request_id), out);
    }
}

fn attempt_snapshot(attempt: Attempt) -> AttemptSnapshot {
    let is_ended = attempt.stage == AttemptStage::Ended;
    AttemptSnapshot {
        worker: attempt.worker,
        sent: attempt.sent,
        may_have_run: is_ended.then_some(attempt.may_have_run),
    }
}
