//! Connections to workers, the pool that keeps them between requests, and what is asked over them.
use super::wire::{self, Body, ClientRequest, WorkerResponse};
use super::{Message, SOCKET_SLACK, lock};
use crate::message::bad_input;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use spanlead_balancing_policy::{LoadReport, Outcome};
use spanlead_deployment_settings::ReportMapping;
use spanlead_engine::{DispatchResult, LeaseGrant};
use std::collections::HashMap;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

/// The pause before an unanswered call that abandons an attempt is made again.
const ABANDON_AGAIN: Duration = Duration::from_millis(200);

/// How long a connection rests before a job goes out on it, or a call that abandons one. Guards them from an answer that comes twice: the second
/// one, some milliseconds late, would be read as the answer to what is asked next, as a job taken or called off that is not. While nothing
/// is asked, it ends the connection. Probes don't wait: a figure that is one probe old does no harm.
const SETTLE: Duration = SOCKET_SLACK;

/// Why an exchange brought no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExchangeError {
    /// None of our own descriptors came free: nothing was tried, and it says nothing of the other side.
    NoRoom,
    /// The request's last byte was not written: no worker can have begun it.
    Unsent,
    /// The connection broke after that.
    Broken,
    /// After that an answer came that can't be read, for this reason.
    Unreadable(&'static str),
    /// The deadline passed.
    Overdue,
}

impl ExchangeError {
    /// What the module is told of it.
    fn outcome(self) -> Outcome {
        match self {
            ExchangeError::NoRoom => Outcome::NotSent,
            ExchangeError::Unsent => Outcome::ConnectFailed,
            ExchangeError::Broken | ExchangeError::Unreadable(_) => Outcome::Reset,
            ExchangeError::Overdue => Outcome::Timeout,
        }
    }

    /// Has it counted if an answer could not be read.
    pub(crate) fn count(&self, to: &UnboundedSender<Message>) {
        if let ExchangeError::Unreadable(why) = self {
            bad_input(to, why);
        }
    }
}

// ---------------------------------------------------------------- one connection

/// Counts what has left for the other side. Only a request whose last byte was never written is proved not to have
/// run; what hyper took into its buffers proves nothing.
#[derive(Default)]
struct WriteMeter {
    /// Bytes of the present request still to be written: its body's, while its head is going out.
    left: AtomicU64,
    /// How much of the blank line that ends the head has been written; 4 is all of it.
    head_end: AtomicU64,
    /// Told once, when the present request's last byte has been written.
    whole: Mutex<Option<OnWhole>>,
}

/// What is to be done when a request's last byte has been written.
type OnWhole = Box<dyn FnOnce() + Send>;

impl WriteMeter {
    fn begin(&self, body: u64) {
        self.left.store(body, Ordering::Relaxed);
        self.head_end.store(0, Ordering::Relaxed);
    }

