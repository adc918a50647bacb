//! A retry budget per service: retries are a share of the successes, so that they never multiply
//! an overload.

/// Retries earned by one success.
pub const RETRIES_PER_SUCCESS: f64 = 0.1;

/// Retries that a quiet service may make at once.
pub const MAX_RETRY_TOKENS: f64 = 10.0;

/// What one service may still retry.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_RETRY_TOKENS }
    }
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a success.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_SUCCESS).min(MAX_RETRY_TOKENS);
    }

    /// Takes one retry, or tells that there is none left.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
