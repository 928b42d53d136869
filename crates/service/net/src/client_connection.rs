//! The state of one client connection, as its own task, the listener and the driver see it.
mod head_scanner;

use crate::lock::lock;
pub(crate) use head_scanner::HeadScanner;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a request that is expected or arriving may bring no bytes, the first on a connection
/// counted from when it was accepted: that closes those that say nothing or stop half way, and
/// serves those that come slowly, in pieces.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a request may take to arrive whole.
const REQUEST_TOTAL_TIMEOUT: Duration = Duration::from_secs(10);
/// A connection without a request for this long is closed: an answer that nobody reads, or a client
/// that vanished.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// One connection.
pub struct ClientConnection {
    pub(crate) socket: Arc<TcpStream>,
    /// Another process serves the socket from now on.
    released: AtomicBool,
    /// Another process began its first request, and that request is to be ended in order.
    pub(crate) adopted: AtomicBool,
    pub(crate) stage: Mutex<ConnectionStage>,
    /// It has brought a valid job or notice.
    pub(crate) proven: AtomicBool,
    /// It is to close: at once if idle, else with the answer.
    pub(crate) close: Notify,
    /// It is to close at once unless a whole request is being served.
    pub(crate) cut: Notify,
    /// It closes as soon as nothing is in progress on it and nothing is unread.
    pub(crate) ending: AtomicBool,
    /// The client that waits for an answer has disconnected.
    pub(crate) disconnected: Notify,
    /// A request has begun to arrive.
    pub(crate) begun: Notify,
    /// What the request's head shows before HTTP has parsed it.
    pub(crate) head: Mutex<HeadScanner>,
}

/// What happens on a connection.
#[derive(Clone, Copy)]
pub(crate) enum ConnectionStage {
    /// The first request is expected since then.
    Fresh(Instant),
    /// A request has begun to arrive.
    Reading(ReadProgress),
    /// Nothing is in progress since then.
    Idle(Instant),
    /// From a request's head to its answer.
    Busy,
    /// The last answer has been given; what still arrives is discarded.
    Lingering,
}

/// A request that arrives.
#[derive(Clone, Copy)]
pub(crate) struct ReadProgress {
    pub since: Instant,
    /// When its last bytes arrived.
    pub last: Instant,
}

impl ReadProgress {
    /// When it times out if no more bytes arrive.
    pub(crate) fn deadline(self) -> Instant {
        (self.last + REQUEST_READ_TIMEOUT).min(self.since + REQUEST_TOTAL_TIMEOUT)
    }
}

impl ClientConnection {
    pub(crate) fn new(socket: TcpStream, adopted: bool) -> Self {
        ClientConnection {
            socket: Arc::new(socket),
            released: AtomicBool::new(false),
            adopted: AtomicBool::new(adopted),
            stage: Mutex::new(ConnectionStage::Fresh(Instant::now())),
            proven: AtomicBool::new(false),
            close: Notify::new(),
            cut: Notify::new(),
            ending: AtomicBool::new(false),
            disconnected: Notify::new(),
            begun: Notify::new(),
            head: Mutex::default(),
        }
    }

    /// Gives the socket up to another process: nothing is read or written here any more.
    ///
    /// # Errors
    /// If the descriptor cannot be duplicated; the connection stays here then.
    pub fn release(&self) -> io::Result<OwnedFd> {
        let socket = self.socket.as_fd().try_clone_to_owned()?;
        self.released.store(true, Ordering::Relaxed);
        self.cut.notify_one();
        Ok(socket)
    }

    /// Waits until the client has closed its side, whatever it sent before that is still unread.
    /// HTTP would not notice: it reads no further than the request that it serves once there is
    /// more, and only a read shows the end.
    pub(crate) async fn wait_for_disconnect(&self) {
        // Urgent data is not reported here, so it is the end that makes this ready.
        let _ = self.socket.ready(Interest::PRIORITY).await;
    }

    /// Whether the client has closed its side already.
    pub(crate) async fn is_disconnected(&self) -> bool {
        tokio::select! {
            biased;
            () = self.wait_for_disconnect() => true,
            () = std::future::ready(()) => false,
        }
    }

    /// Ends the connection of a client that has disconnected, and with it the request that this is
    /// called for.
    pub(crate) async fn drop_disconnected(&self) -> ! {
        self.disconnected.notify_one();
        std::future::pending().await
    }

    pub(crate) fn is_released(&self) -> bool {
        self.released.load(Ordering::Relaxed)
    }

    pub(crate) fn is_ending(&self) -> bool {
        self.ending.load(Ordering::Relaxed)
    }

    pub(crate) fn stage(&self) -> ConnectionStage {
        *lock(&self.stage)
    }

    /// Whether nothing is in progress on it, not even a request that has only begun to arrive.
    pub(crate) fn is_idle(&self) -> bool {
        !matches!(self.stage(), ConnectionStage::Busy | ConnectionStage::Reading(_))
    }

    pub(crate) fn is_proven(&self) -> bool {
        self.proven.load(Ordering::Relaxed)
    }

    /// When it is closed if nothing changes; a busy one ends with its answer.
    pub(crate) fn deadline(&self) -> Instant {
        match self.stage() {
            ConnectionStage::Fresh(since) => since + REQUEST_READ_TIMEOUT,
            ConnectionStage::Reading(progress) => progress.deadline(),
            ConnectionStage::Idle(since) => since + IDLE_TIMEOUT,
            ConnectionStage::Busy | ConnectionStage::Lingering => Instant::now() + IDLE_TIMEOUT,
        }
    }

    /// Notes that bytes have arrived. They belong to a new request unless one is in progress.
    pub(crate) fn bytes_arrived(&self, bytes: &[u8]) {
        let mut stage = lock(&self.stage);
        let last = Instant::now();
        match *stage {
            ConnectionStage::Fresh(_) | ConnectionStage::Idle(_) => {
                *stage = ConnectionStage::Reading(ReadProgress { since: last, last });
            }
            ConnectionStage::Reading(progress) => {
                *stage = ConnectionStage::Reading(ReadProgress { last, ..progress });
            }
            ConnectionStage::Busy | ConnectionStage::Lingering => return,
        }
        lock(&self.head).scan(bytes);
        self.begun.notify_one();
    }
}
