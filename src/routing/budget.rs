//! Retry budget: limits retries and hedges to a share of the requests.
//!
//! A token bucket filled by requests, as in Finagle's `RetryBudget`: each request adds a tenth of a
//! token, and each retry or hedge takes one. Retries cannot outgrow the requests that cause them.

/// Retries and hedges allowed per request.
pub const RETRIES_PER_REQUEST: f64 = 0.1;
/// Initial tokens, so that a single request can be retried at low traffic.
const INITIAL_TOKENS: f64 = 3.0;
/// Most tokens in the bucket.
const MAX_TOKENS: f64 = 50.0;

/// The retry budget of one daemon.
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
    /// Adds the share of a token that a request earns.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes a token for a retry or hedge; `false` if there is none.
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
    fn retries_stay_within_the_share_of_requests() {
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
