//! The link between two processes of one scheduler while one takes over from the other. Both accept connections from the
//! same listening socket, so a worker's notice may reach the one that knows nothing of its job: it is passed on over a
//! Unix socket, and the worker is answered when the other process has it. What is still open when the old process is to
//! end goes the same way, with the clients' sockets. The link also tells that the other lives.
use super::wire::{MAX_BODY, NoticeBody};
use crate::Message;
use bytes::{Buf, Bytes, BytesMut};
use rustix::fs::{Mode, OFlags, open};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use spanlead_engine::{NoticeReply, RequestSnapshot};
use std::collections::{HashMap, VecDeque};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

/// The pause before the socket is made again.
const LISTEN_AGAIN: Duration = Duration::from_secs(5);

/// What goes to the other process.
pub enum Forwarded {
    /// A notice, and who waits to hear that it is there.
    Notice { body: Bytes, there: oneshot::Sender<NoticeReply> },
    /// An open request: what became of it so far, its text and its client's socket, and who waits to hear likewise.
    Request { snapshot: RequestSnapshot, text: Bytes, socket: OwnedFd, there: oneshot::Sender<NoticeReply> },
}

/// The way to another process of this scheduler.
pub type ProcessLink = UnboundedSender<Forwarded>;

/// What a link tells the driver.
pub enum PeerProcessEvent {
    /// A process has come to take over from this one.
    Successor(ProcessLink),
    /// The other end of this link's process has gone.
    Gone(ProcessLink),
}

/// Where the processes of this scheduler find each other.
pub fn path(name: &str) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    std::env::temp_dir().join(format!("{}.sock", name.chars().map(plain).collect::<String>()))
}

/// The link to the process that this one takes over from, if there is one. A socket that was left behind refuses.
pub async fn predecessor(path: &Path, to: &UnboundedSender<Message>) -> Option<ProcessLink> {
    let (_folder, short) = by_handle(path).ok()?;
    let stream = UnixStream::connect(short).await.ok()?;
    Some(begin(stream, to.clone()))
}

/// The same place by way of its folder, held open, which has to live as long as the path is used. Guards against a folder
/// whose path is longer than the 107 bytes that a Unix socket's address holds: nobody could take over there.
fn by_handle(path: &Path) -> io::Result<(OwnedFd, PathBuf)> {
    let (Some(folder), Some(name)) = (path.parent(), path.file_name()) else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let folder = open(folder, OFlags::PATH | OFlags::DIRECTORY | OFlags::CLOEXEC, Mode::empty())?;
    let short = Path::new("/proc/self/fd").join(folder.as_raw_fd().to_string()).join(name);
    Ok((folder, short))
}

/// Waits for the process that takes over from this one, again and again: a successor that ends leaves its place to the
/// next.
pub async fn listen(path: PathBuf, to: UnboundedSender<Message>) {
    loop {
        match successor(&path).await {
            Ok(stream) => {
                let link = begin(stream, to.clone());
                let _ = to.send(Message::PeerProcess(PeerProcessEvent::Successor(link.clone())));
                link.closed().await;
            }
            Err(error) => {
                tracing::warn!(path = %path.display(), %error, "no successor could be taken in");
                sleep_until(Instant::now() + LISTEN_AGAIN).await;
            }
        }
    }
}

async fn successor(path: &Path) -> io::Result<UnixStream> {
    // What a process left behind that was killed, or the name of the one before, which has taken this one in.
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let (folder, short) = by_handle(path)?;
    let listener = UnixListener::bind(short)?;
    drop(folder);
    Ok(listener.accept().await?.0)
}

fn begin(stream: UnixStream, to: UnboundedSender<Message>) -> ProcessLink {
    let (link, passed) = unbounded_channel();
    let this = link.clone();
    tokio::spawn(async move {
        let _ = talk(stream, passed, &this, &to).await;
        let _ = to.send(Message::PeerProcess(PeerProcessEvent::Gone(this)));
    });
    link
}

/// What goes over the link, after its number, kind and length.
enum Frame {
    /// What came under that number has been heard, with what its worker is to be told.
    There(NoticeReply),
    Notice(Bytes),
    /// What became of a request so far, as a line of JSON, then its text. Its client's socket comes beside it.
    Request(Bytes),
}

/// The most that a frame holds: a request with a long head and body, and its snapshot.
const MAX_FRAME: usize = 4 * MAX_BODY;
const HEAD: usize = 8 + 1 + 4;

impl Frame {
    fn encode(&self, number: u64) -> Vec<u8> {
        let lease: [u8; 8];
        let (kind, body): (u8, &[u8]) = match self {
            Frame::There(NoticeReply::Acknowledged { lease: None }) => (0, &[]),
            Frame::There(NoticeReply::Acknowledged { lease: Some(span) }) => {
                lease = span.to_be_bytes();
                (0, &lease)
            }
            Frame::Notice(body) => (1, body),
            Frame::Request(body) => (2, body),
            Frame::There(NoticeReply::Fenced) => (3, &[]),
        };
        [&number.to_be_bytes()[..], &[kind], &(body.len() as u32).to_be_bytes(), body].concat()
    }
}

/// The reading side of a link. Sockets that come beside the bytes are kept in their order.
struct Reader {
    stream: Arc<UnixStream>,
    buffer: BytesMut,
    sockets: VecDeque<OwnedFd>,
}

