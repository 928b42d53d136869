//! Segments: the files of a log, their names and headers.
use crate::error::{CorruptionReason, OpenError};
use crate::format::{FORMAT_VERSION, Lsn};
use crate::frame::to_array;

/// The first bytes of each segment.
const MAGIC: &[u8; 8] = b"spanledg";
/// The size of a header, bytes: magic, version, first LSN, salt, checksum.
pub(crate) const HEADER_BYTES: usize = 8 + 4 + 8 + 8 + CHECKSUM_BYTES;
/// The size of the header's checksum, bytes.
const CHECKSUM_BYTES: usize = 4;
/// The part of the header that the checksum covers, bytes.
const CHECKED_BYTES: usize = HEADER_BYTES - CHECKSUM_BYTES;
/// The extension of a segment's file name.
const FILE_EXTENSION: &str = ".log";

/// A segment as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentInfo {
    /// The name of its file.
    pub file_name: String,
    /// The LSN of its first record.
    pub first_lsn: Lsn,
    /// Its size without what was torn off at its end, bytes.
    pub size_bytes: u64,
    /// Whether the process that wrote it closed it: then a torn write can't be the reason for
    /// damage at its end.
    pub closed: bool,
}

/// The name of the segment that begins with this record.
pub(crate) fn file_name(first_lsn: Lsn) -> String {
    format!("{first_lsn:020}{FILE_EXTENSION}")
}

/// The LSN of the first record in the segment of this name; `None` if the file is not a segment.
pub(crate) fn first_lsn_of(file_name: &str) -> Option<Lsn> {
    file_name.strip_suffix(FILE_EXTENSION)?.parse().ok()
}

/// The header of a segment, as far as a reader needs it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentHeader {
    /// Part of each frame's checksum, drawn at random for each segment.
    pub(crate) salt: u64,
}

/// The bytes of a segment's header.
pub(crate) fn encode_header(first_lsn: Lsn, salt: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&first_lsn.to_le_bytes());
    bytes.extend_from_slice(&salt.to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Reads the header of the segment `file_name`, which must begin with the record `first_lsn`.
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
    if bytes.len() < HEADER_BYTES {
        return Err(corrupt(bytes.len(), CorruptionReason::HeaderCutShort));
    }
    if &bytes[..8] != MAGIC {
        return Err(corrupt(0, CorruptionReason::WrongMagic));
    }
    if !has_complete_header(bytes) {
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
pub(crate) fn has_complete_header(bytes: &[u8]) -> bool {
    let Some(header) = bytes.get(..HEADER_BYTES) else { return false };
    let (checked, checksum) = header.split_at(CHECKED_BYTES);
    crc32fast::hash(checked).to_le_bytes() == checksum
}
