//! HTTP message framing: messages are read complete, in order and within their limits, however
//! their bytes are split, and invalid bytes are refused.
use async_std::task;
use spanlead_cluster_runtime::http::framing::{
    FramingError, MessageLimits, Progress, ReceivedResponse, RequestReader, ResponseReader,
};

const LIMITS: MessageLimits = MessageLimits { max_head_bytes: 512, max_body_bytes: 64 };

/// Returns the requests in `bytes`, pushed in pieces of `piece_bytes`, as `METHOD path body`, and
/// the error that ended the reading, if any.
fn requests(bytes: &[u8], piece_bytes: usize) -> (Vec<String>, Option<FramingError>) {
    let mut reader = RequestReader::default();
    let mut found = Vec::new();
    for chunk in bytes.chunks(piece_bytes) {
        reader.push(chunk);
        loop {
            match reader.next(LIMITS) {
                Ok(Progress::Complete(mut received)) => {
                    let body = task::block_on(received.request.body_string()).expect("text");
                    let path = received.request.url().path().to_owned();
                    found.push(format!("{} {path} {body}", received.request.method()));
                }
                Ok(_) => break,
                Err(error) => return (found, Some(error)),
            }
        }
    }
    (found, None)
}

/// Asserts that `bytes` hold the `expected` requests, followed by an error of this status, in
/// pieces of any size.
fn assert_requests(bytes: &str, expected: &[&str], error_status: Option<u16>) {
    for piece_bytes in [1, 2, 3, 7, 64, bytes.len().max(1)] {
        let (found, error) = requests(bytes.as_bytes(), piece_bytes);
        assert_eq!(found, expected, "in pieces of {piece_bytes} bytes: {bytes:?}");
        assert_eq!(
            error.map(FramingError::status),
            error_status,
            "in pieces of {piece_bytes} bytes: {bytes:?}"
        );
    }
}

#[test]
fn requests_in_pieces_of_any_size_are_read_complete_and_in_order() {
    let get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    let post = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
    let chunks = "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;e=1\r\nde\r\n0\r\nT: 1\r\n\r\n";
    assert_requests(
        &[get, post, chunks, get].concat(),
        &["GET /a ", "POST /b xyz", "POST /c abcde", "GET /a "],
        None,
    );
    assert_requests(&["\r\n", get].concat(), &["GET /a "], None);
}

#[test]
fn a_malformed_request_is_refused_and_the_requests_before_it_are_read() {
    let valid = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    let invalid = [
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
    for (bytes, status) in invalid {
        assert_requests(&[valid, bytes].concat(), &["GET /a "], Some(status));
    }
    let long = format!("GET /a HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", "x".repeat(512));
    assert_requests(&[valid, &long].concat(), &["GET /a "], Some(431));
}

#[test]
fn a_chunked_body_is_refused_as_soon_as_it_exceeds_the_limit() {
    let head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    // The announced size exceeds the limit: refused before any data is received.
    assert_requests(&[head, "41\r\n"].concat(), &[], Some(413));
    assert_requests(&[head, "ffffffffffffffff\r\n"].concat(), &[], Some(413));
    let chunk = "10\r\n0123456789abcdef\r\n";
    assert_requests(&[head, &chunk.repeat(4), "1\r\n"].concat(), &[], Some(413));
    assert_requests(&[head, &"0".repeat(2_000)].concat(), &[], Some(400));
}

/// Returns the response in `bytes`. Reads them once for each of several piece sizes and returns the
/// result of the last one, in which all bytes are pushed at once.
fn response(bytes: &[u8]) -> Option<ReceivedResponse> {
    let mut last = None;
    for piece in [1, 5, bytes.len()] {
        let mut reader = ResponseReader::default();
        let mut found = None;
        // All bytes are pushed before the response is read, as when one packet holds them all.
        for chunk in bytes.chunks(piece) {
            reader.push(chunk);
        }
        if let Ok(Progress::Complete(response)) = reader.next(LIMITS) {
            found = Some(response);
        } else {
            found = found.or(reader.finish_at_end_of_stream());
        }
        last = found;
    }
    last
}

#[test]
fn a_connection_is_reusable_only_after_exactly_one_complete_response() {
    let valid = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    assert_eq!(response(valid.as_bytes()), Some(expected(200, "ok", true)));
    let two = [valid, valid].concat();
    assert_eq!(response(two.as_bytes()), Some(expected(200, "ok", false)), "two responses");
    let more = [valid, "x"].concat();
    assert_eq!(response(more.as_bytes()), Some(expected(200, "ok", false)), "bytes after the response");
    let interim =
        ["HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", valid].concat();
    assert_eq!(response(interim.as_bytes()), Some(expected(200, "ok", true)));
    let closes = "HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 2\r\n\r\nok";
    assert_eq!(response(closes.as_bytes()), Some(expected(200, "ok", false)));
    assert_eq!(response(b"HTTP/1.1 200 OK\r\n\r\nto the end"), Some(expected(200, "to the end", false)));
    assert_eq!(response(b"HTTP/1.1 204 None\r\n\r\n"), Some(expected(204, "", true)));
    assert_eq!(response(&valid.as_bytes()[..valid.len() - 1]), None, "truncated");
    assert_eq!(response(b"HTTP/1.1 101 Other\r\n\r\n"), None, "protocol switch");
}

fn expected(status: u16, body: &str, reusable: bool) -> ReceivedResponse {
    ReceivedResponse { status, body: body.as_bytes().to_vec(), reusable }
}
