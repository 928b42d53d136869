//! A write-ahead log on disk. The caller defines the content of the records.
//!
//! The log is a directory with segment files and the file `lock`. A segment is a file `FIRST.log`,
//! named after the LSN of its first record. It consists of a header (magic, version, first LSN,
//! salt, checksum) and frames. A frame holds the records of one group commit: the length of the
//! payload, the number of records, the first LSN, a CRC-32 of these, the salt and the payload, and
//! then the payload. One thread ([`LogWriter`]) writes all queued records as one frame, syncs once
//! and reports the last durable LSN. With [`LogOptions::sync_on_commit`], a frame is therefore
//! written only after the one before is on disk, and only the last frame of the last segment can be
//! torn.
//!
//! - **Recovery** ([`WriteAheadLog::open`]): a torn write at the very end is cut off and reported.
//!   An unreadable frame that has a readable one behind it, or that is in an earlier segment, is
//!   reported as [`OpenError::Corrupt`] with file and offset.
//! - **A failed write or sync** is final for this process: the kernel may have dropped the pages
//!   that it failed to write and report the next sync as a success (Rebello et al., "Can
//!   Applications Recover from fsync Failures?", USENIX ATC 2020). It is therefore never retried,
//!   and the next process rewrites the last segment, as far as it is readable, before relying on
//!   it.
//! - **Old segments** are removed as whole files, once none of their records is needed
//!   ([`LogWriter::trim`]).
//!
//! [`simulated`] is a directory in memory whose faults (failed syncs, a full disk, lost and torn
//! writes) are controlled by a test.
#![warn(missing_docs, unreachable_pub, clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]

mod directory;
mod error;
mod format;
mod frame;
mod log;
mod reader;
mod segment;
pub mod simulated;
mod writer;

pub use directory::{AppendFile, Directory, DiskDirectory};
pub use error::{AppendError, CorruptionReason, FrameError, OpenError, RecordRejected};
pub use format::Lsn;
pub use log::{LogOptions, WriteAheadLog};
pub use reader::{LogContents, LogReader, RecoveryReport, TornWrite};
pub use segment::SegmentInfo;
pub use writer::{CommitProgress, CommitStats, LogWriter};
