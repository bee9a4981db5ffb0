//! Limits of the job store.

const HOUR_MS: u64 = 3_600_000;

/// Limits of the job store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Jobs kept in all, ended ones too.
    pub max_jobs: usize,
    /// Jobs kept of one tenant, ended ones too.
    pub max_jobs_per_tenant: usize,
    /// Bodies of work and answers kept in all. Room for the answer is set aside at the door.
    pub max_bytes: u64,
    /// Largest body of one job's work, and the largest room set aside for its answer.
    pub max_body_bytes: u64,
    /// How long a lease lasts from its grant or renewal.
    pub lease_ms: u64,
    /// Leases of one job. A job whose last lease ends without an answer ends as refused.
    pub max_runs: u32,
    /// Targets that may die of one job.
    pub max_target_deaths: u32,
    /// How long the end of a job is kept.
    pub retention_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_jobs: 100_000,
            max_jobs_per_tenant: 50_000,
            max_bytes: 64 << 20,
            max_body_bytes: 1 << 20,
            lease_ms: 30_000,
            max_runs: 4,
            max_target_deaths: 2,
            retention_ms: 72 * HOUR_MS,
        }
    }
}
