//! Connections that this process makes to others: frames out, frames in, and events.
use crate::frame::Frame;
use crate::frame_codec::read_frame;
use crate::socket::write_all_with_timeout;
use crate::timeout::timeout;
use crate::traffic::encode_counted;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::io::BufReader;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::future::or;
use spanlead_replication::TrafficClass;
use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long a connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a write may make no progress.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Least time between two attempts to connect.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long a lost connection is re-established without anything to send.
const RECONNECT_PERIOD: Duration = Duration::from_secs(5);
/// How often a ping is sent.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// How long the other side, which answers pings, may send nothing before the connection counts as
/// lost.
const READ_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Frames that may wait for a connection; beyond that they are dropped.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Bytes that are joined into one write.
const MAX_WRITE_BATCH_BYTES: usize = 64 * 1024;
/// How long a link without anything to send is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// What a link reports.
#[derive(Debug)]
pub enum LinkEvent {
    /// The connection to this address was established.
    Connected(String),
    /// It was lost.
    Disconnected(String),
    /// A frame was received from this address.
    Received(String, Frame),
}

/// One link an address and class, so that large frames do not delay urgent ones.
#[derive(Debug, PartialEq, Eq, Hash)]
struct LinkKey {
    address: String,
    class: TrafficClass,
}

/// The encoded frames that wait for each link.
type Queues = HashMap<LinkKey, Sender<Vec<u8>>>;

/// Links to other processes, established when first used.
#[derive(Clone, Debug)]
pub struct PeerLinks {
    queues: Arc<Mutex<Queues>>,
    events: Sender<LinkEvent>,
}

impl PeerLinks {
    /// Links that report to `events`.
    #[must_use]
    pub fn new(events: Sender<LinkEvent>) -> Self {
        PeerLinks { queues: Arc::default(), events }
    }

    /// Queues a frame; it may get lost with its connection. A full data link counts as a lost
    /// connection, since what is sent there may have no gaps.
    pub fn send(&self, address: &str, class: TrafficClass, frame: &Frame) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let key = LinkKey { address: address.to_owned(), class };
        let bytes = match queues.get(&key).map(|queue| queue.try_send(encode_counted(frame))) {
            Some(Ok(())) => return,
            Some(Err(error)) if error.is_full() => return self.report_full(address, class),
            // The link has ended; the frame begins a new one.
            Some(Err(error)) => error.into_inner(),
            None => encode_counted(frame),
        };
        let (sender, queue) = bounded(MAX_QUEUED_FRAMES);
        let _ = sender.try_send(bytes);
        queues.insert(key, sender);
        let link = Link { address: address.to_owned(), queue, events: self.events.clone() };
        task::spawn(link.run());
    }

    fn report_full(&self, address: &str, class: TrafficClass) {
        log::debug!("link queue full address={address} class={class:?}");
        if class == TrafficClass::Data {
            let _ = self.events.try_send(LinkEvent::Disconnected(address.to_owned()));
        }
    }
}

/// The connection to one address for one lane.
struct Link {
    address: String,
    queue: Receiver<Vec<u8>>,
    events: Sender<LinkEvent>,
}

impl Link {
    /// Keeps the connection while there is something to send. A lost one is re-established at once:
    /// the other side may be back, and those who wait for its answer should not have to wait for
    /// the next frame.
    async fn run(self) {
        let mut lost_at: Option<Instant> = None;
        while let Some(first) = self.first_bytes(lost_at).await {
            let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(&self.address));
            let Ok(Ok(stream)) = connecting.await else {
                // The queued frames are as old as the attempt; their senders send them again if
                // need be.
                while self.queue.try_recv().is_ok() {}
                task::sleep(RETRY_INTERVAL).await;
                continue;
            };
            let connected_at = Instant::now();
            self.carry(stream, first).await;
            lost_at = Some(Instant::now());
            if connected_at.elapsed() < RETRY_INTERVAL {
                task::sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// What is to be sent first over a new connection; `None` if the link is idle and ends.
    async fn first_bytes(&self, lost_at: Option<Instant>) -> Option<Vec<u8>> {
        let reconnects = lost_at.is_some_and(|lost_at| lost_at.elapsed() < RECONNECT_PERIOD);
        if reconnects && !self.queue.is_closed() {
            return Some(self.queue.try_recv().unwrap_or_else(|_| encode_counted(&Frame::Ping)));
        }
        if let Ok(Ok(first)) = timeout(IDLE_TIMEOUT, self.queue.recv()).await {
            Some(first)
        } else {
            self.queue.close();
            None
        }
    }

    /// Sends and receives until the connection is lost.
    async fn carry(&self, stream: TcpStream, first: Vec<u8>) {
        let _ = stream.set_nodelay(true);
        let _ = self.events.send(LinkEvent::Connected(self.address.clone())).await;
        or(self.write_all(stream.clone(), first), self.read_all(stream.clone())).await;
        let _ = stream.shutdown(Shutdown::Both);
        let _ = self.events.send(LinkEvent::Disconnected(self.address.clone())).await;
    }

    /// Writes what is queued until the connection fails.
    async fn write_all(&self, mut stream: TcpStream, first: Vec<u8>) {
        let mut bytes = first;
        let mut pinged_at = Instant::now();
        loop {
            while bytes.len() < MAX_WRITE_BATCH_BYTES
                && let Ok(next) = self.queue.try_recv()
            {
                bytes.extend(next);
            }
            // Also between other frames: the reader on this side receives only the answers to
            // pings.
            if pinged_at.elapsed() >= PING_INTERVAL {
                pinged_at = Instant::now();
                bytes.extend(encode_counted(&Frame::Ping));
            }
            if write_all_with_timeout(&mut stream, &bytes, WRITE_TIMEOUT).await.is_err() {
                break;
            }
            bytes = match timeout(PING_INTERVAL, self.queue.recv()).await {
                Ok(Ok(bytes)) => bytes,
                Ok(Err(_)) => break,
                Err(_) => Vec::new(),
            };
        }
    }

    /// Reads frames until the connection ends or times out.
    async fn read_all(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Ok(frame) = read_frame(&mut reader, READ_TIMEOUT).await {
            if frame == Frame::Ping {
                continue;
            }
            if self.events.send(LinkEvent::Received(self.address.clone(), frame)).await.is_err() {
                break;
            }
        }
    }
}
