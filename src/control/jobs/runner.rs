//! The decision of one daemon: when to lease jobs, and when to renew leases.

use crate::control::jobs::command::{Grant, Renewal};
use crate::ids::JobId;

/// Time between two questions whether jobs wait.
pub const POLL_MS: u64 = 1_000;

/// A lease that this daemon runs.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    id: JobId,
    lease: u32,
    renew_ms: u64,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask for more time for these leases.
    Renew(Vec<(JobId, u32)>),
    /// Ask whether jobs wait.
    Ask,
    /// Lease up to this many jobs.
    Lease(usize),
    /// Nothing, until this time or until a lease ends.
    Wait {
        /// Unix time.
        until_ms: u64,
    },
    /// Everything has ended.
    Stop,
}

/// The leases of one daemon, sorted by job, and when it asked last.
#[derive(Clone, Debug)]
pub struct Runner {
    slots: usize,
    held: Vec<Held>,
    waiting: usize,
    ask_ms: u64,
    is_leaving: bool,
}

impl Runner {
    /// A runner of up to `slots` jobs at once.
    pub fn new(slots: usize) -> Self {
        Self { slots, held: Vec::new(), waiting: 0, ask_ms: 0, is_leaving: false }
    }

    /// Takes no further job; those that run are finished.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Notes the answer to [`Action::Ask`], or that it had none.
    pub fn asked(&mut self, now_ms: u64, waiting: usize) {
        self.waiting = waiting;
        self.ask_ms = now_ms + POLL_MS;
    }

    /// Notes the answer to [`Action::Lease`], which leaves fewer jobs to wait.
    pub fn leased(&mut self, now_ms: u64, grants: &[Grant]) {
        self.waiting =
            if grants.is_empty() { 0 } else { self.waiting - grants.len().min(self.waiting) };
        for grant in grants {
            let id = grant.submission.id.clone();
            let held =
                Held { id, lease: grant.lease, renew_ms: renewal_ms(now_ms, grant.until_ms) };
            match self.place(&held.id) {
                Ok(at) => self.held[at] = held,
                Err(at) => self.held.insert(at, held),
            }
        }
    }

    /// Notes the answers to [`Action::Renew`] and returns the jobs whose runs are to be stopped.
    pub fn renewed(&mut self, now_ms: u64, answers: &[((JobId, u32), Renewal)]) -> Vec<JobId> {
        let mut over = Vec::new();
        for ((id, lease), renewal) in answers {
            let Ok(at) = self.place(id) else { continue };
            if self.held[at].lease != *lease {
                continue;
            }
            match renewal {
                Renewal::Until(until_ms) => {
                    self.held[at].renew_ms = renewal_ms(now_ms, *until_ms);
                }
                Renewal::Over => over.push(self.held.remove(at).id),
            }
        }
        over
    }

    /// Puts off a renewal that had no answer.
    pub fn renewal_failed(&mut self, now_ms: u64) {
        let due = self.held.iter_mut().filter(|held| held.renew_ms <= now_ms);
        due.for_each(|held| held.renew_ms = now_ms + POLL_MS);
    }

    /// Notes that the run of a job ended.
    pub fn ended(&mut self, id: &JobId, lease: u32) {
        if let Ok(at) = self.place(id)
            && self.held[at].lease == lease
        {
            self.held.remove(at);
        }
    }

    /// What to do next.
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

/// Leases are renewed when a third of their time is over, so that two renewals may be lost.
fn renewal_ms(now_ms: u64, until_ms: u64) -> u64 {
    now_ms + until_ms.saturating_sub(now_ms) / 3
}
