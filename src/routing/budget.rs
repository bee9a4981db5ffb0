//! The budget for second attempts: a share of the first ones.
//!
//! A token bucket filled by requests, as in Finagle's `RetryBudget`: each request adds a tenth of a
//! token, each retry or hedge takes one. Second attempts cannot outgrow the work that causes them.

/// Second attempts for each first one.
pub const SHARE: f64 = 0.1;
/// Tokens kept for a quiet hour, so that a single request can be retried.
const RESERVE: f64 = 3.0;
/// Largest number of tokens.
const MAX_TOKENS: f64 = 50.0;

/// The budget of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: RESERVE }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + SHARE).min(MAX_TOKENS);
    }

    /// Takes a token for a second attempt; `false` if there is none.
    pub fn withdraw(&mut self) -> bool {
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
        let mut budget = Budget::default();
        let mut granted = 0;
        for _ in 0..10_000 {
            budget.deposit();
            granted += u32::from(budget.withdraw());
        }
        assert!(f64::from(granted) <= 10_000.0 * SHARE + RESERVE);
        assert!(f64::from(granted) >= 10_000.0 * SHARE - 1.0);
    }
}
