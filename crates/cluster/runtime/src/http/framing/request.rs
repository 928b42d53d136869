//! Incremental reader of the requests that a server receives.
use super::body::{BodyFraming, BodyReader};
use super::buffer::ReceiveBuffer;
use super::headers::{MAX_HEADERS, ascii_value, body_framing, closes_connection, single_value};
use super::{FramingError, MessageLimits, Progress};
use http_types::headers::{HOST, HeaderName};
use http_types::{Body, Method, Request, Url, Version};
use std::str::FromStr;

/// A complete received request.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The request including its body.
    pub request: Request,
    /// Whether the client wants the connection closed after the response.
    pub close: bool,
}

/// A request with a complete head and an incomplete body.
#[derive(Debug)]
struct PartialRequest {
    request: Request,
    close: bool,
    body: BodyReader,
}

/// Splits the bytes of one connection into requests.
#[derive(Debug, Default)]
pub struct RequestReader {
    buffer: ReceiveBuffer,
    partial: Option<PartialRequest>,
}

impl RequestReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend(bytes);
    }

    /// Returns whether a head was started and is not complete.
    #[must_use]
    pub fn in_head(&self) -> bool {
        self.partial.is_none() && !self.buffer.is_empty()
    }

    /// Returns whether a head is complete and its body is not.
    #[must_use]
    pub fn in_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns the next request if its bytes are complete.
    ///
    /// # Errors
    /// If the bytes are not a valid request, or the request exceeds the limits.
    pub fn next(&mut self, limits: MessageLimits) -> Result<Progress<ReceivedRequest>, FramingError> {
        let Some(partial) = &mut self.partial else { return self.read_head(limits) };
        if !partial.body.read(&mut self.buffer)? {
            return Ok(Progress::Incomplete);
        }
        let Some(PartialRequest { mut request, close, body }) = self.partial.take() else {
            return Ok(Progress::Incomplete);
        };
        request.set_body(Body::from_bytes(body.into_bytes()));
        Ok(Progress::Complete(ReceivedRequest { request, close }))
    }

    /// Reads the head of the next request, and its body as far as it was received.
    fn read_head(&mut self, limits: MessageLimits) -> Result<Progress<ReceivedRequest>, FramingError> {
        self.buffer.skip_empty_lines();
        let Some(length) = self.buffer.head_length(limits.max_head_bytes)? else {
            return Ok(Progress::Incomplete);
        };
        let head = parse_head(&self.buffer.as_slice()[..length])?;
        let body = BodyReader::new(head.body_framing, limits.max_body_bytes)?;
        self.buffer.consume(length);
        self.partial = Some(PartialRequest { request: head.request, close: head.close, body });
        match self.next(limits)? {
            Progress::Incomplete if head.expects_continue => Ok(Progress::ExpectsContinue),
            progress => Ok(progress),
        }
    }
}

struct RequestHead {
    request: Request,
    body_framing: BodyFraming,
    close: bool,
    expects_continue: bool,
}

fn parse_head(bytes: &[u8]) -> Result<RequestHead, FramingError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Err(httparse::Error::TooManyHeaders) => return Err(FramingError::HeadTooLarge),
        _ => return Err(FramingError::Malformed("no request")),
    }
    let method =
        Method::from_str(parsed.method.unwrap_or_default()).map_err(|_| FramingError::Malformed("method"))?;
    let host = single_value(parsed.headers, "host")?.ok_or(FramingError::Malformed("Host: missing"))?;
    let url = parse_target(host, parsed.path.unwrap_or_default())?;
    let body_framing = body_framing(parsed.headers)?.unwrap_or(BodyFraming::Length(0));
    let expects_continue = expects_continue(parsed.headers)?;
    let mut request = Request::new(method, url);
    request.set_version(Some(Version::Http1_1));
    for header in parsed.headers.iter() {
        let name = HeaderName::from_str(header.name).map_err(|_| FramingError::Malformed("header"))?;
        request.append_header(name, ascii_value(header.value)?);
    }
    request.insert_header(HOST, host);
    let close = closes_connection(parsed.headers, parsed.version);
    Ok(RequestHead { request, body_framing, close, expects_continue })
}

/// Returns the URL of a request target in origin form (`/path`) or absolute form.
fn parse_target(host: &str, target: &str) -> Result<Url, FramingError> {
    let url = if target.starts_with('/') {
        Url::parse(&format!("http://{host}{target}"))
    } else {
        Url::parse(target)
    };
    url.map_err(|_| FramingError::Malformed("target"))
}

/// Returns whether the client waits for `100 Continue`.
fn expects_continue(headers: &[httparse::Header<'_>]) -> Result<bool, FramingError> {
    match single_value(headers, "expect")? {
        None => Ok(false),
        Some(value) if value.eq_ignore_ascii_case("100-continue") => Ok(true),
        Some(_) => Err(FramingError::ExpectationFailed),
    }
}
