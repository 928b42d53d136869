//! HTTP over one connection, from its first request to its end.
use super::listener::ClientListener;
use super::request_guard::RequestGuard;
use super::stream::ConnectionStream;
use crate::client_connection::{ClientConnection, ConnectionStage};
use crate::lock::lock;
use crate::message::report_invalid_input;
use crate::wire::{self, Body};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

/// The longest head that is read, bytes, and with it the most that a connection buffers: hyper's
/// own limit, on all connections at once, would go over the memory limit.
pub const MAX_HEAD: usize = 16 * 1024;
/// Bytes that are still read of a client that goes on sending after its last answer: a connection
/// that is closed with unread input is reset, which can destroy the answer on its way.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// For how long they are read.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

impl ClientListener {
    /// Serves one connection to its end. `replayed` is what another process had read from it.
    pub(super) async fn serve_connection(&self, replayed: Bytes, connection: &Arc<ClientConnection>) {
        let stream = ConnectionStream { replayed, connection: connection.clone() };
        let is_in_order = self.serve_http(stream, connection).await;
        *lock(&connection.stage) = ConnectionStage::Lingering;
        if is_in_order {
            tokio::select! {
                () = linger(&connection.socket, Instant::now() + LINGER_TIMEOUT) => {}
                () = connection.cut.notified() => {}
            }
        }
    }

    /// Speaks HTTP over a connection. Returns whether that ended in order, our side of it closed.
    async fn serve_http(&self, stream: ConnectionStream, connection: &Arc<ClientConnection>) -> bool {
        let service = service_fn(|request| self.serve_request(request, connection));
        let mut builder = http1::Builder::new();
        let builder = builder.max_buf_size(MAX_HEAD);
        let mut http = pin!(builder.serve_connection(TokioIo::new(stream), service));
        loop {
            tokio::select! {
                end = http.as_mut() => {
                    if end.is_err_and(|error| error.is_parse()) {
                        report_invalid_input(&self.messages, "not HTTP");
                    }
                    return true;
                }
                () = connection.begun.notified() => {}
                // What has begun to arrive is still served; the stream tells HTTP of the end when
                // nothing is left.
                () = connection.close.notified() => connection.ending.store(true, Ordering::Relaxed),
                () = connection.cut.notified() => {
                    if connection.is_released() || !matches!(connection.stage(), ConnectionStage::Busy) {
                        return false;
                    }
                }
                () = connection.disconnected.notified() => return false,
                () = sleep_until(connection.deadline()) => {
                    if connection.deadline() <= Instant::now() {
                        return false;
                    }
                }
            }
        }
    }

    /// Serves one request. The connection is busy from this call on, before the future first runs.
    fn serve_request<'a>(
        &'a self,
        request: Request<Incoming>,
        connection: &'a Arc<ClientConnection>,
    ) -> impl Future<Output = Result<Response<Body>, Infallible>> + 'a {
        let guard = RequestGuard::new(self, connection);
        async move {
            // Whatever stands behind a body that names its own end is not read: see `HeadScanner`.
            let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
            let response = self.respond(request, &guard).await;
            drop(guard);
            let is_closing = is_chunked || self.closing.load(Ordering::Relaxed) || connection.is_ending();
            Ok(if is_closing { wire::closing(response) } else { response })
        }
    }
}

/// Reads and discards, within bounds, until the other side has closed.
async fn linger(stream: &TcpStream, until: Instant) {
    let mut buffer = [0; 8 * 1024];
    let mut left = MAX_LINGER_BYTES;
    while left > 0 && matches!(timeout_at(until, stream.readable()).await, Ok(Ok(()))) {
        match stream.try_read(&mut buffer) {
            Ok(length @ 1..) => left = left.saturating_sub(length),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}
