//! A request in this dispatcher's hands, with its attempts.

use super::worker_graph::WorkerIndex;
use crate::api::{Nanos, Request};

/// What is known of an attempt's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It is in flight.
    InFlight,
    /// It ended, and never ran.
    NeverRan,
    /// It ended, and may have run.
    MayHaveRan,
}

/// One attempt of a job.
pub(crate) struct Attempt {
    pub(crate) worker: WorkerIndex,
    pub(crate) sent_at: Nanos,
    pub(crate) state: AttemptState,
    /// It has left its worker's queue, or workers do not report that.
    pub(crate) has_started: bool,
    /// When its worker first reported progress.
    pub(crate) first_progress_at: Option<Nanos>,
    /// Its affinity key was not recently at the worker, which must fetch what the key needs.
    pub(crate) fetches_key: bool,
    /// Its class had the top priority.
    pub(crate) is_top_priority: bool,
}

/// Where a job is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for a worker with room.
    Pending,
    /// It was sent.
    Sent,
    /// It got its final answer, or needs none any more.
    Closed,
}

/// A request in this dispatcher's hands.
pub(crate) struct Job {
    pub(crate) request: Request,
    pub(crate) arrived_at: Nanos,
    /// When its client gives up.
    pub(crate) deadline: Nanos,
    pub(crate) max_attempts: usize,
    pub(crate) phase: Phase,
    /// Its answer has begun to stream.
    pub(crate) is_streaming: bool,
    /// All attempts, in the order of sends.
    pub(crate) attempts: Vec<Attempt>,
    /// Workers drawn for it while pending.
    pub(crate) candidates: Vec<WorkerIndex>,
    /// When the probes of the present round were sent.
    pub(crate) round_started_at: Nanos,
    /// Rounds since it became pending.
    pub(crate) rounds: u32,
    /// A timer will bind it to a worker whose probe came back.
    pub(crate) binding_scheduled: bool,
}

impl Job {
    /// The attempts that may have run, those in flight among them.
    pub(crate) fn exposed_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// Whether no attempt may have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.exposed_attempts().next().is_none()
    }

    /// Whether an attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether an attempt was made at this worker.
    pub(crate) fn was_sent_to(&self, worker: WorkerIndex) -> bool {
        self.attempts.iter().any(|attempt| attempt.worker == worker)
    }

    /// When it must be answered at the latest, a send being of no use any more.
    pub(crate) fn latest_answer_at(&self, tick: Nanos) -> Nanos {
        self.deadline.saturating_sub(2 * tick)
    }

    /// Adds workers that are not among the candidates yet.
    pub(crate) fn add_candidates(&mut self, drawn: &[WorkerIndex]) {
        let new: Vec<WorkerIndex> =
            drawn.iter().copied().filter(|worker| !self.candidates.contains(worker)).collect();
        self.candidates.extend(new);
    }
}