    fn wrote(&self, bytes: &[u8]) {
        let mut matched = self.head_end.load(Ordering::Relaxed);
        let mut rest = bytes;
        while matched < 4 {
            let Some((&byte, tail)) = rest.split_first() else { break };
            matched = match byte {
                b if b == b"\r\n\r\n"[matched as usize] => matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            rest = tail;
        }
        self.head_end.store(matched, Ordering::Relaxed);
        let left = self.left.load(Ordering::Relaxed);
        self.left.store(left.saturating_sub(rest.len() as u64), Ordering::Relaxed);
        if self.all_written()
            && let Some(tell) = lock(&self.whole).take()
        {
            tell();
        }
    }

    fn all_written(&self) -> bool {
        self.head_end.load(Ordering::Relaxed) == 4 && self.left.load(Ordering::Relaxed) == 0
    }
}

/// The stream under a connection. It owns the connection's descriptor, and its share of the budget is given back
/// with it.
struct Stream {
    stream: TcpStream,
    meter: Arc<WriteMeter>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, to)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let n = ready!(Pin::new(&mut this.stream).poll_write(cx, bytes))?;
        this.meter.wrote(&bytes[..n]);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

/// A connection that carries one request at a time. Dropping it closes it, whatever is under way.
pub struct Connection {
    sender: SendRequest<Body>,
    meter: Arc<WriteMeter>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection.
pub async fn connect(
    addr: SocketAddr,
    until: Instant,
    permit: Option<OwnedSemaphorePermit>,
) -> Result<Connection, ExchangeError> {
    let stream = match timeout_at(until, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        _ => return Err(ExchangeError::Unsent),
    };
    let _ = stream.set_nodelay(true);
    let meter = Arc::new(WriteMeter::default());
    let stream = Stream { stream, meter: meter.clone(), _permit: permit };
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| ExchangeError::Unsent)?;
    // Errors reach whoever waits for an answer; between requests they only mean that the connection is gone.
    let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    Ok(Connection { sender, meter, task })
}

impl Connection {
    /// Sends a request and reads the whole answer.
    pub async fn exchange(
        &mut self,
        request: Request<Body>,
        until: Instant,
        max_body: usize,
    ) -> Result<(StatusCode, HeaderMap, Bytes), ExchangeError> {
        self.meter.begin(hyper::body::Body::size_hint(request.body()).lower());
        let meter = self.meter.clone();
        let broken =
            move |error| if meter.all_written() { after_whole(error) } else { ExchangeError::Unsent };
        let whole = async {
            self.sender.ready().await.map_err(|_| ExchangeError::Unsent)?;
            let response = self.sender.send_request(request).await.map_err(|e| broken(e.into()))?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, max_body).collect().await.map_err(broken)?;
            Ok((head.status, head.headers, body.to_bytes()))
        };
        timeout_at(until, whole).await.unwrap_or(Err(ExchangeError::Overdue))
    }
}

/// What an error says once the request is whole. An answer that ends before its head does can't be told from none.
fn after_whole(error: Box<dyn Error + Send + Sync>) -> ExchangeError {
    if error.is::<LengthLimitError>() {
        return ExchangeError::Unreadable("answer too long");
    }
    let Some(error) = error.downcast_ref::<hyper::Error>() else { return ExchangeError::Broken };
    let source = error.source().and_then(|s| s.downcast_ref::<io::Error>()).map(io::Error::kind);
    match source {
        _ if error.is_parse() => ExchangeError::Unreadable("answer not HTTP"),
        Some(io::ErrorKind::UnexpectedEof) => ExchangeError::Unreadable("answer cut short"),
        Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => {
            ExchangeError::Unreadable("answer not HTTP")
        }
        _ => ExchangeError::Broken,
    }
}

// ---------------------------------------------------------------- the pool

struct Idle {
    connection: Connection,
    since: Instant,
}

impl Idle {
    fn holds(&self, keep: Duration) -> bool {
        self.since.elapsed() < keep && !self.connection.sender.is_closed()
    }
}

/// The connections to workers: the owner of those that are idle, and of the descriptors for all.
pub struct WorkerPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    budget: Arc<Semaphore>,
    size: AtomicUsize,
    pool_config: Mutex<PoolConfig>,
    to: UnboundedSender<Message>,
}

/// What of the settings the connections to workers go by.
#[derive(Clone, Copy)]
pub struct PoolConfig {
    /// How long an idle connection is kept.
    pub keep: Duration,
    /// Jobs, too, go out on connections that are kept.
    pub reuse: bool,
    /// A connection that is not up after this counts as failed.
    pub connect_wait: Duration,
    pub report_mapping: ReportMapping,
}

impl WorkerPool {
    /// A pool of at most `budget` connections, which tells `to` of what could not be read.
    pub fn new(budget: usize, pool_config: PoolConfig, to: UnboundedSender<Message>) -> Self {
        let (size, budget) = (AtomicUsize::new(budget), Arc::new(Semaphore::new(budget)));
        WorkerPool { idle: Mutex::default(), budget, size, pool_config: Mutex::new(pool_config), to }
    }

