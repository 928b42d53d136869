//! Numbers that identify records, jobs and leases.
use serde::{Deserialize, Serialize};

/// Log sequence number: the position of a record in the log, counted from 1 and never reset, also
/// when old segments are removed. 0 stands for "no record".
pub type Lsn = u64;

/// The number of a job. It is unique over all jobs of the log and is not reused after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobNumber(pub u64);

impl JobNumber {
    /// Returns the next larger number.
    #[must_use]
    pub fn next(self) -> Self {
        JobNumber(self.0 + 1)
    }
}

/// The fencing token of a lease. Tokens increase over all jobs and processes, so that a worker or a
/// client can reject messages that belong to an older lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Returns the next larger token.
    #[must_use]
    pub fn next(self) -> Self {
        FencingToken(self.0 + 1)
    }
}
