//! What the node is fed, and the replies to operators.
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
    /// The URL to go to instead, for a 307.
    pub location: Option<String>,
}

impl OperatorReply {
    /// A reply without a location.
    #[must_use]
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        OperatorReply { status, body: body.into(), location: None }
    }
}

/// What an operator asks of a node's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusQuery {
    /// The members of the control plane.
    Members,
    /// The workers.
    Workers,
    /// How many jobs, tasks and events there are.
    Jobs,
    /// One job.
    Job(JobId),
    /// The metrics of this process, whether it is primary or not.
    Metrics,
}

/// An operator's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplaceRequest {
    /// The version that it replaces.
    pub base_version: u64,
    /// Its text.
    pub text: String,
}

/// What the node is fed.
#[derive(Debug)]
pub enum Input {
    /// A frame, and where replies to it go, if it was received on a connection that takes them.
    Frame(Frame, Option<Sender<Frame>>),
    /// All records up to that token are on disk.
    Written(u64),
    /// The connection to the peer at this address was lost.
    PeerDisconnected(String),
    /// The result of a call to a worker.
    WorkerResponse(WorkerCall, WorkerResponse),
    /// The result of reading the platform's list of workers.
    WorkerList(Result<Vec<ListedWorker>, WorkerListError>),
    /// An operator replaces the configuration.
    ReplaceConfiguration(ReplaceRequest, Sender<OperatorReply>),
    /// An operator reads the configuration.
    ReadConfiguration(Sender<OperatorReply>),
    /// An operator queries the node's state.
    QueryStatus(StatusQuery, Sender<OperatorReply>),
    /// The process is to shut down.
    Terminate,
}

impl Input {
    /// Whether it belongs to the replication. Those stay in order among themselves.
    pub(crate) fn is_urgent(&self) -> bool {
        matches!(
            self,
            Input::Frame(Frame::Replication(_), _) | Input::Written(_) | Input::PeerDisconnected(_)
        )
    }
}