    fn pool_config(&self) -> PoolConfig {
        *lock(&self.pool_config)
    }

    /// Goes by these from now on.
    pub fn tune(&self, pool_config: PoolConfig) {
        *lock(&self.pool_config) = pool_config;
    }

    /// Changes how many connections there may be; what is in use above that is given up as it ends.
    pub fn set_budget(&self, budget: usize) {
        let before = self.size.swap(budget, Ordering::Relaxed);
        self.budget.add_permits(budget.saturating_sub(before));
        let fewer = before.saturating_sub(budget) as u32;
        if fewer > 0 {
            lock(&self.idle).clear();
            let all = self.budget.clone();
            tokio::spawn(async move {
                if let Ok(permits) = all.acquire_many(fewer).await {
                    permits.forget();
                }
            });
        }
    }

    /// Hands an attempt to its worker. A reset of a connection that was kept leaves open whether the job has run, so where a
    /// handshake costs nothing it goes out on one of its own ([`PoolConfig::reuse`]); probes and calls that abandon a job always use
    /// kept ones.
    ///
    /// `whole` is told when the last byte has been written, also if nobody waits for the answer by then.
    pub async fn dispatch(
        &self,
        addr: SocketAddr,
        parcel: &ClientRequest,
        lease: Option<LeaseGrant>,
        until: Instant,
        whole: impl FnOnce() + Send + 'static,
    ) -> DispatchResult {
        let left_ms = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        let mut whole: Option<OnWhole> = Some(Box::new(whole));
        let reply = async {
            loop {
                let kept = if self.pool_config().reuse { self.take_idle(addr, SETTLE) } else { None };
                let again = kept.is_some();
                let connection = match kept {
                    Some(connection) => connection,
                    None => self.connect_anew(addr, until).await?,
                };
                let meter = connection.meter.clone();
                *lock(&meter.whole) = whole.take();
                let request = || Some(wire::handover(parcel, left_ms, lease));
                match self.call_over(addr, connection, &request, until).await {
                    // A kept one that was closed meanwhile takes less than the whole request: on to the next.
                    Err(ExchangeError::Unsent) if again => whole = lock(&meter.whole).take(),
                    // The others to a worker that broke one off or says nothing are no better.
                    Err(
                        fault @ (ExchangeError::Broken
                        | ExchangeError::Unreadable(_)
                        | ExchangeError::Overdue),
                    ) => {
                        self.close_idle(addr);
                        return Err(fault);
                    }
                    other => return other,
                }
            }
        };
        match reply.await {
            Ok(reply) => match reply.status {
                StatusCode::ACCEPTED => {
                    DispatchResult::Accepted { lease_aware: lease.is_some() && reply.aware }
                }
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if reply.declined => {
                    DispatchResult::Ended(Outcome::Rejected, reply.report)
                }
                status if status.is_client_error() => DispatchResult::Unprocessable,
                _ => DispatchResult::Ended(Outcome::Error, reply.report),
            },
            Err(fault) => DispatchResult::Ended(fault.outcome(), None),
        }
    }

    /// Tells a worker that a job is not wanted any more, again and again until it knows or `until` has passed.
    pub async fn cancel(&self, addr: SocketAddr, id: &str, until: Instant) {
        while Instant::now() < until && self.call(addr, SETTLE, || wire::abandon(id), until).await.is_err() {
            sleep_until(until.min(Instant::now() + ABANDON_AGAIN)).await;
        }
    }

    /// Asks a worker for its load.
    pub async fn check_health(&self, addr: SocketAddr, until: Instant) -> (Outcome, Option<LoadReport>) {
        match self.call(addr, Duration::ZERO, wire::probe, until).await {
            Ok(reply) => {
                let text = std::str::from_utf8(&reply.body).unwrap_or("");
                let figures = wire::load(text).filter(|_| reply.status == StatusCode::OK);
                if reply.status == StatusCode::OK && figures.is_none() && reply.report.is_none() {
                    bad_input(&self.to, "not a load report");
                }
                let report =
                    figures.map(|f| self.pool_config().report_mapping.to_load_report(f)).or(reply.report);
                let outcome = match reply.status {
                    StatusCode::OK => Outcome::Ok,
                    StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected,
                    _ => Outcome::Error,
                };
                (outcome, report)
            }
            Err(fault) => (fault.outcome(), None),
        }
    }

