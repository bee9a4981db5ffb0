//! The scheduling logic of one daemon: when to lease jobs and when to renew leases.

use crate::control::jobs::command::{Grant, Renewal};
use crate::ids::JobId;

/// Interval between polls for waiting jobs.
pub const POLL_MS: u64 = 1_000;

/// A lease that this daemon holds.
#[derive(Clone, Debug, PartialEq, Eq)]
struct HeldLease {
    id: JobId,
    lease: u32,
    renew_ms: u64,
}

/// The next step of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Renew these leases.
    Renew(Vec<(JobId, u32)>),
    /// Query the number of waiting jobs.
    Ask,
    /// Lease up to this many jobs.
    Lease(usize),
    /// Wait until this time or until a run ends.
    Wait {
        /// Unix time.
        until_ms: u64,
    },
    /// Stop: the daemon is shutting down and all runs have ended.
    Stop,
}

/// The leases of one daemon, sorted by job, and the time of its next poll.
#[derive(Clone, Debug)]
pub struct Runner {
    slots: usize,
    held: Vec<HeldLease>,
    waiting: usize,
    ask_ms: u64,
    is_leaving: bool,
}

impl Runner {
    /// Creates a runner of up to `slots` concurrent jobs.
    pub fn new(slots: usize) -> Self {
        Self { slots, held: Vec::new(), waiting: 0, ask_ms: 0, is_leaving: false }
    }

    /// Begins the shutdown: no further jobs are leased, and runs in progress are finished.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Records the result of [`Action::Ask`]; `waiting` is 0 if the query failed.
    pub fn asked(&mut self, now_ms: u64, waiting: usize) {
        self.waiting = waiting;
        self.ask_ms = now_ms + POLL_MS;
    }

    /// Records the result of [`Action::Lease`]. Granted jobs no longer count as waiting.
    pub fn leased(&mut self, now_ms: u64, grants: &[Grant]) {
        self.waiting =
            if grants.is_empty() { 0 } else { self.waiting - grants.len().min(self.waiting) };
        for grant in grants {
            let id = grant.submission.id.clone();
            let held = HeldLease {
                id,
                lease: grant.lease,
                renew_ms: renewal_time_ms(now_ms, grant.until_ms),
            };
            match self.place(&held.id) {
                Ok(at) => self.held[at] = held,
                Err(at) => self.held.insert(at, held),
            }
        }
    }

    /// Records the results of [`Action::Renew`] and returns the jobs whose runs must be stopped.
    pub fn renewed(&mut self, now_ms: u64, answers: &[((JobId, u32), Renewal)]) -> Vec<JobId> {
        let mut over = Vec::new();
        for ((id, lease), renewal) in answers {
            let Ok(at) = self.place(id) else { continue };
            if self.held[at].lease != *lease {
                continue;
            }
            match renewal {
                Renewal::Until(until_ms) => {
                    self.held[at].renew_ms = renewal_time_ms(now_ms, *until_ms);
                }
                Renewal::Over => over.push(self.held.remove(at).id),
            }
        }
        over
    }

    /// Postpones a renewal that failed.
    pub fn renewal_failed(&mut self, now_ms: u64) {
        let due = self.held.iter_mut().filter(|held| held.renew_ms <= now_ms);
        due.for_each(|held| held.renew_ms = now_ms + POLL_MS);
    }

    /// Records that the run of a job ended.
    pub fn ended(&mut self, id: &JobId, lease: u32) {
        if let Ok(at) = self.place(id)
            && self.held[at].lease == lease
        {
            self.held.remove(at);
        }
    }

    /// Returns the next step.
    pub fn next(&self, now_ms: u64) -> Action {
        let due = self.held.iter().filter(|held| held.renew_ms <= now_ms);
        let due: Vec<(JobId, u32)> = due.map(|held| (held.id.clone(), held.lease)).collect();
        if !due.is_empty() {
            return Action::Renew(due);
        }
        let renew_ms = self.held.iter().map(|held| held.renew_ms).min();
        if self.is_leaving {
            return renew_ms.map_or(Action::Stop, |until_ms| Action::Wait { until_ms });
        }
        let free = self.slots.saturating_sub(self.held.len());
        if free > 0 && self.waiting > 0 {
            return Action::Lease(free.min(self.waiting));
        }
        if free > 0 && self.ask_ms <= now_ms {
            return Action::Ask;
        }
        let ask_ms = if free > 0 { self.ask_ms } else { u64::MAX };
        Action::Wait { until_ms: renew_ms.unwrap_or(u64::MAX).min(ask_ms) }
    }

    fn place(&self, id: &JobId) -> Result<usize, usize> {
        self.held.binary_search_by(|held| held.id.cmp(id))
    }
}

/// Returns the time to renew a lease: after a third of its duration, so that two lost renewals do
/// not end the lease.
fn renewal_time_ms(now_ms: u64, until_ms: u64) -> u64 {
    now_ms + until_ms.saturating_sub(now_ms) / 3
}
