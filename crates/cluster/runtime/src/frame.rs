//! The messages between processes of the system.
//!
//! `rkyv` serialises them by the order and the types of variants and fields, so those must stay
//! while processes of two versions run side by side. Names may change.
#![allow(missing_docs, reason = "the types that rkyv derives from these have undocumented fields")]
use rkyv::{Archive, Deserialize, Serialize};
use spanlead_cluster_config::DataPlaneConfiguration;
use spanlead_job_scheduler::JobSpec;
use spanlead_replication::{Envelope, TrafficClass};

/// What a client asks of a job or queue.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum ClientOperation {
    /// Submit a job.
    Submit(JobSpec),
    /// Query the state of a job, or the number of pending jobs of a queue.
    Query,
    /// Cancel a job.
    Cancel,
}

/// A client's request on its way to the primary.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Returned with the response. Unique within the data plane's process.
    pub request_id: u64,
    /// The host that the client addressed, without the port.
    pub host: String,
    /// The path that the client addressed: the queue's prefix and the job's ID.
    pub path: String,
    /// What is asked.
    pub operation: ClientOperation,
}

/// The control plane's response to a [`ClientRequest`].
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ClientResponse {
    /// Of the request.
    pub request_id: u64,
    /// The HTTP status, or [`ClientResponse::NOT_PRIMARY`].
    pub status: u16,
    /// The body.
    pub body: String,
}

impl ClientResponse {
    /// The status of a node that can't answer as it is not primary: a retry elsewhere is due.
    pub const NOT_PRIMARY: u16 = 0;
    /// The body beside [`ClientResponse::NOT_PRIMARY`] of a node that did not begin to carry the
    /// request out. A node that stopped being primary meanwhile, or one of the version before,
    /// sends none: the request may be committed.
    const NOT_EXECUTED_BODY: &'static str = "not taken";

    /// The response of a node that is not primary, and so did not begin to carry the request out.
    #[must_use]
    pub fn not_executed(request_id: u64) -> Self {
        ClientResponse { request_id, status: Self::NOT_PRIMARY, body: Self::NOT_EXECUTED_BODY.to_owned() }
    }

    /// The response of a node that stopped being primary before the request was committed.
    #[must_use]
    pub fn outcome_unknown(request_id: u64) -> Self {
        ClientResponse { request_id, status: Self::NOT_PRIMARY, body: String::new() }
    }

    /// Whether the request surely had no effect at the node that responded.
    #[must_use]
    pub fn is_not_executed(&self) -> bool {
        self.status == Self::NOT_PRIMARY && self.body == Self::NOT_EXECUTED_BODY
    }
}

/// Which node is primary, as a node of the control plane knows.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Directory {
    /// The epoch of the view. A directory of a higher epoch replaces one of a lower.
    pub epoch: u64,
    /// The primary's peer address.
    pub primary: String,
    /// The peer addresses of all members.
    pub members: Vec<String>,
}

/// One message between processes.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Frame {
    /// Between members of the control plane.
    Replication(Envelope),
    /// A data plane subscribes to the directory and the configuration.
    Hello {
        /// The name of its machine.
        node: String,
        /// The address at which other data planes reach it.
        peer: String,
        /// The version of the configuration that it has; 0 for none.
        version: u64,
    },
    /// Which node is primary.
    Directory(Directory),
    /// The part of the configuration in force that data planes need.
    Configuration(DataPlaneConfiguration),
    /// A client's request.
    ClientRequest(ClientRequest),
    /// The response to one.
    ClientResponse(ClientResponse),
    /// Peer addresses of the data planes with which the receiver exchanges gossip.
    GossipPeers(Vec<String>),
    /// Between data planes.
    Gossip {
        /// The sender's peer address.
        from: String,
        /// The message.
        message: spanlead_dissemination::Message,
    },
    /// Shows that the connection is alive; answered with the same.
    Ping,
}

/// The kind of a frame, as the metrics name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Leases, votes and everything else that is small between members of the control plane.
    ReplicationControl,
    /// Batches and repairs.
    ReplicationData,
    /// [`Frame::Hello`].
    Hello,
    /// [`Frame::Directory`].
    Directory,
    /// [`Frame::Configuration`].
    Configuration,
    /// [`Frame::ClientRequest`].
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
    /// All kinds, in the order of their discriminants.
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

    /// The value of the label `kind` in the metrics.
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
    /// The kind under which the frame is counted.
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
            Frame::ClientRequest(_) => FrameKind::ClientRequest,
            Frame::ClientResponse(_) => FrameKind::ClientResponse,
            Frame::GossipPeers(_) => FrameKind::GossipPeers,
            Frame::Gossip { .. } => FrameKind::Gossip,
            Frame::Ping => FrameKind::Ping,
        }
    }
}
