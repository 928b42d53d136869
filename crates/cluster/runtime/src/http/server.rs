//! HTTP server that passes the requests of its connections to a `tide` application.
use super::framing::{FramingError, MessageLimits, Progress, ReceivedRequest, RequestReader};
use crate::freshness::EarliestSendTime;
use crate::socket::{listen, write_all_with_timeout};
use crate::timeout::timeout;
use async_std::io::ReadExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::future::poll_once;
use http_types::headers::CONNECTION;
use http_types::{Method, Response, StatusCode};
use std::net::Shutdown;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Delay before listening or accepting is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks whether connections wait to be accepted: the age of a connection is known
/// up to this.
const ACCEPT_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a client has to read the last response before its connection is closed, and time-out
/// for writing an error response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read and discarded after a response that closes the connection.
const MAX_LINGER_BYTES: usize = 1024 * 1024;
/// Interim response to a client that waits for it before sending the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

const REQUEST_TIMEOUT_STATUS: u16 = 408;
const OVERLOADED_STATUS: u16 = 503;

/// Size and time limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum size of a request.
    pub message: MessageLimits,
    /// Time-out for a head, from its first byte, and for each part of a body, from the previous
    /// one.
    pub request_timeout: Duration,
    /// Time-out for an idle connection.
    pub idle_timeout: Duration,
}

/// A function that returns the current limits, which change with the configuration.
pub type CurrentLimits = Arc<dyn Fn() -> ConnectionLimits + Send + Sync>;

/// Listens on an address, `ip:port`, and serves up to `max_connections` connections at a time: any
/// more are answered with status 503 and closed. Never returns.
pub async fn serve<S>(address: String, app: tide::Server<S>, limits: CurrentLimits, max_connections: usize)
where
    S: Clone + Send + Sync + 'static,
{
    let server = Server { app, limits, max_connections, open: Arc::new(()) };
    loop {
        match listen(&address) {
            Ok(listener) => server.accept_all(&address, &listener).await,
            Err(error) => log::error!("http listener failed address={address} error={error}"),
        }
        task::sleep(RETRY_INTERVAL).await;
    }
}

struct Server<S> {
    app: tide::Server<S>,
    limits: CurrentLimits,
    max_connections: usize,
    /// Its reference count is the number of open connections plus one: each owns a clone.
    open: Arc<()>,
}

