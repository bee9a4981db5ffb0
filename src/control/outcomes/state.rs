//! The replicated ledger of outcomes, with one tally per hour.

use crate::control::machine::Context;
use crate::control::outcomes::batch::{Batch, Tally};
use crate::control::outcomes::promise::Promise;
use crate::control::owner;
use crate::ids::{DaemonId, Incarnation};

/// Length of an hour.
pub(super) const HOUR_MS: u64 = 3_600_000;
/// Number of hours that are kept: eight days.
const MAX_HOURS: usize = 8 * 24;

/// A replicated command that changes the ledger.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Adds a batch of counts of a daemon.
    Add {
        /// The daemon incarnation.
        owner: owner::Owner,
        /// The counts.
        batch: Batch,
    },
}

/// The result of a [`Command`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The batch is in the ledger, added now or by an earlier command.
    Added {
        /// The sequence number of the batch.
        sequence: u64,
    },
}

/// A query on the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Query {
    /// The hours that overlap this span of Unix time.
    Hours {
        /// The start of the span.
        from_ms: u64,
        /// The end of the span, exclusive.
        to_ms: u64,
    },
}

/// The counts of one hour.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Hour {
    /// Unix time at which the hour began.
    pub from_ms: u64,
    /// The counts.
    pub tally: Tally,
}

/// The last batch received from a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct LastBatch {
    daemon: DaemonId,
    incarnation: Incarnation,
    sequence: u64,
    at_ms: u64,
}

/// The ledger of outcomes.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    hours: Vec<Hour>,
    last_batches: Vec<LastBatch>,
}

impl State {
    /// Applies a command.
    pub fn apply(&mut self, context: &Context<'_>, command: Command) -> Outcome {
        let Command::Add { owner, batch } = command;
        let sequence = batch.sequence;
        if self.is_new(context, &owner, sequence) {
            self.tally(context).add(&batch.tally);
        }
        Outcome::Added { sequence }
    }

    /// Counts jobs that the job store refused.
    pub fn refuse(&mut self, context: &Context<'_>, codes: &[&'static str]) {
        for code in codes {
            self.tally(context).refuse(code, 1);
        }
    }

    /// Counts checks of a promise. `Err` is the reason of a breach.
    pub fn check(
        &mut self,
        context: &Context<'_>,
        promise: Promise,
        checks: Vec<Result<(), String>>,
    ) {
        for held in checks {
            self.tally(context).check(context.now_ms, promise, held);
        }
    }

    /// Removes hours and daemons past the retention.
    pub fn tick(&mut self, context: &Context<'_>) {
        let before_ms = context.now_ms.saturating_sub(MAX_HOURS as u64 * HOUR_MS);
        self.hours.retain(|hour| hour.from_ms >= before_ms);
        self.last_batches.retain(|last| last.at_ms >= before_ms);
    }

    fn is_new(&mut self, context: &Context<'_>, owner: &owner::Owner, sequence: u64) -> bool {
        let incarnation = owner.incarnation;
        let last = LastBatch {
            daemon: owner.daemon.clone(),
            incarnation,
            sequence,
            at_ms: context.now_ms,
        };
        match self.last_batches.binary_search_by(|last| last.daemon.cmp(&owner.daemon)) {
            Ok(at) => {
                let known = (self.last_batches[at].incarnation, self.last_batches[at].sequence);
                let is_new = known < (incarnation, sequence);
                if is_new {
                    self.last_batches[at] = last;
                }
                is_new
            }
            Err(at) => {
                self.last_batches.insert(at, last);
                true
            }
        }
    }

    fn tally(&mut self, context: &Context<'_>) -> &mut Tally {
        let from_ms = context.now_ms - context.now_ms % HOUR_MS;
        if self.hours.last().is_none_or(|hour| hour.from_ms < from_ms) {
            self.hours.push(Hour { from_ms, tally: Tally::default() });
        }
        let last = self.hours.len() - 1;
        &mut self.hours[last].tally
    }
}

/// Answers a query with the hours of its span, in order.
pub fn answer(state: &State, query: Query) -> Vec<Hour> {
    let Query::Hours { from_ms, to_ms } = query;
    let is_inside = |hour: &&Hour| hour.from_ms < to_ms && hour.from_ms + HOUR_MS > from_ms;
    state.hours.iter().filter(is_inside).cloned().collect()
}
