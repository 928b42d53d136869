//! Outstanding calls to workers: queued calls, calls in flight, and the deadlines of starts.
use crate::ids::RunId;
use crate::protocol::{WorkerCall, WorkerRequest};
use crate::workers::Worker;
use std::collections::BTreeSet;

/// The time at which a start times out. The call itself stays open: a later response still counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StartDeadline {
    due_at_ms: u64,
    run: RunId,
}

/// The outstanding calls to workers.
///
/// `in_flight` counts the calls without a result, including those still in `queued`. The embedder
/// must therefore return exactly one result for each call.
#[derive(Debug)]
pub(crate) struct OutstandingCalls {
    fencing_token: u64,
    max_concurrent: usize,
    /// Calls that the embedder has not taken yet.
    queued: Vec<WorkerCall>,
    in_flight: usize,
    starts_in_flight: usize,
    /// Starts that timed out and whose calls have no result yet; not in `starts_in_flight`.
    starts_in_doubt: BTreeSet<RunId>,
    start_deadlines: BTreeSet<StartDeadline>,
}

impl OutstandingCalls {
    pub(crate) fn new(fencing_token: u64, max_concurrent: usize) -> Self {
        OutstandingCalls {
            fencing_token,
            max_concurrent,
            queued: Vec::new(),
            in_flight: 0,
            starts_in_flight: 0,
            starts_in_doubt: BTreeSet::new(),
            start_deadlines: BTreeSet::new(),
        }
    }

    /// Queues a call to a worker. Does nothing if the worker's address is not known.
    pub(crate) fn enqueue(&mut self, worker: &Worker, request: WorkerRequest, timeout_ms: u64) {
        if worker.address().is_empty() {
            return;
        }
        self.in_flight += 1;
        self.starts_in_flight += usize::from(matches!(request, WorkerRequest::Start { .. }));
        self.queued.push(WorkerCall {
            worker_id: worker.id().clone(),
            address: worker.address().clone(),
            request,
            timeout_ms,
            fencing_token: self.fencing_token,
        });
    }

    /// Handles the result of a call, which is no longer in flight.
    pub(crate) fn complete(&mut self, request: &WorkerRequest) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let WorkerRequest::Start { task, run, .. } = request else { return };
        if !self.starts_in_doubt.remove(&RunId { task: *task, run: *run }) {
            self.starts_in_flight = self.starts_in_flight.saturating_sub(1);
        }
    }

    /// Marks a start that timed out before its call had a result: it no longer counts as a start in
    /// flight, while its call still counts as a call in flight.
    pub(crate) fn mark_start_in_doubt(&mut self, run: RunId) {
        if self.starts_in_doubt.insert(run) {
            self.starts_in_flight = self.starts_in_flight.saturating_sub(1);
        }
    }

    /// Takes the calls that were queued since the last call of this function.
    pub(crate) fn take_calls(&mut self) -> Vec<WorkerCall> {
        std::mem::take(&mut self.queued)
    }

    /// The number of calls without a result.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// The number of starts without a result that have not timed out.
    pub(crate) fn starts_in_flight(&self) -> usize {
        self.starts_in_flight
    }

    /// The number of starts that timed out and whose calls have no result yet.
    pub(crate) fn starts_in_doubt(&self) -> usize {
        self.starts_in_doubt.len()
    }

    /// The limit on calls in flight; see [`crate::SchedulerConfig::max_concurrent_calls`].
    pub(crate) fn max_concurrent(&self) -> usize {
        self.max_concurrent
    }

    /// The number of calls that may be queued before the limit on calls in flight is reached.
    pub(crate) fn remaining(&self) -> usize {
        self.max_concurrent.saturating_sub(self.in_flight)
    }

    /// Sets the time at which a start times out, monotonic milliseconds.
    pub(crate) fn set_start_deadline(&mut self, due_at_ms: u64, run: RunId) {
        self.start_deadlines.insert(StartDeadline { due_at_ms, run });
    }

    /// Removes the earliest start deadline if it has passed, and returns its run.
    pub(crate) fn pop_start_deadline(&mut self, now_ms: u64) -> Option<RunId> {
        if now_ms < self.start_deadlines.first()?.due_at_ms {
            return None;
        }
        self.start_deadlines.pop_first().map(|deadline| deadline.run)
    }
}
