//! What a timer is for, as it travels in the token of [`Action::Timer`](crate::Action::Timer).

use super::job_table::JobNumber;

/// The token's lowest bits hold the purpose, the others the number of the job.
const PURPOSE_BITS: u32 = 2;
const PURPOSE_MASK: u64 = (1 << PURPOSE_BITS) - 1;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerPurpose {
    /// Bind a job to a worker whose probe came back with room.
    BindToProbed = 0,
    /// Begin the next round of a job.
    NextRound = 1,
    /// Ask service discovery for the endpoint list.
    Discovery = 2,
}

/// A timer's purpose and the job that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimerToken {
    pub(crate) purpose: TimerPurpose,
    pub(crate) job: JobNumber,
}

impl TimerToken {
    /// The timer of a job.
    pub(crate) fn of_job(purpose: TimerPurpose, job: JobNumber) -> Self {
        TimerToken { purpose, job }
    }

    /// The timer for service discovery, which concerns no job.
    pub(crate) fn discovery() -> Self {
        TimerToken { purpose: TimerPurpose::Discovery, job: JobNumber(0) }
    }

    /// The token as it travels.
    pub(crate) fn encode(self) -> u64 {
        self.job.0 << PURPOSE_BITS | self.purpose as u64
    }

    /// Reads a token.
    pub(crate) fn decode(token: u64) -> Self {
        let purpose = match token & PURPOSE_MASK {
            0 => TimerPurpose::BindToProbed,
            2 => TimerPurpose::Discovery,
            _ => TimerPurpose::NextRound,
        };
        TimerToken { purpose, job: JobNumber(token >> PURPOSE_BITS) }
    }
}
