//! What workers notify of: notices repeat, overtake the answer to the dispatch and come late.
use crate::durable::after_durable;
use crate::request_table::{Attempt, AttemptStage};
use crate::{Answer, AttemptId, Effect, Engine, JobUpdate, MS, NoticeReply, WorkerNotice};
use spanlead_balancing_policy::{AttemptProgress, Event, Nanos, Outcome};

/// How long a worker's notice may wait for its record: its call is given up then, and it comes
/// again.
const ACKNOWLEDGE_TIMEOUT: Nanos = 1_000 * MS;

impl Engine {
    /// Takes a worker's notice. Its acknowledgement waits until what the notice has changed is
    /// durable.
    pub(crate) fn worker_notice(&mut self, now: Nanos, notice: WorkerNotice, out: &mut Vec<Effect>) {
        let before = self.last_record();
        let notice_id = notice.notice_id;
        let is_last = !matches!(notice.update, JobUpdate::Running(_));
        let reply = self.apply_notice(now, notice, out);
        let effect = Effect::Acknowledge { notice_id, reply };
        // A repeat may come before what its first has changed is durable.
        let must_wait = self.last_record() > before || is_last && self.durable.is_some();
        out.push(if must_wait { after_durable(effect, now + ACKNOWLEDGE_TIMEOUT) } else { effect });
    }

    /// Only a notice that matches a pending attempt at the worker that it was sent to changes
    /// anything. (The policy never sends a request twice to one worker, so id and worker name the
    /// attempt.)
    fn apply_notice(&mut self, now: Nanos, notice: WorkerNotice, out: &mut Vec<Effect>) -> NoticeReply {
        let WorkerNotice { job_id, worker, fencing_token: token, update, report, .. } = notice;
        let Some(attempt) = self.noticed_attempt(&job_id, &worker, token) else {
            return self.late_notice_reply(&job_id, token);
        };
        if self.requests.stage(attempt) == Some(AttemptStage::Dispatched) {
            // Whatever became of its answer, it has the job.
            self.requests.set_stage(attempt, AttemptStage::Accepted);
            self.record_accepted(attempt, token.is_some(), out);
        }
        let mut lease = None;
        match update {
            JobUpdate::Started => {
                lease = self.renew_lease(now, attempt, token, out);
                self.record_started(attempt, out);
                self.report_progress(now, attempt, AttemptProgress::Started, out);
            }
            JobUpdate::Running(share) => {
                lease = self.renew_lease(now, attempt, token, out);
                self.report_progress(now, attempt, AttemptProgress::Completed(share), out);
            }
            JobUpdate::Done(result) => {
                self.answer(now, attempt.request, Answer::Served(result), out);
                self.end_attempt(now, attempt, Outcome::Ok, report, out);
            }
            JobUpdate::Failed => self.end_attempt(now, attempt, Outcome::Error, report, out),
            JobUpdate::Returned => self.end_attempt(now, attempt, Outcome::Rejected, report, out),
            JobUpdate::Lost => self.end_attempt(now, attempt, Outcome::Reset, report, out),
        }
        NoticeReply::Acknowledged { lease }
    }

    fn report_progress(
        &mut self,
        now: Nanos,
        attempt: AttemptId,
        progress: AttemptProgress,
        out: &mut Vec<Effect>,
    ) {
        let (id, attempt) = (attempt.request, attempt.number);
        self.run_policy(now, Event::AttemptProgressed { id, attempt, progress }, out);
    }

    /// The pending attempt that a worker's notice is about.
    fn noticed_attempt(&self, job_id: &str, worker: &str, token: Option<u64>) -> Option<AttemptId> {
        let request_id = self.requests.id_of_job(job_id)?;
        let request = self.requests.get(request_id)?;
        let is_meant = |attempt: &Attempt| {
            let known = attempt.token.map(|token| token.0);
            let is_same_lease = known.is_none() || token.is_none() || known == token;
            &*attempt.worker == worker && attempt.stage != AttemptStage::Ended && is_same_lease
        };
        let number = request.attempts.iter().rposition(is_meant)?;
        Some(AttemptId { request: request_id, number: number as u32 })
    }
}
