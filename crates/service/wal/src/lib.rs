//! An append-only log of records on disk. What the records mean is not known here.
//!
//! A folder holds segments, each a file `FIRST.log` named after its first record's number, and the file `lock`. A
//! segment is a head (magic, version, first number, salt, checksum) and frames; a frame is what one group commit wrote: its
//! length, count and first number, a CRC-32 over these, the salt and the records, and the records. One writer thread takes
//! what has gathered, writes it as one frame, syncs once and tells how far the log is durable ([`Writer`]); so the next
//! frame begins only when the one before is on disk, and a torn write can only be the last thing in the last segment.
//!
//! - **Reading back** ([`Log::open`]): what is torn at the very end is cut, with a word of it. A frame that can't be read
//!   with one behind it that can, or in an earlier segment, is [`OpenError::Damaged`], with file and offset.
//! - **A failed write or sync** ends the log for this process: the kernel may have dropped the pages that it failed to
//!   write and call the next sync a success (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC
//!   2020), so it is never tried again, and what the next process reads back of that tail it writes anew before it trusts it.
//! - **Old segments** go whole, when no record in them is needed ([`Writer::trim`]).
//!
//! [`sim`] is a folder in memory that fails, tears and forgets as it is told, for tests.
mod folder;
mod log;
pub mod sim;
mod writer;

pub use folder::{Disk, Folder, Sink};
pub use log::{Log, OpenError, Opened, Options, Reader, Segment};
pub use writer::{Progress, Stats, Writer};
