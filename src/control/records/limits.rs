//! Limits of the idempotency records.

const MINUTE_MS: u64 = 60_000;
const DAY_MS: u64 = 24 * 60 * MINUTE_MS;

/// Limits of the idempotency records.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Records kept in all. A call that would need one more is refused.
    pub max_records: usize,
    /// Records kept of one tenant.
    pub max_records_per_tenant: usize,
    /// Largest body of an answer that is kept.
    pub max_answer_bytes: u64,
    /// Bodies of answers kept in all; later ones are kept by length and digest.
    pub max_answers_bytes: u64,
    /// How long an answer is kept.
    pub answer_retention_ms: u64,
    /// How long a call that may have run is kept, if no operator settles it.
    pub unknown_retention_ms: u64,
    /// How long a record may stay without an end before its call counts as one that may have run.
    pub pending_limit_ms: u64,
    /// How long a key is refused after its record is gone.
    pub tombstone_retention_ms: u64,
    /// Keys without a record that are remembered to be refused.
    pub max_tombstones: usize,
}

impl Limits {
    /// The longest time that anything is kept.
    pub fn longest_ms(&self) -> u64 {
        let settled_ms = self.answer_retention_ms.max(self.unknown_retention_ms);
        settled_ms.max(self.pending_limit_ms) + self.tombstone_retention_ms
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_records: 400_000,
            max_records_per_tenant: 200_000,
            max_answer_bytes: 64 << 10,
            max_answers_bytes: 64 << 20,
            answer_retention_ms: DAY_MS,
            unknown_retention_ms: 30 * DAY_MS,
            pending_limit_ms: 60 * MINUTE_MS,
            tombstone_retention_ms: 30 * DAY_MS,
            max_tombstones: 1_000_000,
        }
    }
}
