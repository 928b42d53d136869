//! The link between two processes of one scheduler while one takes over from the other. Both accept connections from the
//! same listening socket, so a worker's notice may reach the one that knows nothing of its job: it is passed on over a
//! Unix socket, and the worker is answered when the other process has it. The link also tells that the other lives.
use super::wire::{MAX_BODY, Notice};
use crate::driver::Message;
use bytes::Bytes;
use std::collections::HashMap;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader, BufWriter};
use tokio::net::unix::OwnedReadHalf;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

/// The pause before the socket is made again.
const LISTEN_AGAIN: Duration = Duration::from_millis(500);

/// A notice for the other process, and who waits to hear that it is there.
pub struct Passed {
    pub body: Bytes,
    pub there: oneshot::Sender<()>,
}

/// The way to another process of this scheduler.
pub type Link = UnboundedSender<Passed>;

/// What a link tells the driver.
pub enum Kin {
    /// A process has come to take over from this one.
    Successor(Link),
    /// The other end of this link's process has gone.
    Gone(Link),
}

/// Where the processes of this scheduler find each other.
pub fn path(name: &str) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    std::env::temp_dir().join(format!("{}.sock", name.chars().map(plain).collect::<String>()))
}

/// The link to the process that this one takes over from, if there is one. A socket that was left behind refuses.
pub async fn predecessor(path: &PathBuf, to: &UnboundedSender<Message>) -> Option<Link> {
    let stream = UnixStream::connect(path).await.ok()?;
    Some(begin(stream, to.clone()))
}

/// Waits for the process that takes over from this one, again and again: a successor that ends leaves its place to the
/// next.
pub async fn listen(path: PathBuf, to: UnboundedSender<Message>) {
    loop {
        match successor(&path).await {
            Ok(stream) => {
                let link = begin(stream, to.clone());
                let _ = to.send(Message::Kin(Kin::Successor(link.clone())));
                link.closed().await;
            }
            Err(error) => {
                tracing::warn!(path = %path.display(), %error, "no successor could be taken in");
                sleep_until(Instant::now() + LISTEN_AGAIN).await;
            }
        }
    }
}

async fn successor(path: &PathBuf) -> io::Result<UnixStream> {
    // What a process left behind that was killed, or the name of the one before, which has taken this one in.
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    Ok(UnixListener::bind(path)?.accept().await?.0)
}

fn begin(stream: UnixStream, to: UnboundedSender<Message>) -> Link {
    let (link, passed) = unbounded_channel();
    let this = link.clone();
    tokio::spawn(async move {
        let _ = talk(stream, passed, &this, &to).await;
        let _ = to.send(Message::Kin(Kin::Gone(this)));
    });
    link
}

/// What goes over the link: a notice's number and text, or the number of one that has come, with no text.
struct Frame {
    number: u64,
    body: Bytes,
}

impl Frame {
    async fn read(from: &mut BufReader<OwnedReadHalf>) -> io::Result<Self> {
        let (number, length) = (from.read_u64().await?, from.read_u32().await? as usize);
        if length > MAX_BODY {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut body = vec![0; length];
        from.read_exact(&mut body).await?;
        Ok(Frame { number, body: body.into() })
    }
}

async fn talk(
    stream: UnixStream,
    mut passed: UnboundedReceiver<Passed>,
    this: &Link,
    to: &UnboundedSender<Message>,
) -> io::Result<()> {
    let (reader, writer) = stream.into_split();
    let (mut reader, mut writer) = (BufReader::new(reader), BufWriter::new(writer));
    // Reading must not be broken off between two bytes, so it has a task of its own, which ends with this one.
    let (frames, mut come) = unbounded_channel();
    let reading = tokio::spawn(async move {
        let mut goes_on = true;
        while goes_on {
            let frame = Frame::read(&mut reader).await;
            goes_on = frame.is_ok();
            goes_on &= frames.send(frame).is_ok();
        }
    });
    let _reading = AbortOnDrop(reading.abort_handle());
    let (mut last, mut waiting) = (0, HashMap::new());
    loop {
        let frame = tokio::select! {
            Some(Passed { body, there }) = passed.recv() => {
                last += 1;
                waiting.insert(last, there);
                Frame { number: last, body }
            }
            Some(frame) = come.recv() => {
                let Frame { number, body } = frame?;
                if body.is_empty() {
                    let there: Option<oneshot::Sender<()>> = waiting.remove(&number);
                    let _ = there.map(|there| there.send(()));
                    continue;
                }
                if let Some(notice) = Notice::read(&body) {
                    let from = Some(this.clone());
                    let _ = to.send(Message::Notice { notice, body, from, heard: None });
                }
                Frame { number, body: Bytes::new() }
            }
        };
        writer.write_u64(frame.number).await?;
        writer.write_u32(frame.body.len() as u32).await?;
        writer.write_all(&frame.body).await?;
        writer.flush().await?;
    }
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
