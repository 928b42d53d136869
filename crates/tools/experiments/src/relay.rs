//! A bare relay: the exchanges that a scheduler makes for a job, with nothing decided and nothing
//! kept. A client's job goes to
//! the next worker on a new connection, the worker's notices come to the same port, and the last
//! one's result is the answer.
//! What a scheduler takes beyond this is the cost of its decisions and its state.
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

#[derive(Deserialize)]
struct Notice {
    id: String,
    state: String,
    #[serde(default)]
    result: String,
}

struct Relay {
    workers: Vec<SocketAddr>,
    next: Cell<usize>,
    waiting: RefCell<HashMap<String, oneshot::Sender<Option<String>>>>,
}

fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

impl Relay {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let (head, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        if head.uri.path() == "/callback" {
            if let Ok(notice) = serde_json::from_slice::<Notice>(&body) {
                let end = match notice.state.as_str() {
                    "done" => Some(Some(notice.result)),
                    "failed" | "returned" | "lost" => Some(None),
                    _ => None,
                };
                if let Some(end) = end
                    && let Some(waits) = self.waiting.borrow_mut().remove(&notice.id)
                {
                    let _ = waits.send(end);
                }
            }
            return Ok(answer(StatusCode::OK, ""));
        }
        let Some(id) = head.headers.get("req-id").and_then(|v| v.to_str().ok()).map(str::to_owned) else {
            return Ok(answer(StatusCode::OK, ""));
        };
        let (to, ended) = oneshot::channel();
        self.waiting.borrow_mut().insert(id.clone(), to);
        for _ in 0..self.workers.len() {
            let worker = self.workers[self.next.get() % self.workers.len()];
            self.next.set(self.next.get() + 1);
            if matches!(hand_over(worker, &head, body.clone()).await, Some(StatusCode::ACCEPTED)) {
                return Ok(match ended.await {
                    Ok(Some(result)) => answer(StatusCode::OK, result),
                    _ => answer(StatusCode::BAD_GATEWAY, ""),
                });
            }
        }
        self.waiting.borrow_mut().remove(&id);
        Ok(answer(StatusCode::SERVICE_UNAVAILABLE, ""))
    }
}

async fn hand_over(
    worker: SocketAddr,
    head: &hyper::http::request::Parts,
    body: Bytes,
) -> Option<StatusCode> {
    let stream = TcpStream::connect(worker).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    let mut request = Request::new(Full::new(body));
    (*request.method_mut(), *request.uri_mut()) = (head.method.clone(), head.uri.clone());
    for name in ["host", "req-id", "req-deadline-ms", "idempotency-key"] {
        if let Some(value) = head.headers.get(name) {
            request.headers_mut().insert(name, value.clone());
        }
    }
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}

/// Relays for ever.
///
/// # Errors
/// If it can't listen.
pub fn serve(listen: SocketAddr, workers: Vec<SocketAddr>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let listener = TcpListener::bind(listen).await?;
        let relay = Rc::new(Relay { workers, next: Cell::new(0), waiting: RefCell::default() });
        loop {
            let (stream, _) = listener.accept().await?;
            let _ = stream.set_nodelay(true);
            let relay = relay.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| relay.handle(request));
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}
