//! Calls to workers: those to be made, those without response yet, and when starts time out.
use crate::ids::RunId;
use crate::protocol::{WorkerCall, WorkerRequest};
use crate::workers::Worker;
use std::collections::BTreeSet;

/// When a start times out. The call itself goes on: a response that comes later still counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StartDeadline {
    due_at_ms: u64,
    run: RunId,
}

/// Calls to workers.
///
/// `in_flight` counts the calls whose result was not returned yet, also those that wait in
/// `calls`; so a result must be returned for each call exactly once, which the embedder does.
#[derive(Debug)]
pub(crate) struct OutstandingCalls {
    fencing_token: u64,
    max_concurrent: usize,
    calls: Vec<WorkerCall>,
    in_flight: usize,
    starts_in_flight: usize,
    /// Starts that timed out and whose calls have no result yet.
    starts_in_doubt: BTreeSet<RunId>,
    start_deadlines: BTreeSet<StartDeadline>,
}

impl OutstandingCalls {
    pub(crate) fn new(fencing_token: u64, max_concurrent: usize) -> Self {
        OutstandingCalls {
            fencing_token,
            max_concurrent,
            calls: Vec::new(),
            in_flight: 0,
            starts_in_flight: 0,
            starts_in_doubt: BTreeSet::new(),
            start_deadlines: BTreeSet::new(),
        }
    }

    /// Has a worker called. One whose address is not known can't be, and is not.
    pub(crate) fn send(&mut self, worker: &Worker, request: WorkerRequest, timeout_ms: u64) {
        if worker.address().is_empty() {
            return;
        }
        self.in_flight += 1;
        self.starts_in_flight += usize::from(matches!(request, WorkerRequest::Start { .. }));
        self.calls.push(WorkerCall {
            worker_id: worker.id().clone(),
            address: worker.address().clone(),
            request,
            timeout_ms,
            fencing_token: self.fencing_token,
        });
    }

    /// The result of a call was returned.
    pub(crate) fn complete(&mut self, request: &WorkerRequest) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let WorkerRequest::Start { task, run, .. } = request else { return };
        if !self.starts_in_doubt.remove(&RunId { task: *task, run: *run }) {
            self.starts_in_flight = self.starts_in_flight.saturating_sub(1);
        }
    }

    /// A start whose call has no result yet timed out: it no longer counts as in flight.
    pub(crate) fn doubt_start(&mut self, run: RunId) {
        if self.starts_in_doubt.insert(run) {
            self.starts_in_flight = self.starts_in_flight.saturating_sub(1);
        }
    }

    /// The calls to be made since this was last called.
    pub(crate) fn take_calls(&mut self) -> Vec<WorkerCall> {
        std::mem::take(&mut self.calls)
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Starts that have not timed out.
    pub(crate) fn starts_in_flight(&self) -> usize {
        self.starts_in_flight
    }

    /// Starts that timed out and whose calls go on.
    pub(crate) fn starts_in_doubt(&self) -> usize {
        self.starts_in_doubt.len()
    }

    /// The largest number of calls in flight.
    pub(crate) fn max_concurrent(&self) -> usize {
        self.max_concurrent
    }

    /// Calls that may still be made now.
    pub(crate) fn remaining(&self) -> usize {
        self.max_concurrent.saturating_sub(self.in_flight)
    }

    /// Sets when a start times out.
    pub(crate) fn set_start_deadline(&mut self, due_at_ms: u64, run: RunId) {
        self.start_deadlines.insert(StartDeadline { due_at_ms, run });
    }

    /// Removes the earliest deadline that has passed, and returns its run.
    pub(crate) fn pop_start_deadline(&mut self, now_ms: u64) -> Option<RunId> {
        if now_ms < self.start_deadlines.first()?.due_at_ms {
            return None;
        }
        self.start_deadlines.pop_first().map(|deadline| deadline.run)
    }
}
