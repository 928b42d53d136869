//! Connections between processes: frames out, frames in, and news of a connection that was lost.
use crate::frame::{Frame, FrameError, MAX_FRAME, decode, encode_to_send};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::future::or;
use spanlead_replication::TrafficClass;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a connection may take to be made.
const CONNECT: Duration = Duration::from_millis(400);
/// How long a write may go without progress.
const WRITE: Duration = Duration::from_millis(1_000);
/// Between two tries to connect.
const RETRY: Duration = Duration::from_millis(100);
/// How long a connection that was lost is tried again without anything to say.
const RECONNECT: Duration = Duration::from_secs(5);
/// How often a connection shows that it is alive.
const PING: Duration = Duration::from_millis(500);
/// Silence after which a connection counts as lost: its other side answers pings.
const SILENCE: Duration = Duration::from_millis(1_600);
/// Frames that wait for a connection; beyond that they are dropped.
const QUEUE: usize = 4_096;
/// How long an address that nobody has anything to say to is remembered.
const IDLE: Duration = Duration::from_secs(20);

/// How many bytes of a frame are made room for at a time: memory is taken by what has come, not by what is announced.
const READ_BYTES: usize = 64 * 1024;

/// Reads one frame. Each part of it may take `patience`.
///
/// # Errors
/// If the connection ends, falls silent, or brings something else.
pub async fn read_frame(
    stream: &mut (impl async_std::io::Read + Unpin),
    patience: Duration,
) -> Result<Frame, FrameError> {
    let mut head = [0u8; 4];
    read_part(stream, &mut head, patience).await?;
    let length = u32::from_le_bytes(head) as usize;
    if length > MAX_FRAME {
        return Err(FrameError::Form);
    }
    let mut body = Vec::new();
    while body.len() < length {
        let from = body.len();
        body.resize(length.min(from + READ_BYTES), 0);
        read_part(stream, &mut body[from..], patience).await?;
    }
    decode(&body)
}

async fn read_part(
    stream: &mut (impl async_std::io::Read + Unpin),
    part: &mut [u8],
    patience: Duration,
) -> Result<(), FrameError> {
    match timeout(patience, stream.read_exact(part)).await {
        Ok(read) => Ok(read?),
        Err(_) => Err(FrameError::Silent),
    }
}

/// Writes all bytes; each part of them may take `patience`, so that a slow connection that goes on is not ended.
///
/// # Errors
/// If the connection fails or does not go on.
pub async fn write_steadily(
    stream: &mut TcpStream,
    mut bytes: &[u8],
    patience: Duration,
) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let written = match timeout(patience, stream.write(bytes)).await {
            Ok(written) => written?,
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        };
        if written == 0 {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}

/// What a link reports.
#[derive(Debug)]
pub enum LinkEvent {
    /// The connection to this address stands.
    Up(String),
    /// It was lost.
    Down(String),
    /// This came from there.
    Frame(String, Frame),
}

/// What waits for each address and lane.
type Queues = HashMap<(String, TrafficClass), Sender<Vec<u8>>>;

/// Outgoing connections by address and lane, made when first needed.
#[derive(Clone, Debug)]
pub struct Links {
    queues: Arc<Mutex<Queues>>,
    events: Sender<LinkEvent>,
}

impl Links {
    /// Links that report to `events`.
    #[must_use]
    pub fn new(events: Sender<LinkEvent>) -> Self {
        Links { queues: Arc::default(), events }
    }

    /// Sends a frame, as far as that goes. A data lane that is full counts as a lost connection: what is sent there may
    /// not have gaps.
    pub fn send(&self, address: &str, lane: TrafficClass, frame: &Frame) {
        let mut queues = self.queues.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let place = (address.to_owned(), lane);
        let bytes = match queues.get(&place).map(|queue| queue.try_send(encode_to_send(frame))) {
            Some(Ok(())) => return,
            Some(Err(error)) if error.is_full() => {
                log::debug!("{address}: the {lane:?} lane is full");
                if lane == TrafficClass::Data {
                    let _ = self.events.try_send(LinkEvent::Down(address.to_owned()));
                }
                return;
            }
            Some(Err(error)) => error.into_inner(),
            None => encode_to_send(frame),
        };
        let (sender, receiver) = bounded(QUEUE);
        let _ = sender.try_send(bytes);
        queues.insert(place, sender);
        task::spawn(run(address.to_owned(), receiver, self.events.clone()));
    }
}

/// Keeps the connection to an address while there is something to say. One that was lost is made anew at once: its other
/// side may have come back, and those who wait for an answer should not wait for the next thing to say.
async fn run(address: String, queue: Receiver<Vec<u8>>, events: Sender<LinkEvent>) {
    let mut lost_at: Option<Instant> = None;
    loop {
        let first = match lost_at {
            Some(at) if at.elapsed() < RECONNECT && !queue.is_closed() => {
                queue.try_recv().unwrap_or_else(|_| encode_to_send(&Frame::Ping))
            }
            _ => {
                let Ok(Ok(first)) = timeout(IDLE, queue.recv()).await else {
                    queue.close();
                    return;
                };
                first
            }
        };
        let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(&address)).await else {
            // What waits is as old as the try; those who still want it say it again.
            while queue.try_recv().is_ok() {}
            task::sleep(RETRY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let made_at = Instant::now();
        let _ = events.send(LinkEvent::Up(address.clone())).await;
        let write = write_all(stream.clone(), first, &queue);
        or(write, read_all(address.clone(), stream.clone(), events.clone())).await;
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = events.send(LinkEvent::Down(address.clone())).await;
        lost_at = Some(Instant::now());
        if made_at.elapsed() < RETRY {
            task::sleep(RETRY).await;
        }
    }
}

/// Writes what is queued until the connection fails.
async fn write_all(mut stream: TcpStream, first: Vec<u8>, queue: &Receiver<Vec<u8>>) {
    let mut next = first;
    let mut pinged = Instant::now();
    loop {
        while next.len() < 64 * 1024
            && let Ok(more) = queue.try_recv()
        {
            next.extend(more);
        }
        // Also between other frames: the reader on this side hears nothing but the answers to these.
        if pinged.elapsed() >= PING {
            pinged = Instant::now();
            next.extend(encode_to_send(&Frame::Ping));
        }
        if write_steadily(&mut stream, &next, WRITE).await.is_err() {
            break;
        }
        next = match timeout(PING, queue.recv()).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_)) => break,
            Err(_) => Vec::new(),
        };
    }
}

/// Reads frames until the connection ends or falls silent.
async fn read_all(address: String, stream: TcpStream, events: Sender<LinkEvent>) {
    let mut reader = async_std::io::BufReader::new(stream);
    while let Ok(frame) = read_frame(&mut reader, SILENCE).await {
        if frame == Frame::Ping {
            continue;
        }
        if events.send(LinkEvent::Frame(address.clone(), frame)).await.is_err() {
            break;
        }
    }
}
