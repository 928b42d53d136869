//! HTTP calls over persistent connections: a connection is reused only while it is open and has no
//! unread bytes, and a truncated response is an error.
mod common;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use common::connect;
use spanlead_cluster_runtime::http::client::{self, CallError};
use std::time::Duration;

/// Starts a worker that runs `serve` on each connection, and returns its address.
async fn worker<F, R>(serve: F) -> String
where
    F: Fn(TcpStream) -> R + Send + 'static,
    R: std::future::Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(serve(stream));
        }
    });
    address
}

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

#[async_std::test]
async fn an_idle_connection_that_was_closed_or_has_unread_bytes_is_not_reusable() {
    let closes = worker(|mut stream: TcpStream| async move {
        let mut buffer = [0; 1_024];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(OK).await;
    })
    .await;
    let mut stream = connect(&closes).await;
    let response = client::call(&mut stream, b"POST /x HTTP/1.1\r\n\r\n").await.expect("answered");
    assert!(response.reusable);
    task::sleep(Duration::from_millis(50)).await;
    assert!(!client::is_reusable(&stream), "closed by the worker");

    let sends_twice = worker(|mut stream: TcpStream| async move {
        let mut buffer = [0; 1_024];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(OK).await;
        task::sleep(Duration::from_millis(30)).await;
        let _ = stream.write_all(OK).await;
        task::sleep(Duration::from_millis(500)).await;
    })
    .await;
    let mut stream = connect(&sends_twice).await;
    let response = client::call(&mut stream, b"POST /x HTTP/1.1\r\n\r\n").await.expect("answered");
    assert!(response.reusable && client::is_reusable(&stream), "nothing was received yet");
    task::sleep(Duration::from_millis(60)).await;
    assert!(!client::is_reusable(&stream), "an unsolicited response was received");
}

#[async_std::test]
async fn a_truncated_response_is_an_error() {
    let truncates = worker(|mut stream: TcpStream| async move {
        let mut buffer = [0; 1_024];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(&OK[..OK.len() - 1]).await;
    })
    .await;
    let mut stream = connect(&truncates).await;
    let error = client::call(&mut stream, b"POST /x HTTP/1.1\r\n\r\n").await.expect_err("truncated");
    assert!(matches!(error, CallError::Truncated | CallError::Io(_)), "{error}");
}
