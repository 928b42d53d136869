//! The names of jobs and of their states, as clients know them.
use spanlead_job_scheduler::{JobId, JobOutcome, JobState};

/// Hexadecimal digits of a job's ID.
const JOB_ID_DIGITS: usize = 16;

/// Parses a job's ID; `None` if it is not 16 hexadecimal digits.
pub(crate) fn parse_job_id(text: &str) -> Option<JobId> {
    if text.len() != JOB_ID_DIGITS {
        return None;
    }
    u64::from_str_radix(text, 16).ok().map(JobId)
}

/// The name of a job's state.
pub(crate) fn job_state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Closed(JobOutcome::Succeeded) => "succeeded",
        JobState::Closed(JobOutcome::Failed) => "failed",
        JobState::Closed(JobOutcome::Cancelled) => "cancelled",
    }
}
