//! What processes of the system say to one another.
#![allow(missing_docs, reason = "the types that rkyv derives from these have undocumented fields")]
use crate::metrics;
use quick_error::quick_error;
use rkyv::{Archive, Deserialize, Serialize};
use spanlead_cluster_config::DataPlaneConfiguration;
use spanlead_job_scheduler::JobSpec;
use spanlead_replication::{Envelope, TrafficClass};

/// The largest frame that is read, bytes.
pub const MAX_FRAME: usize = 64 << 20;

quick_error! {
    /// Why a frame can't be read.
    #[derive(Debug)]
    pub enum FrameError {
        /// The connection.
        Io(error: std::io::Error) {
            from()
            display("{}", error)
        }
        /// The other side said nothing for too long.
        Silent {
            display("silent")
        }
        /// Not a frame of this version.
        Form {
            display("no frame of this version")
        }
    }
}

/// What a client wants of a job or queue.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Ask {
    /// To hand in a job.
    Submit(JobSpec),
    /// Its state.
    State,
    /// To cancel it.
    Cancel,
}

/// A client's request on its way to the primary.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ClientCall {
    /// Returned with the answer.
    pub serial: u64,
    /// The host that was asked.
    pub host: String,
    /// The path.
    pub path: String,
    /// What is wanted.
    pub ask: Ask,
}

/// The primary's answer.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ClientReply {
    /// Of the request.
    pub serial: u64,
    /// The status, or 0 if this machine can't answer: another try elsewhere is due.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// Who serves, as a control plane's node knows.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Directory {
    /// The view's number.
    pub epoch: u64,
    /// The primary's peer address.
    pub primary: String,
    /// All members' peer addresses.
    pub members: Vec<String>,
}

/// One message between processes.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Frame {
    /// Between members of the control plane.
    Replication(Envelope),
    /// A data plane's process shows itself.
    Hello {
        /// Its name.
        node: String,
        /// Where other data planes reach it.
        peer: String,
        /// The version of the configuration that it has.
        version: u64,
    },
    /// Who serves.
    Directory(Directory),
    /// What data planes need of the configuration that is in force.
    Configuration(DataPlaneConfiguration),
    /// A client's request.
    Call(ClientCall),
    /// Its answer.
    Reply(ClientReply),
    /// The data planes that one should tell and watch.
    Peers(Vec<String>),
    /// Between data planes.
    Gossip {
        /// The sender's peer address.
        from: String,
        /// What it says.
        message: spanlead_dissemination::Message,
    },
    /// Nothing; the connection is alive.
    Ping,
}

/// What a frame is about, as the metrics name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Leases, votes and all else that is small between members of the control plane.
    ReplicationControl,
    /// Batches and repairs.
    ReplicationData,
    /// A data plane's process shows itself.
    Hello,
    /// Who serves.
    Directory,
    /// What data planes need of a configuration.
    Configuration,
    /// A client's request.
    Call,
    /// Its answer.
    Reply,
    /// The data planes that one should tell and watch.
    Peers,
    /// Between data planes.
    Gossip,
    /// Nothing.
    Ping,
}

impl FrameKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [FrameKind; 10] = [
        FrameKind::ReplicationControl,
        FrameKind::ReplicationData,
        FrameKind::Hello,
        FrameKind::Directory,
        FrameKind::Configuration,
        FrameKind::Call,
        FrameKind::Reply,
        FrameKind::Peers,
        FrameKind::Gossip,
        FrameKind::Ping,
    ];

    /// Its name in the metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            FrameKind::ReplicationControl => "replication_control",
            FrameKind::ReplicationData => "replication_data",
            FrameKind::Hello => "hello",
            FrameKind::Directory => "directory",
            FrameKind::Configuration => "configuration",
            FrameKind::Call => "call",
            FrameKind::Reply => "reply",
            FrameKind::Peers => "peers",
            FrameKind::Gossip => "gossip",
            FrameKind::Ping => "ping",
        }
    }
}

impl Frame {
    /// What it is about.
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
            Frame::Call(_) => FrameKind::Call,
            Frame::Reply(_) => FrameKind::Reply,
            Frame::Peers(_) => FrameKind::Peers,
            Frame::Gossip { .. } => FrameKind::Gossip,
            Frame::Ping => FrameKind::Ping,
        }
    }
}

/// A frame's bytes on their way: its length and itself, counted as sent.
#[must_use]
pub fn encode_to_send(frame: &Frame) -> Vec<u8> {
    let bytes = encode(frame);
    metrics::count_sent(frame, bytes.len());
    bytes
}

/// A frame's bytes: its length and itself.
#[must_use]
pub fn encode(frame: &Frame) -> Vec<u8> {
    let body = rkyv::to_bytes::<rkyv::rancor::Error>(frame).map(|b| b.to_vec()).unwrap_or_default();
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads a frame's body.
///
/// # Errors
/// If it is none.
pub fn decode(body: &[u8]) -> Result<Frame, FrameError> {
    rkyv::from_bytes::<Frame, rkyv::rancor::Error>(body).map_err(|_| FrameError::Form)
}
