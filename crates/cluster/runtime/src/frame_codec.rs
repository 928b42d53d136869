//! Frames as bytes: a length of four bytes, little endian, and the frame as `rkyv` serialises it.
use crate::frame::Frame;
use crate::timeout::timeout;
use async_std::io::{Read, ReadExt};
use quick_error::quick_error;
use rkyv::rancor;
use std::time::Duration;

/// The largest frame that is read, bytes, without its length.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of the length before a frame.
pub const LENGTH_BYTES: usize = 4;

/// Bytes for which memory is reserved at a time: memory is used for what was received, not for what
/// was announced.
const READ_BYTES: usize = 64 * 1024;

quick_error! {
    /// Why a frame can't be read.
    #[derive(Debug)]
    pub enum FrameError {
        /// The connection failed.
        Io(error: std::io::Error) {
            from()
            display("{}", error)
        }
        /// The other side sent nothing for too long.
        TimedOut {
            display("timed out")
        }
        /// Not a frame of this version.
        Malformed {
            display("no frame of this version")
        }
    }
}

/// The bytes of a frame with its length.
#[must_use]
pub fn encode(frame: &Frame) -> Vec<u8> {
    let body = rkyv::to_bytes::<rancor::Error>(frame).map(|body| body.to_vec()).unwrap_or_default();
    let mut bytes = Vec::with_capacity(body.len() + LENGTH_BYTES);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes a frame from its bytes without the length.
///
/// # Errors
/// If they are no frame of this version.
pub fn decode(body: &[u8]) -> Result<Frame, FrameError> {
    rkyv::from_bytes::<Frame, rancor::Error>(body).map_err(|_| FrameError::Malformed)
}

/// Reads one frame. Each part of it may take `read_timeout`.
///
/// # Errors
/// If the connection ends, times out, or brings something else.
pub async fn read_frame(
    stream: &mut (impl Read + Unpin),
    read_timeout: Duration,
) -> Result<Frame, FrameError> {
    let mut length = [0u8; LENGTH_BYTES];
    read_part(stream, &mut length, read_timeout).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::Malformed);
    }
    let mut body = Vec::new();
    while body.len() < length {
        let from = body.len();
        body.resize(length.min(from + READ_BYTES), 0);
        read_part(stream, &mut body[from..], read_timeout).await?;
    }
    decode(&body)
}

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
