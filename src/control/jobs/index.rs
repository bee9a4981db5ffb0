//! Indexes of the job store, built anew after a restore.

use std::collections::{BTreeMap, BTreeSet};

use crate::control::jobs::job::{Job, Phase};
use crate::control::{owner, shards};
use crate::ids::TenantId;

/// The place of a waiting job: rank, latest start, submission order.
pub(super) type Turn = (u8, u64, u64, shards::Key);

/// Indexes of the table, built anew after a restore. Trees, because they grow and shrink at the
/// rate of the jobs.
#[derive(Debug, Default)]
pub(super) struct Index {
    pub(super) waiting: BTreeSet<Turn>,
    pub(super) timers: BTreeSet<(u64, shards::Key)>,
    pub(super) leases: BTreeSet<(owner::Owner, shards::Key)>,
    pub(super) tenants: BTreeMap<TenantId, usize>,
    pub(super) stored_bytes: u64,
}

impl Index {
    fn turn(job: &Job) -> Turn {
        (job.submission.rank, job.latest_start_ms(), job.order, job.key)
    }

    /// Adds a job as it now is.
    pub(super) fn add(&mut self, job: &Job) {
        match &job.phase {
            Phase::Waiting => drop(self.waiting.insert(Self::turn(job))),
            Phase::Leased(lease) => drop(self.leases.insert((lease.owner.clone(), job.key))),
            Phase::Ended(_) => {}
        }
        self.timers.extend(job.timer_ms().map(|at_ms| (at_ms, job.key)));
        *self.tenants.entry(job.submission.tenant.clone()).or_default() += 1;
        self.stored_bytes += job.stored_bytes();
    }

    /// Takes a job out as it was added.
    pub(super) fn remove(&mut self, job: &Job) {
        match &job.phase {
            Phase::Waiting => drop(self.waiting.remove(&Self::turn(job))),
            Phase::Leased(lease) => drop(self.leases.remove(&(lease.owner.clone(), job.key))),
            Phase::Ended(_) => {}
        }
        if let Some(at_ms) = job.timer_ms() {
            self.timers.remove(&(at_ms, job.key));
        }
        if let Some(jobs) = self.tenants.get_mut(&job.submission.tenant) {
            *jobs -= 1;
            if *jobs == 0 {
                self.tenants.remove(&job.submission.tenant);
            }
        }
        self.stored_bytes -= job.stored_bytes();
    }
}
