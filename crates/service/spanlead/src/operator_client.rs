//! Calls at a serving scheduler's operators' address.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long an answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// The status of an answer that says yes.
const STATUS_OK: &str = "200";

/// Why a call brought no answer, or a no.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OperatorCallError {
    /// The scheduler cannot be reached, or the connection broke.
    #[error("{address}: {source}")]
    Connection {
        /// Where it was called.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The request cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The path has characters that no path has.
    #[error("{address}: {path:?} can't be asked for")]
    InvalidPath {
        /// Where it was to be called.
        address: SocketAddr,
        /// The path.
        path: String,
    },
    /// What came is no answer.
    #[error("{0}: no answer")]
    NoAnswer(SocketAddr),
    /// The scheduler says no.
    #[error("{address}: {reason}")]
    Refused {
        /// Where it was called.
        address: SocketAddr,
        /// The answer's body.
        reason: String,
    },
}

/// Calls a scheduler: the answer's body, if it says yes.
///
/// # Errors
/// See [`OperatorCallError`].
pub(crate) fn call(address: SocketAddr, method: &str, path: &str) -> Result<String, OperatorCallError> {
    let broken = |source| OperatorCallError::Connection { address, source };
    let mut stream = TcpStream::connect(address).map_err(broken)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    if !path.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(OperatorCallError::InvalidPath { address, path: path.to_owned() });
    }
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: operator\r\nContent-Length: 0\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(broken)?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or(OperatorCallError::NoAnswer(address))?;
    if head.split(' ').nth(1) == Some(STATUS_OK) {
        Ok(body.to_owned())
    } else {
        Err(OperatorCallError::Refused { address, reason: body.trim().to_owned() })
    }
}
