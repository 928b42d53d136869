//! HTTP/1.1 as all parts speak it.
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

pub type Body = Full<Bytes>;

pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

pub async fn whole(body: Incoming) -> io::Result<Bytes> {
    body.collect().await.map(|b| b.to_bytes()).map_err(io::Error::other)
}

/// Answers all that comes to a listener, for ever.
pub fn serve<F, A>(listener: TcpListener, answer: F) -> AbortHandle
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let serving = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let answered = answer(request);
                    async move { Ok::<_, Infallible>(answered.await) }
                });
                let http = hyper::server::conn::http1::Builder::new();
                let _ = http.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    serving.abort_handle()
}

/// A client's connection; it closes with this.
pub struct Connection {
    sender: SendRequest<Body>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    pub async fn open(addr: SocketAddr, until: Instant) -> io::Result<Self> {
        let late = || io::Error::from(io::ErrorKind::TimedOut);
        let stream = timeout_at(until, TcpStream::connect(addr)).await.map_err(|_| late())??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, task })
    }

    pub fn usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// One exchange; `None` if the time is up.
    pub async fn exchange(
        &mut self,
        request: Request<Body>,
        until: Instant,
    ) -> Option<io::Result<(hyper::http::response::Parts, Bytes)>> {
        let exchange = async {
            self.sender.ready().await.map_err(io::Error::other)?;
            let response = self.sender.send_request(request).await.map_err(io::Error::other)?;
            let (head, body) = response.into_parts();
            Ok((head, whole(body).await?))
        };
        timeout_at(until, exchange).await.ok()
    }
}
