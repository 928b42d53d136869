//! The wire format of frames: a length prefix of four bytes, little endian, and the frame
//! serialised by `rkyv`.
use crate::frame::Frame;
use crate::timeout::timeout;
use async_std::io::{Read, ReadExt};
use quick_error::quick_error;
use rkyv::rancor;
use std::time::Duration;

/// Maximum size of a received frame without its length prefix, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Size of the length prefix of a frame, in bytes.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// Bytes that are allocated and read at a time, so that memory use follows the bytes received and
/// not the length that the peer announced.
const READ_CHUNK_BYTES: usize = 64 * 1024;

quick_error! {
    /// An error in reading a frame.
    #[derive(Debug)]
    pub enum FrameError {
        /// The connection failed.
        Io(error: std::io::Error) {
            from()
            display("{}", error)
        }
        /// The length prefix or a part of the frame did not arrive within the read time-out.
        TimedOut {
            display("timed out")
        }
        /// The bytes are not a frame of this version, or the announced length exceeds
        /// [`MAX_FRAME_BYTES`].
        Malformed {
            display("malformed frame, or one of another protocol version")
        }
    }
}

/// Encodes a frame with its length prefix.
#[must_use]
pub fn encode(frame: &Frame) -> Vec<u8> {
    let body = rkyv::to_bytes::<rancor::Error>(frame).map(|body| body.to_vec()).unwrap_or_default();
    let mut bytes = Vec::with_capacity(body.len() + LENGTH_PREFIX_BYTES);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes a frame from its bytes without the length prefix.
///
/// # Errors
/// If `body` is not a frame of this version.
pub fn decode(body: &[u8]) -> Result<Frame, FrameError> {
    rkyv::from_bytes::<Frame, rancor::Error>(body).map_err(|_| FrameError::Malformed)
}

/// Reads one frame. The time-out applies to the length prefix and to each part of
/// `READ_CHUNK_BYTES` separately.
///
/// # Errors
/// If the connection ends or times out, the bytes received are not a frame of this version, or the
/// announced length exceeds [`MAX_FRAME_BYTES`].
pub async fn read_frame(
    stream: &mut (impl Read + Unpin),
    read_timeout: Duration,
) -> Result<Frame, FrameError> {
    let mut length = [0u8; LENGTH_PREFIX_BYTES];
    read_part(stream, &mut length, read_timeout).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::Malformed);
    }
    let mut body = Vec::new();
    while body.len() < length {
        let from = body.len();
        body.resize(length.min(from + READ_CHUNK_BYTES), 0);
        read_part(stream, &mut body[from..], read_timeout).await?;
    }
    decode(&body)
}

/// Fills `part` from the stream within `read_timeout`.
async fn read_part(
    stream: &mut (impl Read + Unpin),
    part: &mut [u8],
    read_timeout: Duration,
) -> Result<(), FrameError> {
    match timeout(read_timeout, stream.read_exact(part)).await {
        Ok(read) => Ok(read?),
        Err(_) => Err(FrameError::TimedOut),
    }
}
