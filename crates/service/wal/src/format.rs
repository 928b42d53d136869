//! Numbers that the whole format shares.

/// Log sequence number: the position of a record in the log, counted from 1 over the log's whole
/// life.
pub type Lsn = u64;

/// The version of the format that this program writes and reads.
pub(crate) const FORMAT_VERSION: u32 = 1;
