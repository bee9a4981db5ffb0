//! Requests that wait for a target, in the order in which they are to be served.
//!
//! Load at its worst: a wave for models that no target holds, while requests for others pass.

use crate::ids::{ModelRef, ServiceName, TargetId};
use crate::placement::swap::demand::WaitingRequests;

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Its name.
    pub ticket: Ticket,
    /// The service.
    pub service: ServiceName,
    /// The model or adapter, at a model engine.
    pub model: Option<ModelRef>,
    /// Names the beginning of its prompt.
    pub prompt: Option<u64>,
    /// Tokens of its prompt.
    pub tokens: u64,
    /// Targets that failed it.
    pub avoid: Vec<TargetId>,
    /// Its urgency: 0 goes first.
    pub rank: u8,
    /// When it should be answered.
    pub target_ms: u64,
}

/// Requests that wait, the first to be served first.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiters: Vec<Waiter>,
    next: u64,
}

impl Queue {
    /// The name of the next request.
    pub fn next_ticket(&mut self) -> Ticket {
        self.next += 1;
        Ticket(self.next)
    }

    /// Adds a request: by rank, and within a rank by its arrival.
    pub fn insert(&mut self, waiter: Waiter) {
        let at = self
            .waiters
            .partition_point(|other| (other.rank, other.ticket) < (waiter.rank, waiter.ticket));
        self.waiters.insert(at, waiter);
    }

    /// Takes out a request, if it still waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        let at = self.waiters.iter().position(|waiter| waiter.ticket == ticket)?;
        Some(self.waiters.remove(at))
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Takes out every request for which `place` finds a target, in order, with what it found.
    pub fn serve<T>(&mut self, mut place: impl FnMut(&Waiter) -> Option<T>) -> Vec<(Waiter, T)> {
        let mut served = Vec::new();
        let mut at = 0;
        while at < self.waiters.len() {
            match place(&self.waiters[at]) {
                Some(found) => served.push((self.waiters.remove(at), found)),
                None => at += 1,
            }
        }
        served
    }

    /// What waits for each model, for placement.
    pub fn waiting(&self, now_ms: u64) -> Vec<WaitingRequests> {
        let mut waiting: Vec<WaitingRequests> = Vec::new();
        for waiter in &self.waiters {
            let Some(model) = &waiter.model else { continue };
            let slack_ms = waiter.target_ms as i64 - now_ms as i64;
            match waiting.iter_mut().find(|known| known.model == *model) {
                Some(known) => {
                    known.count += 1;
                    known.slack_ms = known.slack_ms.min(slack_ms);
                }
                None => waiting.push(WaitingRequests { model: model.clone(), count: 1, slack_ms }),
            }
        }
        waiting
    }
}
