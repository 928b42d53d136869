//! Connections between processes: frames out, frames in, and news of a connection that was lost.
use crate::frame::{Frame, FrameError, MAX_FRAME, decode, encode};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a connection may take to be made.
const CONNECT: Duration = Duration::from_millis(400);
/// How long a write may hang.
const WRITE: Duration = Duration::from_millis(1_000);
/// Between two tries to connect.
const RETRY: Duration = Duration::from_millis(100);
/// How often a connection with nothing to say shows that it is alive.
const PING: Duration = Duration::from_millis(500);
/// Silence after which a connection counts as lost: its other side answers pings.
const SILENCE: Duration = Duration::from_millis(1_600);
/// Frames that wait for a connection; beyond that they are dropped.
const QUEUE: usize = 4_096;
/// How long an address that nobody has anything to say to is remembered.
const IDLE: Duration = Duration::from_secs(20);

/// Reads one frame.
///
/// # Errors
/// If the connection ends or brings something else.
pub async fn read_frame(stream: &mut (impl async_std::io::Read + Unpin)) -> Result<Frame, FrameError> {
    let mut head = [0u8; 4];
    stream.read_exact(&mut head).await?;
    let length = u32::from_le_bytes(head) as usize;
    if length > MAX_FRAME {
        return Err(FrameError::Form);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    decode(&body)
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

/// Outgoing connections by address, made when first needed.
#[derive(Clone, Debug)]
pub struct Links {
    queues: Arc<Mutex<HashMap<String, Sender<Vec<u8>>>>>,
    events: Sender<LinkEvent>,
}

impl Links {
    /// Links that report to `events`.
    #[must_use]
    pub fn new(events: Sender<LinkEvent>) -> Self {
        Links { queues: Arc::default(), events }
    }

    /// Sends a frame, as far as that goes.
    pub fn send(&self, address: &str, frame: &Frame) {
        let bytes = encode(frame);
        let mut queues = self.queues.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(queue) = queues.get(address) {
            match queue.try_send(bytes) {
                Ok(()) => return,
                Err(error) if error.is_full() => return,
                Err(error) => {
                    let (sender, receiver) = bounded(QUEUE);
                    let _ = sender.try_send(error.into_inner());
                    queues.insert(address.to_owned(), sender);
                    task::spawn(run(address.to_owned(), receiver, self.events.clone()));
                    return;
                }
            }
        }
        let (sender, receiver) = bounded(QUEUE);
        let _ = sender.try_send(bytes);
        queues.insert(address.to_owned(), sender);
        task::spawn(run(address.to_owned(), receiver, self.events.clone()));
    }
}

/// Keeps the connection to an address while there is something to say.
async fn run(address: String, queue: Receiver<Vec<u8>>, events: Sender<LinkEvent>) {
    loop {
        let Ok(Ok(first)) = timeout(IDLE, queue.recv()).await else {
            queue.close();
            return;
        };
        let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(&address)).await else {
            // What waits is as old as the try; those who still want it say it again.
            while queue.try_recv().is_ok() {}
            task::sleep(RETRY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = events.send(LinkEvent::Up(address.clone())).await;
        let reader = task::spawn(read_all(address.clone(), stream.clone(), events.clone()));
        write_all(stream, first, &queue).await;
        reader.cancel().await;
        let _ = events.send(LinkEvent::Down(address.clone())).await;
    }
}

/// Writes what is queued until the connection fails.
async fn write_all(mut stream: TcpStream, first: Vec<u8>, queue: &Receiver<Vec<u8>>) {
    let mut next = first;
    loop {
        while next.len() < 64 * 1024
            && let Ok(more) = queue.try_recv()
        {
            next.extend(more);
        }
        if !matches!(timeout(WRITE, stream.write_all(&next)).await, Ok(Ok(()))) {
            break;
        }
        next = match timeout(PING, queue.recv()).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_)) => break,
            Err(_) => encode(&Frame::Ping),
        };
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Reads frames until the connection ends or falls silent, which ends the writing too.
async fn read_all(address: String, stream: TcpStream, events: Sender<LinkEvent>) {
    let mut reader = async_std::io::BufReader::new(stream.clone());
    while let Ok(Ok(frame)) = timeout(SILENCE, read_frame(&mut reader)).await {
        if frame == Frame::Ping {
            continue;
        }
        if events.send(LinkEvent::Frame(address.clone(), frame)).await.is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = events.send(LinkEvent::Down(address)).await;
}
