//! Calls at a serving scheduler's operators' door.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

type Failure = Box<dyn std::error::Error>;

/// A call at a scheduler's door: the answer's body, if it says yes.
pub fn call(at: SocketAddr, method: &str, path: &str) -> Result<String, Failure> {
    let failed = |why: String| -> Failure { format!("{at}: {why}").into() };
    let mut door = TcpStream::connect(at).map_err(|e| failed(e.to_string()))?;
    door.set_read_timeout(Some(Duration::from_secs(10)))?;
    let plain = path.bytes().all(|b| b.is_ascii_graphic());
    if !plain {
        return Err(failed(format!("{path:?} can't be asked for")));
    }
    write!(door, "{method} {path} HTTP/1.1\r\nHost: operator\r\nContent-Length: 0\r\n\r\n")?;
    let mut text = String::new();
    door.read_to_string(&mut text).map_err(|e| failed(e.to_string()))?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or_else(|| failed("no answer".into()))?;
    match head.split(' ').nth(1) {
        Some("200") => Ok(body.to_owned()),
        _ => Err(failed(body.trim().to_owned())),
    }
}
