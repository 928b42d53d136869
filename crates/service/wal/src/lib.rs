//! A write-ahead log on disk. The meaning of the records is the caller's.
//!
//! A directory holds segments, each a file `FIRST.log` named after the LSN of its first record, and
//! the file `lock`. A segment is a header (magic, version, first LSN, salt, checksum) followed by
//! frames. A frame is what one group commit wrote: its length, the number of its records and the
//! first LSN, a CRC-32 over these, the salt and the records, and then the records. One thread
//! ([`LogWriter`]) takes the records that have gathered, writes them as one frame, syncs once and
//! reports how far the log is durable. So a frame begins only when the one before is on disk, and a
//! torn write can only be the last thing in the last segment.
//!
//! - **Recovery** ([`WriteAheadLog::open`]): a torn write at the very end is cut off and reported.
//!   A frame that can't be read, with a readable one behind it or in an earlier segment, is
//!   [`OpenError::Corrupt`], with file and offset.
//! - **A failed write or sync** is final for this process: the kernel may have dropped the pages
//!   that it failed to write and report the next sync as a success (Rebello et al., "Can
//!   Applications Recover from fsync Failures?", USENIX ATC 2020). So it is never retried, and the
//!   next process writes the part of the tail that it can read again before it relies on it.
//! - **Old segments** are removed whole, when no record in them is needed ([`LogWriter::trim`]).
//!
//! [`simulated`] is a directory in memory that fails, tears and forgets as a test tells it to.
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
