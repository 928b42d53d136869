//! Serving HTTP connections with a `tide` application.
use super::framing::{Bounds, Progress, Received, RequestReader, Violation};
use crate::link::write_steadily;
use crate::listen::listen;
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use async_std::task;
use http_types::headers::CONNECTION;
use http_types::{Method, Response, StatusCode};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes read at a time.
const READ_BYTES: usize = 4 * 1024;
/// Between two tries to listen.
const RETRY: Duration = Duration::from_millis(100);
/// How long a client may take to read what it was answered before its connection is closed.
const LINGER: Duration = Duration::from_millis(500);
/// Bytes that are read and dropped after an answer that closes the connection.
const DROPPED_BYTES: usize = 1 << 20;
/// Sent where a client waits for it before it sends a body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What a connection may take.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a message.
    pub bounds: Bounds,
    /// How long a head may take to come from its first byte, and each part of a body after the one before.
    pub request: Duration,
    /// How long a connection may be idle.
    pub idle: Duration,
}

/// The limits at this moment.
pub type CurrentLimits = Arc<dyn Fn() -> Limits + Send + Sync>;

/// Listens at an address and serves all connections, at most so many at a time: one more is told so and closed.
pub async fn serve<S>(address: String, app: tide::Server<S>, limits: CurrentLimits, connections: usize)
where
    S: Clone + Send + Sync + 'static,
{
    let open = Arc::new(());
    loop {
        let listener = match listen(&address) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("{address}: {error}");
                task::sleep(RETRY).await;
                continue;
            }
        };
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("{address}: accept: {error}");
                    task::sleep(RETRY).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            let full = Arc::strong_count(&open) > connections;
            let (app, limits, open) = (app.clone(), limits.clone(), open.clone());
            task::spawn(async move {
                let mut connection = Connection { stream, reader: RequestReader::default() };
                if full {
                    connection.end_with(503, "too many connections").await;
                } else if let Err(error) = connection.serve(&app, &limits).await {
                    log::debug!("a client's connection ends: {error}");
                }
                drop(open);
            });
        }
    }
}

struct Connection {
    stream: TcpStream,
    reader: RequestReader,
}

/// What came of waiting for a request.
enum Awaited {
    Request(Box<Received>),
    Violation(Violation),
    /// It began and did not come in time.
    Late,
    /// The connection ended, or was idle for too long.
    End,
}

impl Connection {
    async fn serve<S>(&mut self, app: &tide::Server<S>, limits: &CurrentLimits) -> http_types::Result<()>
    where
        S: Clone + Send + Sync + 'static,
    {
        loop {
            let limits = limits();
            let received = match self.await_request(limits).await? {
                Awaited::Request(received) => received,
                Awaited::Violation(violation) => {
                    self.end_with(violation.status(), &violation.to_string()).await;
                    return Ok(());
                }
                Awaited::Late => {
                    self.end_with(408, "request not complete in time").await;
                    return Ok(());
                }
                Awaited::End => return Ok(()),
            };
            let method = received.request.method();
            let mut response: Response = app.respond(received.request).await?;
            if received.close {
                response.insert_header(CONNECTION, "close");
            }
            let close = response.header(CONNECTION).is_some_and(|value| value.as_str() == "close");
            self.write(response, method, limits.idle).await?;
            if close {
                self.linger().await;
                return Ok(());
            }
        }
    }

    async fn await_request(&mut self, limits: Limits) -> std::io::Result<Awaited> {
        let mut began = None;
        let mut buffer = [0; READ_BYTES];
        loop {
            match self.reader.next(limits.bounds) {
                Ok(Progress::Whole(received)) => return Ok(Awaited::Request(Box::new(received))),
                Ok(Progress::Continue) => write_steadily(&mut self.stream, CONTINUE, limits.idle).await?,
                Ok(Progress::Partial) => {}
                Err(violation) => return Ok(Awaited::Violation(violation)),
            }
            let patience = if self.reader.in_head() {
                let began = *began.get_or_insert_with(Instant::now);
                limits.request.saturating_sub(began.elapsed())
            } else if self.reader.in_body() {
                limits.request
            } else {
                limits.idle
            };
            match timeout(patience, self.stream.read(&mut buffer)).await {
                Ok(Ok(0)) => return Ok(Awaited::End),
                Ok(Ok(count)) => self.reader.push(&buffer[..count]),
                Ok(Err(error)) => return Err(error),
                Err(_) if self.reader.in_head() || self.reader.in_body() => return Ok(Awaited::Late),
                Err(_) => return Ok(Awaited::End),
            }
        }
    }

    async fn write(&mut self, response: Response, method: Method, patience: Duration) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        async_h1::server::Encoder::new(response, method).read_to_end(&mut bytes).await?;
        write_steadily(&mut self.stream, &bytes, patience).await
    }

    /// Answers and closes the connection.
    async fn end_with(&mut self, status: u16, why: &str) {
        let mut response = Response::new(StatusCode::try_from(status).unwrap_or(StatusCode::BadRequest));
        response.set_body(why);
        response.insert_header(CONNECTION, "close");
        if self.write(response, Method::Get, LINGER).await.is_ok() {
            self.linger().await;
        }
    }

    /// Lets the client read the last answer: a connection that is closed with bytes unread would be reset.
    async fn linger(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
        let mut buffer = [0; READ_BYTES];
        let mut dropped = 0;
        let until = Instant::now() + LINGER;
        while dropped < DROPPED_BYTES {
            let patience = until.saturating_duration_since(Instant::now());
            match timeout(patience, self.stream.read(&mut buffer)).await {
                Ok(Ok(count)) if count > 0 => dropped += count,
                _ => return,
            }
        }
    }
}
