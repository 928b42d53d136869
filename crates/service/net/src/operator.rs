//! The operators' door: one call on each connection, answered within a second whatever else goes on.
use super::wire::{self, Body, MAX_BODY, OperatorCall, OperatorReply, Rejection};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

/// How many connections are held at a time; one more ends the oldest, so that callers who say nothing keep nobody out.
pub const MAX_CALLS: usize = 16;
/// How long a connection may take in all.
const CALL_WAIT: Duration = Duration::from_secs(5);
/// The most that a connection buffers; hyper takes no less.
const MAX_HEAD: usize = 8 * 1024;
/// The pause after an accept that failed for want of something in the system.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// A call on its way to the driver. Its channel is a way ahead of the inbox, and no longer than [`MAX_CALLS`].
pub struct OperatorRequest {
    pub call: OperatorCall,
    pub reply: oneshot::Sender<OperatorReply>,
}

/// Accepts calls for ever.
pub async fn listen(listener: TcpListener, to: UnboundedSender<OperatorRequest>) {
    let mut calls: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                calls.retain(|call| !call.is_finished());
                if calls.len() >= MAX_CALLS {
                    calls.pop_front().inspect(JoinHandle::abort);
                }
                calls.push_back(tokio::spawn(connection(stream, to.clone())));
            }
            Err(error) => {
                tracing::warn!(%error, "accept failed at the operators' door");
                sleep_until(Instant::now() + ACCEPT_AGAIN).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, to: UnboundedSender<OperatorRequest>) {
    let until = Instant::now() + CALL_WAIT;
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| async {
        let response = answer(request, &to).await.unwrap_or_else(wire::rejection);
        Ok::<_, Infallible>(wire::closing(response))
    });
    let mut http = http1::Builder::new();
    let http = http.keep_alive(false).max_buf_size(MAX_HEAD);
    let _ = timeout_at(until, http.serve_connection(TokioIo::new(stream), service)).await;
}

async fn answer(
    request: Request<Incoming>,
    to: &UnboundedSender<OperatorRequest>,
) -> Result<Response<Body>, Rejection> {
    let call = wire::operator_call(request.method(), request.uri().path())?;
    // What is left unread would turn the end of the connection into a reset.
    let body = Limited::new(request.into_body(), MAX_BODY).collect().await;
    body.map_err(|_| Rejection(StatusCode::BAD_REQUEST, "the body is broken or too large"))?;
    let (reply, replied) = oneshot::channel();
    let _ = to.send(OperatorRequest { call, reply });
    Ok(wire::operator_reply(replied.await.unwrap_or(OperatorReply::No("ending\n"))))
}
