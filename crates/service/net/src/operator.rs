//! The operators' address: one call on each connection, answered within a second whatever else goes
//! on.
use crate::wire::{
    self, Body, MAX_BODY, OperatorCall, OperatorReply, RequestError, error_response, operator_response,
};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

/// The most connections at a time; one more ends the oldest, so that callers who say nothing keep
/// nobody out.
pub const MAX_CALLS: usize = 16;
/// How long a connection may take in all.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The most that a connection buffers, bytes; hyper takes no less.
const MAX_HEAD: usize = 8 * 1024;
/// The pause after an accept that failed for want of a resource of the system.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A call on its way to the driver. Its channel goes before the driver's inbox, and holds no more
/// than [`MAX_CALLS`].
pub struct OperatorRequest {
    /// The call.
    pub call: OperatorCall,
    /// Where the answer goes.
    pub reply: oneshot::Sender<OperatorReply>,
}

/// Accepts calls for ever.
pub async fn listen(listener: TcpListener, requests: UnboundedSender<OperatorRequest>) {
    let mut calls: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                calls.retain(|call| !call.is_finished());
                if calls.len() >= MAX_CALLS {
                    calls.pop_front().inspect(JoinHandle::abort);
                }
                calls.push_back(tokio::spawn(serve(stream, requests.clone())));
            }
            Err(error) => {
                tracing::warn!(%error, "accept failed at the operators' address");
                sleep_until(Instant::now() + ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, requests: UnboundedSender<OperatorRequest>) {
    let until = Instant::now() + CALL_TIMEOUT;
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| async {
        let response = respond(request, &requests).await.unwrap_or_else(error_response);
        Ok::<_, Infallible>(wire::closing(response))
    });
    let mut http = http1::Builder::new();
    let http = http.keep_alive(false).max_buf_size(MAX_HEAD);
    let _ = timeout_at(until, http.serve_connection(TokioIo::new(stream), service)).await;
}

async fn respond(
    request: Request<Incoming>,
    requests: &UnboundedSender<OperatorRequest>,
) -> Result<Response<Body>, RequestError> {
    let call = OperatorCall::decode(request.method(), request.uri().path())?;
    // What is left unread would turn the end of the connection into a reset.
    let body = Limited::new(request.into_body(), MAX_BODY).collect().await;
    body.map_err(|_| RequestError::OperatorBody)?;
    let (reply, replied) = oneshot::channel();
    let _ = requests.send(OperatorRequest { call, reply });
    Ok(operator_response(replied.await.unwrap_or(OperatorReply::No("ending\n"))))
}
