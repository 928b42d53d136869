//! Outgoing connections to other processes: sending and receiving frames, and connection events.
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

/// Time-out for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time-out for a write that makes no progress.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum time between two connection attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a connection was lost during which it is re-established even if nothing is queued.
const RECONNECT_PERIOD: Duration = Duration::from_secs(5);
/// Interval between pings.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a frame from the peer, which answers pings, after which the connection counts as
/// lost.
const READ_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Capacity of the queue of a link, in frames; frames beyond it are dropped.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Size at which a batch of frames for one write is complete, in bytes.
const MAX_WRITE_BATCH_BYTES: usize = 64 * 1024;
/// Time after which a link that has no connection and nothing to send ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// An event that a link reports.
#[derive(Debug)]
pub enum LinkEvent {
    /// The connection to this address was established.
    Connected(String),
    /// The connection to this address was lost, or a frame of class [`TrafficClass::Data`] was
    /// dropped because the queue was full.
    Disconnected(String),
    /// A frame was received from this address.
    Received(String, Frame),
}

/// Identifies a link. Each traffic class has a link of its own to an address, so that large frames
/// do not delay urgent ones.
#[derive(Debug, PartialEq, Eq, Hash)]
struct LinkKey {
    address: String,
    class: TrafficClass,
}

/// The queue of encoded frames of each link.
type Queues = HashMap<LinkKey, Sender<Vec<u8>>>;

/// Links to other processes, opened on first use.
#[derive(Clone, Debug)]
pub struct PeerLinks {
    queues: Arc<Mutex<Queues>>,
    events: Sender<LinkEvent>,
}

impl PeerLinks {
    /// Creates an empty set of links that report their events to `events`.
    #[must_use]
    pub fn new(events: Sender<LinkEvent>) -> Self {
        PeerLinks { queues: Arc::default(), events }
    }

    /// Queues a frame for a link, opening the link if necessary. Delivery is not guaranteed: frames
    /// are lost with their connection, and dropped if the queue is full. A full queue of class
    /// [`TrafficClass::Data`] is reported as a lost connection, because the data stream must not
    /// have gaps.
    pub fn send(&self, address: &str, class: TrafficClass, frame: &Frame) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let key = LinkKey { address: address.to_owned(), class };
        let bytes = match queues.get(&key).map(|queue| queue.try_send(encode_counted(frame))) {
            Some(Ok(())) => return,
            Some(Err(error)) if error.is_full() => return self.handle_full_queue(address, class),
            // The link has ended; a new one is opened for the frame.
            Some(Err(error)) => error.into_inner(),
            None => encode_counted(frame),
        };
        let (sender, queue) = bounded(MAX_QUEUED_FRAMES);
        let _ = sender.try_send(bytes);
        queues.insert(key, sender);
        let link = Link { address: address.to_owned(), queue, events: self.events.clone() };
        task::spawn(link.run());
    }

    fn handle_full_queue(&self, address: &str, class: TrafficClass) {
        log::debug!("link queue full; frame dropped address={address} class={class:?}");
        if class == TrafficClass::Data {
            let _ = self.events.try_send(LinkEvent::Disconnected(address.to_owned()));
        }
    }
}

/// The link to one address for one traffic class.
struct Link {
    address: String,
    queue: Receiver<Vec<u8>>,
    events: Sender<LinkEvent>,
}

impl Link {
    /// Runs the link until it has had no connection and nothing to send for [`IDLE_TIMEOUT`].
    /// During [`RECONNECT_PERIOD`] a lost connection is re-established without waiting for the next
    /// frame: the peer may be available again, and callers may be waiting for its responses.
    async fn run(self) {
        let mut lost_at: Option<Instant> = None;
        while let Some(first) = self.first_bytes(lost_at).await {
            let connection = timeout(CONNECT_TIMEOUT, TcpStream::connect(&self.address));
            let Ok(Ok(stream)) = connection.await else {
                // Frames queued during the failed attempt are stale; their senders retransmit those
                // that are still needed.
                while self.queue.try_recv().is_ok() {}
                task::sleep(RETRY_INTERVAL).await;
                continue;
            };
            let connected_at = Instant::now();
            self.run_connection(stream, first).await;
            lost_at = Some(Instant::now());
            if connected_at.elapsed() < RETRY_INTERVAL {
                task::sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// Waits for the first bytes to send over a new connection: a queued frame, or a ping during
    /// [`RECONNECT_PERIOD`]. Returns `None`, with the queue closed, if the link is idle and ends.
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

    /// Sends and receives frames until the connection is lost, and reports its start and end.
    async fn run_connection(&self, stream: TcpStream, first: Vec<u8>) {
        let _ = stream.set_nodelay(true);
        let _ = self.events.send(LinkEvent::Connected(self.address.clone())).await;
        or(self.write_frames(stream.clone(), first), self.read_frames(stream.clone())).await;
        let _ = stream.shutdown(Shutdown::Both);
        let _ = self.events.send(LinkEvent::Disconnected(self.address.clone())).await;
    }

    /// Writes queued frames and pings until the connection fails.
    async fn write_frames(&self, mut stream: TcpStream, first: Vec<u8>) {
        let mut bytes = first;
        let mut pinged_at = Instant::now();
        loop {
            while bytes.len() < MAX_WRITE_BATCH_BYTES
                && let Ok(next) = self.queue.try_recv()
            {
                bytes.extend(next);
            }
            // Pings are sent between other frames too: a peer that only receives frames sends
            // nothing but its answers to pings, and without these `read_frames` would time out.
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

    /// Reads frames and reports them until the connection ends or times out.
    async fn read_frames(&self, stream: TcpStream) {
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
