//! A plain HTTP client and server, so that answers are seen as they are sent.
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// How long a read or write may take.
const IO_TIMEOUT: Duration = Duration::from_secs(6);

/// A request.
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

    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// An answer, or a request that came in: its first line's second word, headers with names in lower
/// case, and body.
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// Asks once over a connection of its own; `None` if there is no answer.
pub fn ask(address: &str, request: &Request) -> Option<Answer> {
    ask_host(address, address, request)
}

/// The same with the name of a host.
pub fn ask_host(address: &str, host: &str, request: &Request) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(IO_TIMEOUT)).ok()?;
    let mut text = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", request.method, request.path);
    for (name, value) in &request.headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{}", request.body.len(), request.body);
    stream.write_all(text.as_bytes()).ok()?;
    let (first, headers, body) = read(&mut stream).ok()?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, headers, body })
}

/// Reads a message: its first line, its headers, its body.
fn read(stream: &mut TcpStream) -> io::Result<(String, BTreeMap<String, String>, String)> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.trim_end().split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let header =
        |line: &str| line.split_once(": ").map(|(name, value)| (name.to_lowercase(), value.to_owned()));
    let headers: BTreeMap<String, String> = lines.filter_map(header).collect();
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok((first, headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Serves on a thread: `answer` is given path and body, and gives the body of a good answer.
pub fn serve(listener: TcpListener, answer: impl Fn(&str, &str) -> String + Clone + Send + 'static) {
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                while let Ok((first, _, body)) = read(&mut stream) {
                    let text = answer(first.split(' ').nth(1).unwrap_or_default(), &body);
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length:";
                    if write!(stream, "{head} {}\r\n\r\n{text}", text.len()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
