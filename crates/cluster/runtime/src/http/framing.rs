//! Cutting messages out of a connection's bytes. No I/O: bytes are pushed in, whole messages come out.
use http_types::headers::{HOST, HeaderName};
use http_types::{Body, Method, Request, Url};
use quick_error::quick_error;
use std::str::FromStr;

/// Header lines of a message at most.
const MAX_HEADERS: usize = 100;
/// The longest line that tells a chunk's size, bytes.
const MAX_CHUNK_LINE: usize = 1_024;
/// The largest trailer, bytes.
const MAX_TRAILER: usize = 4_096;

quick_error! {
    /// Why a message is not read on. The connection can't be used after it.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Violation {
        /// Not HTTP/1.1, or contradictory.
        Malformed(what: &'static str) {
            display("{}", what)
        }
        /// The head is over its bound.
        HeadTooLarge {
            display("head too large")
        }
        /// The body is over its bound.
        BodyTooLarge {
            display("body too large")
        }
        /// An expectation other than `100-continue`.
        Expectation {
            display("expectation not met")
        }
    }
}

impl Violation {
    /// The status that the other side is told.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Violation::Malformed(_) => 400,
            Violation::BodyTooLarge => 413,
            Violation::Expectation => 417,
            Violation::HeadTooLarge => 431,
        }
    }
}

/// What is read at most, bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Of a head.
    pub head: usize,
    /// Of a body.
    pub body: usize,
}

/// A request, and whether the connection ends after its answer.
#[derive(Debug)]
pub struct Received {
    /// The request.
    pub request: Request,
    /// Whether the client wants the connection closed.
    pub close: bool,
}

/// What the bytes so far amount to.
#[derive(Debug)]
pub enum Progress<T> {
    /// More are needed.
    Partial,
    /// The client waits for a `100 Continue` before it sends the body. Told once.
    Continue,
    /// A whole message.
    Whole(T),
}

/// Where the body of a message ends.
#[derive(Debug)]
enum Extent {
    /// After so many bytes more.
    Length(usize),
    /// After the last chunk.
    Chunked(Chunk),
    /// With the connection.
    UntilClose,
}

#[derive(Debug)]
enum Chunk {
    Size,
    Data(usize),
    DataEnd,
    Trailer(usize),
}

/// A body that is being read.
#[derive(Debug)]
struct BodyReader {
    extent: Extent,
    bytes: Vec<u8>,
    bound: usize,
}

impl BodyReader {
    fn new(extent: Extent, bound: usize) -> Result<Self, Violation> {
        if matches!(extent, Extent::Length(length) if length > bound) {
            return Err(Violation::BodyTooLarge);
        }
        Ok(BodyReader { extent, bytes: Vec::new(), bound })
    }

    /// Takes what belongs to the body off the buffer. Whether it is whole.
    fn read(&mut self, buffer: &mut Buffer) -> Result<bool, Violation> {
        loop {
            let done = match &mut self.extent {
                Extent::Length(left) => {
                    *left -= buffer.move_to(&mut self.bytes, *left);
                    return Ok(*left == 0);
                }
                Extent::UntilClose => {
                    buffer.move_to(&mut self.bytes, usize::MAX);
                    return if self.bytes.len() > self.bound {
                        Err(Violation::BodyTooLarge)
                    } else {
                        Ok(false)
                    };
                }
                Extent::Chunked(chunk) => chunk.read(buffer, &mut self.bytes, self.bound)?,
            };
            match done {
                Step::More => return Ok(false),
                Step::Next => {}
                Step::End => return Ok(true),
            }
        }
    }
}

enum Step {
    More,
    Next,
    End,
}

impl Chunk {
    fn read(&mut self, buffer: &mut Buffer, body: &mut Vec<u8>, bound: usize) -> Result<Step, Violation> {
        match self {
            Chunk::Size => match httparse::parse_chunk_size(buffer.bytes()) {
                Ok(httparse::Status::Complete((used, size))) => {
                    let size = usize::try_from(size).unwrap_or(usize::MAX);
                    if size > bound.saturating_sub(body.len()) {
                        return Err(Violation::BodyTooLarge);
                    }
                    buffer.consume(used);
                    *self = if size == 0 { Chunk::Trailer(0) } else { Chunk::Data(size) };
                    Ok(Step::Next)
                }
                Ok(httparse::Status::Partial) if buffer.bytes().len() <= MAX_CHUNK_LINE => Ok(Step::More),
                _ => Err(Violation::Malformed("chunk size")),
            },
            Chunk::Data(left) => {
                *left -= buffer.move_to(body, *left);
                if *left > 0 {
                    return Ok(Step::More);
                }
                *self = Chunk::DataEnd;
                Ok(Step::Next)
            }
            Chunk::DataEnd => match buffer.bytes() {
                [b'\r', b'\n', ..] => {
                    buffer.consume(2);
                    *self = Chunk::Size;
                    Ok(Step::Next)
                }
                [] | [b'\r'] => Ok(Step::More),
                _ => Err(Violation::Malformed("chunk end")),
            },
            Chunk::Trailer(taken) => match buffer.bytes().windows(2).position(|two| two == b"\r\n") {
                Some(0) => {
                    buffer.consume(2);
                    Ok(Step::End)
                }
                Some(line) if *taken + line <= MAX_TRAILER => {
                    *taken += line + 2;
                    buffer.consume(line + 2);
                    Ok(Step::Next)
                }
                None if *taken + buffer.bytes().len() <= MAX_TRAILER => Ok(Step::More),
                _ => Err(Violation::Malformed("trailer")),
            },
        }
    }
}

