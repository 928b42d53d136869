//! Whether one more attempt keeps to the request's idempotency.

use crate::api::{DeduplicationScope, Idempotency, Nanos, Settings, WorkerState};
use crate::state::{Attempt, Job, Phase, Worker, WorkerIndex};

/// Proof that one more attempt at a worker keeps to the request's class. Only
/// [`Permit::for_attempt`] makes one, and the only place that sends takes it.
pub(super) struct Permit(WorkerIndex);

impl Permit {
    /// The permit to send a job to a worker, if it may be sent there.
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
        if job.is_in_flight() && !settings.limits.can_hedge {
            return None;
        }
        may_repeat(job, settings, workers, target, now).then_some(Permit(worker))
    }

    /// The worker that the attempt may go to.
    pub(super) fn worker(&self) -> WorkerIndex {
        self.0
    }
}

/// Whether the attempts that may have run allow another one at `target`.
fn may_repeat(job: &Job, settings: &Settings, workers: &[Worker], target: &Worker, now: Nanos) -> bool {
    match settings.classes[job.request.class as usize].idempotency {
        Idempotency::Idempotent => true,
        Idempotency::AtMostOnce => job.never_ran(),
        Idempotency::Deduplicated { scope, window } => {
            // Guards the window's end: the connection may take its whole time to come up before the
            // send.
            let latest_send = now + settings.limits.connect_timeout;
            let is_deduplicated = |attempt: &Attempt| {
                let first = &workers[attempt.worker.as_usize()];
                in_scope(scope, first, target) && latest_send < attempt.sent_at + window
            };
            job.exposed_attempts().all(is_deduplicated)
        }
    }
}

/// Whether two workers recognise each other's requests.
fn in_scope(scope: DeduplicationScope, first: &Worker, second: &Worker) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.zone == second.zone,
        DeduplicationScope::Cell => first.cell == second.cell,
    }
}

/// Whether a job may be answered with a rejection, which invites its client to retry.
pub(super) fn may_reject(job: &Job, settings: &Settings) -> bool {
    match settings.classes[job.request.class as usize].idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => true,
        Idempotency::Deduplicated { .. } | Idempotency::AtMostOnce => job.never_ran(),
    }
}
