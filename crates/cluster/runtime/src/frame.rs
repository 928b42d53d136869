//! The messages between processes of the system.
//!
//! `rkyv` serialises messages by the order and the types of variants and fields, so these must not
//! change while processes of two versions run side by side. Names may change.
#![allow(missing_docs, reason = "the types that rkyv derives from these have undocumented fields")]
use crate::freshness::FreshnessToken;
use rkyv::{Archive, Deserialize, Serialize};
use spanlead_cluster_config::DataPlaneConfiguration;
use spanlead_job_scheduler::JobSpec;
use spanlead_replication::{Envelope, TrafficClass};

/// The operation that a client requests on a job or queue.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum ClientOperation {
    /// Submit a job.
    Submit(JobSpec),
    /// Query the state of a job or the number of pending jobs of a queue.
    Query,
    /// Cancel a job.
    Cancel,
}

/// A client's request, forwarded by a data plane to the primary.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Identifies the request in its response. Unique within the data plane process.
    pub request_id: u64,
    /// The host in the client's request, without the port.
    pub host: String,
    /// The path in the client's request: the prefix of the queue and the ID of the job.
    pub path: String,
    /// The requested operation.
    pub operation: ClientOperation,
}

/// The control plane's response to a [`ClientRequest`].
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ClientResponse {
    /// The [`ClientRequest::request_id`] of the request.
    pub request_id: u64,
    /// The HTTP status code, or [`ClientResponse::NOT_PRIMARY`].
    pub status: u16,
    /// The response body.
    pub body: String,
}

impl ClientResponse {
    /// Status of a response from a node that is not the primary: the request has to be retried at
    /// another node.
    pub const NOT_PRIMARY: u16 = 0;
    /// Body that accompanies [`ClientResponse::NOT_PRIMARY`] if the node did not start to execute
    /// the request. A node that stopped being primary during the execution, or that runs the
    /// previous version, sends an empty body: the request may have been committed.
    const NOT_EXECUTED_BODY: &'static str = "not taken";

    /// The request ID of a response that carries a [`FreshnessToken`]. No request has it, so that
    /// data planes of the previous version ignore such a response.
    const TOKEN_REQUEST_ID: u64 = 0;

    /// Creates the response that carries a token to a data plane. The node that sends it accepts
    /// [`Frame::FreshClientRequest`].
    #[must_use]
    pub fn with_token(token: FreshnessToken) -> Self {
        ClientResponse {
            request_id: Self::TOKEN_REQUEST_ID,
            status: Self::NOT_PRIMARY,
            body: token.to_text(),
        }
    }

    /// Returns the token that the response carries; `None` if it is the response to a request.
    #[must_use]
    pub fn token(&self) -> Option<FreshnessToken> {
        if self.request_id == Self::TOKEN_REQUEST_ID { FreshnessToken::from_text(&self.body) } else { None }
    }

    /// Creates the response of a node that is not the primary and so did not start to execute the
    /// request.
    #[must_use]
    pub fn not_executed(request_id: u64) -> Self {
        ClientResponse { request_id, status: Self::NOT_PRIMARY, body: Self::NOT_EXECUTED_BODY.to_owned() }
    }

    /// Creates the response of a node that stopped being primary before it saw the request
    /// committed: it is unknown whether the request takes effect.
    #[must_use]
    pub fn outcome_unknown(request_id: u64) -> Self {
        ClientResponse { request_id, status: Self::NOT_PRIMARY, body: String::new() }
    }

    /// Returns whether the request certainly had no effect at the node that responded.
    #[must_use]
    pub fn is_not_executed(&self) -> bool {
        self.status == Self::NOT_PRIMARY && self.body == Self::NOT_EXECUTED_BODY
    }
}

/// The primary and the members of the control plane, as known to one of its nodes.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Directory {
    /// The epoch of the view. A directory of a higher epoch replaces one of a lower epoch.
    pub epoch: u64,
    /// The peer address of the primary.
    pub primary: String,
    /// The peer addresses of all members.
    pub members: Vec<String>,
}

