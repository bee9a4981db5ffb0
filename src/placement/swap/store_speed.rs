//! Learns how many loads the weight store serves at full speed.
//!
//! A store that reads `n` models at full speed shares that speed among more loads: `c` loads at once
//! take `c / n` times as long. A load that took longer than nominal while `c` ran at once therefore
//! shows `n`; loads that ran at full speed at the limit raise it.

use crate::ids::{ModelName, TargetId};

/// A load this much longer than nominal was slowed down by others.
const SLOW_RATIO: f64 = 1.25;
/// A load below this multiple of its nominal time ran at full speed.
const FULL_SPEED_RATIO: f64 = 1.12;
/// A load this much longer than the store's speed explains is stuck at its engine and says nothing
/// of the store.
const STUCK_RATIO: f64 = 4.0;
/// Mean number of loads at once from which a slow one shows how many the store serves: one alone is
/// held up by something else.
const MIN_CONCURRENT: f64 = 1.5;
/// Weight of one slow load in the learned number.
const SLOW_WEIGHT: f64 = 0.5;
/// What a load at full speed at the limit adds to it.
const RAISE: f64 = 0.34;
/// Time for which loads that were slowed down bound the number.
const CEILING_MS: u64 = 60_000;
/// The learned number is at most this multiple of the one from the settings.
const MAX_MULTIPLE: f64 = 2.0;

/// A load from the weight store that an engine carries out.
#[derive(Clone, Debug)]
struct StoreLoad {
    target: TargetId,
    model: ModelName,
    nominal_ms: f64,
    start_ms: u64,
    /// Concurrent loads, summed over its milliseconds.
    load_ms: f64,
}

impl StoreLoad {
    fn ratio(&self, now_ms: u64) -> f64 {
        now_ms.saturating_sub(self.start_ms) as f64 / self.nominal_ms
    }

    /// Mean number of concurrent loads, itself included.
    fn concurrent(&self, now_ms: u64) -> f64 {
        self.load_ms / now_ms.saturating_sub(self.start_ms).max(1) as f64
    }

    /// Whether it takes far longer than its sharing of the store explains.
    fn is_stuck(&self, now_ms: u64) -> bool {
        self.ratio(now_ms) > STUCK_RATIO * self.concurrent(now_ms).max(1.0)
    }
}

/// The learned number of loads at full speed.
#[derive(Debug)]
pub(super) struct StoreSpeed {
    /// The number from the settings.
    initial: f64,
    learned: f64,
    /// Largest number to try, and the time until which it holds.
    ceiling: Option<(f64, u64)>,
    loads: Vec<StoreLoad>,
    updated_ms: u64,
}

impl StoreSpeed {
    pub(super) fn new(initial: usize, now_ms: u64) -> Self {
        let initial = initial.max(1) as f64;
        Self { initial, learned: initial, ceiling: None, loads: Vec::new(), updated_ms: now_ms }
    }

    /// Number of loads that may run at once.
    pub(super) fn limit(&self) -> usize {
        // Rounded up only by nearly a whole load, so that a number just raised is not yet used.
        ((self.learned + 0.1) as usize).max(1)
    }

    /// How many times longer a load takes while `others` run.
    pub(super) fn slowdown(&self, others: usize) -> f64 {
        ((others + 1) as f64 / self.learned).max(1.0)
    }

    /// Counts the time since the last update, takes in the loads that have started, and learns from
    /// those that have ended. `is_loading` says whether a target is still loading a model, `holds`
    /// whether it holds it now.
    pub(super) fn update(
        &mut self,
        now_ms: u64,
        started: impl Iterator<Item = (TargetId, ModelName, u64)>,
        is_loading: impl Fn(&TargetId, &ModelName) -> bool,
        holds: impl Fn(&TargetId, &ModelName) -> bool,
    ) {
        let concurrent = self.loads.iter().filter(|load| !load.is_stuck(now_ms)).count() as f64;
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.loads.iter_mut().for_each(|load| load.load_ms += elapsed_ms * concurrent);
        self.updated_ms = now_ms;
        let loads = std::mem::take(&mut self.loads);
        for load in loads {
            if is_loading(&load.target, &load.model) {
                self.loads.push(load);
            } else if holds(&load.target, &load.model) {
                self.learn_from_ended(now_ms, &load);
            }
        }
        self.learn_from_overdue(now_ms);
        for (target, model, nominal_ms) in started {
            let is_known = |load: &StoreLoad| load.target == target && load.model == model;
            if !self.loads.iter().any(is_known) {
                let nominal_ms = nominal_ms.max(1) as f64;
                self.loads.push(StoreLoad {
                    target,
                    model,
                    nominal_ms,
                    start_ms: now_ms,
                    load_ms: 0.0,
                });
            }
        }
    }

    /// Whether the load of a target takes so long that it no longer counts at the store.
    pub(super) fn is_stuck(&self, now_ms: u64, target: &TargetId) -> bool {
        self.loads.iter().any(|load| load.target == *target && load.is_stuck(now_ms))
    }

    fn learn_from_ended(&mut self, now_ms: u64, load: &StoreLoad) {
        let (ratio, concurrent) = (load.ratio(now_ms), load.concurrent(now_ms).max(1.0));
        if load.is_stuck(now_ms) {
            return;
        }
        if ratio > SLOW_RATIO {
            if concurrent < MIN_CONCURRENT {
                return;
            }
            let shown = (concurrent / ratio).max(1.0);
            self.learned += SLOW_WEIGHT * (shown - self.learned);
            self.ceiling = Some((shown.round(), now_ms + CEILING_MS));
        } else if ratio < FULL_SPEED_RATIO && concurrent >= self.learned - 0.5 {
            let ceiling = self.ceiling.filter(|(_, until_ms)| now_ms < *until_ms);
            let most = ceiling.map_or(self.initial * MAX_MULTIPLE, |(most, _)| most);
            self.learned = (self.learned + RAISE).min(most.max(self.learned));
        }
    }

    /// Loads that have not ended in time bound the number before they end. A single one may be held up
    /// by its engine.
    fn learn_from_overdue(&mut self, now_ms: u64) {
        let is_overdue =
            |load: &&StoreLoad| load.ratio(now_ms) > SLOW_RATIO && !load.is_stuck(now_ms);
        let overdue = self.loads.iter().filter(is_overdue);
        let shown = overdue.map(|load| load.concurrent(now_ms) / load.ratio(now_ms));
        let shown: Vec<f64> = shown.collect();
        let most = shown.iter().copied().fold(1.0, f64::max);
        if shown.len() > 1 && most < self.learned {
            self.learned = most;
            self.ceiling = Some((most.round(), now_ms + CEILING_MS));
        }
    }
}
