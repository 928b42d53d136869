//! Errors of this crate.
use crate::format::{FORMAT_VERSION, Lsn};
use std::fmt;
use std::io;

/// A log can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The system refused.
    #[error("{file_name}: {source}")]
    Io {
        /// The file, or `.` for the directory.
        file_name: String,
        /// What the system reported.
        source: io::Error,
    },
    /// The content of a file is not what was written.
    #[error("{file_name}: damaged at byte {offset}: {reason}")]
    Corrupt {
        /// The file.
        file_name: String,
        /// Where the damage begins, or the frame that holds it, bytes from the file's start.
        offset: u64,
        /// What is wrong there.
        reason: CorruptionReason,
    },
    /// The file was written in another version of the format.
    #[error("{file_name}: version {version} of the form; this program reads version {FORMAT_VERSION}")]
    UnsupportedVersion {
        /// The file.
        file_name: String,
        /// The version that its header names.
        version: u32,
    },
}

/// What is wrong with the content of a segment.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CorruptionReason {
    /// Records are missing between two segments.
    #[error("it begins with record {first_lsn}, and {expected_lsn} should come")]
    MissingRecords {
        /// The first record of the segment.
        first_lsn: Lsn,
        /// The record that should follow the segment before.
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
    /// The header's first LSN is not that of the file's name.
    #[error("its name is not that of its first record")]
    WrongFileName,
    /// The length of a record exceeds its frame.
    #[error("a record's length")]
    RecordExceedsFrame,
    /// A frame can't be read.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The caller rejected a record.
    #[error(transparent)]
    Record(#[from] RecordRejected),
}

/// Bytes are not the frame that should come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Fewer bytes than a frame's header.
    #[error("a frame's head is cut short")]
    HeaderCutShort,
    /// The header has an impossible length, or the LSN of another frame.
    #[error("a frame's head is not what should come")]
    UnexpectedHeader,
    /// Fewer bytes than the header says.
    #[error("a frame is cut short")]
    PayloadCutShort,
    /// The checksum does not match.
    #[error("a frame's checksum does not match")]
    Checksum,
}

/// A record was read whole, and the caller can't use it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct RecordRejected {
    reason: String,
}

impl RecordRejected {
    /// A rejection for this reason, which becomes part of [`OpenError::Corrupt`].
    pub fn new(reason: impl fmt::Display) -> Self {
        RecordRejected { reason: reason.to_string() }
    }
}

/// Records could not be appended. The log takes no more records then.
#[derive(Debug, thiserror::Error)]
pub enum AppendError {
    /// An earlier append failed, so it is not known what is on disk.
    #[error("the log has failed before")]
    FailedBefore,
    /// The system refused.
    #[error(transparent)]
    Io(#[from] io::Error),
}
