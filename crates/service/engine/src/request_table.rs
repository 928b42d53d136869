//! The open requests, and counts of ended requests by result.
//!
//! Invariants:
//! - `by_job_id` maps the job id of each open request to its request id;
//! - each client that waits for another client's request is in `joined` and in the `joined` list of
//!   that request;
//! - `pending` is the number of clients that wait for an answer.
use crate::input::AttemptId;
use crate::{Answer, RequestCounts};
use spanlead_balancing_policy::{Nanos, Outcome, RequestId};
use spanlead_durable_jobs::{FencingToken, JobNumber};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The stage of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptStage {
    /// Dispatched; the worker has not yet accepted the job.
    Dispatched,
    /// The worker has accepted the job.
    Accepted,
    /// Being cancelled; the attempt ends with this outcome once the worker has confirmed or the
    /// call to it was given up.
    Cancelling(Outcome),
    /// Ended.
    Ended,
}

/// An attempt at a worker.
pub(crate) struct Attempt {
    pub(crate) worker: Arc<str>,
    pub(crate) addr: SocketAddr,
    pub(crate) sent: Nanos,
    pub(crate) stage: AttemptStage,
    /// Whether the job may have run at the worker; meaningful once the attempt has ended.
    pub(crate) may_have_run: bool,
    /// The fencing token of its lease, if the job is durable.
    pub(crate) token: Option<FencingToken>,
    /// The latest time until which the worker may hold the lease to be valid; `None` if the worker
    /// does not support leases.
    pub(crate) lease_until: Option<Nanos>,
}

/// A client that waits for the answer to another client's request.
pub(crate) struct JoinedClient {
    pub(crate) request_id: RequestId,
    pub(crate) job_id: Arc<str>,
}

/// An open request.
pub(crate) struct Request {
    pub(crate) job_id: Arc<str>,
    pub(crate) class: u32,
    pub(crate) deadline: Nanos,
    pub(crate) answered: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// Number of its durable job, if the job is durable.
    pub(crate) durable: Option<JobNumber>,
    /// Whether the client that sent it still waits.
    pub(crate) client_waits: bool,
    pub(crate) joined: Vec<JoinedClient>,
}

impl Request {
    /// Whether the request is answered and no attempt is pending.
    fn is_done(&self) -> bool {
        self.answered && self.attempts.iter().all(|attempt| attempt.stage == AttemptStage::Ended)
    }

    /// Whether another process can take the request over: no dispatch or cancellation is in
    /// progress.
    fn can_be_handed_over(&self) -> bool {
        let is_settled =
            |attempt: &Attempt| matches!(attempt.stage, AttemptStage::Accepted | AttemptStage::Ended);
        !self.answered && self.attempts.iter().all(is_settled)
    }
}

/// The open requests.
pub(crate) struct RequestTable {
    open: HashMap<RequestId, Request>,
    by_job_id: HashMap<Arc<str>, RequestId>,
    /// For each joined client, the request that it waits for.
    joined: HashMap<RequestId, RequestId>,
    /// Ended requests by result, by class.
    counts: Vec<RequestCounts>,
    pending: usize,
    /// The maximum number of open requests.
    pub(crate) max_open: usize,
}

impl RequestTable {
    pub(crate) fn new(max_open: usize, classes: usize) -> Self {
        RequestTable {
            open: HashMap::new(),
            by_job_id: HashMap::new(),
            joined: HashMap::new(),
            counts: vec![RequestCounts::default(); classes],
            pending: 0,
            max_open,
        }
    }

    /// Adds counters for this many new classes.
    pub(crate) fn add_classes(&mut self, classes: usize) {
        self.counts.resize(self.counts.len() + classes, RequestCounts::default());
    }

    /// Ended requests by result, by class.
    pub(crate) fn counts(&self) -> &[RequestCounts] {
        &self.counts
    }

    /// The number of clients that wait for an answer.
    pub(crate) fn pending(&self) -> usize {
        self.pending
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.open.len() >= self.max_open
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RequestId, &Request)> {
        self.open.iter()
    }

    pub(crate) fn get(&self, request_id: RequestId) -> Option<&Request> {
        self.open.get(&request_id)
    }

    pub(crate) fn get_mut(&mut self, request_id: RequestId) -> Option<&mut Request> {
        self.open.get_mut(&request_id)
    }

    /// The id of the open request of a job.
    pub(crate) fn id_of_job(&self, job_id: &str) -> Option<RequestId> {
        self.by_job_id.get(job_id).copied()
    }

    pub(crate) fn attempt(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.get(attempt.request)?.attempts.get(attempt.number as usize)
    }

