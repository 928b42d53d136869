//! The HTTP server on real sockets: requests are answered in order, and size and time limits are
//! enforced while bytes arrive.
mod common;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use common::{connect, free_address};
use spanlead_cluster_runtime::freshness::EarliestSendTime;
use spanlead_cluster_runtime::http::framing::MessageLimits;
use spanlead_cluster_runtime::http::server::{self, ConnectionLimits};
use std::net::Shutdown;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Serves an application that responds with the request's method, path and body length, with up to
/// 4 connections. Returns its address.
fn serve() -> String {
    let address = free_address();
    let mut app = tide::new();
    app.at("/*").all(|mut request: tide::Request<()>| async move {
        let length = request.body_bytes().await?.len();
        Ok(format!("{} {} {length}", request.method(), request.url().path()))
    });
    let limits = || ConnectionLimits {
        message: MessageLimits { max_head_bytes: 2_048, max_body_bytes: 4_096 },
        request_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_millis(600),
    };
    task::spawn(server::serve(address.clone(), app, Arc::new(limits), 4));
    address
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text).await;
    String::from_utf8(text).expect("text")
}

#[async_std::test]
async fn pipelined_requests_are_answered_in_order() {
    let address = serve();
    for piece in [1, 20, 10_000] {
        let mut stream = connect(&address).await;
        let post = "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
        let all = [
            "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n",
            post,
            "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        ]
        .concat();
        for part in all.as_bytes().chunks(piece) {
            stream.write_all(part).await.expect("written");
        }
        let text = read_to_end(&mut stream).await;
        let order: Vec<usize> =
            ["GET /1 0", "POST /2 5", "GET /3 0"].iter().map(|a| text.find(a).expect("answered")).collect();
        assert!(order.is_sorted(), "{text}");
        assert_eq!(text.matches("HTTP/1.1 200").count(), 3, "{text}");
    }
}

#[async_std::test]
async fn a_client_that_shut_down_its_sending_side_receives_all_responses() {
    let mut stream = connect(&serve()).await;
    stream
        .write_all(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
        .await
        .expect("written");
    stream.shutdown(Shutdown::Write).expect("half closed");
    let text = read_to_end(&mut stream).await;
    assert!(text.contains("GET /1 0") && text.contains("GET /2 0"), "{text}");
}

#[async_std::test]
async fn expect_continue_is_answered_with_100_or_with_413_if_the_body_is_too_large() {
    let address = serve();
    let mut stream = connect(&address).await;
    stream
        .write_all(b"POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 3\r\n\r\n")
        .await
        .expect("written");
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.expect("an interim response");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"abc").await.expect("written");
    assert!(read_to_end(&mut stream).await.contains("POST /1 3"));

    let mut stream = connect(&address).await;
    stream
        .write_all(b"POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5000\r\n\r\n")
        .await
        .expect("written");
    assert!(read_to_end(&mut stream).await.starts_with("HTTP/1.1 413"));
}

#[async_std::test]
async fn an_error_response_reaches_a_client_that_is_still_sending() {
    let address = serve();
    let mut stream = connect(&address).await;
    let head = b"POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head).await.expect("written");
    let chunk = [b"400\r\n".as_slice(), &[b'x'; 1_024], b"\r\n"].concat();
    for _ in 0..64 {
        if stream.write_all(&chunk).await.is_err() {
            break;
        }
    }
    let mut start = [0; 12];
    stream.read_exact(&mut start).await.expect("answered");
    assert_eq!(&start, b"HTTP/1.1 413");
}

#[async_std::test]
async fn a_slow_body_is_accepted_while_it_makes_progress_and_times_out_otherwise() {
    let address = serve();
    let mut stream = connect(&address).await;
    let head = b"POST /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n\r\n";
    stream.write_all(head).await.expect("written");
    for byte in [b"a", b"b", b"c", b"d"] {
        task::sleep(Duration::from_millis(200)).await;
        stream.write_all(byte).await.expect("written");
    }
    assert!(read_to_end(&mut stream).await.contains("POST /1 4"));

    let mut stream = connect(&address).await;
    stream.write_all(head).await.expect("written");
    stream.write_all(b"ab").await.expect("written");
    assert!(read_to_end(&mut stream).await.starts_with("HTTP/1.1 408"), "a body without progress times out");
}

#[async_std::test]
async fn an_incomplete_head_times_out_and_a_connection_over_the_limit_is_refused() {
    let address = serve();
    let mut slow = connect(&address).await;
    slow.write_all(b"GET /1 HT").await.expect("written");
    assert!(read_to_end(&mut slow).await.starts_with("HTTP/1.1 408"));

    let mut open = Vec::new();
    for _ in 0..4 {
        let mut stream = connect(&address).await;
        stream.write_all(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("written");
        let mut start = [0; 12];
        stream.read_exact(&mut start).await.expect("answered");
        open.push(stream);
    }
    let mut over_limit = connect(&address).await;
    assert!(read_to_end(&mut over_limit).await.starts_with("HTTP/1.1 503"));
    // The idle connections are closed at their time-out, which makes room for new ones.
    for mut stream in open {
        read_to_end(&mut stream).await;
    }
    let mut stream = connect(&address).await;
    stream.write_all(b"GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await.expect("written");
    assert!(read_to_end(&mut stream).await.contains("GET /1 0"));
}

/// Serves an application that responds, after 100 ms, with the time between the start of the test
/// and the earliest time at which the request can have been sent, milliseconds. Returns its address.
fn serve_send_times(started_at: Instant) -> String {
    let address = free_address();
    let mut app = tide::new();
    app.at("/*").all(move |request: tide::Request<()>| async move {
        task::sleep(RESPONSE_DELAY).await;
        let sent_after = request.ext::<EarliestSendTime>().expect("attached by the server");
        Ok(format!("{}.", sent_after.0.duration_since(started_at).as_millis()))
    });
    let limits = || ConnectionLimits {
        message: MessageLimits { max_head_bytes: 2_048, max_body_bytes: 4_096 },
        request_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_secs(5),
    };
    task::spawn(server::serve(address.clone(), app, Arc::new(limits), 4));
    address
}

const RESPONSE_DELAY: Duration = Duration::from_millis(100);

/// Reads one response of [`serve_send_times`].
async fn read_send_time(stream: &mut TcpStream) -> Duration {
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with('.') || !text.contains("\r\n\r\n") {
        stream.read_exact(&mut byte).await.expect("a response");
        text.push(char::from(byte[0]));
    }
    let body = text.rsplit("\r\n").next().expect("a body");
    Duration::from_millis(body.trim_end_matches('.').parse().expect("a number"))
}

const REQUEST: &[u8] = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";

/// The next request of a client that waits for responses was sent after the last response, however
/// long the connection is kept.
#[async_std::test]
async fn request_on_a_kept_connection_was_sent_after_the_last_response() {
    let started_at = Instant::now();
    let mut stream = connect(&serve_send_times(started_at)).await;
    for _ in 0..3 {
        let sent_at = started_at.elapsed();
        stream.write_all(REQUEST).await.expect("written");
        let sent_after = read_send_time(&mut stream).await;
        assert!(sent_after <= sent_at, "{sent_after:?} is later than {sent_at:?}");
        let responded_at = started_at.elapsed();
        task::sleep(RESPONSE_DELAY).await;
        stream.write_all(REQUEST).await.expect("written");
        let next_sent_after = read_send_time(&mut stream).await;
        assert!(next_sent_after + RESPONSE_DELAY / 2 >= responded_at, "{next_sent_after:?}");
    }
}

/// A request that is sent without waiting for the response before it may be as old as that request.
#[async_std::test]
async fn pipelined_requests_may_have_been_sent_together() {
    let started_at = Instant::now();
    let mut stream = connect(&serve_send_times(started_at)).await;
    let sent_at = started_at.elapsed();
    for _ in 0..3 {
        stream.write_all(REQUEST).await.expect("written");
    }
    for _ in 0..3 {
        let sent_after = read_send_time(&mut stream).await;
        assert!(sent_after <= sent_at, "{sent_after:?} is later than {sent_at:?}");
    }
}

/// An idle server knows about a new connection that it is new.
#[async_std::test]
async fn request_on_a_new_connection_was_sent_recently_although_the_server_was_idle() {
    let started_at = Instant::now();
    let address = serve_send_times(started_at);
    drop(connect(&address).await);
    task::sleep(Duration::from_millis(2_500)).await;
    let connected_at = started_at.elapsed();
    let mut stream = connect(&address).await;
    stream.write_all(REQUEST).await.expect("written");
    let sent_after = read_send_time(&mut stream).await;
    assert!(sent_after <= connected_at, "{sent_after:?} is later than {connected_at:?}");
    assert!(sent_after + Duration::from_millis(1_500) >= connected_at, "{sent_after:?}");
}
