//! Mergeable counts of outcomes, kept on each daemon and for each hour of the ledger.

use crate::control::outcomes::promise::Promise;
use crate::ids::{ClassName, TenantId};

/// Number of refusal codes that are counted separately; further codes count as `other`.
const MAX_CODES: usize = 32;
/// Number of longest waits that are kept.
const MAX_WAITS: usize = 5;
/// Maximum length of a reason, in bytes.
const MAX_REASON_BYTES: usize = 200;

/// How often a promise was checked, and how often it was broken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Count {
    /// Number of checks.
    pub checks: u64,
    /// Number of checks that found the promise broken.
    pub breaches: u64,
    /// The first breach.
    pub first: Option<Breach>,
}

/// A promise that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Breach {
    /// Unix time at which the breach was found.
    pub at_ms: u64,
    /// What was found.
    pub reason: String,
}

/// Refusals under one code.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Refused {
    /// The code in the response to the caller.
    pub code: String,
    /// Number of refusals.
    pub count: u64,
}

/// A request that waited long.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Waited {
    /// How long the request waited.
    pub wait_ms: u64,
    /// The tenant that made the request.
    pub tenant: TenantId,
    /// The priority class of the request.
    pub class: ClassName,
}

/// Counts of outcomes that can be merged with other counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Tally {
    /// One count for each of [`Promise::ALL`].
    pub promises: [Count; 9],
    /// Requests that were answered.
    pub answered: u64,
    /// Refusals, sorted by code.
    pub refused: Vec<Refused>,
    /// The longest waits, longest first.
    pub waits: Vec<Waited>,
    /// Idle accelerator time.
    pub idle_accelerator_ms: u64,
    /// Number of requests that waited for a model load.
    pub cold_starts: u64,
    /// The longest wait for a model load.
    pub longest_cold_start_ms: u64,
}

impl Tally {
    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Counts a check. `Err` is the reason of a breach.
    pub fn check(&mut self, now_ms: u64, promise: Promise, held: Result<(), String>) {
        let count = &mut self.promises[promise.place()];
        count.checks += 1;
        if let Err(mut reason) = held {
            reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
            count.breaches += 1;
            count.first.get_or_insert(Breach { at_ms: now_ms, reason });
        }
    }

    /// Counts refusals under a code.
    pub fn refuse(&mut self, code: &str, count: u64) {
        let place = |refused: &[Refused], code: &str| {
            refused.binary_search_by(|known| known.code.as_str().cmp(code))
        };
        match place(&self.refused, code) {
            Ok(at) => self.refused[at].count += count,
            Err(at) if self.refused.len() < MAX_CODES => {
                self.refused.insert(at, Refused { code: code.to_owned(), count });
            }
            Err(_) => self.refuse_other(count),
        }
    }

    fn refuse_other(&mut self, count: u64) {
        match self.refused.iter_mut().find(|known| known.code == "other") {
            Some(other) => other.count += count,
            None => {
                let at = self.refused.partition_point(|known| known.code.as_str() < "other");
                self.refused.insert(at, Refused { code: "other".to_owned(), count });
            }
        }
    }

    /// Records how long a request waited, whether it was served or refused.
    pub fn waited(&mut self, waited: Waited) {
        let at = self.waits.partition_point(|known| known.wait_ms >= waited.wait_ms);
        if at < MAX_WAITS {
            self.waits.insert(at, waited);
            self.waits.truncate(MAX_WAITS);
        }
    }

    /// Counts a request that waited for a model load.
    pub fn cold_start(&mut self, wait_ms: u64) {
        self.cold_starts += 1;
        self.longest_cold_start_ms = self.longest_cold_start_ms.max(wait_ms);
    }

    /// Adds the counts of another tally.
    pub fn add(&mut self, other: &Tally) {
        for (count, more) in self.promises.iter_mut().zip(&other.promises) {
            count.checks += more.checks;
            count.breaches += more.breaches;
            if let Some(breach) = &more.first
                && count.first.as_ref().is_none_or(|first| breach.at_ms < first.at_ms)
            {
                count.first = Some(breach.clone());
            }
        }
        self.answered += other.answered;
        other.refused.iter().for_each(|refused| self.refuse(&refused.code, refused.count));
        other.waits.iter().for_each(|waited| self.waited(waited.clone()));
        self.idle_accelerator_ms += other.idle_accelerator_ms;
        self.cold_starts += other.cold_starts;
        self.longest_cold_start_ms = self.longest_cold_start_ms.max(other.longest_cold_start_ms);
    }
}

/// What one daemon counted since its last batch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Batch {
    /// Increases with each batch of one daemon incarnation, from 1; a retry carries the same value.
    pub sequence: u64,
    /// The counts since the previous batch.
    pub tally: Tally,
}
