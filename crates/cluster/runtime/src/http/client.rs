//! Calls over kept connections.
//!
//! A connection carries one call at a time. It is kept only after exactly one complete response was
//! received, and used again only if it is open and nothing was received since.
use super::framing::{FramingError, MessageLimits, Progress, ReceivedResponse, ResponseReader};
use crate::socket::write_all_with_timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::Request;
use quick_error::quick_error;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::time::Duration;

/// The largest response that is read.
const RESPONSE_LIMITS: MessageLimits =
    MessageLimits { max_head_bytes: 16 * 1024, max_body_bytes: 16 * 1024 * 1024 };
/// Bytes read at a time.
const READ_BYTES: usize = 2 * 1024;
/// How long a write may make no progress.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);

quick_error! {
    /// Why a call has no response. Whether it was carried out is not known.
    #[derive(Debug)]
    pub enum CallError {
        /// The connection failed.
        Io(error: std::io::Error) {
            from()
            display("{}", error)
        }
        /// What was received is no response.
        Framing(error: FramingError) {
            from()
            display("{}", error)
        }
        /// The connection ended within the response.
        Truncated {
            display("connection ended within the response")
        }
    }
}

/// Whether an idle connection can carry a call: it is open, and nothing was received unasked.
///
/// The socket is asked directly: to wait for it to become readable would register it with the event
/// loop, at the cost of two system calls.
#[must_use]
pub fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    recv(stream, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT) == Err(Errno::WOULDBLOCK)
}

/// The bytes of a request.
///
/// # Errors
/// If its body can't be read.
pub async fn encode(request: Request) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    async_h1::client::Encoder::new(request).read_to_end(&mut bytes).await?;
    Ok(bytes)
}

/// Sends the bytes of a request and reads the response.
///
/// # Errors
/// If no complete response is received.
pub async fn call(stream: &mut TcpStream, request: &[u8]) -> Result<ReceivedResponse, CallError> {
    write_all_with_timeout(stream, request, WRITE_TIMEOUT).await?;
    let mut reader = ResponseReader::default();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return reader.end().ok_or(CallError::Truncated);
        }
        reader.push(&buffer[..count]);
        if let Progress::Complete(response) = reader.next(RESPONSE_LIMITS)? {
            return Ok(response);
        }
    }
}
