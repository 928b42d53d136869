//! Calls over kept connections. A connection carries one call at a time; it is kept only after exactly one whole answer
//! came, and used again only if it is open and nothing has come since.
use super::framing::{Answer, AnswerReader, Bounds, Progress, Violation};
use crate::link::write_steadily;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use futures_lite::future::poll_once;
use http_types::Request;
use quick_error::quick_error;
use std::time::Duration;

/// What an answer may be at most.
const BOUNDS: Bounds = Bounds { head: 16 * 1024, body: 16 << 20 };
/// Bytes read at a time.
const READ_BYTES: usize = 2 * 1024;
/// How long a write may go without progress.
const WRITE: Duration = Duration::from_millis(1_000);

quick_error! {
    /// Why a call has no answer. Whether it was carried out is not known.
    #[derive(Debug)]
    pub enum CallError {
        /// The connection.
        Io(error: std::io::Error) {
            from()
            display("{}", error)
        }
        /// What came is no answer.
        Form(violation: Violation) {
            from()
            display("{}", violation)
        }
        /// The connection ended within the answer.
        Cut {
            display("cut")
        }
    }
}

/// Whether an idle connection can carry a call: it is open, and nothing has come without a question.
pub async fn is_idle(stream: &TcpStream) -> bool {
    let mut byte = [0];
    poll_once(stream.peek(&mut byte)).await.is_none()
}

/// A request's bytes.
///
/// # Errors
/// If its body can't be read.
pub async fn encode(request: Request) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    async_h1::client::Encoder::new(request).read_to_end(&mut bytes).await?;
    Ok(bytes)
}

/// Sends a request, given as bytes, and reads its answer.
///
/// # Errors
/// If no whole answer comes.
pub async fn call(stream: &mut TcpStream, request: &[u8]) -> Result<Answer, CallError> {
    write_steadily(stream, request, WRITE).await?;
    let mut reader = AnswerReader::default();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return reader.end().ok_or(CallError::Cut);
        }
        reader.push(&buffer[..count]);
        if let Progress::Whole(answer) = reader.next(BOUNDS)? {
            return Ok(answer);
        }
    }
}
