//! The budget that limits retries in proportion to requests.

/// The number of tokens that each request adds.
const TOKENS_PER_REQUEST: f64 = 0.3;

/// The maximum number of tokens in the bucket.
const MAX_TOKENS: f64 = 10.0;

/// A token bucket for retries. It limits retries to a fraction of the requests, so that they cannot
/// multiply the load on a failing fleet.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    /// Creates a full bucket.
    fn default() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the tokens of one request.
    pub(super) fn record_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Returns whether there is a token for a retry.
    pub(super) fn allows_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Removes the token of one retry.
    pub(super) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
