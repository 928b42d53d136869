//! The receive buffer of a connection.
use super::FramingError;

/// The end of a head: the line break of its last line and an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Bytes that were received and not yet assigned to a message.
#[derive(Debug, Default)]
pub(super) struct ReceiveBuffer {
    bytes: Vec<u8>,
    /// Offset before which no head ends, so that a head that arrives in pieces is searched only
    /// once.
    searched: usize,
}

impl ReceiveBuffer {
    pub(super) fn extend(&mut self, received: &[u8]) {
        self.bytes.extend_from_slice(received);
    }

    pub(super) fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Discards the first `count` bytes.
    pub(super) fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.searched = 0;
    }

    /// Moves up to `max_bytes` bytes to the end of `target`. Returns the number of bytes moved.
    pub(super) fn move_to(&mut self, target: &mut Vec<u8>, max_bytes: usize) -> usize {
        let count = max_bytes.min(self.bytes.len());
        target.extend_from_slice(&self.bytes[..count]);
        self.consume(count);
        count
    }

    /// Returns the length of the head including its empty line, in bytes, once the head is
    /// complete.
    ///
    /// # Errors
    /// If the head, complete or not, exceeds `max_head_bytes`.
    pub(super) fn head_length(&mut self, max_head_bytes: usize) -> Result<Option<usize>, FramingError> {
        let from = self.searched.saturating_sub(HEAD_END.len() - 1);
        let mut windows = self.bytes[from..].windows(HEAD_END.len());
        let length = windows.position(|window| window == HEAD_END).map(|end| from + end + HEAD_END.len());
        self.searched = self.bytes.len();
        if length.unwrap_or(self.bytes.len()) > max_head_bytes {
            return Err(FramingError::HeadTooLarge);
        }
        Ok(length)
    }

    /// Discards empty lines, which RFC 9112 tells servers to ignore before a request line.
    pub(super) fn skip_empty_lines(&mut self) {
        while self.bytes.starts_with(b"\r\n") {
            self.consume(2);
        }
    }
}
