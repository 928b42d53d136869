//! Header fields that decide how a message is framed.
use super::FramingError;
use super::body::{BodyFraming, ChunkState};
use httparse::Header;

/// Header lines of a message at most.
pub(super) const MAX_HEADERS: usize = 100;

/// The trimmed text of a header's value. Only ASCII is accepted.
pub(super) fn text(value: &[u8]) -> Result<&str, FramingError> {
    let text = std::str::from_utf8(value).map_err(|_| FramingError::Malformed("header"))?;
    if text.is_ascii() { Ok(text.trim()) } else { Err(FramingError::Malformed("header")) }
}

/// The value of a header that may occur once, or several times with the same value.
pub(super) fn single_value<'a>(headers: &[Header<'a>], name: &str) -> Result<Option<&'a str>, FramingError> {
    let mut single = None;
    for header in headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name)) {
        let value = text(header.value)?;
        if single.is_some_and(|other| other != value) {
            return Err(FramingError::Malformed("a header that contradicts itself"));
        }
        single = Some(value);
    }
    Ok(single)
}

/// Whether the connection ends after a message with these headers.
///
/// `minor_version` is that of HTTP/1: in version 1.0 the connection ends unless it is kept alive.
pub(super) fn closes_connection(headers: &[Header<'_>], minor_version: Option<u8>) -> bool {
    has_connection_option(headers, "close")
        || minor_version == Some(0) && !has_connection_option(headers, "keep-alive")
}

fn has_connection_option(headers: &[Header<'_>], option: &str) -> bool {
    let connection = headers.iter().filter(|header| header.name.eq_ignore_ascii_case("connection"));
    let mut options = connection.flat_map(|header| header.value.split(|byte| *byte == b','));
    options.any(|given| given.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
}

/// How the body is framed by these headers; `None` if they do not say.
///
/// A message with both a length and chunks is refused, as it is read differently by different
/// implementations (request smuggling).
pub(super) fn body_framing(headers: &[Header<'_>]) -> Result<Option<BodyFraming>, FramingError> {
    let length = single_value(headers, "content-length")?;
    let coding = single_value(headers, "transfer-encoding")?;
    match (length, coding) {
        (None, None) => Ok(None),
        (Some(_), Some(_)) => Err(FramingError::Malformed("both a length and chunks")),
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => {
            Ok(Some(BodyFraming::Chunked(ChunkState::Size)))
        }
        (None, Some(_)) => Err(FramingError::Malformed("Transfer-Encoding")),
        (Some(length), None) => content_length(length).map(|length| Some(BodyFraming::Length(length))),
    }
}

/// Digits only: `parse` alone would also accept a sign.
fn content_length(text: &str) -> Result<usize, FramingError> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let length = text.parse().ok().filter(|_| is_number);
    length.ok_or(FramingError::Malformed("Content-Length"))
}
