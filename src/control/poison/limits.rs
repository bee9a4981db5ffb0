//! Limits on the list of suspects and closed digests.

const MINUTE_MS: u64 = 60_000;

/// Limits on the list of suspects and closed digests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Maximum number of digests on the list. Beyond it, the suspect that expires first is removed.
    pub max_digests: usize,
    /// Number of target deaths that close a digest.
    pub max_deaths: usize,
    /// How long a digest stays a suspect after a death.
    pub suspect_ms: u64,
    /// How long a digest stays closed.
    pub closed_ms: u64,
    /// How long a trial may last.
    pub trial_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_digests: 10_000,
            max_deaths: 2,
            suspect_ms: 30 * MINUTE_MS,
            closed_ms: 24 * 60 * MINUTE_MS,
            trial_ms: 10 * MINUTE_MS,
        }
    }
}
