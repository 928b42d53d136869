//! Definitions that segments and frames share.

/// Log sequence number: the position of a record in the log, counted from 1. Numbers are never
/// reused, also after older records are removed.
pub type Lsn = u64;

/// The version of the format that this crate writes and reads.
pub(crate) const FORMAT_VERSION: u32 = 1;
