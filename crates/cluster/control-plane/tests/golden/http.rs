//! A minimal HTTP client and server, so that responses are compared as they were sent.
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// The time-out of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(6);

/// An HTTP request.
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl Request {
    pub fn new(method: &'static str, path: &str) -> Self {
        Request { method, path: path.to_owned(), headers: Vec::new(), body: String::new() }
    }

    pub fn get(path: &str) -> Self {
        Request::new("GET", path)
    }

    pub fn delete(path: &str) -> Self {
        Request::new("DELETE", path)
    }

    pub fn post(path: &str, body: &str) -> Self {
        Request { body: body.to_owned(), ..Request::new("POST", path) }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// An HTTP response.
pub struct Response {
    pub status: u16,
    /// The headers, with their names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// Sends a request once, over a connection of its own; `None` if there is no response.
pub fn send(address: &str, request: &Request) -> Option<Response> {
    send_to_host(address, address, request)
}

/// Sends a request as [`send`] does, with this `Host` header.
pub fn send_to_host(address: &str, host: &str, request: &Request) -> Option<Response> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let mut text = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", request.method, request.path);
    for (name, value) in &request.headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{}", request.body.len(), request.body);
    stream.write_all(text.as_bytes()).ok()?;
    let (start_line, headers, body) = read_message(&mut stream).ok()?;
    let status = start_line.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, headers, body })
}

/// Reads an HTTP message: its start line, its headers with names in lower case, and its body.
fn read_message(stream: &mut TcpStream) -> io::Result<(String, BTreeMap<String, String>, String)> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.trim_end().split("\r\n");
    let start_line = lines.next().unwrap_or_default().to_owned();
    let header =
        |line: &str| line.split_once(": ").map(|(name, value)| (name.to_lowercase(), value.to_owned()));
    let headers: BTreeMap<String, String> = lines.filter_map(header).collect();
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok((start_line, headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Serves requests in separate threads. `handler` receives the path and the body of a request and
/// returns the body of the response, which has the status 200.
pub fn serve(listener: TcpListener, handler: impl Fn(&str, &str) -> String + Clone + Send + 'static) {
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                while let Ok((start_line, _, body)) = read_message(&mut stream) {
                    let text = handler(start_line.split(' ').nth(1).unwrap_or_default(), &body);
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length:";
                    if write!(stream, "{head} {}\r\n\r\n{text}", text.len()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
