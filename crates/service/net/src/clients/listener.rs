//! Accepting connections within a budget, and closing them.
use crate::client_connection::{ClientConnection, ConnectionStage, IDLE_TIMEOUT};
use crate::lock::lock;
use crate::{Clock, Message};
use bytes::Bytes;
use rustix::net::sockopt::socket_acceptconn;
use spanlead_deployment_settings::Names;
use std::collections::HashMap;
use std::io;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::futures::Notified;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until};

/// With the budget used up, a connection that has brought nothing valid yet is closed for others
/// only after this long: a client's first request may be on its way.
const UNPROVEN_GRACE: Duration = Duration::from_millis(250);
/// The same for one whose request has begun to arrive: the next piece may be on its way.
const PARTIAL_REQUEST_GRACE: Duration = Duration::from_secs(1);
/// The pause after an accept that failed for want of a resource of the system.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// What a [`ClientListener`] is made of.
pub struct ListenerParams {
    /// The names behind the settings' numbers.
    pub names: watch::Receiver<Arc<Names>>,
    /// The clock that requests are timed by.
    pub clock: Clock,
    /// Where messages for the driver go.
    pub messages: UnboundedSender<Message>,
    /// The most connections at a time.
    pub max_connections: usize,
    /// Durable jobs are kept: what is logged of a request is decoded too.
    pub keeps_durable_jobs: bool,
}

/// The listener, with what all client connections share.
pub struct ClientListener {
    pub(super) names: watch::Receiver<Arc<Names>>,
    pub(super) clock: Clock,
    pub(super) messages: UnboundedSender<Message>,
    /// The next number of a request or a connection.
    next_id: AtomicU64,
    connections: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    /// A connection has ended.
    ended: Notify,
    /// A connection has become idle.
    idled: Notify,
    max_connections: AtomicUsize,
    pub(super) keeps_durable_jobs: bool,
    /// Requests can be accepted.
    pub ready: AtomicBool,
    /// Connections are to end with the answer that they wait for.
    pub closing: AtomicBool,
}

/// How willingly a connection is closed for another; the least first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Its last answer was given.
    Lingering,
    /// It has brought nothing valid.
    Unproven,
    /// It has brought something valid, and is idle.
    ProvenIdle,
}

/// Whether and when a connection may be closed for another.
enum Eviction {
    /// Now; among those of one rank the one that has waited since the earliest time goes first.
    Now {
        rank: EvictionRank,
        since: Instant,
    },
    /// Not before then.
    After(Instant),
    Never,
}

impl ClientConnection {
    fn eviction(&self, now: Instant) -> Eviction {
        let (since, grace) = match self.stage() {
            ConnectionStage::Lingering => {
                return Eviction::Now { rank: EvictionRank::Lingering, since: now };
            }
            ConnectionStage::Idle(since) if self.is_proven() => {
                return Eviction::Now { rank: EvictionRank::ProvenIdle, since };
            }
            ConnectionStage::Busy => return Eviction::Never,
            ConnectionStage::Fresh(_) | ConnectionStage::Reading(_) if self.is_proven() => {
                return Eviction::Never;
            }
            ConnectionStage::Reading(progress) => (progress.last, PARTIAL_REQUEST_GRACE),
            ConnectionStage::Idle(since) | ConnectionStage::Fresh(since) => (since, UNPROVEN_GRACE),
        };
        if since + grace > now {
            Eviction::After(since + grace)
        } else {
            Eviction::Now { rank: EvictionRank::Unproven, since }
        }
    }
}

/// The listening socket that this process was given as an open descriptor.
///
/// # Errors
/// If the descriptor is no listening socket.
pub fn inherited_listener(fd: RawFd) -> io::Result<TcpListener> {
    #[expect(
        unsafe_code,
        reason = "a number in the environment is all that tells of an inherited descriptor"
    )]
    // SAFETY: the platform gave this number to this process for good; it is taken here only, once,
    // at the start.
    let socket = unsafe { OwnedFd::from_raw_fd(fd) };
    if !socket_acceptconn(&socket)? {
        return Err(io::Error::other("it does not listen"));
    }
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

impl ClientListener {
    /// A listener without connections.
    pub fn new(params: ListenerParams) -> Self {
        ClientListener {
            names: params.names,
            clock: params.clock,
            messages: params.messages,
            next_id: AtomicU64::new(0),
            connections: Mutex::default(),
            ended: Notify::new(),
            idled: Notify::new(),
            max_connections: AtomicUsize::new(params.max_connections),
            keeps_durable_jobs: params.keeps_durable_jobs,
            ready: AtomicBool::new(false),
            closing: AtomicBool::new(false),
        }
    }

