//! The listener that clients and the workers' notices share.
use super::{lock, wire};
use crate::message::bad_input;
use crate::{Clock, Message};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rustix::io::ioctl_fionread;
use rustix::net::sockopt::socket_acceptconn;
use rustix::net::{Shutdown, shutdown};
use spanlead_balancing_policy::RequestId;
use spanlead_deployment_settings::Names;
use spanlead_engine::{Answer, Input, Job};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::os::fd::{AsFd, FromRawFd, OwnedFd, RawFd};
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::futures::Notified;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout_at};
use wire::{Body, CALLBACK, ClientRequest, HEALTH, MAX_BODY, NoticeBody, Rejection};

/// How long a request that is expected or under way may bring nothing, the first on a connection counted from when it was
/// accepted: that closes those that say nothing or stop half way, and serves those that come slowly, in pieces.
const REQUEST_WAIT: Duration = Duration::from_millis(2500);
/// How long a request may take to come in whole.
const REQUEST_WHOLE: Duration = Duration::from_secs(10);
/// A connection on which nothing was asked for this long is closed: an answer that nobody reads, or a client that
/// vanished.
const IDLE: Duration = Duration::from_secs(60);
/// At the limit a connection that has brought nothing of use yet is closed for others only after this long: a client's
/// first request may be on its way.
const GRACE: Duration = Duration::from_millis(250);
/// The same for one whose request has begun to come in: the next piece may be.
const PIECE_GRACE: Duration = Duration::from_secs(1);
/// The longest head that is read, and with it the most that a connection buffers: hyper's own limit, on all
/// connections at once, would go over the memory limit.
pub const MAX_HEAD: usize = 16 * 1024;
/// What is still read, and for how long, of a client that goes on sending after its last answer: a connection that is
/// closed with unread input is reset, which can destroy the answer on its way.
const LINGER_BYTES: usize = 256 * 1024;
const LINGER: Duration = Duration::from_millis(500);
/// How long a notice may take to reach the process that it is for.
const PASS_WAIT: Duration = Duration::from_secs(1);
/// The pause after an accept that failed for want of something in the system.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// A request as it goes to the driver.
pub struct ReceivedRequest {
    pub request_id: RequestId,
    pub job: Job,
    pub parcel: ClientRequest,
    pub connection: Arc<ClientConnection>,
    pub reply: oneshot::Sender<Answer>,
}

/// What every client connection shares.
pub struct ClientListener {
    names: watch::Receiver<Arc<Names>>,
    clock: Clock,
    to: UnboundedSender<Message>,
    request_ids: AtomicU64,
    lines: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    /// A connection has ended.
    ended: Notify,
    /// A connection has become idle.
    idled: Notify,
    /// The most connections at a time.
    budget: AtomicUsize,
    /// A ledger wants to know requests again.
    marks: bool,
    /// Requests can be taken.
    pub ready: AtomicBool,
    /// Connections are to end with the answer that they wait for.
    pub closing: AtomicBool,
}

/// A connection as the others see it.
pub struct ClientConnection {
    socket: Arc<TcpStream>,
    /// Another process speaks over the socket from now on.
    released: AtomicBool,
    /// Another process began its first request, and what it had begun is to be ended in order.
    adopted: AtomicBool,
    stage: Mutex<Stage>,
    /// It has brought a job or a notice that could be used.
    proven: AtomicBool,
    close: Notify,
    /// It ends at once unless a whole request is being served.
    cut: Notify,
    /// It ends as soon as nothing is under way on it and nothing unread.
    ending: AtomicBool,
    /// The client that waits for an answer has left.
    left: Notify,
    /// A request has begun to come in.
    begun: Notify,
    /// What its head shows before HTTP has read it.
    head: Mutex<HeadScanner>,
}

#[derive(Clone, Copy)]
enum Stage {
    /// The first request is expected since then.
    Fresh(Instant),
    /// A request has begun to come in.
    Reading(ReadProgress),
    /// Nothing is under way since then.
    Idle(Instant),
    /// From a request's head to its answer.
    Busy,
    /// The last answer has been given.
    Lingering,
}

