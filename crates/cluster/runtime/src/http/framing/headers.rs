//! Header fields that determine the framing of a message.
use super::FramingError;
use super::body::{BodyFraming, ChunkState};
use httparse::Header;

/// Maximum number of header lines of a message.
pub(super) const MAX_HEADERS: usize = 100;
const NOT_ASCII: &str = "header";

/// Returns the trimmed value of a header field. Only ASCII is accepted.
pub(super) fn ascii_value(value: &[u8]) -> Result<&str, FramingError> {
    let text = std::str::from_utf8(value).map_err(|_| FramingError::Malformed(NOT_ASCII))?;
    if text.is_ascii() { Ok(text.trim()) } else { Err(FramingError::Malformed(NOT_ASCII)) }
}

/// Returns the value of a header field that occurs once, or several times with the same value.
pub(super) fn single_value<'a>(headers: &[Header<'a>], name: &str) -> Result<Option<&'a str>, FramingError> {
    let mut single = None;
    for header in headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name)) {
        let value = ascii_value(header.value)?;
        if single.is_some_and(|previous| previous != value) {
            return Err(FramingError::Malformed("a header that contradicts itself"));
        }
        single = Some(value);
    }
    Ok(single)
}

/// Returns whether the sender closes the connection after a message with these headers.
///
/// `minor_version` is the minor version of HTTP/1: in version 1.0 the connection is closed unless
/// `keep-alive` is given.
pub(super) fn closes_connection(headers: &[Header<'_>], minor_version: Option<u8>) -> bool {
    has_connection_option(headers, "close")
        || minor_version == Some(0) && !has_connection_option(headers, "keep-alive")
}

fn has_connection_option(headers: &[Header<'_>], option: &str) -> bool {
    let connection = headers.iter().filter(|header| header.name.eq_ignore_ascii_case("connection"));
    let mut options = connection.flat_map(|header| header.value.split(|byte| *byte == b','));
    options.any(|given| given.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
}

/// Returns how these headers frame the body; `None` if they do not determine it.
///
/// A message with both `Content-Length` and `Transfer-Encoding` is refused, as implementations
/// differ in how they read it, which enables request smuggling.
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

/// Parses the value of `Content-Length`. Only digits are accepted: `parse` alone would accept a
/// sign.
fn content_length(text: &str) -> Result<usize, FramingError> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let length = text.parse().ok().filter(|_| is_number);
    length.ok_or(FramingError::Malformed("Content-Length"))
}
