//! How many retries are allowed in proportion to requests.

/// Tokens that each request adds.
const TOKENS_PER_REQUEST: f64 = 0.3;

/// The most tokens that are saved.
const MAX_TOKENS: f64 = 10.0;

/// A token bucket for retries: it bounds them to a fraction of the requests, so retries cannot
/// multiply the load on a failing fleet.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    /// A full budget.
    fn default() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Counts a request.
    pub(super) fn record_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether a retry is allowed.
    pub(super) fn allows_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends a token.
    pub(super) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