    pub(crate) fn attempt_mut(&mut self, attempt: AttemptId) -> Option<&mut Attempt> {
        self.get_mut(attempt.request)?.attempts.get_mut(attempt.number as usize)
    }

    pub(crate) fn stage(&self, attempt: AttemptId) -> Option<AttemptStage> {
        Some(self.attempt(attempt)?.stage)
    }

    pub(crate) fn set_stage(&mut self, attempt: AttemptId, stage: AttemptStage) {
        if let Some(attempt) = self.attempt_mut(attempt) {
            attempt.stage = stage;
        }
    }

    /// Adds an open request.
    pub(crate) fn insert(&mut self, request_id: RequestId, request: Request) {
        self.by_job_id.insert(request.job_id.clone(), request_id);
        self.pending += usize::from(request.client_waits);
        self.open.insert(request_id, request);
    }

    /// Removes a request that is answered and has no pending attempt.
    pub(crate) fn remove_done(&mut self, request_id: RequestId) -> Option<Request> {
        self.open.get(&request_id).filter(|request| request.is_done())?;
        let request = self.open.remove(&request_id)?;
        self.by_job_id.remove(&request.job_id);
        Some(request)
    }

    /// The requests that another process can take over.
    pub(crate) fn ready_for_handover(&self) -> Vec<RequestId> {
        let ready = self.open.iter().filter(|(_, request)| request.can_be_handed_over());
        ready.map(|(request_id, _)| *request_id).collect()
    }

    /// Removes a request that another process takes over, together with its clients.
    pub(crate) fn remove_handed_over(&mut self, request_id: RequestId) -> Option<Request> {
        let request = self.open.remove(&request_id)?;
        self.by_job_id.remove(&request.job_id);
        self.pending -= usize::from(request.client_waits) + request.joined.len();
        for client in &request.joined {
            self.joined.remove(&client.request_id);
        }
        Some(request)
    }

    /// Adds a client that waits for the answer to another client's request. Returns `false` if that
    /// request is answered or no longer open.
    pub(crate) fn join(&mut self, first: RequestId, client: JoinedClient) -> bool {
        let Some(request) = self.open.get_mut(&first).filter(|request| !request.answered) else {
            return false;
        };
        self.joined.insert(client.request_id, first);
        request.joined.push(client);
        self.pending += 1;
        true
    }

    /// Removes a joined client and counts its request as failed. Returns whether there was one.
    pub(crate) fn remove_joined(&mut self, request_id: RequestId) -> bool {
        let Some(first) = self.joined.remove(&request_id) else { return false };
        let Some(request) = self.open.get_mut(&first) else { return false };
        request.joined.retain(|client| client.request_id != request_id);
        let class = request.class;
        self.pending -= 1;
        self.count(class, &Answer::Failed);
        true
    }

    /// Removes and returns the clients that joined this request, and counts the answer for each.
    pub(crate) fn take_joined(&mut self, request_id: RequestId, answer: &Answer) -> Vec<JoinedClient> {
        let Some(request) = self.open.get_mut(&request_id) else { return Vec::new() };
        let class = request.class;
        let joined = std::mem::take(&mut request.joined);
        for client in &joined {
            self.joined.remove(&client.request_id);
            self.pending -= 1;
            self.count(class, answer);
        }
        joined
    }

    /// Lets the request continue without the client that sent it; counts as failed for that client.
    pub(crate) fn detach_client(&mut self, request_id: RequestId) {
        let Some(request) = self.open.get_mut(&request_id).filter(|request| request.client_waits) else {
            return;
        };
        request.client_waits = false;
        let class = request.class;
        self.pending -= 1;
        self.count(class, &Answer::Failed);
    }

    /// Marks a request as answered and, if its client waits, counts the answer. Returns `false` if
    /// the request was answered before.
    pub(crate) fn mark_answered(&mut self, request_id: RequestId, answer: &Answer) -> bool {
        let Some(request) = self.open.get_mut(&request_id).filter(|request| !request.answered) else {
            return false;
        };
        request.answered = true;
        let (class, client_waits) = (request.class, request.client_waits);
        if client_waits {
            self.pending -= 1;
            self.count(class, answer);
        }
        true
    }

    /// Counts an answer to a request of this class.
    pub(crate) fn count(&mut self, class: u32, answer: &Answer) {
        let Some(counts) = self.counts.get_mut(class as usize) else { return };
        match answer {
            Answer::Succeeded(_) => counts.completed += 1,
            Answer::Rejected { .. } => counts.rejected += 1,
            Answer::Failed | Answer::Unprocessable | Answer::DuplicateId | Answer::KeyMismatch => {
                counts.failed += 1;
            }
        }
    }
}
