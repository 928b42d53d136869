//! Sessions: each marks the part of the log that one process wrote, and relates its clock to that
//! of the next process.
use crate::ids::{FencingToken, JobNumber};
use serde::{Deserialize, Serialize};
use spanlead_balancing_policy::Nanos;
use std::sync::Arc;

/// The session of one process that writes the log. Times in the following records are on the clock
/// of that process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// A simultaneous reading of the process's clock and the machine's uptime.
    pub anchor: ClockAnchor,
    /// The next job number; smaller ones may have been assigned. It is stored here because the log
    /// may drop the records that assigned them.
    pub next_job: JobNumber,
    /// The next fencing token; smaller ones may have been issued.
    pub next_token: FencingToken,
}

/// A simultaneous reading of two clocks. Unless the machine is rebooted, the difference of two
/// `uptime` readings is the elapsed time, even if the wall clock was set in between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockAnchor {
    /// The operating system's id of the machine's current boot.
    #[serde(rename = "boot")]
    pub boot_id: Arc<str>,
    /// Time since the machine's boot, including suspension.
    #[serde(rename = "up")]
    pub uptime: Nanos,
    /// The process's own monotonic clock, which was initialised from the wall clock when the
    /// process started.
    #[serde(rename = "clock")]
    pub process_clock: Nanos,
}

impl ClockAnchor {
    /// Returns the offset, in nanoseconds, that converts a time on this anchor's process clock to
    /// the process clock of `next`.
    ///
    /// The offset is 0 after a reboot: then the elapsed time is known only from the wall clock,
    /// from which both process clocks were initialised.
    pub(crate) fn shift_to(&self, next: &ClockAnchor) -> i128 {
        if self.boot_id != next.boot_id {
            return 0;
        }
        let elapsed = i128::from(next.uptime) - i128::from(self.uptime);
        i128::from(next.process_clock) - (i128::from(self.process_clock) + elapsed)
    }
}
