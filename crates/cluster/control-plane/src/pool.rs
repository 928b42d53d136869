//! A bounded number of connections, kept by address while there is room.
//!
//! Each open connection, idle or carrying a call, takes one of the pool's permits. A call to an address with an idle
//! connection uses that; else it takes a free permit, or that of the connection idle the longest, or waits for one.
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::net::TcpStream;
use spanlead_cluster_runtime::http::client;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a connection may take to be made.
const CONNECT: Duration = Duration::from_millis(700);
/// Idle connections kept to one address while there are few addresses.
const MOST_KEPT: usize = 8;

/// The right to one open connection.
#[derive(Debug)]
struct Permit {
    free: Sender<()>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.free.try_send(());
    }
}

#[derive(Debug, Default)]
struct Idle {
    /// By address, each with the moment at which it became idle.
    by_address: HashMap<Arc<str>, Vec<(u64, TcpStream, Permit)>>,
    /// Addresses by that moment, the one idle the longest first.
    by_age: BTreeMap<u64, Arc<str>>,
    moments: u64,
}

impl Idle {
    fn take(&mut self, address: &str) -> Option<(TcpStream, Permit)> {
        let held = self.by_address.get_mut(address)?;
        let (moment, stream, permit) = held.pop()?;
        if held.is_empty() {
            self.by_address.remove(address);
        }
        self.by_age.remove(&moment);
        Some((stream, permit))
    }

    /// Closes the connection idle the longest, and takes over its permit.
    fn evict(&mut self) -> Option<Permit> {
        let (moment, address) = self.by_age.pop_first()?;
        let held = self.by_address.get_mut(&address)?;
        let at = held.iter().position(|(other, _, _)| *other == moment)?;
        let (_, _, permit) = held.remove(at);
        if held.is_empty() {
            self.by_address.remove(&address);
        }
        Some(permit)
    }

    fn keep(&mut self, address: &Arc<str>, stream: TcpStream, permit: Permit, most: usize) {
        let held = self.by_address.entry(address.clone()).or_default();
        if held.len() >= most {
            return;
        }
        self.moments += 1;
        held.push((self.moments, stream, permit));
        self.by_age.insert(self.moments, address.clone());
    }
}

/// A call that waits for a permit, also if it is given up meanwhile.
struct Waits(Arc<AtomicUsize>);

impl Waits {
    fn begin(waiting: &Arc<AtomicUsize>) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Waits(waiting.clone())
    }
}

impl Drop for Waits {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The pool.
#[derive(Clone, Debug)]
pub struct Pool {
    idle: Arc<Mutex<Idle>>,
    permits: Receiver<()>,
    free: Sender<()>,
    /// Calls that wait for a permit.
    waiting: Arc<AtomicUsize>,
    size: usize,
}

/// The right to a connection to an address: an idle one, or one that is to be made.
#[derive(Debug)]
pub struct Place {
    pool: Pool,
    address: Arc<str>,
    idle: Mutex<Option<TcpStream>>,
    permit: Permit,
}

impl Pool {
    /// A pool of so many connections.
    #[must_use]
    pub fn new(size: usize) -> Self {
        let (free, permits) = bounded(size.max(1));
        for _ in 0..size.max(1) {
            let _ = free.try_send(());
        }
        Pool { idle: Arc::default(), permits, free, waiting: Arc::default(), size: size.max(1) }
    }

    /// A place for a connection to this address, once there is one.
    pub async fn place(&self, address: &Arc<str>) -> Place {
        let place = |idle, permit| Place {
            pool: self.clone(),
            address: address.clone(),
            idle: Mutex::new(idle),
            permit,
        };
        while let Some((stream, permit)) = self.take_idle(address) {
            if client::is_idle(&stream).await {
                return place(Some(stream), permit);
            }
        }
        if self.permits.try_recv().is_ok() {
            return place(None, Permit { free: self.free.clone() });
        }
        // From here on a connection that is given back frees its permit: none may become idle unseen between the look for
        // an idle one and the wait.
        let _waits = Waits::begin(&self.waiting);
        let evicted = self.lock().evict();
        if let Some(permit) = evicted {
            return place(None, permit);
        }
        // The pool holds a sender itself, so this does not fail.
        let _ = self.permits.recv().await;
        place(None, Permit { free: self.free.clone() })
    }

    /// Closes all idle connections.
    pub fn forget(&self) {
        *self.lock() = Idle::default();
    }

    /// Connections that are open or being made, and those of them that are idle.
    #[must_use]
    pub fn connections(&self) -> (usize, usize) {
        (self.size - self.permits.len(), self.lock().by_age.len())
    }

    fn take_idle(&self, address: &str) -> Option<(TcpStream, Permit)> {
        self.lock().take(address)
    }

    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place {
    /// The connection; `None` if it can't be made.
    pub async fn stream(&self) -> Option<TcpStream> {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).take();
        if idle.is_some() {
            return idle;
        }
        let stream = timeout(CONNECT, TcpStream::connect(&*self.address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(stream)
    }

    /// Keeps the connection for the next call to this address.
    pub fn keep(self, stream: TcpStream) {
        if self.pool.waiting.load(Ordering::Relaxed) > 0 {
            // Somebody waits for the permit.
            return;
        }
        let mut idle = self.pool.lock();
        // With many addresses each has one, and those idle the longest go.
        let most = (self.pool.size / (idle.by_address.len() + 1)).clamp(1, MOST_KEPT);
        idle.keep(&self.address, stream, self.permit, most);
    }
}
