//! Requests, as a server receives them.
use super::body::{BodyFraming, BodyReader};
use super::buffer::ReceiveBuffer;
use super::headers::{MAX_HEADERS, body_framing, closes_connection, single_value, text};
use super::{FramingError, MessageLimits, Progress};
use http_types::headers::{HOST, HeaderName};
use http_types::{Body, Method, Request, Url, Version};
use std::str::FromStr;

/// A complete request.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The request with its body.
    pub request: Request,
    /// Whether the client wants the connection closed after the response.
    pub close: bool,
}

/// A request whose head is complete and whose body is not.
#[derive(Debug)]
struct OpenRequest {
    request: Request,
    close: bool,
    body: BodyReader,
}

/// Cuts the requests of one connection out of its bytes.
#[derive(Debug, Default)]
pub struct RequestReader {
    buffer: ReceiveBuffer,
    open: Option<OpenRequest>,
}

impl RequestReader {
    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend(bytes);
    }

    /// Whether a head has begun and is not complete.
    #[must_use]
    pub fn in_head(&self) -> bool {
        self.open.is_none() && !self.buffer.is_empty()
    }

    /// Whether a head is complete and its body is not.
    #[must_use]
    pub fn in_body(&self) -> bool {
        self.open.is_some()
    }

    /// The next request, as far as the bytes received so far go.
    ///
    /// # Errors
    /// If they are no request, or one that exceeds the limits.
    pub fn next(&mut self, limits: MessageLimits) -> Result<Progress<ReceivedRequest>, FramingError> {
        let Some(open) = &mut self.open else { return self.begin(limits) };
        if !open.body.read(&mut self.buffer)? {
            return Ok(Progress::Incomplete);
        }
        let Some(OpenRequest { mut request, close, body }) = self.open.take() else {
            return Ok(Progress::Incomplete);
        };
        request.set_body(Body::from_bytes(body.into_bytes()));
        Ok(Progress::Complete(ReceivedRequest { request, close }))
    }

    fn begin(&mut self, limits: MessageLimits) -> Result<Progress<ReceivedRequest>, FramingError> {
        self.buffer.skip_empty_lines();
        let Some(length) = self.buffer.head_length(limits.max_head_bytes)? else {
            return Ok(Progress::Incomplete);
        };
        let head = parse_head(&self.buffer.as_slice()[..length])?;
        let body = BodyReader::new(head.body_framing, limits.max_body_bytes)?;
        self.buffer.consume(length);
        self.open = Some(OpenRequest { request: head.request, close: head.close, body });
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
        request.append_header(name, text(header.value)?);
    }
    request.insert_header(HOST, host);
    let close = closes_connection(parsed.headers, parsed.version);
    Ok(RequestHead { request, body_framing, close, expects_continue })
}

/// The URL of a target in origin form (`/path`) or absolute form.
fn parse_target(host: &str, target: &str) -> Result<Url, FramingError> {
    let url = if target.starts_with('/') {
        Url::parse(&format!("http://{host}{target}"))
    } else {
        Url::parse(target)
    };
    url.map_err(|_| FramingError::Malformed("target"))
}

fn expects_continue(headers: &[httparse::Header<'_>]) -> Result<bool, FramingError> {
    match single_value(headers, "expect")? {
        None => Ok(false),
        Some(value) if value.eq_ignore_ascii_case("100-continue") => Ok(true),
        Some(_) => Err(FramingError::Expectation),
    }
}