/// A request on its way.
#[derive(Clone, Copy)]
struct ReadProgress {
    since: Instant,
    /// When the last of it came.
    last: Instant,
}

impl ReadProgress {
    /// When it is given up if no more comes.
    fn end(self) -> Instant {
        (self.last + REQUEST_WAIT).min(self.since + REQUEST_WHOLE)
    }
}

impl ClientConnection {
    fn new(socket: TcpStream, adopted: bool) -> Self {
        ClientConnection {
            socket: Arc::new(socket),
            released: AtomicBool::new(false),
            adopted: AtomicBool::new(adopted),
            stage: Mutex::new(Stage::Fresh(Instant::now())),
            proven: AtomicBool::new(false),
            close: Notify::new(),
            cut: Notify::new(),
            ending: AtomicBool::new(false),
            left: Notify::new(),
            begun: Notify::new(),
            head: Mutex::default(),
        }
    }

    /// Gives the socket up to another process: nothing is read or written here any more.
    pub fn release(&self) -> io::Result<OwnedFd> {
        let socket = self.socket.as_fd().try_clone_to_owned()?;
        self.released.store(true, Ordering::Relaxed);
        self.cut.notify_one();
        Ok(socket)
    }

    /// Waits until the client has closed its side, whatever it sent before that is still unread. HTTP would not notice: it reads no
    /// further than the request that it serves once there is more, and only a read tells it of the end.
    async fn departure(&self) {
        // Of urgent data nothing is heard here, so it is the end that makes this ready.
        let _ = self.socket.ready(Interest::PRIORITY).await;
    }

    /// Whether it has done so already.
    async fn departed(&self) -> bool {
        tokio::select! {
            biased;
            () = self.departure() => true,
            () = std::future::ready(()) => false,
        }
    }

    /// Ends the connection of a client that has left, and with it the request that this is called for.
    async fn forsake(&self) -> ! {
        self.left.notify_one();
        std::future::pending().await
    }

    fn released(&self) -> bool {
        self.released.load(Ordering::Relaxed)
    }

    fn ending(&self) -> bool {
        self.ending.load(Ordering::Relaxed)
    }

    fn stage(&self) -> Stage {
        *lock(&self.stage)
    }

    /// Nothing is under way on it, not even a request that has only begun to come in.
    fn idle(&self) -> bool {
        !matches!(self.stage(), Stage::Busy | Stage::Reading(_))
    }

    fn proven(&self) -> bool {
        self.proven.load(Ordering::Relaxed)
    }

    /// When it is closed if nothing changes; a busy one ends with its answer.
    fn end(&self) -> Instant {
        match self.stage() {
            Stage::Fresh(since) => since + REQUEST_WAIT,
            Stage::Reading(coming) => coming.end(),
            Stage::Idle(since) => since + IDLE,
            Stage::Busy | Stage::Lingering => Instant::now() + IDLE,
        }
    }
}

/// A head as it comes in, watched for a Content-Length: hyper hides one that stands beside a Transfer-Encoding, by which
/// another server would find a second request in the body.
#[derive(Default)]
struct HeadScanner {
    /// The name that the present connection begins with, as far as it matters.
    name: Vec<u8>,
    in_value: bool,
    begun: bool,
    whole: bool,
    names_length: bool,
}

impl HeadScanner {
    fn take(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            match byte {
                _ if self.whole => return,
                b'\n' => {
                    let blank = self.name.is_empty() && !self.in_value;
                    self.whole = blank && self.begun;
                    self.begun |= !blank;
                    self.name.clear();
                    self.in_value = false;
                }
                b'\r' => {}
                b':' => {
                    self.names_length |= !self.in_value && self.name.eq_ignore_ascii_case(b"content-length");
                    self.in_value = true;
                }
                _ if !self.in_value && self.name.len() < 16 => self.name.push(byte),
                _ => {}
            }
        }
    }
}

