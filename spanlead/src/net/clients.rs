//! The listener that clients and the workers' notices share.
use super::{lock, wire};
use crate::core::{Answer, Input, Job};
use crate::driver::{Clock, Message};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oatdock::RequestId;
use settings::Names;
use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};
use wire::{Body, CALLBACK, HEALTH, MAX_BODY, Notice, Parcel, Rejected};

/// A connection on which nothing was asked for this long is closed: what waits there is a head that never ends, an
/// answer that nobody reads, or a client that vanished.
const IDLE: Duration = Duration::from_secs(60);
/// The longest head that is read, and with it the most that a connection buffers: hyper's own limit, on all
/// connections at once, would go over the memory limit.
const MAX_HEAD: usize = 16 * 1024;
/// How long a body may take.
const BODY_WAIT: Duration = Duration::from_secs(5);
/// How long an idle connection that was asked to close may take.
const CLOSE_WAIT: Duration = Duration::from_secs(1);
/// The pause after an accept that failed for want of something in the system.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// A request as it goes to the driver.
pub struct Arrival {
    pub ticket: RequestId,
    pub job: Job,
    pub parcel: Parcel,
    pub reply: oneshot::Sender<Answer>,
}

/// What every client connection shares.
pub struct Front {
    names: Arc<Names>,
    clock: Clock,
    to: UnboundedSender<Message>,
    tickets: AtomicU64,
    lines: Mutex<HashMap<u64, Arc<Line>>>,
    /// A connection has ended.
    ended: Notify,
    /// A connection has become idle.
    idled: Notify,
    /// Requests can be taken.
    pub ready: AtomicBool,
    /// Connections are to end with the answer that they wait for.
    pub closing: AtomicBool,
}

/// A connection as the others see it.
struct Line {
    busy: AtomicBool,
    since: Mutex<Instant>,
    close: Notify,
}

impl Line {
    fn new() -> Self {
        Line { busy: AtomicBool::new(false), since: Mutex::new(Instant::now()), close: Notify::new() }
    }
}

/// A line is busy while this lives: from a request's head to its answer.
struct Busy<'a> {
    front: &'a Front,
    line: &'a Line,
}

impl<'a> Busy<'a> {
    fn new(front: &'a Front, line: &'a Line) -> Self {
        line.busy.store(true, Ordering::Relaxed);
        Busy { front, line }
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.line.busy.store(false, Ordering::Relaxed);
        *lock(&self.line.since) = Instant::now();
        self.front.idled.notify_one();
    }
}

/// Tells the driver if a request's connection ends before its answer came: dropped with the request's future.
struct Departure<'a> {
    ticket: RequestId,
    to: &'a UnboundedSender<Message>,
    answered: bool,
}

impl Drop for Departure<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.to.send(Message::Input(Input::ClientLeft { ticket: self.ticket }));
        }
    }
}

impl Front {
    /// A front whose requests go to `to`.
    pub fn new(names: Arc<Names>, clock: Clock, to: UnboundedSender<Message>) -> Self {
        Front {
            names,
            clock,
            to,
            tickets: AtomicU64::new(0),
            lines: Mutex::default(),
            ended: Notify::new(),
            idled: Notify::new(),
            ready: AtomicBool::new(false),
            closing: AtomicBool::new(false),
        }
    }

    /// Accepts connections for ever, at most `budget` at a time: at the limit it closes the longest idle one, and
    /// waits for a descriptor before it accepts.
    pub async fn listen(self: Arc<Self>, listener: TcpListener, budget: usize) {
        let budget = Arc::new(Semaphore::new(budget));
        while let Some(permit) = self.permit(&budget).await {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // Entered here, not by the task, which may start much later: what is not entered can't be asked
                    // to make room, and accepting would wait for it for ever.
                    let number = self.tickets.fetch_add(1, Ordering::Relaxed);
                    let line = Arc::new(Line::new());
                    lock(&self.lines).insert(number, line.clone());
                    let front = self.clone();
                    tokio::spawn(async move {
                        front.connection(stream, &line).await;
                        drop(permit);
                        lock(&front.lines).remove(&number);
                        front.ended.notify_waiters();
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    sleep_until(Instant::now() + ACCEPT_AGAIN).await;
                }
            }
        }
    }

    /// One connection's share of the budget. At the limit the connection that has been idle longest makes room, or
    /// the first to become idle.
    async fn permit(&self, budget: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        loop {
            if budget.available_permits() == 0 {
                self.close_longest_idle();
            }
            tokio::select! {
                permit = budget.clone().acquire_owned() => return permit.ok(),
                () = self.idled.notified() => {}
            }
        }
    }

