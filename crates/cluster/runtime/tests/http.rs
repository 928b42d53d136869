//! HTTP on real sockets and byte by byte: every request gets its own answer in order, bounds hold while bytes come, and a
//! connection is never used for a call that it can't carry.
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use spanlead_cluster_runtime::http::framing::{
    FramingError, MessageLimits, Progress, RequestReader, ResponseReader,
};
use spanlead_cluster_runtime::http::server::{self, ConnectionLimits};
use spanlead_cluster_runtime::http::{client, client::CallError};
use std::sync::Arc;
use std::time::Duration;

const LIMITS: MessageLimits = MessageLimits { max_head_bytes: 512, max_body_bytes: 64 };

/// The requests in these bytes, pushed in pieces of `piece` bytes, as `METHOD path body`; and the violation at the end.
fn requests(bytes: &[u8], piece: usize) -> (Vec<String>, Option<FramingError>) {
    let mut reader = RequestReader::default();
    let mut found = Vec::new();
    for chunk in bytes.chunks(piece) {
        reader.push(chunk);
        loop {
            match reader.next(LIMITS) {
                Ok(Progress::Complete(mut received)) => {
                    let body = task::block_on(received.request.body_string()).expect("text");
                    let path = received.request.url().path().to_owned();
                    found.push(format!("{} {path} {body}", received.request.method()));
                }
                Ok(_) => break,
                Err(violation) => return (found, Some(violation)),
            }
        }
    }
    (found, None)
}

fn in_any_pieces(bytes: &str, expected: &[&str], violation: Option<u16>) {
    for piece in [1, 2, 3, 7, 64, bytes.len().max(1)] {
        let (found, ended) = requests(bytes.as_bytes(), piece);
        assert_eq!(found, expected, "in pieces of {piece}: {bytes:?}");
        assert_eq!(ended.map(FramingError::status), violation, "in pieces of {piece}: {bytes:?}");
    }
}

#[test]
fn requests_come_out_whole_and_in_order_however_they_are_cut() {
    let get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    let post = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
    let chunks = "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;e=1\r\nde\r\n0\r\nT: 1\r\n\r\n";
    in_any_pieces(
        &[get, post, chunks, get].concat(),
        &["GET /a ", "POST /b xyz", "POST /c abcde", "GET /a "],
        None,
    );
    in_any_pieces(&["\r\n", get].concat(), &["GET /a "], None);
}

