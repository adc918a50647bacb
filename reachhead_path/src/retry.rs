//! A retry budget per service: retries are limited to a fraction of the successes, so that they
//! don't amplify an overload.

/// Retries that one success permits.
pub const RETRIES_PER_SUCCESS: f64 = 0.1;

/// Maximum number of saved retries, which is the burst that a service may make.
pub const MAX_RETRY_TOKENS: f64 = 10.0;

/// A token bucket of the retries that a service may make.
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

    /// Records a success.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_SUCCESS).min(MAX_RETRY_TOKENS);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