    /// Serves one connection to its end.
    async fn connection(&self, stream: TcpStream, line: &Line) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            let busy = Busy::new(self, line);
            async move {
                let response = self.respond(request).await;
                drop(busy);
                let closing = self.closing.load(Ordering::Relaxed);
                Ok::<_, Infallible>(if closing { wire::closing(response) } else { response })
            }
        });
        let mut connection = pin!(
            http1::Builder::new().max_buf_size(MAX_HEAD).serve_connection(TokioIo::new(stream), service)
        );
        let mut closing = None;
        loop {
            let end = closing.unwrap_or(*lock(&line.since) + IDLE);
            tokio::select! {
                _ = connection.as_mut() => break,
                () = line.close.notified(), if closing.is_none() => {
                    closing = Some(Instant::now() + CLOSE_WAIT);
                    connection.as_mut().graceful_shutdown();
                }
                () = sleep_until(end) => {
                    if line.busy.load(Ordering::Relaxed) {
                        // An answer is owed: look again later.
                        *lock(&line.since) = Instant::now();
                        closing = closing.map(|_| Instant::now() + CLOSE_WAIT);
                    } else if closing.unwrap_or(*lock(&line.since) + IDLE) <= Instant::now() {
                        break;
                    }
                }
            }
        }
    }

    fn close_longest_idle(&self) {
        let lines = lock(&self.lines);
        let idle = lines.values().filter(|l| !l.busy.load(Ordering::Relaxed));
        if let Some(line) = idle.min_by_key(|l| *lock(&l.since)) {
            line.close.notify_one();
        }
    }

    /// Closes all connections, idle ones at once, the others with their answer; returns when they are closed or at
    /// `until`.
    pub async fn close(&self, until: Instant) {
        loop {
            let ended = self.ended.notified();
            {
                let lines = lock(&self.lines);
                if lines.is_empty() {
                    return;
                }
                lines.values().for_each(|l| l.close.notify_one());
            }
            if timeout_at(until, ended).await.is_err() {
                return;
            }
        }
    }

    /// Closes the connections that wait for nothing.
    pub fn close_idle(&self) {
        let lines = lock(&self.lines);
        lines.values().filter(|l| !l.busy.load(Ordering::Relaxed)).for_each(|l| l.close.notify_one());
    }

    // ------------------------------------------------------------ requests

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, HEALTH) => match self.ready.load(Ordering::Relaxed) {
                true => wire::plain(StatusCode::OK, "ready\n"),
                false => wire::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            },
            (&Method::POST, CALLBACK) => self.notice(request).await,
            _ => self.job(request).await.unwrap_or_else(|Rejected(status, why)| {
                // What is left of its body would be read as the next request.
                wire::closing(wire::plain(status, format!("{why}\n")))
            }),
        }
    }

    async fn notice(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = read(request.into_body(), Instant::now() + BODY_WAIT).await else {
            return wire::closing(wire::plain(StatusCode::BAD_REQUEST, "the body can't be read\n"));
        };
        let Some(notice) = Notice::read(&body) else {
            return wire::plain(StatusCode::BAD_REQUEST, "not a notice\n");
        };
        let _ = self.to.send(Message::Notice(notice));
        wire::plain(StatusCode::OK, "")
    }

    async fn job(&self, request: Request<Incoming>) -> Result<Response<Body>, Rejected> {
        let (head, body) = request.into_parts();
        let arrived = self.clock.now();
        let job = wire::job(&head, &self.names, arrived)?;
        let until = self.clock.instant(job.due).min(Instant::now() + BODY_WAIT);
        let body = read(body, until).await?;
        let ticket = RequestId(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = oneshot::channel();
        let arrival = Arrival { ticket, job, parcel: wire::parcel(head, body), reply };
        let mut departure = Departure { ticket, to: &self.to, answered: false };
        let _ = self.to.send(Message::Arrival(arrival));
        let answer = answer.await.unwrap_or(Answer::Failed);
        departure.answered = true;
        Ok(wire::answer(answer))
    }
}

async fn read(body: Incoming, until: Instant) -> Result<Bytes, Rejected> {
    if hyper::body::Body::size_hint(&body).lower() > MAX_BODY as u64 {
        return Err(Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
    }
    match timeout_at(until, Limited::new(body, MAX_BODY).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
        }
        Ok(Err(_)) => Err(Rejected(StatusCode::BAD_REQUEST, "the body broke off")),
        Err(_) => Err(Rejected(StatusCode::REQUEST_TIMEOUT, "the body took too long")),
    }
}
