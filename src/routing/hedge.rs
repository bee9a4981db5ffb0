//! Hedging: when to send a second attempt beside a first one that has not responded.
//!
//! After "The tail at scale" (Dean, Barroso 2013): a hedge is sent only once the first attempt is
//! later than nearly all others, and only within the retry budget.

/// Multiple of the expected time to the first byte after which a hedge may be sent.
const LATE_FACTOR: f64 = 3.0;
/// Shortest delay before a hedge.
const MIN_DELAY_MS: f64 = 30.0;

/// The delay without a response after which a hedge may be sent; `None` if it never may.
pub fn delay_ms(is_idempotent: bool, is_learned: bool, expected_first_ms: f64) -> Option<u64> {
    let is_worthwhile = is_idempotent && is_learned;
    is_worthwhile.then(|| (LATE_FACTOR * expected_first_ms).max(MIN_DELAY_MS) as u64)
}
