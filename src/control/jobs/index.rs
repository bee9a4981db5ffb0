//! In-memory indexes of the job store, rebuilt after a restore.

use std::collections::{BTreeMap, BTreeSet};

use crate::control::jobs::job::{Job, Phase};
use crate::control::{owner, shards};
use crate::ids::TenantId;

/// The queue position of a waiting job: rank, latest start, submission order and key.
pub(super) type QueuePosition = (u8, u64, u64, shards::Key);

/// Indexes of the job table. They are trees, because entries are added and removed with every job.
#[derive(Debug, Default)]
pub(super) struct Index {
    pub(super) waiting: BTreeSet<QueuePosition>,
    pub(super) timers: BTreeSet<(u64, shards::Key)>,
    pub(super) leases: BTreeSet<(owner::Owner, shards::Key)>,
    pub(super) tenants: BTreeMap<TenantId, usize>,
    pub(super) stored_bytes: u64,
}

impl Index {
    fn queue_position(job: &Job) -> QueuePosition {
        (job.submission.rank, job.latest_start_ms(), job.order, job.key)
    }

    /// Adds the entries of a job in its current phase.
    pub(super) fn add(&mut self, job: &Job) {
        match &job.phase {
            Phase::Waiting => drop(self.waiting.insert(Self::queue_position(job))),
            Phase::Leased(lease) => drop(self.leases.insert((lease.owner.clone(), job.key))),
            Phase::Ended(_) => {}
        }
        self.timers.extend(job.timer_ms().map(|at_ms| (at_ms, job.key)));
        *self.tenants.entry(job.submission.tenant.clone()).or_default() += 1;
        self.stored_bytes += job.stored_bytes();
    }

    /// Removes the entries of a job, which must be unchanged since [`Index::add`].
    pub(super) fn remove(&mut self, job: &Job) {
        match &job.phase {
            Phase::Waiting => drop(self.waiting.remove(&Self::queue_position(job))),
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
