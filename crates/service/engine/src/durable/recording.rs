//! The choice of the jobs that are durable, and the records of their acceptance and outcome.
use super::DURABLE_RETRY_AFTER;
use crate::{Answer, Effect, Engine, JobRequest};
use bytes::Bytes;
use spanlead_balancing_policy::{Idempotency, Nanos};
use spanlead_durable_jobs::{
    AcceptedJob, IdempotencyKey, JobNumber, JobOutcome, Lsn, PastAttempt, Record, RetrySafety,
};
use std::sync::Arc;

impl Engine {
    /// Returns the LSN of the last record; 0 if no log of durable jobs is open here.
    pub(crate) fn last_record_lsn(&self) -> Lsn {
        self.durable.as_ref().map_or(0, |jobs| jobs.job_table.last_lsn())
    }

    /// Applies a record to the job table and emits the effect that appends it to the log. All
    /// records pass through here.
    pub(crate) fn record(&mut self, record: Record, out: &mut Vec<Effect>) {
        let Some(jobs) = &mut self.durable else { return };
        match jobs.job_table.apply(&record) {
            Ok(()) if jobs.failed => {}
            Ok(()) => out.push(Effect::AppendRecord(record)),
            Err(error) => {
                debug_assert!(false, "{error}");
                out.push(Effect::Log(format!("durable job record rejected, not logged: {error}")));
            }
        }
    }

    /// Returns whether a job is durable: all jobs are if so configured, otherwise those that have
    /// an idempotency key or must run at most once.
    fn is_durable(&self, job: &JobRequest) -> bool {
        let Some(request) = &job.durable_request else { return false };
        let keep_all_jobs = self.durable.as_ref().is_some_and(|jobs| jobs.keep_all_jobs);
        keep_all_jobs || self.classes.runs_at_most_once(job.class) || request.key.is_some()
    }

    /// Returns the idempotency key of a job, scoped by its tenant and class.
    pub(super) fn idempotency_key(&self, job: &JobRequest) -> Option<IdempotencyKey> {
        let key = job.durable_request.as_ref()?.key.clone()?;
        Some(IdempotencyKey { tenant: self.tenant_name(job), class: self.class_name(job), key })
    }

    fn tenant_name(&self, job: &JobRequest) -> Arc<str> {
        name_of(&self.classes.names.tenants, job.tenant)
    }

    fn class_name(&self, job: &JobRequest) -> Arc<str> {
        name_of(&self.classes.names.classes, job.class)
    }

    /// Returns the rejection of a durable job that cannot be accepted now: the log has failed or is
    /// not open, or the job table or the disk is full. Returns `None` for any other job.
    pub(crate) fn durable_rejection(&mut self, job: &JobRequest) -> Option<Answer> {
        if !self.keeps_durable_jobs || !self.is_durable(job) {
            return None;
        }
        let can_record = self.durable.as_ref().is_some_and(|jobs| !jobs.failed && !jobs.is_full());
        if can_record {
            return None;
        }
        if let Some(jobs) = &mut self.durable {
            jobs.counters.rejected += 1;
        }
        Some(Answer::Rejected { retry_after: Some(DURABLE_RETRY_AFTER) })
    }

    /// Records a new job if it is durable, and returns its number. `unresolved` are attempts of an
    /// earlier job with its key that may have run.
    pub(crate) fn record_accepted_job(
        &mut self,
        now: Nanos,
        job: &JobRequest,
        unresolved: Vec<PastAttempt>,
        out: &mut Vec<Effect>,
    ) -> Option<JobNumber> {
        if !self.is_durable(job) {
            return None;
        }
        let retry_safety = match self.classes.idempotency(job.class)? {
            Idempotency::Idempotent => RetrySafety::Idempotent,
            Idempotency::Deduplicated { window, .. } => RetrySafety::Deduplicated(window),
            Idempotency::AtMostOnce => RetrySafety::NonIdempotent,
        };
        let number = self.durable.as_ref()?.job_table.next_job();
        let request = job.durable_request.as_ref()?;
        let accepted = AcceptedJob {
            number,
            id: job.id.clone(),
            key: request.key.clone(),
            class: self.class_name(job),
            tenant: self.tenant_name(job),
            fingerprint: request.fingerprint,
            retry_safety,
            accepted_at: now,
            deadline: job.deadline,
            slots: job.slots,
            memory: job.memory,
            affinity_key: job.affinity_key,
            encoded_request: request.encoded_request.clone(),
            inherited_attempts: unresolved,
        };
        self.record(Record::Accepted(accepted), out);
        Some(number)
    }

    /// Records the outcome of a durable job, as given by `answer`.
    pub(crate) fn record_finished(
        &mut self,
        now: Nanos,
        durable: Option<JobNumber>,
        answer: &Answer,
        out: &mut Vec<Effect>,
    ) {
        if let Some(job) = durable {
            self.record(Record::Finished { job, finished_at: now, outcome: outcome_of(answer) }, out);
        }
    }

    /// Returns the encoded request of a durable job, as it is sent to a worker.
    pub(crate) fn stored_request(&self, job: JobNumber) -> Option<Bytes> {
        Some(self.durable.as_ref()?.job_table.job(job)?.accepted.encoded_request.clone())
    }
}

/// Returns the name with this number; empty if there is none.
fn name_of(names: &[String], number: u32) -> Arc<str> {
    Arc::from(names.get(number as usize).map_or("", String::as_str))
}

/// Returns the outcome that is recorded for an answer.
fn outcome_of(answer: &Answer) -> JobOutcome {
    match answer {
        Answer::Succeeded(result) => JobOutcome::Succeeded(Arc::from(result.as_str())),
        Answer::Rejected { .. } => JobOutcome::Rejected,
        Answer::Unprocessable => JobOutcome::Unprocessable,
        Answer::Failed | Answer::DuplicateId | Answer::KeyMismatch => JobOutcome::Failed,
    }
}

/// Returns the answer to a client whose job has this recorded outcome.
pub(super) fn answer_of(outcome: &JobOutcome) -> Answer {
    match outcome {
        JobOutcome::Succeeded(result) => Answer::Succeeded(result.to_string()),
        JobOutcome::Rejected => Answer::Rejected { retry_after: Some(DURABLE_RETRY_AFTER) },
        JobOutcome::Failed => Answer::Failed,
        JobOutcome::Unprocessable => Answer::Unprocessable,
    }
}
