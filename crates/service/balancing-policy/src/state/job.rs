//! Jobs: accepted requests with their attempts.

use super::worker_graph::WorkerIndex;
use crate::api::{Nanos, Request};

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// In flight.
    InFlight,
    /// Ended, certainly without having run.
    NeverRan,
    /// Ended, possibly after having run.
    MayHaveRun,
}

/// One attempt of a job.
pub(crate) struct Attempt {
    pub(crate) worker: WorkerIndex,
    pub(crate) sent_at: Nanos,
    pub(crate) state: AttemptState,
    /// Whether it has left its worker's queue; always true if workers do not report starts, and for
    /// an attempt that another process sent.
    pub(crate) has_started: bool,
    /// The time of the worker's first progress report; for an attempt that another process sent,
    /// the time at which this process took over the request.
    pub(crate) first_progress_at: Option<Nanos>,
    /// Whether the request has an affinity key that the worker has probably not cached, so that it
    /// must fetch the key's program or data.
    pub(crate) needs_fetch: bool,
    /// Whether its class had the top priority when it was sent.
    pub(crate) is_top_priority: bool,
}

/// The phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waiting for a worker with room.
    Pending,
    /// Sent to a worker.
    Sent,
    /// Final answer given, or none needed because the client disconnected.
    Closed,
}

/// A request that this dispatcher has accepted, with its attempts.
pub(crate) struct Job {
    pub(crate) request: Request,
    pub(crate) arrived_at: Nanos,
    /// The time at which the client gives up.
    pub(crate) deadline: Nanos,
    pub(crate) max_attempts: usize,
    pub(crate) phase: Phase,
    /// Whether its answer has begun to stream to the client.
    pub(crate) is_streaming: bool,
    /// All attempts, in the order of sends.
    pub(crate) attempts: Vec<Attempt>,
    /// The candidates drawn since it became pending or was last retried.
    pub(crate) candidates: Vec<WorkerIndex>,
    /// The time at which the last round sent its probes; in the first round, the time of arrival.
    pub(crate) probes_sent_at: Nanos,
    /// The number of rounds since the request arrived or was last retried.
    pub(crate) rounds: u32,
    /// Whether a timer is running that binds it to a successfully probed worker.
    pub(crate) binding_scheduled: bool,
}

impl Job {
    /// Returns the attempts that may have run, including those in flight.
    pub(crate) fn possibly_run_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// Returns whether certainly no attempt has run.
    pub(crate) fn never_ran(&self) -> bool {
        self.possibly_run_attempts().next().is_none()
    }

    /// Returns whether an attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Returns whether any attempt was sent to this worker.
    pub(crate) fn was_sent_to(&self, worker: WorkerIndex) -> bool {
        self.attempts.iter().any(|attempt| attempt.worker == worker)
    }

    /// Returns the time, two ticks before the deadline, from which a further send is useless and
    /// the job must get its final answer.
    pub(crate) fn latest_answer_at(&self, tick: Nanos) -> Nanos {
        self.deadline.saturating_sub(2 * tick)
    }

    /// Adds the drawn workers that are not candidates yet.
    pub(crate) fn add_candidates(&mut self, drawn: &[WorkerIndex]) {
        let new: Vec<WorkerIndex> =
            drawn.iter().copied().filter(|worker| !self.candidates.contains(worker)).collect();
        self.candidates.extend(new);
    }
}