#[test]
fn what_is_no_request_is_refused_after_those_before_it() {
    let good = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    let bad = [
        ("GET /a HTTP/1.1\r\n\r\n", 400),
        ("GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400),
        ("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        ("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", 400),
        ("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\n", 400),
        ("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        ("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999999\r\n\r\n", 400),
        ("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 400),
        ("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        ("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", 400),
        ("POST /a HTTP/1.1\r\nHost: h\r\nExpect: tea\r\nContent-Length: 1\r\n\r\n", 417),
        ("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", 413),
        ("nonsense\r\n\r\n", 400),
    ];
    for (bytes, status) in bad {
        in_any_pieces(&[good, bytes].concat(), &["GET /a "], Some(status));
    }
    let long = format!("GET /a HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", "x".repeat(512));
    in_any_pieces(&[good, &long].concat(), &["GET /a "], Some(431));
}

#[test]
fn a_body_in_chunks_is_refused_as_soon_as_it_passes_the_bound() {
    let head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    // By the announced size, before any of it has come.
    in_any_pieces(&[head, "41\r\n"].concat(), &[], Some(413));
    in_any_pieces(&[head, "ffffffffffffffff\r\n"].concat(), &[], Some(413));
    let chunk = "10\r\n0123456789abcdef\r\n";
    in_any_pieces(&[head, &chunk.repeat(4), "1\r\n"].concat(), &[], Some(413));
    in_any_pieces(&[head, &"0".repeat(2_000)].concat(), &[], Some(400));
}

/// Serves a small application: it tells method, path and body's length.
fn serve() -> String {
    let address = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
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
    task::spawn(server::serve(address.to_string(), app, Arc::new(limits), 4));
    address.to_string()
}

async fn connect(address: &str) -> TcpStream {
    for _ in 0..100 {
        if let Ok(stream) = TcpStream::connect(address).await {
            return stream;
        }
        task::sleep(Duration::from_millis(10)).await;
    }
    panic!("nobody listens");
}

async fn all_answers(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text).await;
    String::from_utf8(text).expect("text")
}

#[async_std::test]
async fn three_requests_written_at_once_get_three_answers_in_order() {
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
        let text = all_answers(&mut stream).await;
        let order: Vec<usize> =
            ["GET /1 0", "POST /2 5", "GET /3 0"].iter().map(|a| text.find(a).expect("answered")).collect();
        assert!(order.is_sorted(), "{text}");
        assert_eq!(text.matches("HTTP/1.1 200").count(), 3, "{text}");
    }
}

#[async_std::test]
async fn a_client_that_has_closed_its_side_is_answered() {
    let mut stream = connect(&serve()).await;
    stream
        .write_all(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
        .await
        .expect("written");
    stream.shutdown(std::net::Shutdown::Write).expect("half closed");
    let text = all_answers(&mut stream).await;
    assert!(text.contains("GET /1 0") && text.contains("GET /2 0"), "{text}");
}

#[async_std::test]
async fn a_client_that_expects_continue_is_told_before_its_body_and_refused_before_a_large_one() {
    let address = serve();
    let mut stream = connect(&address).await;
    stream
        .write_all(b"POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 3\r\n\r\n")
        .await
        .expect("written");
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.expect("told");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"abc").await.expect("written");
    assert!(all_answers(&mut stream).await.contains("POST /1 3"));

    let mut stream = connect(&address).await;
    stream
        .write_all(b"POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5000\r\n\r\n")
        .await
        .expect("written");
    assert!(all_answers(&mut stream).await.starts_with("HTTP/1.1 413"));
}

#[async_std::test]
async fn a_refusal_reaches_a_client_that_is_still_sending() {
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
async fn a_slow_body_is_taken_while_it_goes_on() {
    let address = serve();
    let mut stream = connect(&address).await;
    let head = b"POST /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n\r\n";
    stream.write_all(head).await.expect("written");
    for byte in [b"a", b"b", b"c", b"d"] {
        task::sleep(Duration::from_millis(200)).await;
        stream.write_all(byte).await.expect("written");
    }
    assert!(all_answers(&mut stream).await.contains("POST /1 4"));

    let mut stream = connect(&address).await;
    stream.write_all(head).await.expect("written");
    stream.write_all(b"ab").await.expect("written");
    assert!(
        all_answers(&mut stream).await.starts_with("HTTP/1.1 408"),
        "one that stands still is not waited for"
    );
}

#[async_std::test]
async fn half_a_head_is_not_kept_and_too_many_connections_are_told() {
    let address = serve();
    let mut slow = connect(&address).await;
    slow.write_all(b"GET /1 HT").await.expect("written");
    assert!(all_answers(&mut slow).await.starts_with("HTTP/1.1 408"));

    let mut held = Vec::new();
    for _ in 0..4 {
        let mut stream = connect(&address).await;
        stream.write_all(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("written");
        let mut start = [0; 12];
        stream.read_exact(&mut start).await.expect("answered");
        held.push(stream);
    }
    let mut one_more = connect(&address).await;
    assert!(all_answers(&mut one_more).await.starts_with("HTTP/1.1 503"));
    // The idle ones are closed after their time, and there is room again.
    for mut stream in held {
        all_answers(&mut stream).await;
    }
    let mut stream = connect(&address).await;
    stream.write_all(b"GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await.expect("written");
    assert!(all_answers(&mut stream).await.contains("GET /1 0"));
}

/// The answer in these bytes, in any pieces, with whether its connection may be used again.
fn answer(bytes: &[u8]) -> Option<(u16, String, bool)> {
    let mut last = None;
    for piece in [1, 5, bytes.len()] {
        let mut reader = ResponseReader::default();
        let mut found = None;
        // All bytes are there when the answer is looked at, as they are when they come in one packet.
        for chunk in bytes.chunks(piece) {
            reader.push(chunk);
        }
        if let Ok(Progress::Complete(answer)) = reader.next(LIMITS) {
            found = Some(answer);
        } else {
            found = found.or(reader.end());
        }
        last = found.map(|a| (a.status, String::from_utf8(a.body).expect("text"), a.reusable));
    }
    last
}

#[test]
fn an_answer_is_taken_whole_and_its_connection_kept_only_after_exactly_one() {
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    assert_eq!(answer(good.as_bytes()), Some((200, "ok".into(), true)));
    let two = [good, good].concat();
    assert_eq!(answer(two.as_bytes()), Some((200, "ok".into(), false)), "two answers");
    let more = [good, "x"].concat();
    assert_eq!(answer(more.as_bytes()), Some((200, "ok".into(), false)), "bytes that belong to nothing");
    let interim = ["HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", good].concat();
    assert_eq!(answer(interim.as_bytes()), Some((200, "ok".into(), true)));
    let closes = "HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 2\r\n\r\nok";
    assert_eq!(answer(closes.as_bytes()), Some((200, "ok".into(), false)));
    assert_eq!(answer(b"HTTP/1.1 200 OK\r\n\r\nto the end"), Some((200, "to the end".into(), false)));
    assert_eq!(answer(b"HTTP/1.1 204 None\r\n\r\n"), Some((204, String::new(), true)));
    assert_eq!(answer(&good.as_bytes()[..good.len() - 1]), None, "cut");
    assert_eq!(answer(b"HTTP/1.1 101 Other\r\n\r\n"), None, "another protocol");
}

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
async fn an_idle_connection_that_is_closed_or_has_bytes_to_read_is_not_used() {
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
    assert!(!client::is_idle(&stream).await, "closed by the worker");

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
    assert!(answer.reusable && client::is_idle(&stream).await, "nothing has come yet");
    task::sleep(Duration::from_millis(60)).await;
    assert!(!client::is_idle(&stream).await, "an answer without a question");
}

#[async_std::test]
async fn an_answer_that_is_cut_is_no_answer() {
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
