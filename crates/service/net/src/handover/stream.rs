//! Reading and writing frames on a Unix socket, with file descriptors beside the bytes.
use super::frame::{FRAME_HEAD_BYTES, Frame, FrameHead};
use bytes::BytesMut;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;
use tokio::io::Interest;
use tokio::net::UnixStream;

/// Bytes that are read at a time.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// A frame that was read.
pub(super) struct ReceivedFrame {
    pub number: u64,
    pub frame: Frame,
    /// The socket that came beside a request.
    pub socket: Option<OwnedFd>,
}

/// The reading side of a link. Sockets that come beside the bytes are kept in their order.
pub(super) struct FrameReader {
    stream: Arc<UnixStream>,
    buffer: BytesMut,
    sockets: VecDeque<OwnedFd>,
}

impl FrameReader {
    pub(super) fn new(stream: Arc<UnixStream>) -> Self {
        FrameReader { stream, buffer: BytesMut::new(), sockets: VecDeque::new() }
    }

    /// The next frame.
    ///
    /// # Errors
    /// If the stream has ended, or brings what is no frame.
    pub(super) async fn next(&mut self) -> io::Result<ReceivedFrame> {
        self.fill_to(FRAME_HEAD_BYTES).await?;
        let head = FrameHead::decode(self.buffer.split_to(FRAME_HEAD_BYTES))?;
        self.fill_to(head.body_bytes).await?;
        let body = self.buffer.split_to(head.body_bytes).freeze();
        let frame = Frame::decode(&head, body)?;
        let socket = match frame {
            Frame::Request(_) => self.sockets.pop_front(),
            Frame::Reply(_) | Frame::Notice(_) => None,
        };
        Ok(ReceivedFrame { number: head.number, frame, socket })
    }

    async fn fill_to(&mut self, length: usize) -> io::Result<()> {
        while self.buffer.len() < length {
            self.fill().await?;
        }
        Ok(())
    }

    async fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            self.stream.readable().await?;
            let read = self
                .stream
                .try_io(Interest::READABLE, || receive(&self.stream, &mut chunk, &mut self.sockets));
            match read {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(length) => {
                    self.buffer.extend_from_slice(&chunk[..length]);
                    return Ok(());
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// Reads bytes, and the sockets beside them.
fn receive(stream: &UnixStream, chunk: &mut [u8], sockets: &mut VecDeque<OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut into = [IoSliceMut::new(chunk)];
    let read = recvmsg(stream, &mut into, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(received) = message {
            sockets.extend(received);
        }
    }
    Ok(read.bytes)
}

/// Writes bytes, with a socket beside the first of them.
///
/// # Errors
/// If the stream has ended.
pub(super) async fn write_frame(
    stream: &UnixStream,
    mut bytes: &[u8],
    mut socket: Option<OwnedFd>,
) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        let written = stream.try_io(Interest::WRITABLE, || send(stream, bytes, socket.as_ref()));
        match written {
            Ok(length) => (bytes, socket) = (&bytes[length..], None),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn send(stream: &UnixStream, bytes: &[u8], socket: Option<&OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let socket = socket.map(AsFd::as_fd);
    if let Some(socket) = &socket {
        ancillary.push(SendAncillaryMessage::ScmRights(std::slice::from_ref(socket)));
    }
    Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut ancillary, SendFlags::NOSIGNAL)?)
}
