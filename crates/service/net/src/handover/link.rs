//! One link's task: writes what is to be forwarded, and gives the driver what the other process
//! forwards.
use super::frame::Frame;
use super::stream::{FrameReader, ReceivedFrame, write_frame};
use crate::message::{ForwardedMessage, HandedOverRequest, Message, PeerProcessEvent, ProcessLink};
use crate::wire::NoticeBody;
use bytes::{Buf, Bytes};
use spanlead_engine::NoticeReply;
use std::collections::HashMap;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use tokio::net::UnixStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// The reply to a notice that the other process has forwarded.
struct ForwardedReply {
    number: u64,
    reply: NoticeReply,
}

/// A link's state.
struct LinkTask {
    stream: Arc<UnixStream>,
    link: ProcessLink,
    messages: UnboundedSender<Message>,
    /// The number of the last frame that was forwarded.
    last_number: u64,
    /// Who waits for the reply to a forwarded frame, by its number.
    waiting: HashMap<u64, oneshot::Sender<NoticeReply>>,
    /// Where replies to the other process's notices go: a notice is answered when its consequence
    /// is durable.
    replies: UnboundedSender<ForwardedReply>,
}

struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts a link's task; the driver is told when the other process has gone.
pub(super) fn start_link(stream: UnixStream, messages: UnboundedSender<Message>) -> ProcessLink {
    let (link, forwarded) = unbounded_channel();
    let own_link = link.clone();
    tokio::spawn(async move {
        let _ = run_link(stream, forwarded, own_link.clone(), messages.clone()).await;
        let _ = messages.send(Message::PeerProcess(PeerProcessEvent::Disconnected(own_link)));
    });
    link
}

async fn run_link(
    stream: UnixStream,
    mut forwarded: UnboundedReceiver<ForwardedMessage>,
    link: ProcessLink,
    messages: UnboundedSender<Message>,
) -> io::Result<()> {
    let stream = Arc::new(stream);
    let (frames, mut received) = unbounded_channel();
    // It reads beside the writing, so that two full sockets cannot wait for each other, and ends
    // with this.
    let reading = tokio::spawn(read_frames(FrameReader::new(stream.clone()), frames));
    let _reading = AbortOnDrop(reading.abort_handle());
    let (replies, mut replied) = unbounded_channel();
    let mut task = LinkTask { stream, link, messages, last_number: 0, waiting: HashMap::new(), replies };
    loop {
        tokio::select! {
            Some(ForwardedReply { number, reply }) = replied.recv() => {
                task.write(number, &Frame::Reply(reply), None).await?;
            }
            Some(message) = forwarded.recv() => task.forward(message).await?,
            Some(frame) = received.recv() => task.receive(frame?).await?,
        }
    }
}

async fn read_frames(mut reader: FrameReader, frames: UnboundedSender<io::Result<ReceivedFrame>>) {
    loop {
        let frame = reader.next().await;
        let is_end = frame.is_err();
        if frames.send(frame).is_err() || is_end {
            return;
        }
    }
}

impl LinkTask {
    async fn write(&self, number: u64, frame: &Frame, socket: Option<OwnedFd>) -> io::Result<()> {
        write_frame(&self.stream, &frame.encode(number), socket).await
    }

    async fn forward(&mut self, message: ForwardedMessage) -> io::Result<()> {
        self.last_number += 1;
        let number = self.last_number;
        match message {
            ForwardedMessage::Notice { body, reply } => {
                self.waiting.insert(number, reply);
                self.write(number, &Frame::Notice(body), None).await
            }
            ForwardedMessage::Request { request, reply } => {
                self.waiting.insert(number, reply);
                let HandedOverRequest { snapshot, text, socket } = request;
                let snapshot = serde_json::to_vec(&snapshot)?;
                let body = [&snapshot, &b"\n"[..], &text].concat().into();
                self.write(number, &Frame::Request(body), Some(socket)).await
            }
        }
    }

    async fn receive(&mut self, received: ReceivedFrame) -> io::Result<()> {
        let ReceivedFrame { number, frame, socket } = received;
        match frame {
            Frame::Reply(reply) => {
                if let Some(waiting) = self.waiting.remove(&number) {
                    let _ = waiting.send(reply);
                }
                Ok(())
            }
            Frame::Notice(body) => {
                self.receive_notice(number, body);
                Ok(())
            }
            Frame::Request(body) => {
                let request = decode_request(body, socket)?;
                let _ = self.messages.send(Message::RequestHandedOver(request));
                let acknowledged = Frame::Reply(NoticeReply::Acknowledged { lease: None });
                self.write(number, &acknowledged, None).await
            }
        }
    }

    fn receive_notice(&self, number: u64, body: Bytes) {
        let Some(notice) = NoticeBody::decode(&body) else { return };
        let (reply, replied) = oneshot::channel();
        let from = Some(self.link.clone());
        let _ = self.messages.send(Message::Notice { notice, body, from, reply: Some(reply) });
        let replies = self.replies.clone();
        tokio::spawn(async move {
            if let Ok(reply) = replied.await {
                let _ = replies.send(ForwardedReply { number, reply });
            }
        });
    }
}

fn decode_request(mut body: Bytes, socket: Option<OwnedFd>) -> io::Result<HandedOverRequest> {
    let line_end = body.iter().position(|byte| *byte == b'\n').ok_or(io::ErrorKind::InvalidData)?;
    let snapshot = serde_json::from_slice(&body.split_to(line_end))?;
    body.advance(1);
    let socket = socket.ok_or(io::ErrorKind::InvalidData)?;
    Ok(HandedOverRequest { snapshot, text: body, socket })
}
