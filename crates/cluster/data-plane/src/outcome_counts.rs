//! Requests whose outcome is not known, by cause, for the metrics: their clients are told 504.
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why the outcome of a request is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownCause {
    /// No attempt that was sent was answered before the deadline.
    NoResponse,
    /// It was refused after an attempt that was not answered and may have been accepted.
    RefusedAfterUnanswered,
}

/// The counts since the process started.
#[derive(Debug, Default)]
pub struct OutcomeCounts {
    no_response: AtomicU64,
    refused_after_unanswered: AtomicU64,
}

impl OutcomeCounts {
    /// Counts a request.
    pub fn record(&self, cause: UnknownCause) {
        self.counter(cause).fetch_add(1, Ordering::Relaxed);
    }

    /// How many were counted.
    #[must_use]
    pub fn count(&self, cause: UnknownCause) -> u64 {
        self.counter(cause).load(Ordering::Relaxed)
    }

    /// The counts as metrics, one `name{cause="..."} number` a line.
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
        text
    }

    fn counter(&self, cause: UnknownCause) -> &AtomicU64 {
        match cause {
            UnknownCause::NoResponse => &self.no_response,
            UnknownCause::RefusedAfterUnanswered => &self.refused_after_unanswered,
        }
    }
}
