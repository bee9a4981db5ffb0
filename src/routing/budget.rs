//! The budget for second attempts: a share of the first ones.
//!
//! A token bucket filled by requests, as in Finagle's `RetryBudget`: each request adds a tenth of a
//! token, each retry or hedge takes one. Second attempts cannot outgrow the work that causes them.

/// Second attempts for each first one.
pub const RETRIES_PER_REQUEST: f64 = 0.1;
/// Tokens kept for a quiet hour, so that a single request can be retried.
const INITIAL_TOKENS: f64 = 3.0;
/// Largest number of tokens.
const MAX_TOKENS: f64 = 50.0;

/// The budget of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: INITIAL_TOKENS }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes a token for a second attempt; `false` if there is none.
    pub fn try_take(&mut self) -> bool {
        let is_enough = self.tokens >= 1.0;
        if is_enough {
            self.tokens -= 1.0;
        }
        is_enough
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn second_attempts_stay_under_the_share() {
        let mut budget = RetryBudget::default();
        let mut granted = 0;
        for _ in 0..10_000 {
            budget.record_request();
            granted += u32::from(budget.try_take());
        }
        assert!(f64::from(granted) <= 10_000.0 * RETRIES_PER_REQUEST + INITIAL_TOKENS);
        assert!(f64::from(granted) >= 10_000.0 * RETRIES_PER_REQUEST - 1.0);
    }
}
