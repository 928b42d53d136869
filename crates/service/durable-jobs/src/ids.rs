//! Numbers that identify records, jobs and leases.
use serde::{Deserialize, Serialize};

/// Log sequence number: the position of a record in the log, counted from 1 over the log's whole
/// life. 0 is "no record".
pub type Lsn = u64;

/// The number of a job. It is never given to another job, also not after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobNumber(pub u64);

impl JobNumber {
    /// The number after this one.
    #[must_use]
    pub fn next(self) -> Self {
        JobNumber(self.0 + 1)
    }
}

/// The fencing token of a lease. A later lease has a larger token, over all jobs and processes, so
/// a worker or a client can reject what comes from an older lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The smallest token that is larger than this one.
    #[must_use]
    pub fn next(self) -> Self {
        FencingToken(self.0 + 1)
    }
}
