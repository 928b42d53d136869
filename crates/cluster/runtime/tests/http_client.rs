//! Calls over kept connections: one is never used for a call that it can't carry.
mod common;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use common::connect;
use spanlead_cluster_runtime::http::client::{self, CallError};
use std::time::Duration;

/// A worker that does on each connection what `act` says.
async fn worker<F, R>(act: F) -> String
where
    F: Fn(TcpStream) -> R + Send + 'static,
    R: std::future::Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(act(stream));
        }
    });
    address
}

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

#[async_std::test]
async fn an_idle_connection_that_was_closed_or_has_unread_bytes_is_not_idle() {
    let closing = worker(|mut stream: TcpStream| async move {
        let mut buffer = [0; 1_024];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(OK).await;
    })
    .await;
    let mut stream = connect(&closing).await;
    let answer = client::call(&mut stream, b"POST /x HTTP/1.1\r\n\r\n").await.expect("answered");
    assert!(answer.reusable);
    task::sleep(Duration::from_millis(50)).await;
    assert!(!client::is_reusable(&stream), "closed by the worker");

    let talkative = worker(|mut stream: TcpStream| async move {
        let mut buffer = [0; 1_024];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(OK).await;
        task::sleep(Duration::from_millis(30)).await;
        let _ = stream.write_all(OK).await;
        task::sleep(Duration::from_millis(500)).await;
    })
    .await;
    let mut stream = connect(&talkative).await;
    let answer = client::call(&mut stream, b"POST /x HTTP/1.1\r\n\r\n").await.expect("answered");
    assert!(answer.reusable && client::is_reusable(&stream), "nothing has come yet");
    task::sleep(Duration::from_millis(60)).await;
    assert!(!client::is_reusable(&stream), "an answer without a question");
}

#[async_std::test]
async fn a_truncated_response_is_an_error() {
    let cutting = worker(|mut stream: TcpStream| async move {
        let mut buffer = [0; 1_024];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(&OK[..OK.len() - 1]).await;
    })
    .await;
    let mut stream = connect(&cutting).await;
    let error = client::call(&mut stream, b"POST /x HTTP/1.1\r\n\r\n").await.expect_err("cut");
    assert!(matches!(error, CallError::Truncated | CallError::Io(_)), "{error}");
}
