//! Incremental reader of the body of a message.
use super::FramingError;
use super::buffer::ReceiveBuffer;

/// Maximum length of the line with a chunk's size, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1_024;
/// Maximum size of the trailer after the last chunk, in bytes.
const MAX_TRAILER_BYTES: usize = 4_096;

/// The way in which the end of a body is determined.
#[derive(Debug)]
pub(super) enum BodyFraming {
    /// The body ends after this many more bytes.
    Length(usize),
    /// The body ends after the last chunk.
    Chunked(ChunkState),
    /// The body ends with the connection.
    UntilClose,
}

/// The part of a chunked body that is expected next.
#[derive(Debug)]
pub(super) enum ChunkState {
    /// The line with a chunk's size.
    Size,
    /// The data of a chunk, of which this many bytes are missing.
    Data(usize),
    /// The line break after the data of a chunk.
    DataEnd,
    /// The trailer, of which this many bytes were consumed.
    Trailer(usize),
}

/// The outcome of one step of reading a chunked body.
enum Step {
    /// More bytes are needed.
    NeedsBytes,
    /// A part was read; another one follows.
    Advanced,
    /// The body is complete.
    Complete,
}

/// A body that is being received. Never holds more than `max_bytes` plus the bytes of one read.
#[derive(Debug)]
pub(super) struct BodyReader {
    framing: BodyFraming,
    bytes: Vec<u8>,
    max_bytes: usize,
}

impl BodyReader {
    pub(super) fn new(framing: BodyFraming, max_bytes: usize) -> Result<Self, FramingError> {
        if matches!(framing, BodyFraming::Length(length) if length > max_bytes) {
            return Err(FramingError::BodyTooLarge);
        }
        Ok(BodyReader { framing, bytes: Vec::new(), max_bytes })
    }

    pub(super) fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// Returns whether this body ends with the connection.
    pub(super) fn ends_with_connection(&self) -> bool {
        matches!(self.framing, BodyFraming::UntilClose)
    }

    /// Moves the bytes of the body out of the buffer. Returns whether the body is complete.
    pub(super) fn read(&mut self, buffer: &mut ReceiveBuffer) -> Result<bool, FramingError> {
        match &mut self.framing {
            BodyFraming::Length(missing) => {
                *missing -= buffer.move_to(&mut self.bytes, *missing);
                Ok(*missing == 0)
            }
            BodyFraming::UntilClose => {
                buffer.move_to(&mut self.bytes, usize::MAX);
                if self.bytes.len() > self.max_bytes {
                    return Err(FramingError::BodyTooLarge);
                }
                Ok(false)
            }
            BodyFraming::Chunked(chunk) => loop {
                match chunk.step(buffer, &mut self.bytes, self.max_bytes)? {
                    Step::NeedsBytes => return Ok(false),
                    Step::Advanced => {}
                    Step::Complete => return Ok(true),
                }
            },
        }
    }
}

impl ChunkState {
    /// Reads the next part of the body, as far as its bytes were received.
    fn step(
        &mut self,
        buffer: &mut ReceiveBuffer,
        body: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<Step, FramingError> {
        match self {
            ChunkState::Size => self.read_size(buffer, max_bytes.saturating_sub(body.len())),
            ChunkState::Data(missing) => {
                *missing -= buffer.move_to(body, *missing);
                if *missing > 0 {
                    return Ok(Step::NeedsBytes);
                }
                *self = ChunkState::DataEnd;
                Ok(Step::Advanced)
            }
            ChunkState::DataEnd => self.read_data_end(buffer),
            ChunkState::Trailer(consumed) => read_trailer_line(buffer, consumed),
        }
    }

    /// Reads the size of a chunk. A chunk of more than `max_chunk` bytes, with which the body would
    /// exceed its limit, is refused before its bytes arrive.
    fn read_size(&mut self, buffer: &mut ReceiveBuffer, max_chunk: usize) -> Result<Step, FramingError> {
        match httparse::parse_chunk_size(buffer.as_slice()) {
            Ok(httparse::Status::Complete((line_bytes, size))) => {
                let size = usize::try_from(size).unwrap_or(usize::MAX);
                if size > max_chunk {
                    return Err(FramingError::BodyTooLarge);
                }
                buffer.consume(line_bytes);
                *self = if size == 0 { ChunkState::Trailer(0) } else { ChunkState::Data(size) };
                Ok(Step::Advanced)
            }
            Ok(httparse::Status::Partial) if buffer.as_slice().len() <= MAX_CHUNK_LINE_BYTES => {
                Ok(Step::NeedsBytes)
            }
            _ => Err(FramingError::Malformed("chunk size")),
        }
    }

    fn read_data_end(&mut self, buffer: &mut ReceiveBuffer) -> Result<Step, FramingError> {
        match buffer.as_slice() {
            [b'\r', b'\n', ..] => {
                buffer.consume(2);
                *self = ChunkState::Size;
                Ok(Step::Advanced)
            }
            [] | [b'\r'] => Ok(Step::NeedsBytes),
            _ => Err(FramingError::Malformed("chunk end")),
        }
    }
}

/// Reads one line of the trailer; an empty line completes the body.
fn read_trailer_line(buffer: &mut ReceiveBuffer, consumed: &mut usize) -> Result<Step, FramingError> {
    match buffer.as_slice().windows(2).position(|window| window == b"\r\n") {
        Some(0) => {
            buffer.consume(2);
            Ok(Step::Complete)
        }
        Some(line_bytes) if *consumed + line_bytes <= MAX_TRAILER_BYTES => {
            *consumed += line_bytes + 2;
            buffer.consume(line_bytes + 2);
            Ok(Step::Advanced)
        }
        None if *consumed + buffer.as_slice().len() <= MAX_TRAILER_BYTES => Ok(Step::NeedsBytes),
        _ => Err(FramingError::Malformed("trailer")),
    }
}
