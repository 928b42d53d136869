//! Incremental reader of the response that a client receives.
use super::body::{BodyFraming, BodyReader};
use super::buffer::ReceiveBuffer;
use super::headers::{MAX_HEADERS, body_framing, closes_connection};
use super::{FramingError, MessageLimits, Progress};

const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// A complete received response.
#[derive(Debug, PartialEq, Eq)]
pub struct ReceivedResponse {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection can carry another call: nothing was received after this response, and
    /// the server keeps the connection open.
    pub reusable: bool,
}

/// A response with a complete head and an incomplete body.
#[derive(Debug)]
struct PartialResponse {
    status: u16,
    close: bool,
    body: BodyReader,
}

/// Reads the response to one request from the bytes of a connection.
#[derive(Debug, Default)]
pub struct ResponseReader {
    buffer: ReceiveBuffer,
    partial: Option<PartialResponse>,
}

impl ResponseReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend(bytes);
    }

    /// Returns the response if its bytes are complete. Interim responses (1xx) are skipped.
    ///
    /// # Errors
    /// If the bytes are not a valid response, the response exceeds the limits, or it switches to
    /// another protocol (101).
    pub fn next(&mut self, limits: MessageLimits) -> Result<Progress<ReceivedResponse>, FramingError> {
        while self.partial.is_none() {
            let Some(length) = self.buffer.head_length(limits.max_head_bytes)? else {
                return Ok(Progress::Incomplete);
            };
            let head = parse_head(&self.buffer.as_slice()[..length])?;
            self.buffer.consume(length);
            match head.status {
                SWITCHING_PROTOCOLS => {
                    return Err(FramingError::Malformed(
                        "unexpected status 101: no protocol switch was requested",
                    ));
                }
                100..200 => {}
                _ => self.partial = Some(head.into_partial(limits)?),
            }
        }
        let Some(partial) = &mut self.partial else { return Ok(Progress::Incomplete) };
        if !partial.body.read(&mut self.buffer)? {
            return Ok(Progress::Incomplete);
        }
        let Some(PartialResponse { status, close, body }) = self.partial.take() else {
            return Ok(Progress::Incomplete);
        };
        let reusable = !close && self.buffer.is_empty();
        Ok(Progress::Complete(ReceivedResponse { status, body: body.into_bytes(), reusable }))
    }

    /// Handles the end of the connection: returns the response if its body was to end with the
    /// connection.
    #[must_use]
    pub fn finish_at_end_of_stream(self) -> Option<ReceivedResponse> {
        let partial = self.partial?;
        let complete = partial.body.ends_with_connection();
        complete.then(|| ReceivedResponse {
            status: partial.status,
            body: partial.body.into_bytes(),
            reusable: false,
        })
    }
}

struct ResponseHead {
    status: u16,
    close: bool,
    body_framing: BodyFraming,
}

impl ResponseHead {
    fn into_partial(self, limits: MessageLimits) -> Result<PartialResponse, FramingError> {
        let body = BodyReader::new(self.body_framing, limits.max_body_bytes)?;
        Ok(PartialResponse { status: self.status, close: self.close, body })
    }
}

fn parse_head(bytes: &[u8]) -> Result<ResponseHead, FramingError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    if !matches!(parsed.parse(bytes), Ok(httparse::Status::Complete(_))) {
        return Err(FramingError::Malformed("no answer"));
    }
    let status = parsed.code.unwrap_or_default();
    let close = closes_connection(parsed.headers, parsed.version);
    let body_framing = match (status, body_framing(parsed.headers)?) {
        (NO_CONTENT | NOT_MODIFIED, _) => BodyFraming::Length(0),
        (_, Some(framing)) => framing,
        (_, None) => BodyFraming::UntilClose,
    };
    Ok(ResponseHead { status, close, body_framing })
}
