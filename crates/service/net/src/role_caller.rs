//! The call that the holder of a singleton role makes: one exchange on a connection of its own,
//! with the term in a header.
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use spanlead_engine::RoleCallResult;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// The header that carries the term, and in an answer of 409 the highest one that was seen.
pub const TERM_HEADER: &str = "duty-term";
/// The most that is read of an answer's body, bytes: only its end matters.
const MAX_BODY: usize = 64 * 1024;

/// Calls the address of a role with the term of its lease; it has ended at `until` at the latest.
pub async fn call_role(addr: SocketAddr, path: &str, term: u64, until: Instant) -> RoleCallResult {
    timeout_at(until, exchange(addr, path, term)).await.ok().flatten().unwrap_or(RoleCallResult::Failed)
}

async fn exchange(addr: SocketAddr, path: &str, term: u64) -> Option<RoleCallResult> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // It ends with the sender, when this is over or given up.
    tokio::spawn(connection);
    let request = Request::post(path).header("host", addr.to_string()).header(TERM_HEADER, term);
    let response = sender.send_request(request.body(Empty::<Bytes>::new()).ok()?).await.ok()?;
    let highest_term =
        response.headers().get(TERM_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
    let status = response.status();
    let _ = Limited::new(response.into_body(), MAX_BODY).collect().await;
    Some(match (status, highest_term) {
        (status, _) if status.is_success() => RoleCallResult::Done,
        (StatusCode::CONFLICT, Some(highest_term)) => RoleCallResult::Fenced(highest_term),
        _ => RoleCallResult::Failed,
    })
}