    /// Accepts connections for ever: with the budget used up it waits for a connection to end
    /// before it accepts.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            self.wait_for_room().await;
            match listener.accept().await {
                Ok((stream, _)) => self.add(stream, Bytes::new()),
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    sleep_until(Instant::now() + ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Adds a connection. Entered here, not by its task, which may start much later: what is not
    /// entered cannot be asked to make room, and accepting would wait for it for ever.
    fn add(self: &Arc<Self>, stream: TcpStream, replayed: Bytes) {
        let _ = stream.set_nodelay(true);
        let number = self.next_id();
        let connection = Arc::new(ClientConnection::new(stream, !replayed.is_empty()));
        lock(&self.connections).insert(number, connection.clone());
        let listener = self.clone();
        tokio::spawn(async move {
            listener.serve_connection(replayed, &connection).await;
            lock(&listener.connections).remove(&number);
            listener.ended.notify_waiters();
        });
    }

    /// Adopts a connection that another process accepted, with the request that it had read from
    /// it.
    ///
    /// # Errors
    /// If the socket cannot be registered.
    pub fn adopt(self: &Arc<Self>, socket: OwnedFd, replayed: Bytes) -> io::Result<()> {
        let stream = std::net::TcpStream::from(socket);
        stream.set_nonblocking(true)?;
        self.add(TcpStream::from_std(stream)?, replayed);
        Ok(())
    }

    pub(super) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    pub(super) fn connection_idle(&self) {
        self.idled.notify_one();
    }

    /// Changes the budget of connections; those above it are closed one by one.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.store(max_connections, Ordering::Relaxed);
        for _ in max_connections..lock(&self.connections).len() {
            self.evict();
        }
        self.ended.notify_waiters();
    }

    /// Whether no connection is left.
    pub fn is_empty(&self) -> bool {
        lock(&self.connections).is_empty()
    }

    /// Waits for room for one more connection; with the budget used up another makes it, or the
    /// first to become idle.
    async fn wait_for_room(&self) {
        loop {
            let ended = self.ended.notified();
            if lock(&self.connections).len() < self.max_connections.load(Ordering::Relaxed) {
                return;
            }
            let check_again = self.evict();
            tokio::select! {
                () = ended => {}
                () = self.idled.notified() => {}
                () = sleep_until(check_again) => {}
            }
        }
    }

    /// Closes a connection for another: one that is done, else one that has brought nothing valid,
    /// else the one that has been idle longest. Returns when to check again: a fresh connection is
    /// given its grace, and while there is one, no client or worker that proved itself is closed
    /// for it.
    fn evict(&self) -> Instant {
        let now = Instant::now();
        let connections = lock(&self.connections);
        let mut next = now + IDLE_TIMEOUT;
        let mut victim: Option<(EvictionRank, Instant, &Arc<ClientConnection>)> = None;
        for connection in connections.values() {
            match connection.eviction(now) {
                Eviction::Now { rank, since } => {
                    if victim.is_none_or(|(best, earliest, _)| (rank, since) < (best, earliest)) {
                        victim = Some((rank, since, connection));
                    }
                }
                Eviction::After(time) => next = next.min(time),
                Eviction::Never => {}
            }
        }
        let has_fresh = next < now + IDLE_TIMEOUT;
        match victim {
            Some((EvictionRank::ProvenIdle, _, connection)) if !has_fresh => connection.close.notify_one(),
            Some((EvictionRank::Lingering | EvictionRank::Unproven, _, connection)) => {
                connection.cut.notify_one();
            }
            _ => {}
        }
        next
    }

    /// Closes all connections, idle ones at once, the others with their answer.
    pub fn close(&self) {
        lock(&self.connections).values().for_each(|connection| connection.close.notify_one());
    }

    /// Waits for a connection to end, from this call on.
    pub fn wait_for_end(&self) -> Notified<'_> {
        self.ended.notified()
    }

    /// Closes the connections that wait for nothing.
    pub fn close_idle(&self) {
        let connections = lock(&self.connections);
        let idle = connections.values().filter(|connection| connection.is_idle());
        idle.for_each(|connection| connection.close.notify_one());
    }
}
