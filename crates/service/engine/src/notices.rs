//! Notices of workers. A notice may be repeated, may overtake the answer to the dispatch, and may
//! arrive after its attempt has ended.
use crate::durable::after_durable;
use crate::request_table::{Attempt, AttemptStage};
use crate::{Answer, AttemptId, Effect, Engine, JobUpdate, MS, NoticeReply, WorkerNotice};
use spanlead_balancing_policy::{AttemptProgress, Event, Nanos, Outcome};

/// How long the acknowledgement of a notice may wait for its record. The worker's call is given up
/// then, and the worker sends the notice again.
const ACKNOWLEDGE_TIMEOUT: Nanos = 1_000 * MS;

impl Engine {
    /// Processes a worker's notice and acknowledges it once the records that it caused are durable.
    pub(crate) fn worker_notice(&mut self, now: Nanos, notice: WorkerNotice, out: &mut Vec<Effect>) {
        let before = self.last_record_lsn();
        let notice_id = notice.notice_id;
        let is_state_change = !matches!(notice.update, JobUpdate::Running(_));
        let reply = self.apply_notice(now, notice, out);
        let effect = Effect::Acknowledge { notice_id, reply };
        // A notice that repeats an earlier one adds no record but must wait for the records of the
        // earlier one, which may not be durable yet.
        let must_wait = self.last_record_lsn() > before || is_state_change && self.durable.is_some();
        out.push(if must_wait { after_durable(effect, now + ACKNOWLEDGE_TIMEOUT) } else { effect });
    }

    /// Applies a notice to the pending attempt that it is about; any other notice changes nothing.
    /// The policy never sends a request to the same worker twice, so the job id and the worker
    /// identify the attempt.
    fn apply_notice(&mut self, now: Nanos, notice: WorkerNotice, out: &mut Vec<Effect>) -> NoticeReply {
        let WorkerNotice { job_id, worker, fencing_token: token, update, report, .. } = notice;
        let Some(attempt) = self.attempt_of_notice(&job_id, &worker, token) else {
            return self.unmatched_notice_reply(&job_id, token);
        };
        if self.requests.stage(attempt) == Some(AttemptStage::Dispatched) {
            // The notice shows that the worker has the job, even if its answer to the dispatch is
            // late or lost.
            self.requests.set_stage(attempt, AttemptStage::Accepted);
            self.record_acknowledged(attempt, token.is_some(), out);
        }
        let mut lease = None;
        match update {
            JobUpdate::Started => {
                lease = self.renew_lease(now, attempt, token, out);
                self.record_started(attempt, out);
                self.report_progress(now, attempt, AttemptProgress::Started, out);
            }
            JobUpdate::Running(fraction) => {
                lease = self.renew_lease(now, attempt, token, out);
                self.report_progress(now, attempt, AttemptProgress::Completed(fraction), out);
            }
            JobUpdate::Done(result) => {
                self.answer(now, attempt.request, Answer::Succeeded(result), out);
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
    fn attempt_of_notice(&self, job_id: &str, worker: &str, token: Option<u64>) -> Option<AttemptId> {
        let request_id = self.requests.id_of_job(job_id)?;
        let request = self.requests.get(request_id)?;
        let matches_notice = |attempt: &Attempt| {
            let known = attempt.token.map(|token| token.0);
            let is_same_lease = known.is_none() || token.is_none() || known == token;
            &*attempt.worker == worker && attempt.stage != AttemptStage::Ended && is_same_lease
        };
        let number = request.attempts.iter().rposition(matches_notice)?;
        Some(AttemptId { request: request_id, number: number as u32 })
    }
}
