//! What reaches the driver.
use crate::client_connection::ClientConnection;
use crate::wire::{ClientRequest, NoticeBody};
use bytes::Bytes;
use spanlead_balancing_policy::RequestId;
use spanlead_engine::{Answer, DurableSetup, Input, JobRequest, NoticeReply, RequestSnapshot};
use spanlead_wal::{CommitProgress, LogWriter};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// What reaches the driver.
pub enum Message {
    /// A client's request for a job.
    RequestReceived(ReceivedRequest),
    /// A worker's notice.
    Notice {
        /// The notice.
        notice: NoticeBody,
        /// The notice as it came, to be forwarded.
        body: Bytes,
        /// The link that it came over, from another process.
        from: Option<ProcessLink>,
        /// Who waits for its acknowledgement.
        reply: Option<oneshot::Sender<NoticeReply>>,
    },
    /// Another process of this scheduler has come or gone.
    PeerProcess(PeerProcessEvent),
    /// The predecessor has handed over an open request.
    RequestHandedOver(HandedOverRequest),
    /// An input of the engine.
    Input(Input),
    /// The log of durable jobs was read and can be written to, or cannot be used.
    DurableJobsOpened(Result<Box<OpenedDurableJobs>, DurableJobsError>),
    /// How far the log is durable.
    LogProgress(CommitProgress),
}

/// A client's request as it goes to the driver.
pub struct ReceivedRequest {
    /// The request's number.
    pub request_id: RequestId,
    /// The job that it asks for.
    pub job: JobRequest,
    /// What goes on to a worker.
    pub request: ClientRequest,
    /// The connection that it came over.
    pub connection: Arc<ClientConnection>,
    /// Where its answer goes.
    pub reply: oneshot::Sender<Answer>,
}

/// An open request that the predecessor has handed over.
pub struct HandedOverRequest {
    /// What became of it so far.
    pub snapshot: RequestSnapshot,
    /// The request as HTTP.
    pub text: Bytes,
    /// Its client's connection.
    pub socket: OwnedFd,
}

/// The log of durable jobs, read and ready.
pub struct OpenedDurableJobs {
    /// What was read.
    pub setup: DurableSetup,
    /// What writes to the log from now on.
    pub writer: LogWriter,
}

/// Why the log of durable jobs cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("ledger folder {}: {reason}", .folder.display())]
pub struct DurableJobsError {
    /// The log's folder.
    pub folder: PathBuf,
    /// What is wrong with it.
    pub reason: String,
}

/// What goes to another process of this scheduler.
pub enum ForwardedMessage {
    /// A worker's notice, and who waits for its acknowledgement.
    Notice {
        /// The notice as it came.
        body: Bytes,
        /// Who waits.
        reply: oneshot::Sender<NoticeReply>,
    },
    /// An open request.
    Request {
        /// The request.
        request: HandedOverRequest,
        /// Who waits until the other process has it.
        reply: oneshot::Sender<NoticeReply>,
    },
}

/// The way to another process of this scheduler.
pub type ProcessLink = UnboundedSender<ForwardedMessage>;

/// What a link tells the driver.
pub enum PeerProcessEvent {
    /// A process has come to take over from this one.
    SuccessorConnected(ProcessLink),
    /// The process at the other end of this link has gone.
    Disconnected(ProcessLink),
}

/// Has invalid input counted under this reason.
pub(crate) fn report_invalid_input(messages: &UnboundedSender<Message>, reason: &'static str) {
    let _ = messages.send(Message::Input(Input::InvalidInput { reason }));
}
