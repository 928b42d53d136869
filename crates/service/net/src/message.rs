//! What reaches the driver.
use crate::clients::Arrival;
use crate::relay::{Kin, Link};
use crate::wire::Notice;
use bytes::Bytes;
use spanlead_engine::{Durability, Input, Reply, Tale};
use spanlead_wal::{Progress, Writer};
use std::os::fd::OwnedFd;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// What reaches the driver.
pub enum Message {
    Arrival(Arrival),
    /// A worker's notice: its text, the link that it came over, and who waits to hear that it has arrived.
    Notice {
        notice: Notice,
        body: Bytes,
        from: Option<Link>,
        heard: Option<oneshot::Sender<Reply>>,
    },
    Kin(Kin),
    /// The predecessor has handed over an open request: what became of it so far, its text and its client's socket.
    Adopted {
        tale: Tale,
        text: Bytes,
        socket: OwnedFd,
    },
    Input(Input),
    /// The ledger was read, and can be written to; or why not.
    Ledger(Result<Box<(Durability, Writer)>, String>),
    /// How far the ledger is durable.
    Progress(Progress),
}

/// Has something counted that came in and can't be used, by this reason.
pub(crate) fn bad_input(to: &UnboundedSender<Message>, why: &'static str) {
    let _ = to.send(Message::Input(Input::BadInput { why }));
}