/// Bytes that came and belong to no message yet.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Up to here there is no end of a head.
    searched: usize,
}

impl Buffer {
    fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.searched = 0;
    }

    fn move_to(&mut self, body: &mut Vec<u8>, most: usize) -> usize {
        let count = most.min(self.bytes.len());
        body.extend_from_slice(&self.bytes[..count]);
        self.consume(count);
        count
    }

    /// The length of the head with its empty line, once it is whole.
    fn head(&mut self, bound: usize) -> Result<Option<usize>, Violation> {
        let from = self.searched.saturating_sub(3);
        let end = self.bytes[from..].windows(4).position(|four| four == b"\r\n\r\n");
        let length = end.map(|end| from + end + 4);
        self.searched = self.bytes.len();
        match length {
            Some(length) if length > bound => Err(Violation::HeadTooLarge),
            None if self.bytes.len() > bound => Err(Violation::HeadTooLarge),
            length => Ok(length),
        }
    }

    /// Empty lines before a request are passed over.
    fn skip_empty_lines(&mut self) {
        while self.bytes.starts_with(b"\r\n") {
            self.consume(2);
        }
    }
}

/// Reads the requests of one connection.
#[derive(Debug, Default)]
pub struct RequestReader {
    buffer: Buffer,
    open: Option<(Request, bool, BodyReader)>,
}

impl RequestReader {
    /// Takes bytes that came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.bytes.extend_from_slice(bytes);
    }

    /// Whether a head has begun and is not whole.
    #[must_use]
    pub fn in_head(&self) -> bool {
        self.open.is_none() && !self.buffer.bytes.is_empty()
    }

    /// Whether a head is whole and its body is not.
    #[must_use]
    pub fn in_body(&self) -> bool {
        self.open.is_some()
    }

    /// What the bytes so far amount to.
    ///
    /// # Errors
    /// If they are no request, or one over the bounds.
    pub fn next(&mut self, bounds: Bounds) -> Result<Progress<Received>, Violation> {
        let Some((_, _, body)) = &mut self.open else { return self.begin(bounds) };
        if !body.read(&mut self.buffer)? {
            return Ok(Progress::Partial);
        }
        let Some((mut request, close, body)) = self.open.take() else { return Ok(Progress::Partial) };
        request.set_body(Body::from_bytes(body.bytes));
        Ok(Progress::Whole(Received { request, close }))
    }

    fn begin(&mut self, bounds: Bounds) -> Result<Progress<Received>, Violation> {
        self.buffer.skip_empty_lines();
        let Some(length) = self.buffer.head(bounds.head)? else { return Ok(Progress::Partial) };
        let head = read_request_head(&self.buffer.bytes[..length])?;
        let body = BodyReader::new(head.extent, bounds.body)?;
        self.buffer.consume(length);
        self.open = Some((head.request, head.close, body));
        match self.next(bounds)? {
            Progress::Partial if head.expects_continue => Ok(Progress::Continue),
            progress => Ok(progress),
        }
    }
}

struct RequestHead {
    request: Request,
    extent: Extent,
    close: bool,
    expects_continue: bool,
}

fn read_request_head(bytes: &[u8]) -> Result<RequestHead, Violation> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Err(httparse::Error::TooManyHeaders) => return Err(Violation::HeadTooLarge),
        _ => return Err(Violation::Malformed("no request")),
    }
    let target = parsed.path.unwrap_or_default();
    let method =
        Method::from_str(parsed.method.unwrap_or_default()).map_err(|_| Violation::Malformed("method"))?;
    let host = the_only(parsed.headers, "host")?.ok_or(Violation::Malformed("Host: missing"))?;
    let url = match target.starts_with('/') {
        true => Url::parse(&format!("http://{host}{target}")),
        false => Url::parse(target),
    };
    let url = url.map_err(|_| Violation::Malformed("target"))?;
    let extent = extent(parsed.headers)?.unwrap_or(Extent::Length(0));
    let expects_continue = match the_only(parsed.headers, "expect")? {
        None => false,
        Some(value) if value.eq_ignore_ascii_case("100-continue") => true,
        Some(_) => return Err(Violation::Expectation),
    };
    let mut request = Request::new(method, url);
    request.set_version(Some(http_types::Version::Http1_1));
    for header in parsed.headers.iter() {
        let name = HeaderName::from_str(header.name).map_err(|_| Violation::Malformed("header"))?;
        request.append_header(name, text(header.value)?);
    }
    request.insert_header(HOST, host);
    let close = closes(parsed.headers, parsed.version);
    Ok(RequestHead { request, extent, close, expects_continue })
}