/// A message between processes.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Frame {
    /// A message of the replication protocol between members of the control plane.
    Replication(Envelope),
    /// Subscribes a data plane to the directory and the configuration.
    Hello {
        /// The name of the data plane's machine.
        node: String,
        /// The peer address of the data plane, at which other data planes reach it.
        peer: String,
        /// The version of the configuration that the data plane has; 0 for none.
        version: u64,
    },
    /// The current primary and members of the control plane.
    Directory(Directory),
    /// The part of the current configuration that data planes need.
    Configuration(DataPlaneConfiguration),
    /// A client's request, from a data plane to the control plane.
    ClientRequest(ClientRequest),
    /// The response to a [`Frame::ClientRequest`].
    ClientResponse(ClientResponse),
    /// The peer addresses of the data planes with which the receiver exchanges gossip.
    GossipPeers(Vec<String>),
    /// A message of the dissemination protocol between data planes.
    Gossip {
        /// The peer address of the sender.
        from: String,
        /// The message.
        message: spanlead_dissemination::Message,
    },
    /// A keep-alive probe, answered with another [`Frame::Ping`].
    Ping,
    /// A client's request with the proof that it is not stale, from a data plane to a node that has
    /// issued a token.
    FreshClientRequest {
        /// The newest token of the node when the data plane found the request recent enough.
        token: FreshnessToken,
        /// The request.
        request: ClientRequest,
    },
}

/// The kind of a frame, by which the metrics count frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// [`Frame::Replication`] of [`TrafficClass::Control`]: leases, votes and other small messages.
    ReplicationControl,
    /// [`Frame::Replication`] of [`TrafficClass::Data`]: batches and repairs.
    ReplicationData,
    /// [`Frame::Hello`].
    Hello,
    /// [`Frame::Directory`].
    Directory,
    /// [`Frame::Configuration`].
    Configuration,
    /// [`Frame::ClientRequest`] and [`Frame::FreshClientRequest`].
    ClientRequest,
    /// [`Frame::ClientResponse`].
    ClientResponse,
    /// [`Frame::GossipPeers`].
    GossipPeers,
    /// [`Frame::Gossip`].
    Gossip,
    /// [`Frame::Ping`].
    Ping,
}

impl FrameKind {
    /// All kinds in the order of their discriminants.
    pub const ALL: [FrameKind; 10] = [
        FrameKind::ReplicationControl,
        FrameKind::ReplicationData,
        FrameKind::Hello,
        FrameKind::Directory,
        FrameKind::Configuration,
        FrameKind::ClientRequest,
        FrameKind::ClientResponse,
        FrameKind::GossipPeers,
        FrameKind::Gossip,
        FrameKind::Ping,
    ];

    /// Returns the value of the metrics' label `kind`.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            FrameKind::ReplicationControl => "replication_control",
            FrameKind::ReplicationData => "replication_data",
            FrameKind::Hello => "hello",
            FrameKind::Directory => "directory",
            FrameKind::Configuration => "configuration",
            FrameKind::ClientRequest => "call",
            FrameKind::ClientResponse => "reply",
            FrameKind::GossipPeers => "peers",
            FrameKind::Gossip => "gossip",
            FrameKind::Ping => "ping",
        }
    }
}

impl Frame {
    /// Returns the kind under which the metrics count the frame.
    #[must_use]
    pub fn kind(&self) -> FrameKind {
        match self {
            Frame::Replication(envelope) => match envelope.message.traffic_class() {
                TrafficClass::Control => FrameKind::ReplicationControl,
                TrafficClass::Data => FrameKind::ReplicationData,
            },
            Frame::Hello { .. } => FrameKind::Hello,
            Frame::Directory(_) => FrameKind::Directory,
            Frame::Configuration(_) => FrameKind::Configuration,
            Frame::ClientRequest(_) | Frame::FreshClientRequest { .. } => FrameKind::ClientRequest,
            Frame::ClientResponse(_) => FrameKind::ClientResponse,
            Frame::GossipPeers(_) => FrameKind::GossipPeers,
            Frame::Gossip { .. } => FrameKind::Gossip,
            Frame::Ping => FrameKind::Ping,
        }
    }
}
