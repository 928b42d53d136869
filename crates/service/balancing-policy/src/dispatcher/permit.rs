//! Checks of whether a request's idempotency allows another attempt or a rejection.

use crate::api::{DeduplicationScope, Idempotency, Nanos, Settings, WorkerState};
use crate::state::{Attempt, Job, Phase, Worker, WorkerIndex};

/// Proof that another attempt at a worker is allowed by the request's class and the limits. It is
/// created only by [`Permit::for_attempt`] and required by the only function that sends.
pub(super) struct Permit(WorkerIndex);

impl Permit {
    /// Returns the permit to send a job to a worker, or `None` if it must not be sent there.
    pub(super) fn for_attempt(
        job: &Job,
        settings: &Settings,
        workers: &[Worker],
        worker: WorkerIndex,
        now: Nanos,
    ) -> Option<Permit> {
        let is_answered = job.phase == Phase::Closed || job.is_streaming;
        if is_answered || now >= job.deadline || job.attempts.len() >= job.max_attempts {
            return None;
        }
        let target = &workers[worker.as_usize()];
        if target.state != WorkerState::Ready {
            return None;
        }
        if job.has_attempt_in_flight() && !settings.limits.can_hedge {
            return None;
        }
        may_repeat(job, settings, workers, target, now).then_some(Permit(worker))
    }

    /// Returns the worker to which the attempt may be sent.
    pub(super) fn worker(&self) -> WorkerIndex {
        self.0
    }
}

/// Returns whether the attempts that may have run allow another one at `target`.
fn may_repeat(job: &Job, settings: &Settings, workers: &[Worker], target: &Worker, now: Nanos) -> bool {
    match settings.classes[job.request.class as usize].idempotency {
        Idempotency::Idempotent => true,
        Idempotency::AtMostOnce => job.never_ran(),
        Idempotency::Deduplicated { scope, window } => {
            // The attempt must reach the worker before the window ends, even if establishing the
            // connection takes the whole connect timeout.
            let latest_send = now + settings.limits.connect_timeout;
            let is_deduplicated = |attempt: &Attempt| {
                let first = &workers[attempt.worker.as_usize()];
                in_scope(scope, first, target) && latest_send < attempt.sent_at + window
            };
            job.possibly_run_attempts().all(is_deduplicated)
        }
    }
}

/// Returns whether two workers are in the same deduplication group, so that one recognises requests
/// sent to the other.
fn in_scope(scope: DeduplicationScope, first: &Worker, second: &Worker) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.zone == second.zone,
        DeduplicationScope::Cell => first.cell == second.cell,
    }
}

/// Returns whether a job may be answered with a rejection, after which the client may retry.
pub(super) fn may_reject(job: &Job, settings: &Settings) -> bool {
    match settings.classes[job.request.class as usize].idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => true,
        Idempotency::Deduplicated { .. } | Idempotency::AtMostOnce => job.never_ran(),
    }
}
