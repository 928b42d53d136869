//! Error types of this crate.
use crate::format::{FORMAT_VERSION, Lsn};
use std::fmt;
use std::io;

/// The error of a log that can't be read or prepared for writing.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// An I/O operation failed.
    #[error("{file_name}: {source}")]
    Io {
        /// The file, or `.` for the directory.
        file_name: String,
        /// The I/O error of the system.
        source: io::Error,
    },
    /// The content of a file is not what was written.
    #[error("{file_name}: damaged at byte {offset}: {reason}")]
    Corrupt {
        /// The file.
        file_name: String,
        /// The start of the damage or of the frame that contains it, in bytes from the file's
        /// start.
        offset: u64,
        /// The kind of damage.
        reason: CorruptionReason,
    },
    /// The file was written in another version of the format.
    #[error("{file_name}: version {version} of the form; this program reads version {FORMAT_VERSION}")]
    UnsupportedVersion {
        /// The file.
        file_name: String,
        /// The version in its header.
        version: u32,
    },
}

/// The kind of damage in a segment.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CorruptionReason {
    /// Records are missing between two segments.
    #[error("the segment begins with record {first_lsn}; expected record {expected_lsn}")]
    MissingRecords {
        /// The LSN of the segment's first record, from its file name.
        first_lsn: Lsn,
        /// The LSN that follows the last record of the segment before.
        expected_lsn: Lsn,
    },
    /// The file is shorter than a header.
    #[error("the file ends within its head")]
    HeaderCutShort,
    /// The file does not begin with the magic of a segment.
    #[error("it does not begin as a segment does")]
    WrongMagic,
    /// The header's checksum does not match.
    #[error("the head's checksum does not match")]
    HeaderChecksum,
    /// The first LSN in the header differs from the one in the file's name.
    #[error("its name is not that of its first record")]
    WrongFileName,
    /// The length of a record exceeds its frame.
    #[error("a record's length exceeds its frame")]
    RecordExceedsFrame,
    /// A frame is incomplete or damaged.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The caller rejected a record.
    #[error(transparent)]
    Record(#[from] RecordRejected),
}

/// The error of bytes that do not begin with the expected frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// There are fewer bytes than a frame's header has.
    #[error("a frame's head is cut short")]
    HeaderCutShort,
    /// The payload length in the header exceeds the maximum, or the first LSN is not the expected
    /// one.
    #[error("a frame's header has an impossible length or an unexpected first record")]
    UnexpectedHeader,
    /// There are fewer bytes than the length in the header.
    #[error("a frame is cut short")]
    PayloadCutShort,
    /// The checksum does not match.
    #[error("a frame's checksum does not match")]
    Checksum,
}

/// The caller's reason for rejecting a record that was read undamaged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct RecordRejected {
    reason: String,
}

impl RecordRejected {
    /// Creates a rejection for this reason, which becomes part of [`OpenError::Corrupt`].
    pub fn new(reason: impl fmt::Display) -> Self {
        RecordRejected { reason: reason.to_string() }
    }
}

/// The error of a failed append. The log accepts no more records after it.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// An earlier append failed, so it is not known what is on disk.
    #[error("an earlier write to the log failed; it accepts no more records")]
    FailedBefore,
    /// An I/O operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}
