//! The connections to workers: the owner of those that are idle, and of the budget of descriptors
//! for all.
use super::connection::Connection;
use super::exchange_error::ExchangeError;
use crate::Message;
use crate::lock::lock;
use crate::wire::{self, Body, WorkerResponse};
use hyper::Request;
use spanlead_deployment_settings::ReportMapping;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

/// A connection between two requests.
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl IdleConnection {
    fn is_usable(&self, keep: Duration) -> bool {
        self.since.elapsed() < keep && !self.connection.is_closed()
    }
}

/// The pool.
pub struct WorkerPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    budget: Arc<Semaphore>,
    /// How many connections the budget allows.
    max_connections: AtomicUsize,
    config: Mutex<PoolConfig>,
    pub(super) messages: UnboundedSender<Message>,
}

/// What of the settings the connections to workers go by.
#[derive(Clone, Copy)]
pub struct PoolConfig {
    /// How long an idle connection is kept.
    pub keep: Duration,
    /// Jobs, too, go out on connections that are kept.
    pub reuse: bool,
    /// A connection that is not up after this counts as failed.
    pub connect_timeout: Duration,
    /// How load reports are read.
    pub report_mapping: ReportMapping,
}

impl WorkerPool {
    /// A pool of at most `max_connections`, which reports invalid answers to `messages`.
    pub fn new(max_connections: usize, config: PoolConfig, messages: UnboundedSender<Message>) -> Self {
        WorkerPool {
            idle: Mutex::default(),
            budget: Arc::new(Semaphore::new(max_connections)),
            max_connections: AtomicUsize::new(max_connections),
            config: Mutex::new(config),
            messages,
        }
    }

    pub(super) fn config(&self) -> PoolConfig {
        *lock(&self.config)
    }

    /// Goes by this configuration from now on.
    pub fn set_config(&self, config: PoolConfig) {
        *lock(&self.config) = config;
    }

    /// Changes how many connections there may be; what is in use above that is given up as it ends.
    pub fn set_max_connections(&self, max_connections: usize) {
        let before = self.max_connections.swap(max_connections, Ordering::Relaxed);
        self.budget.add_permits(max_connections.saturating_sub(before));
        let fewer = before.saturating_sub(max_connections) as u32;
        if fewer > 0 {
            lock(&self.idle).clear();
            let budget = self.budget.clone();
            tokio::spawn(async move {
                if let Ok(permits) = budget.acquire_many(fewer).await {
                    permits.forget();
                }
            });
        }
    }

    /// One exchange over a connection that has been idle for at least `rested`, or over a new one.
    pub(super) async fn exchange(
        &self,
        addr: SocketAddr,
        rested: Duration,
        request: impl Fn() -> Option<Request<Body>>,
        until: Instant,
    ) -> Result<WorkerResponse, ExchangeError> {
        // One that the worker closed just now says so at once, or takes less than the whole
        // request: that request cannot have begun, so it goes out on the next one.
        while let Some(idle) = self.take_idle(addr, rested) {
            match self.exchange_over(addr, idle, &request, until).await {
                Err(ExchangeError::NotSent) => {}
                other => return other,
            }
        }
        let new = self.open_connection(addr, until).await?;
        self.exchange_over(addr, new, &request, until).await
    }

    pub(super) async fn open_connection(
        &self,
        addr: SocketAddr,
        until: Instant,
    ) -> Result<Connection, ExchangeError> {
        let up_by = until.min(Instant::now() + self.config().connect_timeout);
        let permit = self.acquire_permit(up_by).await?;
        Connection::open(addr, up_by, Some(permit)).await
    }

    pub(super) async fn exchange_over(
        &self,
        addr: SocketAddr,
        mut connection: Connection,
        request: &impl Fn() -> Option<Request<Body>>,
        until: Instant,
    ) -> Result<WorkerResponse, ExchangeError> {
        let request = request().ok_or(ExchangeError::NotSent)?;
        let response = connection.exchange(request, until, wire::MAX_BODY).await;
        let response = response.inspect_err(|error| error.report(&self.messages))?;
        self.put_idle(addr, connection);
        let report_mapping = self.config().report_mapping;
        Ok(wire::decode_worker_response(response.status, &response.headers, response.body, report_mapping))
    }

    /// A new connection's share of the budget; with the budget used up, the connection that has
    /// been idle longest makes room.
    async fn acquire_permit(&self, until: Instant) -> Result<OwnedSemaphorePermit, ExchangeError> {
        if self.budget.available_permits() == 0 {
            self.close_longest_idle();
        }
        let permit = timeout_at(until, self.budget.clone().acquire_owned()).await;
        permit.ok().and_then(Result::ok).ok_or(ExchangeError::NoDescriptor)
    }

    fn close_longest_idle(&self) {
        let mut idle = lock(&self.idle);
        let oldest = idle.iter().filter_map(|(addr, list)| Some((list.first()?.since, *addr))).min();
        if let Some(list) = oldest.and_then(|(_, addr)| idle.get_mut(&addr)) {
            list.remove(0);
        }
    }

    /// Of the connections that have been idle for at least `rested`, the one that was used last;
    /// those that are of no use any more end here.
    pub(super) fn take_idle(&self, addr: SocketAddr, rested: Duration) -> Option<Connection> {
        let keep = self.config().keep;
        let mut idle = lock(&self.idle);
        let list = idle.get_mut(&addr)?;
        list.retain(|entry| entry.is_usable(keep));
        let index = list.iter().rposition(|entry| entry.since.elapsed() >= rested)?;
        Some(list.remove(index).connection)
    }

    /// Keeps a connection for the next request, unless somebody may be waiting for its descriptor.
    fn put_idle(&self, addr: SocketAddr, connection: Connection) {
        if !connection.is_closed() && self.budget.available_permits() > 0 {
            let entry = IdleConnection { connection, since: Instant::now() };
            lock(&self.idle).entry(addr).or_default().push(entry);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let keep = self.config().keep;
        lock(&self.idle).retain(|_, list| {
            list.retain(|entry| entry.is_usable(keep));
            !list.is_empty()
        });
    }

    /// Closes the idle connections to a worker.
    pub fn close_idle(&self, addr: SocketAddr) {
        lock(&self.idle).remove(&addr);
    }
}
