//! The effects of the engine: the I/O that it asks the driver to perform.
use crate::input::AttemptId;
use crate::snapshot::RequestSnapshot;
use bytes::Bytes;
use spanlead_balancing_policy::{Nanos, RequestId};
use spanlead_durable_jobs::{JobNumber, Record};
use std::net::SocketAddr;
use std::sync::Arc;

/// The reply to a worker's notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeReply {
    /// The notice was processed.
    Acknowledged {
        /// The remaining validity of the worker's lease, counted from when the worker sent the
        /// notice; `None` if the lease is not renewed.
        lease: Option<Nanos>,
    },
    /// The worker's lease is over: the worker must stop the job, and its result is discarded.
    Fenced,
}

/// A lease as granted to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The fencing token.
    pub token: u64,
    /// The lease's validity, counted from when the worker receives it.
    pub duration: Nanos,
}

/// The final answer to a request; each request is answered once.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The job succeeded with this result.
    Succeeded(String),
    /// The request was rejected; the client may retry it safely.
    Rejected {
        /// The delay after which to retry, if one is advised.
        retry_after: Option<Nanos>,
    },
    /// The job failed, or may have run without a known result.
    Failed,
    /// A worker found the request invalid.
    Unprocessable,
    /// Another open request has the same id.
    DuplicateId,
    /// The idempotency key was used before for a different request.
    KeyMismatch,
}

/// An action that the engine asks the driver to perform.
#[derive(Debug)]
pub enum Effect {
    /// Hands a request over to the successor process.
    HandOverRequest {
        /// The request.
        request_id: RequestId,
        /// The state that the successor needs to continue the request.
        snapshot: RequestSnapshot,
    },
    /// Sends a client its answer.
    Answer {
        /// The client's request.
        request_id: RequestId,
        /// The answer.
        answer: Answer,
        /// The durable job that the answer belongs to, if its delivery must be recorded.
        job: Option<JobNumber>,
    },
    /// Dispatches an attempt to a worker.
    SendAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The worker's address.
        addr: SocketAddr,
        /// The time at which the dispatch is given up.
        until: Nanos,
        /// The lease granted to the worker, if the job is durable.
        lease: Option<LeaseGrant>,
        /// The encoded request, if the driver does not hold the request of a waiting client.
        encoded_request: Option<Bytes>,
    },
    /// Appends a record to the log of durable jobs.
    AppendRecord(Record),
    /// Performs an effect once all records appended so far are durable.
    AfterDurable {
        /// The delayed effect.
        effect: Box<Effect>,
        /// The time after which the effect is released as expired if its records are not durable.
        until: Nanos,
    },
    /// Replies to a worker's notice.
    Acknowledge {
        /// The id that the driver gave the notice.
        notice_id: u64,
        /// The reply.
        reply: NoticeReply,
    },
    /// Lets the log remove records that are no longer needed.
    TruncateLog {
        /// Log sequence number of the oldest record that is still needed.
        oldest_needed_lsn: u64,
    },
    /// Cancels an attempt at its worker.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The worker's address.
        addr: SocketAddr,
        /// The job's id.
        job_id: Arc<str>,
        /// Whether the worker has accepted the job.
        accepted: bool,
        /// The time at which the driver stops trying to reach the worker.
        until: Nanos,
    },
    /// Checks a worker's health.
    HealthCheck {
        /// The worker's name.
        worker: Arc<str>,
        /// The worker's address.
        addr: SocketAddr,
        /// The time at which the check times out.
        until: Nanos,
    },
    /// Closes the idle connections to a worker.
    CloseIdleConnections {
        /// The worker's address.
        addr: SocketAddr,
    },
    /// Sends a datagram to another scheduler.
    SendPeerMessage {
        /// The peer's index; `None` sends to all peers.
        peer: Option<u32>,
        /// The datagram's payload.
        data: Vec<u8>,
    },
    /// Makes the periodic call of a singleton role's holder.
    CallRole {
        /// The role's number.
        role: usize,
        /// The term of the lease on the role, sent with the call.
        term: u64,
        /// The address to call.
        addr: SocketAddr,
        /// The path to call.
        path: Arc<str>,
        /// The time at which the call is given up.
        until: Nanos,
    },
    /// Reports that this scheduler acquired or lost a singleton role.
    RoleChanged {
        /// The role's name.
        name: String,
        /// The change.
        change: spanlead_singleton_roles::LeaseChange,
    },
    /// Reports that the state of another scheduler changed.
    MemberChanged(spanlead_membership::MemberStateChange),
    /// Watches discovery for newer versions of the endpoint list, replacing any watch in progress.
    WatchEndpoints {
        /// The address of discovery.
        addr: SocketAddr,
        /// The known version; newer ones are watched for.
        version: u64,
    },
    /// Fetches the full endpoint list once.
    FetchEndpoints {
        /// The address of discovery.
        addr: SocketAddr,
    },
    /// Writes a line to the program's log.
    Log(String),
    /// Reports that a version of an inventory was rejected.
    InventoryRejected {
        /// The inventory's name.
        name: Arc<str>,
        /// The version's number.
        version: u64,
        /// The reason.
        reason: String,
    },
}
