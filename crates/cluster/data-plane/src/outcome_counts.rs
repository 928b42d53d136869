//! Metrics: counts of requests whose outcome is unknown, by cause, and of those that waited for too
//! long. Clients get the status 504 for the former and 503 for the latter.
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownCause {
    /// No attempt got a conclusive response before the deadline, and at least one may have been
    /// executed.
    NoResponse,
    /// The job was rejected after an unanswered attempt, which may have been accepted.
    RefusedAfterUnanswered,
}

/// Counts of requests with an unknown outcome since the process started, by cause, and of requests
/// that were refused for their age.
#[derive(Debug, Default)]
pub struct OutcomeCounts {
    no_response: AtomicU64,
    refused_after_unanswered: AtomicU64,
    stale_requests: AtomicU64,
}

impl OutcomeCounts {
    /// Counts a request whose outcome is unknown for this cause.
    pub fn record(&self, cause: UnknownCause) {
        self.counter(cause).fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that was refused because it may have waited for too long.
    pub fn record_stale_request(&self) {
        self.stale_requests.fetch_add(1, Ordering::Relaxed);
    }

    /// The number of requests that were refused because they may have waited for too long.
    #[must_use]
    pub fn stale_requests(&self) -> u64 {
        self.stale_requests.load(Ordering::Relaxed)
    }

    /// The number of requests counted for this cause.
    #[must_use]
    pub fn count(&self, cause: UnknownCause) -> u64 {
        self.counter(cause).load(Ordering::Relaxed)
    }

    /// Formats the counts as metrics, one `name value` or `name{cause="..."} value` per line.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let mut text = String::new();
        let causes = [
            ("no_response", UnknownCause::NoResponse),
            ("refused_after_unanswered", UnknownCause::RefusedAfterUnanswered),
        ];
        for (name, cause) in causes {
            let _ = writeln!(text, "spanlead_unknown_outcomes{{cause=\"{name}\"}} {}", self.count(cause));
        }
        let _ = writeln!(text, "spanlead_stale_requests {}", self.stale_requests());
        text
    }

    fn counter(&self, cause: UnknownCause) -> &AtomicU64 {
        match cause {
            UnknownCause::NoResponse => &self.no_response,
            UnknownCause::RefusedAfterUnanswered => &self.refused_after_unanswered,
        }
    }
}