/// A connection is busy while this lives: from a request's head to its answer.
struct RequestGuard<'a> {
    listener: &'a ClientListener,
    connection: &'a Arc<ClientConnection>,
    /// When the request began to come in.
    since: Instant,
    head: HeadScanner,
}

impl<'a> RequestGuard<'a> {
    fn new(listener: &'a ClientListener, connection: &'a Arc<ClientConnection>) -> Self {
        let since = match std::mem::replace(&mut *lock(&connection.stage), Stage::Busy) {
            Stage::Reading(coming) => coming.since,
            // Its head came together with the end of the request before.
            _ => Instant::now(),
        };
        RequestGuard { listener, connection, since, head: std::mem::take(&mut *lock(&connection.head)) }
    }

    /// Reads the rest of the request, as long as it goes on coming.
    async fn read(&self, mut body: Incoming) -> Result<Bytes, Rejection> {
        let too_large = Rejection(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        if hyper::body::Body::size_hint(&body).lower() > MAX_BODY as u64 {
            return Err(too_large);
        }
        let (mut whole, mut last) = (BytesMut::new(), Instant::now());
        loop {
            match timeout_at(ReadProgress { since: self.since, last }.end(), body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    last = Instant::now();
                    whole.extend_from_slice(&frame.into_data().unwrap_or_default());
                    if whole.len() > MAX_BODY {
                        return Err(too_large);
                    }
                }
                Ok(None) => return Ok(whole.freeze()),
                Ok(Some(Err(_))) => return Err(Rejection(StatusCode::BAD_REQUEST, "the body broke off")),
                Err(_) => return Err(Rejection(StatusCode::REQUEST_TIMEOUT, "the body took too long")),
            }
        }
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        *lock(&self.connection.stage) = Stage::Idle(Instant::now());
        self.listener.idled.notify_one();
    }
}

/// The stream under a connection: it notices when a request begins to come in, and tells HTTP of the end of a connection
/// that is to end once nothing is left to read. A request that another process had read comes before what the socket brings.
struct ConnectionStream {
    again: Bytes,
    connection: Arc<ClientConnection>,
}

impl ConnectionStream {
    fn read(&mut self, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.again.is_empty() {
            let piece = self.again.split_to(self.again.len().min(to.remaining()));
            to.put_slice(&piece);
            return Poll::Ready(Ok(()));
        }
        let socket = &self.connection.socket;
        if self.connection.ending() && self.connection.idle() && ioctl_fionread(socket.as_fd()) == Ok(0) {
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(socket.poll_read_ready(cx))?;
            match socket.try_read(to.initialize_unfilled()) {
                Ok(n) => {
                    to.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncRead for ConnectionStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = to.filled().len();
        let read = self.read(cx, to);
        let connection = &self.connection;
        if to.filled().len() > before {
            let mut stage = lock(&connection.stage);
            let last = Instant::now();
            match *stage {
                Stage::Fresh(_) | Stage::Idle(_) => {
                    *stage = Stage::Reading(ReadProgress { since: last, last })
                }
                Stage::Reading(coming) => *stage = Stage::Reading(ReadProgress { last, ..coming }),
                Stage::Busy | Stage::Lingering => return read,
            }
            lock(&connection.head).take(&to.filled()[before..]);
            connection.begun.notify_one();
        }
        read
    }
}

impl AsyncWrite for ConnectionStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let socket = &self.connection.socket;
        loop {
            ready!(socket.poll_write_ready(cx))?;
            match socket.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                wrote => return Poll::Ready(wrote),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(shutdown(self.connection.socket.as_fd(), Shutdown::Write)?))
    }
}

/// Tells the driver if a request's connection ends before its answer came: dropped with the request's future. Of one that
/// was handed over the reducer knows nothing any more.
struct DisconnectGuard<'a> {
    request_id: RequestId,
    to: &'a UnboundedSender<Message>,
    answered: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.to.send(Message::Input(Input::ClientDisconnected { request_id: self.request_id }));
        }
    }
}

