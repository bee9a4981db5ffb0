//! Limits of the job store.

const HOUR_MS: u64 = 3_600_000;

/// Limits of the job store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Maximum number of jobs, including ended ones.
    pub max_jobs: usize,
    /// Maximum number of jobs per tenant, including ended ones.
    pub max_jobs_per_tenant: usize,
    /// Total size of request and answer bodies. Space for the answer is reserved on submission.
    pub max_bytes: u64,
    /// Largest request body of a job, and the most space reserved for its answer.
    pub max_body_bytes: u64,
    /// Duration of a lease from its grant or renewal.
    pub lease_ms: u64,
    /// Maximum number of runs of one job. A job whose last lease ends without an answer is refused.
    pub max_runs: u32,
    /// Number of target deaths during runs of one job at which the job is refused.
    pub max_target_deaths: u32,
    /// Retention of ended jobs.
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
