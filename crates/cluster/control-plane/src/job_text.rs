//! The text forms of job IDs and job states in the client and operator interfaces.
use spanlead_job_scheduler::{JobId, JobOutcome, JobState};

/// The number of hexadecimal digits of a job ID.
const JOB_ID_DIGITS: usize = 16;

/// Parses a job ID; returns `None` unless the text is 16 hexadecimal digits.
pub(crate) fn parse_job_id(text: &str) -> Option<JobId> {
    if text.len() != JOB_ID_DIGITS {
        return None;
    }
    u64::from_str_radix(text, 16).ok().map(JobId)
}

/// Returns the name of a job state.
pub(crate) fn job_state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Closed(JobOutcome::Succeeded) => "succeeded",
        JobState::Closed(JobOutcome::Failed) => "failed",
        JobState::Closed(JobOutcome::Cancelled) => "cancelled",
    }
}
