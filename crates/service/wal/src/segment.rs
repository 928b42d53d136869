//! The file names and headers of segments, the files of a log.
use crate::error::{CorruptionReason, OpenError};
use crate::format::{FORMAT_VERSION, Lsn};
use crate::frame::to_array;

/// The first bytes of every segment.
const MAGIC: &[u8; 8] = b"spanledg";
/// The size of a segment's header, bytes: magic, version, first LSN, salt, checksum.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 8 + 4 + 8 + 8 + CHECKSUM_BYTES;
/// The size of the header's checksum, bytes.
const CHECKSUM_BYTES: usize = 4;
/// The part of the header that the checksum covers, bytes.
const CHECKED_HEADER_BYTES: usize = SEGMENT_HEADER_BYTES - CHECKSUM_BYTES;
/// The extension of a segment's file name.
const FILE_EXTENSION: &str = ".log";

/// A segment that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentInfo {
    /// The name of the segment's file.
    pub file_name: String,
    /// The LSN of the segment's first record.
    pub first_lsn: Lsn,
    /// The size of the segment without a torn write at its end, bytes.
    pub size_bytes: u64,
    /// Whether the segment ends with a closing frame. Damage in the frames before a closing frame
    /// can't be a torn write.
    pub closed: bool,
}

/// Returns the file name of the segment that begins with this record.
pub(crate) fn segment_file_name(first_lsn: Lsn) -> String {
    format!("{first_lsn:020}{FILE_EXTENSION}")
}

/// Parses the LSN of a segment's first record from its file name. Returns `None` if the name is not
/// that of a segment.
pub(crate) fn parse_file_name(file_name: &str) -> Option<Lsn> {
    file_name.strip_suffix(FILE_EXTENSION)?.parse().ok()
}

/// The fields of a segment's header that a reader needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentHeader {
    /// A random number drawn for each segment, which every checksum of its frames covers.
    pub(crate) salt: u64,
}

/// Encodes a segment's header.
pub(crate) fn encode_header(first_lsn: Lsn, salt: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&first_lsn.to_le_bytes());
    bytes.extend_from_slice(&salt.to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes the header of the segment `file_name`. The first LSN in it must be `first_lsn`.
pub(crate) fn decode_header(
    file_name: &str,
    first_lsn: Lsn,
    bytes: &[u8],
) -> Result<SegmentHeader, OpenError> {
    let corrupt = |offset: usize, reason: CorruptionReason| OpenError::Corrupt {
        file_name: file_name.to_owned(),
        offset: offset as u64,
        reason,
    };
    if bytes.len() < SEGMENT_HEADER_BYTES {
        return Err(corrupt(bytes.len(), CorruptionReason::HeaderCutShort));
    }
    if &bytes[..8] != MAGIC {
        return Err(corrupt(0, CorruptionReason::WrongMagic));
    }
    if !has_valid_header(bytes) {
        return Err(corrupt(8, CorruptionReason::HeaderChecksum));
    }
    let version = u32::from_le_bytes(to_array(&bytes[8..12]));
    if version != FORMAT_VERSION {
        return Err(OpenError::UnsupportedVersion { file_name: file_name.to_owned(), version });
    }
    if u64::from_le_bytes(to_array(&bytes[12..20])) != first_lsn {
        return Err(corrupt(12, CorruptionReason::WrongFileName));
    }
    Ok(SegmentHeader { salt: u64::from_le_bytes(to_array(&bytes[20..28])) })
}

/// Whether a file begins with a header whose checksum matches.
pub(crate) fn has_valid_header(bytes: &[u8]) -> bool {
    let Some(header) = bytes.get(..SEGMENT_HEADER_BYTES) else { return false };
    let (checked, checksum) = header.split_at(CHECKED_HEADER_BYTES);
    crc32fast::hash(checked).to_le_bytes() == checksum
}