impl<S> Server<S>
where
    S: Clone + Send + Sync + 'static,
{
    async fn accept_all(&self, address: &str, listener: &TcpListener) {
        let mut connected_after = EarliestSendTime(Instant::now());
        loop {
            let checked_at = EarliestSendTime(Instant::now());
            let accepted = match poll_once(listener.accept()).await {
                // The connection may have waited since the last check that found none.
                Some(accepted) => accepted,
                None => {
                    connected_after = checked_at;
                    match timeout(ACCEPT_CHECK_INTERVAL, listener.accept()).await {
                        Ok(accepted) => accepted,
                        Err(_) => continue,
                    }
                }
            };
            match accepted {
                Ok((stream, _)) => self.spawn_connection(stream, connected_after),
                Err(error) => {
                    log::warn!("http accept failed address={address} error={error}");
                    task::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Serves a connection on which the client can have sent nothing before `connected_after`.
    fn spawn_connection(&self, stream: TcpStream, connected_after: EarliestSendTime) {
        let _ = stream.set_nodelay(true);
        let is_full = Arc::strong_count(&self.open) > self.max_connections;
        let (app, limits, open) = (self.app.clone(), self.limits.clone(), self.open.clone());
        task::spawn(async move {
            let reader = RequestReader::default();
            let mut connection = Connection { stream, reader, next_sent_after: connected_after };
            if is_full {
                connection.respond_and_close(OVERLOADED_STATUS, "too many connections").await;
            } else if let Err(error) = connection.serve(&app, &limits).await {
                log::debug!("client connection ended error={error}");
            }
            drop(open);
        });
    }
}

struct Connection {
    stream: TcpStream,
    reader: RequestReader,
    /// The earliest time at which the client can have sent the next request.
    next_sent_after: EarliestSendTime,
}

/// The outcome of waiting for a request.
enum NextRequest {
    /// A complete request.
    Received(Box<ReceivedRequest>),
    /// An invalid request, or one that exceeds the limits.
    Refused(FramingError),
    /// A request that was started and not completed in time.
    TimedOut,
    /// The connection ended or was idle for too long.
    ConnectionEnded,
}

impl Connection {
    async fn serve<S>(&mut self, app: &tide::Server<S>, limits: &CurrentLimits) -> http_types::Result<()>
    where
        S: Clone + Send + Sync + 'static,
    {
        loop {
            let limits = limits();
            match self.next_request(limits).await? {
                NextRequest::Received(received) => {
                    if self.respond(app, *received, limits.idle_timeout).await? {
                        return Ok(());
                    }
                }
                NextRequest::Refused(error) => {
                    self.respond_and_close(error.status(), &error.to_string()).await;
                    return Ok(());
                }
                NextRequest::TimedOut => {
                    self.respond_and_close(REQUEST_TIMEOUT_STATUS, "request not complete in time").await;
                    return Ok(());
                }
                NextRequest::ConnectionEnded => return Ok(()),
            }
        }
    }

    /// Responds to a request. Returns whether the connection was closed after the response.
    async fn respond<S>(
        &mut self,
        app: &tide::Server<S>,
        mut received: ReceivedRequest,
        write_timeout: Duration,
    ) -> http_types::Result<bool>
    where
        S: Clone + Send + Sync + 'static,
    {
        let method = received.request.method();
        received.request.ext_mut().insert(self.next_sent_after);
        let mut response: Response = app.respond(received.request).await?;
        if received.close {
            response.insert_header(CONNECTION, "close");
        }
        let close = response.header(CONNECTION).is_some_and(|value| value.as_str() == "close");
        if !self.has_received_next_request().await {
            self.next_sent_after = EarliestSendTime(Instant::now());
        }
        self.write(response, method, write_timeout).await?;
        if close {
            self.linger().await;
        }
        Ok(close)
    }

    /// Whether bytes of a further request have arrived already: the client does not wait for the
    /// response, so this request may have been sent together with the one before.
    async fn has_received_next_request(&mut self) -> bool {
        if self.reader.in_head() || self.reader.in_body() {
            return true;
        }
        let mut buffer = [0; READ_BYTES];
        match poll_once(self.stream.read(&mut buffer)).await {
            Some(Ok(count)) if count > 0 => {
                self.reader.push(&buffer[..count]);
                true
            }
            _ => false,
        }
    }

    /// Reads until a request is complete, invalid or timed out, or the connection ends.
    async fn next_request(&mut self, limits: ConnectionLimits) -> std::io::Result<NextRequest> {
        let mut head_started_at = None;
        let mut buffer = [0; READ_BYTES];
        loop {
            match self.reader.next(limits.message) {
                Ok(Progress::Complete(received)) => return Ok(NextRequest::Received(Box::new(received))),
                Ok(Progress::ExpectsContinue) => {
                    write_all_with_timeout(&mut self.stream, CONTINUE, limits.idle_timeout).await?;
                }
                Ok(Progress::Incomplete) => {}
                Err(error) => return Ok(NextRequest::Refused(error)),
            }
            let read_timeout = if self.reader.in_head() {
                let started_at = *head_started_at.get_or_insert_with(Instant::now);
                limits.request_timeout.saturating_sub(started_at.elapsed())
            } else if self.reader.in_body() {
                limits.request_timeout
            } else {
                limits.idle_timeout
            };
            match timeout(read_timeout, self.stream.read(&mut buffer)).await {
                Ok(Ok(0)) => return Ok(NextRequest::ConnectionEnded),
                Ok(Ok(count)) => self.reader.push(&buffer[..count]),
                Ok(Err(error)) => return Err(error),
                Err(_) if self.reader.in_head() || self.reader.in_body() => {
                    return Ok(NextRequest::TimedOut);
                }
                Err(_) => return Ok(NextRequest::ConnectionEnded),
            }
        }
    }

    async fn write(
        &mut self,
        response: Response,
        method: Method,
        write_timeout: Duration,
    ) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        async_h1::server::Encoder::new(response, method).read_to_end(&mut bytes).await?;
        write_all_with_timeout(&mut self.stream, &bytes, write_timeout).await
    }

    /// Sends an error response with `reason` as its body and closes the connection.
    async fn respond_and_close(&mut self, status: u16, reason: &str) {
        let mut response = Response::new(StatusCode::try_from(status).unwrap_or(StatusCode::BadRequest));
        response.set_body(reason);
        response.insert_header(CONNECTION, "close");
        if self.write(response, Method::Get, LINGER_TIMEOUT).await.is_ok() {
            self.linger().await;
        }
    }

    /// Shuts down the sending side and discards received bytes, until the client closes the
    /// connection or a limit is reached. Closing the connection with unread bytes would reset it,
    /// and the client would lose the last response.
    async fn linger(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let mut buffer = [0; READ_BYTES];
        let mut discarded = 0;
        let deadline = Instant::now() + LINGER_TIMEOUT;
        while discarded < MAX_LINGER_BYTES {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match timeout(remaining, self.stream.read(&mut buffer)).await {
                Ok(Ok(count)) if count > 0 => discarded += count,
                _ => return,
            }
        }
    }
}
