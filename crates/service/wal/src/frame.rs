//! The encoding of a frame, which holds the records of one group commit.
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | length of the payload, bytes |
//! | 4 | number of records; 0 in the frame that closes a segment |
//! | 8 | LSN of the first record |
//! | 4 | CRC-32 of the segment's salt, the 16 bytes above and the payload |
//! | length | payload: for each record, its length in 4 bytes and its bytes |
//!
//! All integers are little-endian.
use crate::error::FrameError;
use crate::format::Lsn;

/// The size of a frame's header, bytes.
const FRAME_HEADER_BYTES: usize = 4 + 4 + 8 + 4;
/// The part of the header that the checksum covers, bytes.
const CHECKED_HEADER_BYTES: usize = FRAME_HEADER_BYTES - CHECKSUM_BYTES;
/// The size of a checksum, bytes.
const CHECKSUM_BYTES: usize = 4;
/// The size of the length that precedes a record, bytes.
const RECORD_LENGTH_BYTES: usize = 4;
/// The maximum size of a frame's payload, bytes: far more than a group commit collects.
const MAX_PAYLOAD_BYTES: usize = 64 << 20;
/// The upper bound, exclusive, on how far the LSN of a frame behind a damaged one may be ahead of
/// the expected LSN. Bytes whose LSN is out of range are not taken for a frame.
const MAX_LSN_GAP: u64 = 1 << 32;

/// A decoded frame.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Frame<'a> {
    /// The number of records in the payload; 0 in the frame that closes a segment.
    pub(crate) record_count: u32,
    payload: &'a [u8],
}

impl<'a> Frame<'a> {
    /// Decodes the frame at the start of `bytes`. Its first record must be `expected_lsn`.
    pub(crate) fn decode(bytes: &'a [u8], salt: u64, expected_lsn: Lsn) -> Result<Self, FrameError> {
        let (header, rest) = bytes.split_at_checked(FRAME_HEADER_BYTES).ok_or(FrameError::HeaderCutShort)?;
        let payload_bytes = u32::from_le_bytes(to_array(&header[..4])) as usize;
        let record_count = u32::from_le_bytes(to_array(&header[4..8]));
        let first_lsn = u64::from_le_bytes(to_array(&header[8..16]));
        if payload_bytes > MAX_PAYLOAD_BYTES || first_lsn != expected_lsn {
            return Err(FrameError::UnexpectedHeader);
        }
        let payload = rest.get(..payload_bytes).ok_or(FrameError::PayloadCutShort)?;
        let (checked, checksum) = header.split_at(CHECKED_HEADER_BYTES);
        if frame_checksum(salt, checked, payload).to_le_bytes() != checksum {
            return Err(FrameError::Checksum);
        }
        Ok(Frame { record_count, payload })
    }

    /// Returns the size of the frame including its header, bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        FRAME_HEADER_BYTES + self.payload.len()
    }

    /// Returns `record_count` items, one for each record: `None` for a record whose length exceeds
    /// the frame and for all records behind it.
    pub(crate) fn records(&self) -> impl Iterator<Item = Option<&'a [u8]>> + use<'a> {
        let mut rest = Some(self.payload);
        (0..self.record_count).map(move |_| {
            let (length, tail) = rest.take()?.split_at_checked(RECORD_LENGTH_BYTES)?;
            let (record, tail) = tail.split_at_checked(u32::from_le_bytes(to_array(length)) as usize)?;
            rest = Some(tail);
            Some(record)
        })
    }
}

/// Encodes these records as a frame.
pub(crate) fn encode_frame<R: AsRef<[u8]>>(salt: u64, first_lsn: Lsn, records: &[R]) -> Vec<u8> {
    let mut bytes = vec![0; FRAME_HEADER_BYTES];
    for record in records {
        let record = record.as_ref();
        bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
        bytes.extend_from_slice(record);
    }
    let payload_bytes = (bytes.len() - FRAME_HEADER_BYTES) as u32;
    bytes[..4].copy_from_slice(&payload_bytes.to_le_bytes());
    bytes[4..8].copy_from_slice(&(records.len() as u32).to_le_bytes());
    bytes[8..16].copy_from_slice(&first_lsn.to_le_bytes());
    let (header, payload) = bytes.split_at(FRAME_HEADER_BYTES);
    let checksum = frame_checksum(salt, &header[..CHECKED_HEADER_BYTES], payload);
    bytes[CHECKED_HEADER_BYTES..FRAME_HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Encodes the frame that closes a segment: a frame without records.
pub(crate) fn encode_closing_frame(salt: u64, next_lsn: Lsn) -> Vec<u8> {
    encode_frame::<&[u8]>(salt, next_lsn, &[])
}

/// Whether `bytes` contains, at any offset, a valid frame whose first LSN is `expected_lsn` or
/// later.
pub(crate) fn contains_later_frame(bytes: &[u8], salt: u64, expected_lsn: Lsn) -> bool {
    let plausible_lsns = expected_lsn..expected_lsn.saturating_add(MAX_LSN_GAP);
    (0..bytes.len().saturating_sub(FRAME_HEADER_BYTES - 1)).any(|offset| {
        let first_lsn = u64::from_le_bytes(to_array(&bytes[offset + 8..offset + 16]));
        // This includes a closing frame, which has no records and the LSN of the next record.
        plausible_lsns.contains(&first_lsn) && Frame::decode(&bytes[offset..], salt, first_lsn).is_ok()
    })
}

/// Returns the first `N` bytes. There must be at least `N`.
pub(crate) fn to_array<const N: usize>(bytes: &[u8]) -> [u8; N] {
    std::array::from_fn(|i| bytes[i])
}

fn frame_checksum(salt: u64, header: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    // The salt is random for each segment, so that neither text from a client in a record nor a
    // frame of another segment can be taken for a frame of this one.
    hasher.update(&salt.to_le_bytes());
    hasher.update(header);
    hasher.update(payload);
    hasher.finalize()
}
