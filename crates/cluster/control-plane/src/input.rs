//! The inputs of a node, and its replies to operators.
use crate::worker_list::WorkerListError;
use async_std::channel::Sender;
use spanlead_cluster_runtime::frame::Frame;
use spanlead_job_scheduler::{JobId, ListedWorker, WorkerCall, WorkerResponse};

/// A reply to an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorReply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
    /// The URL to redirect to, for status 307.
    pub location: Option<String>,
}

impl OperatorReply {
    /// Creates a reply without a redirect.
    #[must_use]
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        OperatorReply { status, body: body.into(), location: None }
    }
}

/// An operator's query of a node's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusQuery {
    /// The members of the control plane.
    Members,
    /// All workers.
    Workers,
    /// The numbers of jobs, pending units (tasks and gangs that wait to be placed), active runs and
    /// events.
    Jobs,
    /// One job.
    Job(JobId),
    /// The metrics of this process. They are available whether or not the node is primary.
    Metrics,
}

/// An operator's request to replace the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplaceRequest {
    /// The version that the new configuration replaces.
    pub base_version: u64,
    /// The text of the new configuration.
    pub text: String,
}

/// An input of a node.
#[derive(Debug)]
pub enum Input {
    /// A received frame, and the channel for replies if its connection accepts replies.
    Frame(Frame, Option<Sender<Frame>>),
    /// All records up to the one with this write token are on disk.
    Written(u64),
    /// The connection to the peer at this address was lost.
    PeerDisconnected(String),
    /// The result of a call to a worker.
    WorkerResponse(WorkerCall, WorkerResponse),
    /// The result of reading the platform's list of workers.
    WorkerList(Result<Vec<ListedWorker>, WorkerListError>),
    /// An operator's request to replace the configuration.
    ReplaceConfiguration(ReplaceRequest, Sender<OperatorReply>),
    /// An operator's request to read the configuration.
    ReadConfiguration(Sender<OperatorReply>),
    /// An operator's query of the node's state.
    QueryStatus(StatusQuery, Sender<OperatorReply>),
    /// The request to shut the process down.
    Terminate,
}

impl Input {
    /// Returns whether this is an input of the replication protocol. All of these are urgent, so
    /// that they stay in order among themselves.
    pub(crate) fn is_urgent(&self) -> bool {
        matches!(
            self,
            Input::Frame(Frame::Replication(_), _) | Input::Written(_) | Input::PeerDisconnected(_)
        )
    }
}
