//! Requests of clients as HTTP: slow, incomplete, ambiguous and invalid ones.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{take, with_worker};
use insta::assert_snapshot;
use std::time::{Duration, Instant};

/// A good head, but for what says how long the body is.
fn head(id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /status-check/x HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nReq-Owner: norrtrim\r\nReq-Deadline-Ms: {deadline_ms}\r\n"
    )
}

// Guards against bad input: it is turned down in words, never forwarded, and the scheduler goes on.
#[test]
fn invalid_requests_are_refused_and_not_forwarded() {
    let (scheduler, worker, _discovery) = with_worker();
    let good = "Req-Id: a\r\nReq-Owner: norrtrim\r\nReq-Deadline-Ms: 5000\r\n";
    let large = "x".repeat(64 * 1024 + 1);
    let cases = [
        ("/unknown", good.to_owned(), ""),
        ("/status-check", good.replace("Req-Id: a\r\n", ""), ""),
        ("/status-check", good.replace(": a\r", ": a/../b\r"), ""),
        ("/status-check", good.replace("norrtrim", "nobody"), ""),
        ("/status-check", good.replace("Req-Owner: norrtrim\r\n", ""), ""),
        ("/status-check", good.replace("5000", "soon"), ""),
        ("/status-check", good.replace("5000", "-1"), ""),
        ("/status-check", good.replace("5000", "99999999999999999999"), ""),
        ("/status-check", good.replace("5000", "18446744073709551615"), ""),
        ("/status-check", good.replace("Req-Deadline-Ms: 5000\r\n", ""), ""),
        ("/status-check", format!("{good}Req-Id: b\r\n"), ""),
        ("/status-check", format!("{good}Req-Extra: slots=1e300\r\n"), ""),
        ("/status-check", format!("{good}Req-Extra: memory=-1\r\n"), ""),
        ("/status-check", good.to_owned(), large.as_str()),
    ];
    let answers = cases.map(|(path, headers, body)| {
        let mut client = scheduler.client();
        client.post(path, &headers, body);
        let answer = client.answer();
        format!("{} {}", &answer.start[9..12], answer.body)
    });
    assert_snapshot!(answers.concat(), @r"
    404 unknown class
    400 Req-Id is missing
    400 Req-Id is not a plain word
    400 Req-Owner is unknown
    400 Req-Owner is missing
    400 Req-Deadline-Ms is not a whole number
    400 Req-Deadline-Ms is not a whole number
    400 Req-Deadline-Ms is not a whole number
    400 Req-Deadline-Ms is too far away
    400 Req-Deadline-Ms is missing
    400 a header came twice
    400 Req-Extra has a figure that no job can have
    400 Req-Extra has a figure that no job can have
    413 the body is too large
    ");
    let mut client = scheduler.client();
    client.post("/status-check", &format!("{good}Long: {}\r\n", "x".repeat(20 * 1024)), "");
    assert_eq!(client.answer().start, "HTTP/1.1 431 Request Header Fields Too Large");
    let mut client = scheduler.client();
    client.write("GET /status-check HTTP/1.1\r\nHost: backend.local\r\n\r\n");
    assert_eq!(client.answer().start, "HTTP/1.1 405 Method Not Allowed");
    assert!(worker.unasked());
    assert_eq!(scheduler.health(), "HTTP/1.1 200 OK");
}

// Guards clients whose requests come slowly, cut anywhere: they were given up 2.5 s after the
// connection was accepted, though they went on coming. Their time counts from the last byte.
#[test]
fn a_slow_request_is_read_as_long_as_bytes_arrive() {
    let (scheduler, worker, _discovery) = with_worker();
    let mut client = scheduler.client();
    let request = head("id-1", 1000) + "Content-Length: 9\r\n\r\nlong body";
    for piece in request.as_bytes().chunks(request.len() / 9) {
        client.write(std::str::from_utf8(piece).expect("text"));
        // The client's slowness: 3 s in all.
        std::thread::sleep(Duration::from_millis(350));
    }
    let call = worker.next();
    assert_eq!(call.message.body, "long body");
    take(call);
    scheduler.client().notice("id-1", "s-a", r#""state":"done","result":"r""#);
    assert_eq!(client.answer().body, "r");
}

// Guards against connections held for nothing: whoever says nothing, or half a request, is answered
// or cut within 3 s, also where a whole request came before.
#[test]
fn incomplete_requests_time_out() {
    let (scheduler, worker, _discovery) = with_worker();
    let began = Instant::now();
    let mut second = scheduler.client();
    second.write("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(second.answer().start, "HTTP/1.1 200 OK");
    second.write("POST /status-check HTTP/1.1\r\nHost: h\r\nReq-");
    let (mut silent, mut endless, mut stalled) = (scheduler.client(), scheduler.client(), scheduler.client());
    endless.write("POST /status-check HTTP/1.1\r\nHost: h\r\nReq-");
    stalled.write(&(head("a", 60_000) + "Content-Length: 9\r\n\r\nhalf"));
    assert_eq!(stalled.answer().start, "HTTP/1.1 408 Request Timeout");
    assert!(silent.closed() && endless.closed() && second.closed());
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    assert!(worker.unasked());
}

// Guards against an error that its own reset destroys: a client in the middle of a large body can
// read it to the end.
#[test]
fn an_early_error_reaches_a_client_that_still_sends() {
    let (scheduler, worker, _discovery) = with_worker();
    let mut client = scheduler.client();
    client.write(&(head("a", 60_000) + "Content-Length: 60000000\r\n\r\n" + &"x".repeat(100_000)));
    assert_eq!(client.answer().start, "HTTP/1.1 413 Payload Too Large");
    assert!(client.ended_in_order());
    // It doesn't know of the end yet, and what it sends is no reason for a reset: of two writes the
    // second would fail.
    client.write("x");
    scheduler.health();
    client.write("x");
    assert!(worker.unasked());
}

// Guards against a request hidden in another's body, which two servers read as different requests.
#[test]
fn an_ambiguous_body_length_is_refused() {
    let (scheduler, worker, _discovery) = with_worker();
    let hidden = head("hidden", 60_000) + "Content-Length: 0\r\n\r\n";
    let lengths =
        [format!("Content-Length: {}\r\n", hidden.len() + 5), "Transfer-Encoding: chunked\r\n".to_owned()];
    for lengths in [lengths.concat(), [&*lengths[1], &*lengths[0]].concat()] {
        let mut client = scheduler.client();
        // An empty line before it is passed over by HTTP.
        client.write(&format!("\r\n{}{lengths}\r\n0\r\n\r\n{hidden}", head("a", 60_000)));
        assert_eq!(client.answer().start, "HTTP/1.1 400 Bad Request");
        assert!(client.closed());
    }
    assert!(worker.unasked());
}

// Guards clients that send their bodies in chunks, perhaps asking first: they were refused, as a
// length told in two ways is.
#[test]
fn a_chunked_body_is_accepted() {
    let (scheduler, worker, _discovery) = with_worker();
    let mut client = scheduler.client();
    client.write(&(head("id-1", 60_000) + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"));
    assert_eq!(client.answer().start, "HTTP/1.1 100 Continue");
    client.write("4\r\nlong\r\n5\r\n body\r\n0\r\n\r\n");
    let call = worker.next();
    assert_eq!((call.message.body.as_str(), call.message.header("content-length")), ("long body", Some("9")));
    take(call);
    scheduler.client().notice("id-1", "s-a", r#""state":"done","result":"r""#);
    let answer = client.answer();
    assert_eq!((answer.body.as_str(), answer.header("connection")), ("r", Some("close")));
}
