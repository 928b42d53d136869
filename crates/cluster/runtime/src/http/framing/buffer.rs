//! The bytes of a connection that belong to no message yet.
use super::FramingError;

/// The empty line that ends a head, with the end of the line before it.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Bytes that were received and not yet consumed.
#[derive(Debug, Default)]
pub(super) struct ReceiveBuffer {
    bytes: Vec<u8>,
    /// No head ends before this offset, so a head that arrives byte by byte is searched only once.
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

    /// Drops the first `count` bytes.
    pub(super) fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.searched = 0;
    }

    /// Moves up to `max_bytes` to the end of `target`. Returns how many were moved.
    pub(super) fn move_to(&mut self, target: &mut Vec<u8>, max_bytes: usize) -> usize {
        let count = max_bytes.min(self.bytes.len());
        target.extend_from_slice(&self.bytes[..count]);
        self.consume(count);
        count
    }

    /// The length of the head with its empty line, in bytes, once it is complete.
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

    /// Drops empty lines, which RFC 9112 tolerates before a request line.
    pub(super) fn skip_empty_lines(&mut self) {
        while self.bytes.starts_with(b"\r\n") {
            self.consume(2);
        }
    }
}
