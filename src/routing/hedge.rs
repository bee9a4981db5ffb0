//! When a second attempt beside a silent first one is worth its cost.
//!
//! After "The tail at scale" (Dean, Barroso 2013): a hedge is sent only once the first attempt is
//! later than nearly all, and only within the retry budget.

/// Multiple of the expected first byte after which a hedge is worthwhile.
const LATE_FACTOR: f64 = 3.0;
/// Shortest time before a hedge.
const MIN_DELAY_MS: f64 = 30.0;

/// After how long without an answer a hedge may be sent; `None` if it never may.
pub fn delay_ms(is_idempotent: bool, is_learned: bool, expected_first_ms: f64) -> Option<u64> {
    let is_worthwhile = is_idempotent && is_learned;
    is_worthwhile.then(|| (LATE_FACTOR * expected_first_ms).max(MIN_DELAY_MS) as u64)
}
