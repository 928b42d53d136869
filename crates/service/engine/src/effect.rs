//! The effects of the engine: everything that it wants read, written or sent.
use crate::input::AttemptId;
use crate::snapshot::RequestSnapshot;
use bytes::Bytes;
use spanlead_balancing_policy::{Nanos, RequestId};
use spanlead_durable_jobs::{JobNumber, Record};
use std::net::SocketAddr;
use std::sync::Arc;

/// The answer to a worker's notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeReply {
    /// The notice was taken.
    Acknowledged {
        /// For how long the worker's lease is valid from when it sent the notice.
        lease: Option<Nanos>,
    },
    /// The worker's lease is over: it must stop, and its result is not used.
    Fenced,
}

/// A lease as its worker gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The fencing token.
    pub token: u64,
    /// For how long it is valid from when the worker has received it.
    pub duration: Nanos,
}

/// A request's one final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The job is done, with this result.
    Served(String),
    /// Nothing has run; the client may try again.
    Rejected {
        /// After this time, if the deployment gives such advice.
        retry_after: Option<Nanos>,
    },
    /// The job has failed, or may have run without a result.
    Failed,
    /// A worker says that it cannot process the request.
    Unprocessable,
    /// The id is that of a request that is still open.
    DuplicateId,
    /// The idempotency key was used for another request.
    KeyMismatch,
}

/// Everything that the engine wants done.
#[derive(Debug)]
pub enum Effect {
    /// The request belongs to the successor process from now on.
    HandOverRequest {
        /// The request.
        request_id: RequestId,
        /// What the successor must know of it.
        snapshot: RequestSnapshot,
    },
    /// Answers a client.
    Answer {
        /// The client's request.
        request_id: RequestId,
        /// The answer.
        answer: Answer,
        /// The durable job whose answer it is, if its delivery is to be recorded.
        job: Option<JobNumber>,
    },
    /// Dispatches an attempt to a worker.
    SendAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The worker's address.
        addr: SocketAddr,
        /// When the dispatch is given up.
        until: Nanos,
        /// The lease on a durable job.
        lease: Option<LeaseGrant>,
        /// The encoded request, where no client's request is at hand.
        encoded_request: Option<Bytes>,
    },
    /// Appends a record to the log of durable jobs.
    AppendRecord(Record),
    /// Performs the effect when all records appended so far are durable.
    AfterDurable {
        /// What is performed then.
        effect: Box<Effect>,
        /// If the records are not durable by then, it is too late for the effect.
        until: Nanos,
    },
    /// Answers a worker's notice.
    Acknowledge {
        /// The driver's number of the notice.
        notice_id: u64,
        /// The answer.
        reply: NoticeReply,
    },
    /// The log's records before this one are not needed any more.
    TruncateLog {
        /// The oldest record that is needed.
        oldest_needed_lsn: u64,
    },
    /// Cancels an attempt and tells its worker.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The worker's address.
        addr: SocketAddr,
        /// The job's id.
        job_id: Arc<str>,
        /// The worker has accepted the job.
        accepted: bool,
        /// When the worker is not called any longer.
        until: Nanos,
    },
    /// Checks a worker's health.
    HealthCheck {
        /// The worker's name.
        worker: Arc<str>,
        /// The worker's address.
        addr: SocketAddr,
        /// When the check counts as timed out.
        until: Nanos,
    },
    /// Closes the idle connections to a worker.
    CloseIdleConnections {
        /// The worker's address.
        addr: SocketAddr,
    },
    /// Sends a datagram to another scheduler.
    SendPeerMessage {
        /// The peer's index; all peers if there is none.
        peer: Option<u32>,
        /// Its bytes.
        data: Vec<u8>,
    },
    /// Makes the call that a role's holder owes, with its term.
    CallRole {
        /// The role's number.
        role: usize,
        /// The term of the lease on the role.
        term: u64,
        /// The address that is called.
        addr: SocketAddr,
        /// The path that is called.
        path: Arc<str>,
        /// When the call is given up.
        until: Nanos,
    },
    /// This scheduler has taken or lost a singleton role.
    RoleChanged {
        /// The role's name.
        name: String,
        /// What happened.
        change: spanlead_singleton_roles::LeaseChange,
    },
    /// The state of another scheduler has changed.
    MemberChanged(spanlead_membership::MemberStateChange),
    /// Watches discovery for versions of the endpoint list after this one, in place of any watch
    /// under way.
    WatchEndpoints {
        /// The address of discovery.
        addr: SocketAddr,
        /// The version that is known.
        version: u64,
    },
    /// Fetches the full endpoint list once.
    FetchEndpoints {
        /// The address of discovery.
        addr: SocketAddr,
    },
    /// Writes a line to the log for operators.
    Log(String),
    /// A version of an inventory is not used.
    InventoryRejected {
        /// The inventory's name.
        name: Arc<str>,
        /// The version's number.
        version: u64,
        /// Why.
        reason: String,
    },
}
