//! One connection to a worker or to discovery.
use super::exchange_error::ExchangeError;
use super::write_meter::WriteMeter;
use crate::wire::Body;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

/// The stream under a connection. It owns the connection's descriptor, and its share of the budget
/// is given back with it.
struct MeteredStream {
    stream: TcpStream,
    meter: Arc<WriteMeter>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsyncRead for MeteredStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, to)
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let length = ready!(Pin::new(&mut this.stream).poll_write(cx, bytes))?;
        this.meter.wrote(&bytes[..length]);
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

/// A connection that carries one request at a time. Dropping it closes it, whatever is in progress.
pub struct Connection {
    sender: SendRequest<Body>,
    pub(super) meter: Arc<WriteMeter>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An answer, read whole.
pub struct HttpResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Connection {
    /// Opens a connection; `permit` is its share of a budget of descriptors.
    ///
    /// # Errors
    /// [`ExchangeError::NotSent`] if it is not up by `until`.
    pub async fn open(
        addr: SocketAddr,
        until: Instant,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<Self, ExchangeError> {
        let Ok(Ok(stream)) = timeout_at(until, TcpStream::connect(addr)).await else {
            return Err(ExchangeError::NotSent);
        };
        let _ = stream.set_nodelay(true);
        let meter = Arc::new(WriteMeter::default());
        let stream = MeteredStream { stream, meter: meter.clone(), _permit: permit };
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| ExchangeError::NotSent)?;
        // Errors reach whoever waits for an answer; between requests they only mean that the
        // connection is gone.
        let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, meter, task })
    }

    /// Whether the other side has closed it.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// See [`ExchangeError`]; the connection is of no use any more then.
    pub async fn exchange(
        &mut self,
        request: Request<Body>,
        until: Instant,
        max_body: usize,
    ) -> Result<HttpResponse, ExchangeError> {
        self.meter.begin(hyper::body::Body::size_hint(request.body()).lower());
        let meter = self.meter.clone();
        let broken = move |error| {
            if meter.is_complete() {
                ExchangeError::after_whole_request(error)
            } else {
                ExchangeError::NotSent
            }
        };
        let whole = async {
            self.sender.ready().await.map_err(|_| ExchangeError::NotSent)?;
            let response = self.sender.send_request(request).await.map_err(|error| broken(error.into()))?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, max_body).collect().await.map_err(broken)?;
            Ok(HttpResponse { status: head.status, headers: head.headers, body: body.to_bytes() })
        };
        timeout_at(until, whole).await.unwrap_or(Err(ExchangeError::Timeout))
    }
}
