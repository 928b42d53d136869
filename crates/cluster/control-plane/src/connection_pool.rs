//! A bounded number of connections, kept by address while there is room.
//!
//! Each open connection, idle or carrying a call, holds one of the pool's permits. A call to an
//! address with an idle connection uses that; otherwise it takes a free permit, or that of the
//! connection that has been idle the longest, or waits for one.
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpStream;
use spanlead_cluster_runtime::http::client;
use spanlead_cluster_runtime::timeout::timeout;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle connections that are kept to one address while there are few addresses.
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// The right to one open connection. Freed when dropped.
#[derive(Debug)]
struct Permit {
    free: Sender<()>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.free.try_send(());
    }
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    /// Numbers the moments at which connections became idle.
    idle_since: u64,
    stream: TcpStream,
    permit: Permit,
}

/// All idle connections. Each is in `by_address`, with its address in `by_age`, or in neither.
#[derive(Debug, Default)]
struct IdleConnections {
    by_address: HashMap<Arc<str>, Vec<IdleConnection>>,
    /// Addresses by the moment, the connection that has been idle the longest first.
    by_age: BTreeMap<u64, Arc<str>>,
    last_moment: u64,
}

impl IdleConnections {
    /// The connection to an address that became idle last.
    fn take(&mut self, address: &str) -> Option<IdleConnection> {
        let connections = self.by_address.get_mut(address)?;
        let connection = connections.pop()?;
        if connections.is_empty() {
            self.by_address.remove(address);
        }
        self.by_age.remove(&connection.idle_since);
        Some(connection)
    }

    /// Closes the connection that has been idle the longest, and takes over its permit.
    fn evict_oldest(&mut self) -> Option<Permit> {
        let (oldest, address) = self.by_age.pop_first()?;
        let connections = self.by_address.get_mut(&address)?;
        let index = connections.iter().position(|connection| connection.idle_since == oldest)?;
        let evicted = connections.remove(index);
        if connections.is_empty() {
            self.by_address.remove(&address);
        }
        Some(evicted.permit)
    }

    fn insert(&mut self, address: &Arc<str>, stream: TcpStream, permit: Permit, max_per_address: usize) {
        let connections = self.by_address.entry(address.clone()).or_default();
        if connections.len() >= max_per_address {
            return;
        }
        self.last_moment += 1;
        connections.push(IdleConnection { idle_since: self.last_moment, stream, permit });
        self.by_age.insert(self.last_moment, address.clone());
    }
}

/// Counts a call as waiting for a permit until it is dropped, also if its time-out ends it.
struct WaitingCall(Arc<AtomicUsize>);

impl WaitingCall {
    fn begin(waiting: &Arc<AtomicUsize>) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        WaitingCall(waiting.clone())
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How many connections a pool has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCount {
    /// Open or being established, idle ones included.
    pub open: usize,
    /// Open and idle.
    pub idle: usize,
}

/// The pool. Clones share it.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    idle: Arc<Mutex<IdleConnections>>,
    permits: Receiver<()>,
    free: Sender<()>,
    waiting_calls: Arc<AtomicUsize>,
    max_connections: usize,
}

/// The right to a connection to an address: an idle one, or one that is to be established.
#[derive(Debug)]
pub struct ConnectionSlot {
    pool: ConnectionPool,
    address: Arc<str>,
    idle: Mutex<Option<TcpStream>>,
    permit: Permit,
}

impl ConnectionPool {
    /// A pool of up to `max_connections`, at least one.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        let max_connections = max_connections.max(1);
        let (free, permits) = bounded(max_connections);
        for _ in 0..max_connections {
            let _ = free.try_send(());
        }
        ConnectionPool { idle: Arc::default(), permits, free, waiting_calls: Arc::default(), max_connections }
    }

    /// A slot for a connection to this address, once there is one.
    pub async fn acquire(&self, address: &Arc<str>) -> ConnectionSlot {
        while let Some(IdleConnection { stream, permit, .. }) = self.take_idle(address) {
            if client::is_idle(&stream) {
                return self.slot(address, Some(stream), permit);
            }
        }
        if self.permits.try_recv().is_ok() {
            return self.slot(address, None, self.permit());
        }
        // From here on a connection that is given back frees its permit. Otherwise one could become
        // idle unseen between the search for an idle one and the wait for a permit.
        let _waiting = WaitingCall::begin(&self.waiting_calls);
        let evicted = self.lock().evict_oldest();
        if let Some(permit) = evicted {
            return self.slot(address, None, permit);
        }
        // The pool holds a sender itself, so this does not fail.
        let _ = self.permits.recv().await;
        self.slot(address, None, self.permit())
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        *self.lock() = IdleConnections::default();
    }

    /// How many connections there are.
    #[must_use]
    pub fn connections(&self) -> ConnectionCount {
        ConnectionCount { open: self.max_connections - self.permits.len(), idle: self.lock().by_age.len() }
    }

    fn slot(&self, address: &Arc<str>, idle: Option<TcpStream>, permit: Permit) -> ConnectionSlot {
        ConnectionSlot { pool: self.clone(), address: address.clone(), idle: Mutex::new(idle), permit }
    }

    fn permit(&self) -> Permit {
        Permit { free: self.free.clone() }
    }

    fn take_idle(&self, address: &str) -> Option<IdleConnection> {
        self.lock().take(address)
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionSlot {
    /// The connection; `None` if it can't be established.
    pub async fn connect(&self) -> Option<TcpStream> {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).take();
        if idle.is_some() {
            return idle;
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(&*self.address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(stream)
    }

    /// Keeps the connection for the next call to this address, unless another call waits for its
    /// permit.
    pub fn keep(self, stream: TcpStream) {
        if self.pool.waiting_calls.load(Ordering::Relaxed) > 0 {
            return;
        }
        let mut idle = self.pool.lock();
        // With many addresses each keeps one connection, and those idle the longest are evicted.
        let per_address = self.pool.max_connections / (idle.by_address.len() + 1);
        idle.insert(&self.address, stream, self.permit, per_address.clamp(1, MAX_IDLE_PER_ADDRESS));
    }
}