    /// One exchange over a connection that has been idle for so long, or a new one.
    async fn call(
        &self,
        addr: SocketAddr,
        rested: Duration,
        request: impl Fn() -> Option<Request<Body>>,
        until: Instant,
    ) -> Result<WorkerResponse, ExchangeError> {
        // One that the worker closed just now says so at once, or takes less than the whole request: that can't
        // have begun, so it goes out on the next one.
        while let Some(idle) = self.take_idle(addr, rested) {
            match self.call_over(addr, idle, &request, until).await {
                Err(ExchangeError::Unsent) => {}
                other => return other,
            }
        }
        let new = self.connect_anew(addr, until).await?;
        self.call_over(addr, new, &request, until).await
    }

    async fn connect_anew(&self, addr: SocketAddr, until: Instant) -> Result<Connection, ExchangeError> {
        let up_by = until.min(Instant::now() + self.pool_config().connect_wait);
        let permit = self.permit(up_by).await?;
        connect(addr, up_by, Some(permit)).await
    }

    async fn call_over(
        &self,
        addr: SocketAddr,
        mut connection: Connection,
        request: &impl Fn() -> Option<Request<Body>>,
        until: Instant,
    ) -> Result<WorkerResponse, ExchangeError> {
        let request = request().ok_or(ExchangeError::Unsent)?;
        let answer = connection.exchange(request, until, wire::MAX_BODY).await;
        let (status, headers, body) = answer.inspect_err(|fault| fault.count(&self.to))?;
        self.put_idle(addr, connection);
        Ok(wire::reply(status, &headers, body, self.pool_config().report_mapping))
    }

    /// A new connection's share of the budget; at the limit, the connection that has been idle longest makes room.
    async fn permit(&self, until: Instant) -> Result<OwnedSemaphorePermit, ExchangeError> {
        if self.budget.available_permits() == 0 {
            self.close_longest_idle();
        }
        let permit = timeout_at(until, self.budget.clone().acquire_owned()).await;
        permit.ok().and_then(Result::ok).ok_or(ExchangeError::NoRoom)
    }

    fn close_longest_idle(&self) {
        let mut idle = lock(&self.idle);
        let oldest = idle.iter().filter_map(|(addr, list)| Some((list.first()?.since, *addr))).min();
        if let Some(list) = oldest.and_then(|(_, addr)| idle.get_mut(&addr)) {
            list.remove(0);
        }
    }

    /// Of the connections that have been idle for so long, the one that was used last; those that don't hold any more end here.
    fn take_idle(&self, addr: SocketAddr, rested: Duration) -> Option<Connection> {
        let keep = self.pool_config().keep;
        let mut idle = lock(&self.idle);
        let list = idle.get_mut(&addr)?;
        list.retain(|i| i.holds(keep));
        let at = list.iter().rposition(|i| i.since.elapsed() >= rested)?;
        Some(list.remove(at).connection)
    }

    /// Keeps a connection for the next request, unless somebody may be waiting for its descriptor.
    fn put_idle(&self, addr: SocketAddr, connection: Connection) {
        if !connection.sender.is_closed() && self.budget.available_permits() > 0 {
            lock(&self.idle).entry(addr).or_default().push(Idle { connection, since: Instant::now() });
        }
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&self) {
        let keep = self.pool_config().keep;
        lock(&self.idle).retain(|_, list| {
            list.retain(|i| i.holds(keep));
            !list.is_empty()
        });
    }

    /// Closes the idle connections to a worker.
    pub fn close_idle(&self, addr: SocketAddr) {
        lock(&self.idle).remove(&addr);
    }
}
