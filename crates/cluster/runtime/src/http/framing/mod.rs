//! Splits the bytes of a connection into HTTP/1.1 messages (RFC 9112).
//!
//! No I/O: the caller pushes received bytes and takes complete messages. Bytes after a message are
//! kept for the next one. [`MessageLimits`] bound each message while its bytes arrive.
mod body;
mod buffer;
mod headers;
mod request;
mod response;

pub use request::{ReceivedRequest, RequestReader};
pub use response::{ReceivedResponse, ResponseReader};

use quick_error::quick_error;

quick_error! {
    /// An error in a received message. The connection can't be used any further.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum FramingError {
        /// The bytes are not HTTP/1.1, or the message contradicts itself.
        Malformed(reason: &'static str) {
            display("{}", reason)
        }
        /// The head exceeds its limit on bytes or header fields.
        HeadTooLarge {
            display("head too large")
        }
        /// The body exceeds its size limit.
        BodyTooLarge {
            display("body too large")
        }
        /// The request has an `Expect` header other than `100-continue`.
        ExpectationFailed {
            display("expectation not met")
        }
    }
}

impl FramingError {
    /// Returns the HTTP status code with which a server reports the error.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            FramingError::Malformed(_) => 400,
            FramingError::BodyTooLarge => 413,
            FramingError::ExpectationFailed => 417,
            FramingError::HeadTooLarge => 431,
        }
    }
}

/// Maximum size of a received message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageLimits {
    /// Size of the request or status line with all headers, in bytes.
    pub max_head_bytes: usize,
    /// Size of the body, in bytes.
    pub max_body_bytes: usize,
}

/// The state of the message that is being received.
#[derive(Debug)]
pub enum Progress<T> {
    /// More bytes are needed.
    Incomplete,
    /// The client waits for `100 Continue` before it sends the body. Returned once per request.
    ExpectsContinue,
    /// A complete message.
    Complete(T),
}