/// The listening socket that this process was given as an open descriptor.
pub fn inherited(fd: RawFd) -> io::Result<TcpListener> {
    #[expect(
        unsafe_code,
        reason = "a number in the environment is all that tells of an inherited descriptor"
    )]
    // SAFETY: the platform gave this number to this process for good; it is taken here only, once, at the start.
    let socket = unsafe { OwnedFd::from_raw_fd(fd) };
    if !socket_acceptconn(&socket)? {
        return Err(io::Error::other("it does not listen"));
    }
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

impl ClientListener {
    /// A listener whose requests go to `to` and that holds at most `budget` connections.
    pub fn new(
        names: watch::Receiver<Arc<Names>>,
        clock: Clock,
        to: UnboundedSender<Message>,
        budget: usize,
        marks: bool,
    ) -> Self {
        ClientListener {
            names,
            clock,
            to,
            request_ids: AtomicU64::new(0),
            lines: Mutex::default(),
            ended: Notify::new(),
            idled: Notify::new(),
            budget: AtomicUsize::new(budget),
            marks,
            ready: AtomicBool::new(false),
            closing: AtomicBool::new(false),
        }
    }

    /// Accepts connections for ever: at the limit it waits for a descriptor before it accepts.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            self.room().await;
            match listener.accept().await {
                Ok((stream, _)) => self.enter(stream, Bytes::new()),
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    sleep_until(Instant::now() + ACCEPT_AGAIN).await;
                }
            }
        }
    }

    /// Takes a connection in. Entered here, not by its task, which may start much later: what is not entered can't be asked
    /// to make room, and accepting would wait for it for ever.
    fn enter(self: &Arc<Self>, stream: TcpStream, again: Bytes) {
        let _ = stream.set_nodelay(true);
        let number = self.request_ids.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(ClientConnection::new(stream, !again.is_empty()));
        lock(&self.lines).insert(number, connection.clone());
        let listener = self.clone();
        tokio::spawn(async move {
            listener.connection(again, &connection).await;
            lock(&listener.lines).remove(&number);
            listener.ended.notify_waiters();
        });
    }

    /// Takes in a connection that another process accepted, with the request that it had read from it.
    pub fn adopt(self: &Arc<Self>, socket: OwnedFd, again: Bytes) -> io::Result<()> {
        let stream = std::net::TcpStream::from(socket);
        stream.set_nonblocking(true)?;
        self.enter(TcpStream::from_std(stream)?, again);
        Ok(())
    }

    /// Changes how many connections are held at the most; those above it make room one by one.
    pub fn set_budget(&self, budget: usize) {
        self.budget.store(budget, Ordering::Relaxed);
        for _ in budget..lock(&self.lines).len() {
            self.make_room();
        }
        self.ended.notify_waiters();
    }

    /// Whether no connection is left.
    pub fn empty(&self) -> bool {
        lock(&self.lines).is_empty()
    }

    /// Waits for room for one more connection; at the limit another makes it, or the first to become idle.
    async fn room(&self) {
        loop {
            let ended = self.ended.notified();
            if lock(&self.lines).len() < self.budget.load(Ordering::Relaxed) {
                return;
            }
            let look_again = self.make_room();
            tokio::select! {
                () = ended => {}
                () = self.idled.notified() => {}
                () = sleep_until(look_again) => {}
            }
        }
    }

    /// Closes a connection for another: one that is done, else one that has brought nothing of use, else the one that
    /// has been idle longest. Returns when to look again: a fresh connection is given its grace, and while there is
    /// one, no client or worker that proved itself is cut for it.
    fn make_room(&self) -> Instant {
        let now = Instant::now();
        let lines = lock(&self.lines);
        let mut next = now + IDLE;
        let mut victim: Option<((u8, Instant), &Arc<ClientConnection>)> = None;
        for connection in lines.values() {
            let rank = match connection.stage() {
                Stage::Lingering => (0, now),
                Stage::Idle(since) if connection.proven() => (2, since),
                Stage::Idle(_) | Stage::Fresh(_) | Stage::Reading(_) if !connection.proven() => {
                    let (since, grace) = match connection.stage() {
                        Stage::Reading(coming) => (coming.last, PIECE_GRACE),
                        Stage::Idle(since) | Stage::Fresh(since) => (since, GRACE),
                        Stage::Busy | Stage::Lingering => continue,
                    };
                    if since + grace > now {
                        next = next.min(since + grace);
                        continue;
                    }
                    (1, since)
                }
                _ => continue,
            };
            if victim.is_none_or(|(best, _)| rank < best) {
                victim = Some((rank, connection));
            }
        }
        let fresh = next < now + IDLE;
        if let Some(((rank, _), connection)) = victim.filter(|((rank, _), _)| *rank < 2 || !fresh) {
            if rank == 2 { &connection.close } else { &connection.cut }.notify_one();
        }
        next
    }

    /// Serves one connection to its end.
    async fn connection(&self, again: Bytes, connection: &Arc<ClientConnection>) {
        let in_order =
            self.serve(ConnectionStream { again, connection: connection.clone() }, connection).await;
        *lock(&connection.stage) = Stage::Lingering;
        if in_order {
            tokio::select! {
                () = linger(&connection.socket, Instant::now() + LINGER) => {}
                () = connection.cut.notified() => {}
            }
        }
    }

    /// Speaks HTTP over a connection. Returns whether that came to its end in order, our side of it closed.
    async fn serve(&self, stream: ConnectionStream, connection: &Arc<ClientConnection>) -> bool {
        let service = service_fn(|request| {
            let busy = RequestGuard::new(self, connection);
            async move {
                // Whatever stands behind a body that names its own end is not read: see `HeadScanner`.
                let chunked = request.headers().contains_key(TRANSFER_ENCODING);
                let response = self.respond(request, &busy).await;
                drop(busy);
                let closing = chunked || self.closing.load(Ordering::Relaxed) || connection.ending();
                Ok::<_, Infallible>(if closing { wire::closing(response) } else { response })
            }
        });
        let mut http = pin!(
            http1::Builder::new().max_buf_size(MAX_HEAD).serve_connection(TokioIo::new(stream), service)
        );
        loop {
            tokio::select! {
                end = http.as_mut() => {
                    if end.is_err_and(|e| e.is_parse()) {
                        bad_input(&self.to, "not HTTP");
                    }
                    return true;
                }
                () = connection.begun.notified() => {}
                // What has begun to come in is still served; the stream tells HTTP of the end when nothing is left.
                () = connection.close.notified() => connection.ending.store(true, Ordering::Relaxed),
                () = connection.cut.notified() => if connection.released() || !matches!(connection.stage(), Stage::Busy) { return false },
                () = connection.left.notified() => return false,
                () = sleep_until(connection.end()) => if connection.end() <= Instant::now() { return false },
            }
        }
    }

    /// Has all connections closed, idle ones at once, the others with their answer.
    pub fn close(&self) {
        lock(&self.lines).values().for_each(|l| l.close.notify_one());
    }

    /// Waits for a connection to end, from this call on.
    pub fn one_ended(&self) -> Notified<'_> {
        self.ended.notified()
    }

    /// Closes the connections that wait for nothing.
    pub fn close_idle(&self) {
        let lines = lock(&self.lines);
        lines.values().filter(|l| l.idle()).for_each(|l| l.close.notify_one());
    }

    // ------------------------------------------------------------ requests

    async fn respond(&self, request: Request<Incoming>, busy: &RequestGuard<'_>) -> Response<Body> {
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        if chunked && (busy.head.names_length || !busy.head.whole) {
            return self.reject(Rejection(StatusCode::BAD_REQUEST, "a body's length is told in two ways"));
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, HEALTH) => match self.ready.load(Ordering::Relaxed) {
                true => wire::plain(StatusCode::OK, "ready\n"),
                false => wire::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            },
            (&Method::POST, CALLBACK) => self.notice(request, busy).await.unwrap_or_else(|r| self.reject(r)),
            _ => self.job(request, busy).await.unwrap_or_else(|r| self.reject(r)),
        }
    }

    /// Turns a request down; what is wrong with it is counted.
    fn reject(&self, rejected: Rejection) -> Response<Body> {
        if rejected.0.is_client_error() {
            bad_input(&self.to, rejected.1);
        }
        wire::rejection(rejected)
    }

    async fn notice(
        &self,
        request: Request<Incoming>,
        busy: &RequestGuard<'_>,
    ) -> Result<Response<Body>, Rejection> {
        let body = busy.read(request.into_body()).await?;
        let Some(notice) = NoticeBody::read(&body) else {
            bad_input(&self.to, "not a notice");
            return Ok(wire::plain(StatusCode::BAD_REQUEST, "not a notice\n"));
        };
        busy.connection.proven.store(true, Ordering::Relaxed);
        let (heard, word) = oneshot::channel();
        let _ = self.to.send(Message::Notice { notice, body, from: None, heard: Some(heard) });
        // The process that it is for may just have ended; a worker repeats what was not taken.
        match timeout_at(Instant::now() + PASS_WAIT, word).await {
            Ok(Ok(reply)) => Ok(wire::heard(reply)),
            _ => Err(Rejection(StatusCode::SERVICE_UNAVAILABLE, "nobody has taken this notice")),
        }
    }

    async fn job(
        &self,
        request: Request<Incoming>,
        busy: &RequestGuard<'_>,
    ) -> Result<Response<Body>, Rejection> {
        let (head, body) = request.into_parts();
        let arrived = self.clock.now();
        let names = self.names.borrow().clone();
        let class = wire::class(&head, &names)?;
        let mut job = wire::job(&head, class, &names, arrived).inspect_err(|_| {
            let _ = self.to.send(Message::Input(Input::RequestRejected { class }));
        })?;
        let body = busy.read(body).await?;
        // Its time counts from the last byte.
        job.due += self.clock.now() - arrived;
        busy.connection.proven.store(true, Ordering::Relaxed);
        let adopted = busy.connection.adopted.swap(false, Ordering::Relaxed);
        if !adopted && busy.connection.departed().await {
            // Nobody waits for it: it is not taken.
            let _ = self.to.send(Message::Input(Input::RequestRejected { class }));
            busy.connection.forsake().await
        }
        let parcel = wire::parcel(head, body);
        if self.marks {
            job.durable_request = Some(wire::durable_request(&parcel).inspect_err(|_| {
                let _ = self.to.send(Message::Input(Input::RequestRejected { class }));
            })?);
        }
        let request_id = RequestId(self.request_ids.fetch_add(1, Ordering::Relaxed));
        let (reply, mut answer) = oneshot::channel();
        let connection = busy.connection.clone();
        let received = ReceivedRequest { request_id, job, parcel, connection, reply };
        let mut departure = DisconnectGuard { request_id, to: &self.to, answered: false };
        let _ = self.to.send(Message::RequestReceived(received));
        let answer = tokio::select! {
            biased;
            answer = &mut answer => answer.unwrap_or(Answer::Failed),
            () = busy.connection.departure() => busy.connection.forsake().await,
        };
        departure.answered = true;
        Ok(wire::answer(answer))
    }
}

/// Reads on, within bounds, until the other side has closed.
async fn linger(stream: &TcpStream, until: Instant) {
    let mut buffer = [0; 8 * 1024];
    let mut left = LINGER_BYTES;
    while left > 0 && matches!(timeout_at(until, stream.readable()).await, Ok(Ok(()))) {
        match stream.try_read(&mut buffer) {
            Ok(n @ 1..) => left = left.saturating_sub(n),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}
