//! Limits of the idempotency records.

const MINUTE_MS: u64 = 60_000;
const DAY_MS: u64 = 24 * 60 * MINUTE_MS;

/// Limits of the idempotency records.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Maximum number of records. A call that needs another record is refused.
    pub max_records: usize,
    /// Maximum number of records per tenant.
    pub max_records_per_tenant: usize,
    /// Largest answer body that is stored whole.
    pub max_answer_bytes: u64,
    /// Total size of stored answer bodies; beyond it only length and digest are stored.
    pub max_answers_bytes: u64,
    /// Retention of an answer.
    pub answer_retention_ms: u64,
    /// Retention of the record of a call that may have run and that no operator settles.
    pub unknown_retention_ms: u64,
    /// Time without a reported end after which a call counts as one that may have run.
    pub pending_limit_ms: u64,
    /// Time for which a key is refused after its record has expired.
    pub tombstone_retention_ms: u64,
    /// Maximum number of refused keys whose records have expired.
    pub max_tombstones: usize,
}

impl Limits {
    /// Returns the longest time for which any entry is retained.
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
