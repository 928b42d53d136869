//! What reaches the driver.
use crate::clients::ReceivedRequest;
use crate::handover::{PeerProcessEvent, ProcessLink};
use crate::wire::NoticeBody;
use bytes::Bytes;
use spanlead_engine::{DurableSetup, Input, NoticeReply, RequestSnapshot};
use spanlead_wal::{CommitProgress, LogWriter};
use std::os::fd::OwnedFd;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// What reaches the driver.
pub enum Message {
    RequestReceived(ReceivedRequest),
    /// A worker's notice: its text, the link that it came over, and who waits to hear that it has arrived.
    Notice {
        notice: NoticeBody,
        body: Bytes,
        from: Option<ProcessLink>,
        heard: Option<oneshot::Sender<NoticeReply>>,
    },
    PeerProcess(PeerProcessEvent),
    /// The predecessor has handed over an open request: what became of it so far, its text and its client's socket.
    RequestHandedOver {
        snapshot: RequestSnapshot,
        text: Bytes,
        socket: OwnedFd,
    },
    Input(Input),
    /// The ledger was read, and can be written to; or why not.
    DurableJobsOpened(Result<Box<(DurableSetup, LogWriter)>, String>),
    /// How far the ledger is durable.
    LogProgress(CommitProgress),
}

/// Has something counted that came in and can't be used, by this reason.
pub(crate) fn bad_input(to: &UnboundedSender<Message>, reason: &'static str) {
    let _ = to.send(Message::Input(Input::InvalidInput { reason }));
}