impl Reader {
    /// The next frame and its number.
    async fn next(&mut self) -> io::Result<(u64, Frame)> {
        while self.buffer.len() < HEAD {
            self.fill().await?;
        }
        let mut head = self.buffer.split_to(HEAD);
        let (number, kind, length) = (head.get_u64(), head.get_u8(), head.get_u32() as usize);
        if length > MAX_FRAME {
            return Err(io::ErrorKind::InvalidData.into());
        }
        while self.buffer.len() < length {
            self.fill().await?;
        }
        let body = self.buffer.split_to(length).freeze();
        match kind {
            0 => {
                let lease = (body.len() == 8).then(|| (&body[..]).get_u64());
                Ok((number, Frame::There(NoticeReply::Acknowledged { lease })))
            }
            3 => Ok((number, Frame::There(NoticeReply::Fenced))),
            1 => Ok((number, Frame::Notice(body))),
            2 => Ok((number, Frame::Request(body))),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    async fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 * 1024];
        loop {
            self.stream.readable().await?;
            let read = self.stream.try_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
                let mut beside = RecvAncillaryBuffer::new(&mut space);
                let mut into = [IoSliceMut::new(&mut chunk)];
                let read = recvmsg(&*self.stream, &mut into, &mut beside, RecvFlags::CMSG_CLOEXEC)?;
                for message in beside.drain() {
                    if let RecvAncillaryMessage::ScmRights(sockets) = message {
                        self.sockets.extend(sockets);
                    }
                }
                Ok(read.bytes)
            });
            match read {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    self.buffer.extend_from_slice(&chunk[..n]);
                    return Ok(());
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// Writes bytes, with a socket beside the first of them.
async fn write(stream: &UnixStream, mut bytes: &[u8], mut socket: Option<OwnedFd>) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        let wrote = stream.try_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut beside = SendAncillaryBuffer::new(&mut space);
            let sockets = socket.as_ref().map(AsFd::as_fd);
            if let Some(socket) = &sockets {
                beside.push(SendAncillaryMessage::ScmRights(std::slice::from_ref(socket)));
            }
            Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut beside, SendFlags::NOSIGNAL)?)
        });
        match wrote {
            Ok(n) => (bytes, socket) = (&bytes[n..], None),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

async fn talk(
    stream: UnixStream,
    mut passed: UnboundedReceiver<Forwarded>,
    this: &ProcessLink,
    to: &UnboundedSender<Message>,
) -> io::Result<()> {
    let stream = Arc::new(stream);
    let mut reader = Reader { stream: stream.clone(), buffer: BytesMut::new(), sockets: VecDeque::new() };
    // It reads beside the writing, so that two full sockets can't wait for each other, and ends with this.
    let (frames, mut come) = unbounded_channel();
    let reading = tokio::spawn(async move {
        let mut goes_on = true;
        while goes_on {
            let frame = reader.next().await;
            goes_on = frame.is_ok();
            let socket = match &frame {
                Ok((_, Frame::Request(_))) => reader.sockets.pop_front(),
                _ => None,
            };
            goes_on &= frames.send(frame.map(|frame| (frame, socket))).is_ok();
        }
    });
    let _reading = AbortOnDrop(reading.abort_handle());
    let mut last: u64 = 0;
    let mut waiting: HashMap<u64, oneshot::Sender<NoticeReply>> = HashMap::new();
    // A notice is there when its consequence is, which a ledger may have to write down first.
    let (heard, mut replies) = unbounded_channel();
    loop {
        tokio::select! {
            Some((number, reply)) = replies.recv() => {
                write(&stream, &Frame::There(reply).encode(number), None).await?;
            }
            Some(passed) = passed.recv() => {
                last += 1;
                let (frame, socket) = match passed {
                    Forwarded::Notice { body, there } => {
                        waiting.insert(last, there);
                        (Frame::Notice(body), None)
                    }
                    Forwarded::Request { snapshot, text, socket, there } => {
                        waiting.insert(last, there);
                        let snapshot = serde_json::to_vec(&snapshot)?;
                        (Frame::Request([&snapshot, &b"\n"[..], &text].concat().into()), Some(socket))
                    }
                };
                write(&stream, &frame.encode(last), socket).await?;
            }
            Some(frame) = come.recv() => match frame? {
                ((number, Frame::There(reply)), _) => {
                    let _ = waiting.remove(&number).map(|there| there.send(reply));
                }
                ((number, Frame::Notice(body)), _) => {
                    if let Some(notice) = NoticeBody::read(&body) {
                        let (from, heard, (tell, told)) = (Some(this.clone()), heard.clone(), oneshot::channel());
                        let _ = to.send(Message::Notice { notice, body, from, heard: Some(tell) });
                        tokio::spawn(async move {
                            if let Ok(reply) = told.await {
                                let _ = heard.send((number, reply));
                            }
                        });
                    }
                }
                ((number, Frame::Request(mut body)), socket) => {
                    let line = body.iter().position(|b| *b == b'\n').ok_or(io::ErrorKind::InvalidData)?;
                    let snapshot = serde_json::from_slice(&body.split_to(line))?;
                    body.advance(1);
                    let socket = socket.ok_or(io::ErrorKind::InvalidData)?;
                    let _ = to.send(Message::RequestHandedOver { snapshot, text: body, socket });
                    let there = Frame::There(NoticeReply::Acknowledged { lease: None });
                    write(&stream, &there.encode(number), None).await?;
                }
            },
        }
    }
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
