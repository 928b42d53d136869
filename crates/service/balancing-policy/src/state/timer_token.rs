//! The purpose of a timer, encoded in the token of [`Action::Timer`](crate::Action::Timer).

use super::job_table::JobNumber;

/// The number of the token's lowest bits that hold the purpose; the other bits hold the job number.
const PURPOSE_BITS: u32 = 2;
const PURPOSE_MASK: u64 = (1 << PURPOSE_BITS) - 1;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerPurpose {
    /// Bind a job to a worker whose probe reported room.
    BindToProbed = 0,
    /// Begin a job's next round.
    NextRound = 1,
    /// Subscribe to the endpoint list at service discovery.
    Discovery = 2,
}

/// A timer's purpose and job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimerToken {
    pub(crate) purpose: TimerPurpose,
    pub(crate) job: JobNumber,
}

impl TimerToken {
    /// Creates the token of a job's timer.
    pub(crate) fn of_job(purpose: TimerPurpose, job: JobNumber) -> Self {
        TimerToken { purpose, job }
    }

    /// Creates the token of the service discovery timer, which has no job.
    pub(crate) fn discovery() -> Self {
        TimerToken { purpose: TimerPurpose::Discovery, job: JobNumber(0) }
    }

    /// Encodes the token as an integer.
    pub(crate) fn encode(self) -> u64 {
        self.job.0 << PURPOSE_BITS | self.purpose as u64
    }

    /// Decodes a token made by [`TimerToken::encode`].
    pub(crate) fn decode(token: u64) -> Self {
        let purpose = match token & PURPOSE_MASK {
            0 => TimerPurpose::BindToProbed,
            2 => TimerPurpose::Discovery,
            _ => TimerPurpose::NextRound,
        };
        TimerToken { purpose, job: JobNumber(token >> PURPOSE_BITS) }
    }
}
