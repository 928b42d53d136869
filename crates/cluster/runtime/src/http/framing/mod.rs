//! Cuts messages out of a connection's bytes, by RFC 9112.
//!
//! No I/O: bytes are pushed in, complete messages come out. What follows a message stays for the
//! next one. Each message is bounded by [`MessageLimits`] while its bytes arrive.
mod body;
mod buffer;
mod headers;
mod request;
mod response;

pub use request::{ReceivedRequest, RequestReader};
pub use response::{ReceivedResponse, ResponseReader};

use quick_error::quick_error;

quick_error! {
    /// Why a message can't be read. The connection can't be used after it.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum FramingError {
        /// Not HTTP/1.1, or contradictory.
        Malformed(reason: &'static str) {
            display("{}", reason)
        }
        /// The head exceeds its limit.
        HeadTooLarge {
            display("head too large")
        }
        /// The body exceeds its limit.
        BodyTooLarge {
            display("body too large")
        }
        /// An expectation other than `100-continue`.
        Expectation {
            display("expectation not met")
        }
    }
}

impl FramingError {
    /// The status code by which a server reports it.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            FramingError::Malformed(_) => 400,
            FramingError::BodyTooLarge => 413,
            FramingError::Expectation => 417,
            FramingError::HeadTooLarge => 431,
        }
    }
}

/// The largest message that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageLimits {
    /// Request or status line with all headers, bytes.
    pub max_head_bytes: usize,
    /// Body, bytes.
    pub max_body_bytes: usize,
}

/// What the bytes received so far amount to.
#[derive(Debug)]
pub enum Progress<T> {
    /// More bytes are needed.
    Incomplete,
    /// The client waits for `100 Continue` before it sends the body. Returned once a request.
    ExpectsContinue,
    /// A complete message.
    Complete(T),
}
