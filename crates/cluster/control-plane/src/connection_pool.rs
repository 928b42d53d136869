//! A pool of connections with a limit on the total number, which keeps idle connections for reuse.
//!
//! Each open connection, idle or in use, holds one of the pool's permits. A call reuses an idle
//! connection to its address if there is one. Otherwise it takes a free permit, or evicts the
//! connection that has been idle the longest and takes over its permit, or waits for a permit.
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpStream;
use spanlead_cluster_runtime::http::client;
use spanlead_cluster_runtime::timeout::timeout;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The time-out for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// The maximum number of idle connections to one address. The limit is lower while there are idle
/// connections to many addresses, see [`ConnectionSlot::keep`].
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// The right to one open connection. It is returned to the pool when dropped.
#[derive(Debug)]
struct Permit {
    released_permits: Sender<()>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.released_permits.try_send(());
    }
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    /// The position in the order in which connections became idle.
    idle_sequence: u64,
    stream: TcpStream,
    permit: Permit,
}

/// All idle connections. Each one in `by_address` has an entry in `by_idle_sequence` and vice
/// versa.
#[derive(Debug, Default)]
struct IdleConnections {
    by_address: HashMap<Arc<str>, Vec<IdleConnection>>,
    /// The addresses by idle sequence: the connection that has been idle the longest comes first.
    by_idle_sequence: BTreeMap<u64, Arc<str>>,
    last_idle_sequence: u64,
}

impl IdleConnections {
    /// Removes and returns the connection to an address that became idle last.
    fn take(&mut self, address: &str) -> Option<IdleConnection> {
        let connections = self.by_address.get_mut(address)?;
        let connection = connections.pop()?;
        if connections.is_empty() {
            self.by_address.remove(address);
        }
        self.by_idle_sequence.remove(&connection.idle_sequence);
        Some(connection)
    }

    /// Closes the connection that has been idle the longest, and returns its permit.
    fn evict_oldest(&mut self) -> Option<Permit> {
        let (oldest, address) = self.by_idle_sequence.pop_first()?;
        let connections = self.by_address.get_mut(&address)?;
        let index = connections.iter().position(|connection| connection.idle_sequence == oldest)?;
        let evicted = connections.remove(index);
        if connections.is_empty() {
            self.by_address.remove(&address);
        }
        Some(evicted.permit)
    }

    /// Adds an idle connection, or closes it if there are `max_per_address` to its address already.
    fn insert(&mut self, address: &Arc<str>, stream: TcpStream, permit: Permit, max_per_address: usize) {
        let connections = self.by_address.entry(address.clone()).or_default();
        if connections.len() >= max_per_address {
            return;
        }
        self.last_idle_sequence += 1;
        connections.push(IdleConnection { idle_sequence: self.last_idle_sequence, stream, permit });
        self.by_idle_sequence.insert(self.last_idle_sequence, address.clone());
    }
}

/// Counts a call as waiting for a permit until this guard is dropped, which also happens when the
/// call times out.
struct WaitingCallGuard(Arc<AtomicUsize>);

impl WaitingCallGuard {
    fn new(waiting_calls: &Arc<AtomicUsize>) -> Self {
        waiting_calls.fetch_add(1, Ordering::Relaxed);
        WaitingCallGuard(waiting_calls.clone())
    }
}

impl Drop for WaitingCallGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The numbers of open and of idle connections of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCount {
    /// The number of connections that are open or being established, including idle ones.
    pub open: usize,
    /// The number of idle connections.
    pub idle: usize,
}

/// A connection pool. Clones share the connections and permits.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    idle: Arc<Mutex<IdleConnections>>,
    /// Holds one item for each free permit.
    free_permits: Receiver<()>,
    released_permits: Sender<()>,
    waiting_calls: Arc<AtomicUsize>,
    max_connections: usize,
}

/// The permit for one connection to an address, and the idle connection to reuse if there was one.
#[derive(Debug)]
pub struct ConnectionSlot {
    pool: ConnectionPool,
    address: Arc<str>,
    reused: Mutex<Option<TcpStream>>,
    permit: Permit,
}

impl ConnectionPool {
    /// Creates a pool of at most `max_connections` connections; 0 is treated as 1.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        let max_connections = max_connections.max(1);
        let (released_permits, free_permits) = bounded(max_connections);
        for _ in 0..max_connections {
            let _ = released_permits.try_send(());
        }
        ConnectionPool {
            idle: Arc::default(),
            free_permits,
            released_permits,
            waiting_calls: Arc::default(),
            max_connections,
        }
    }

    /// Returns a slot for a connection to this address; waits while no permit is free and no idle
    /// connection can be evicted.
    pub async fn acquire(&self, address: &Arc<str>) -> ConnectionSlot {
        while let Some(IdleConnection { stream, permit, .. }) = self.take_idle(address) {
            if client::is_reusable(&stream) {
                return self.new_slot(address, Some(stream), permit);
            }
        }
        if self.free_permits.try_recv().is_ok() {
            return self.new_slot(address, None, self.new_permit());
        }
        // While a call is counted as waiting, `ConnectionSlot::keep` releases the permit instead of
        // keeping the connection. Otherwise a connection could become idle between the eviction and
        // the wait, and its permit would stay taken while this call waits.
        let _guard = WaitingCallGuard::new(&self.waiting_calls);
        let evicted = self.lock().evict_oldest();
        if let Some(permit) = evicted {
            return self.new_slot(address, None, permit);
        }
        // This does not fail: the pool holds a sender, so the channel stays open.
        let _ = self.free_permits.recv().await;
        self.new_slot(address, None, self.new_permit())
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        *self.lock() = IdleConnections::default();
    }

    /// Returns the numbers of open and of idle connections.
    #[must_use]
    pub fn connections(&self) -> ConnectionCount {
        ConnectionCount {
            open: self.max_connections - self.free_permits.len(),
            idle: self.lock().by_idle_sequence.len(),
        }
    }

    fn new_slot(&self, address: &Arc<str>, reused: Option<TcpStream>, permit: Permit) -> ConnectionSlot {
        ConnectionSlot { pool: self.clone(), address: address.clone(), reused: Mutex::new(reused), permit }
    }

    fn new_permit(&self) -> Permit {
        Permit { released_permits: self.released_permits.clone() }
    }

    fn take_idle(&self, address: &str) -> Option<IdleConnection> {
        self.lock().take(address)
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionSlot {
    /// Returns the reused connection or establishes one; `None` if it can't be established in time.
    pub async fn connect(&self) -> Option<TcpStream> {
        let reused = self.reused.lock().unwrap_or_else(PoisonError::into_inner).take();
        if reused.is_some() {
            return reused;
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(&*self.address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(stream)
    }

    /// Keeps the connection idle for the next call to this address. If other calls wait for a
    /// permit, it is closed instead and its permit released.
    pub fn keep(self, stream: TcpStream) {
        if self.pool.waiting_calls.load(Ordering::Relaxed) > 0 {
            return;
        }
        let mut idle = self.pool.lock();
        // With many addresses each keeps one idle connection; when permits run out, `acquire`
        // evicts the connection that has been idle the longest.
        let max_per_address = self.pool.max_connections / (idle.by_address.len() + 1);
        idle.insert(&self.address, stream, self.permit, max_per_address.clamp(1, MAX_IDLE_PER_ADDRESS));
    }
}
