//! Responses, as a client receives them.
use super::body::{BodyFraming, BodyReader};
use super::buffer::ReceiveBuffer;
use super::headers::{MAX_HEADERS, body_framing, closes_connection};
use super::{FramingError, MessageLimits, Progress};

const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// A complete response.
#[derive(Debug, PartialEq, Eq)]
pub struct ReceivedResponse {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Whether exactly this response was received and the server keeps the connection open, so that
    /// it can carry another call.
    pub reusable: bool,
}

/// A response whose head is complete and whose body is not.
#[derive(Debug)]
struct OpenResponse {
    status: u16,
    close: bool,
    body: BodyReader,
}

/// Cuts the response to one request out of a connection's bytes.
#[derive(Debug, Default)]
pub struct ResponseReader {
    buffer: ReceiveBuffer,
    open: Option<OpenResponse>,
}

impl ResponseReader {
    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend(bytes);
    }

    /// The response, as far as the bytes received so far go. Interim responses (1xx) are skipped.
    ///
    /// # Errors
    /// If they are no response, or one that exceeds the limits.
    pub fn next(&mut self, limits: MessageLimits) -> Result<Progress<ReceivedResponse>, FramingError> {
        while self.open.is_none() {
            let Some(length) = self.buffer.head_length(limits.max_head_bytes)? else {
                return Ok(Progress::Incomplete);
            };
            let head = parse_head(&self.buffer.as_slice()[..length])?;
            self.buffer.consume(length);
            match head.status {
                SWITCHING_PROTOCOLS => {
                    return Err(FramingError::Malformed("a protocol that was not asked for"));
                }
                100..200 => {}
                _ => self.open = Some(head.open(limits)?),
            }
        }
        let Some(open) = &mut self.open else { return Ok(Progress::Incomplete) };
        if !open.body.read(&mut self.buffer)? {
            return Ok(Progress::Incomplete);
        }
        let Some(OpenResponse { status, close, body }) = self.open.take() else {
            return Ok(Progress::Incomplete);
        };
        let reusable = !close && self.buffer.is_empty();
        Ok(Progress::Complete(ReceivedResponse { status, body: body.into_bytes(), reusable }))
    }

    /// The connection ended: returns the response if that is how it was to end.
    #[must_use]
    pub fn end(self) -> Option<ReceivedResponse> {
        let open = self.open?;
        let complete = open.body.ends_with_connection();
        complete.then(|| ReceivedResponse {
            status: open.status,
            body: open.body.into_bytes(),
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
    fn open(self, limits: MessageLimits) -> Result<OpenResponse, FramingError> {
        let body = BodyReader::new(self.body_framing, limits.max_body_bytes)?;
        Ok(OpenResponse { status: self.status, close: self.close, body })
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
