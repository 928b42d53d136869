//! Sessions: which process wrote a part of the log, and how its clock relates to that of the next
//! process.
use crate::ids::{FencingToken, JobNumber};
use serde::{Deserialize, Serialize};
use spanlead_balancing_policy::Nanos;
use std::sync::Arc;

/// The session of one process that writes the log. Times in the records that follow are in the
/// clock of that process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// A reading of the process's clock against the machine's.
    pub anchor: ClockAnchor,
    /// Smaller job numbers were given before. Stored here since it must outlive the records that
    /// gave them.
    pub next_job: JobNumber,
    /// Smaller fencing tokens were given before.
    pub next_token: FencingToken,
}

/// A reading of two clocks at one moment. While the machine is not restarted, the difference of two
/// `uptime` readings is the time that has passed, whatever was done to the wall clock in between.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockAnchor {
    /// The system's id of the machine's present boot.
    #[serde(rename = "boot")]
    pub boot_id: Arc<str>,
    /// Time since the machine's boot, suspension included.
    #[serde(rename = "up")]
    pub uptime: Nanos,
    /// The process's own monotonic clock, which began at the wall clock's reading of then.
    #[serde(rename = "clock")]
    pub process_clock: Nanos,
}

impl ClockAnchor {
    /// What must be added to a time of this clock to read it in the clock of `next`, in
    /// nanoseconds.
    ///
    /// 0 after a reboot: then only the wall clock, with which both process clocks began, can say
    /// how much time passed.
    pub(crate) fn shift_to(&self, next: &ClockAnchor) -> i128 {
        if self.boot_id != next.boot_id {
            return 0;
        }
        let elapsed = i128::from(next.uptime) - i128::from(self.uptime);
        i128::from(next.process_clock) - (i128::from(self.process_clock) + elapsed)
    }
}