/// Whether the connection ends after a message with these headers.
fn closes(headers: &[httparse::Header<'_>], version: Option<u8>) -> bool {
    let has = |word: &str| {
        let connection = headers.iter().filter(|header| header.name.eq_ignore_ascii_case("connection"));
        let mut words = connection.flat_map(|header| header.value.split(|byte| *byte == b','));
        words.any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    };
    has("close") || version == Some(0) && !has("keep-alive")
}

fn text(value: &[u8]) -> Result<&str, Violation> {
    let text = std::str::from_utf8(value).map_err(|_| Violation::Malformed("header"))?;
    if text.is_ascii() { Ok(text.trim()) } else { Err(Violation::Malformed("header")) }
}

/// The value of a header that may come only once, or several times with the same value.
fn the_only<'a>(headers: &[httparse::Header<'a>], name: &str) -> Result<Option<&'a str>, Violation> {
    let mut only = None;
    for header in headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name)) {
        let value = text(header.value)?;
        if only.is_some_and(|other| other != value) {
            return Err(Violation::Malformed("a header that contradicts itself"));
        }
        only = Some(value);
    }
    Ok(only)
}

/// Where the body ends by the head; `None` if it doesn't say.
fn extent(headers: &[httparse::Header<'_>]) -> Result<Option<Extent>, Violation> {
    let length = the_only(headers, "content-length")?;
    let coding = the_only(headers, "transfer-encoding")?;
    match (length, coding) {
        (None, None) => Ok(None),
        (Some(_), Some(_)) => Err(Violation::Malformed("both a length and chunks")),
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => {
            Ok(Some(Extent::Chunked(Chunk::Size)))
        }
        (None, Some(_)) => Err(Violation::Malformed("Transfer-Encoding")),
        (Some(length), None) => {
            let digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
            let length = length.parse().ok().filter(|_| digits);
            length.map(|length| Some(Extent::Length(length))).ok_or(Violation::Malformed("Content-Length"))
        }
    }
}

/// An answer, and whether its connection may be used again.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Whether exactly this answer came, and the other side keeps the connection.
    pub reusable: bool,
}

/// Reads the answer to one request.
#[derive(Debug, Default)]
pub struct AnswerReader {
    buffer: Buffer,
    open: Option<(u16, bool, BodyReader)>,
}

impl AnswerReader {
    /// Takes bytes that came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.bytes.extend_from_slice(bytes);
    }

    /// What the bytes so far amount to. Interim answers (1xx) are passed over.
    ///
    /// # Errors
    /// If they are no answer, or one over the bounds.
    pub fn next(&mut self, bounds: Bounds) -> Result<Progress<Answer>, Violation> {
        while self.open.is_none() {
            let Some(length) = self.buffer.head(bounds.head)? else { return Ok(Progress::Partial) };
            let (status, closes, extent) = read_answer_head(&self.buffer.bytes[..length])?;
            self.buffer.consume(length);
            match status {
                101 => return Err(Violation::Malformed("a protocol that was not asked for")),
                100..200 => {}
                _ => self.open = Some((status, closes, BodyReader::new(extent, bounds.body)?)),
            }
        }
        let Some((_, _, body)) = &mut self.open else { return Ok(Progress::Partial) };
        if !body.read(&mut self.buffer)? {
            return Ok(Progress::Partial);
        }
        let rest = !self.buffer.bytes.is_empty();
        Ok(self.open.take().map_or(Progress::Partial, |(status, closes, body)| {
            Progress::Whole(Answer { status, body: body.bytes, reusable: !closes && !rest })
        }))
    }

    /// The connection ended: the answer, if that is how it was to end.
    #[must_use]
    pub fn end(self) -> Option<Answer> {
        let (status, _, body) = self.open?;
        let whole = matches!(body.extent, Extent::UntilClose);
        whole.then_some(Answer { status, body: body.bytes, reusable: false })
    }
}

fn read_answer_head(bytes: &[u8]) -> Result<(u16, bool, Extent), Violation> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        _ => return Err(Violation::Malformed("no answer")),
    }
    let status = parsed.code.unwrap_or_default();
    let closes = closes(parsed.headers, parsed.version);
    let extent = match (status, extent(parsed.headers)?) {
        (204 | 304, _) => Extent::Length(0),
        (_, Some(extent)) => extent,
        (_, None) => Extent::UntilClose,
    };
    Ok((status, closes, extent))
}
