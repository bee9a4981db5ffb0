//! What operators are told of placement: the loads that were started, and the models with the
//! highest load.

use std::fmt::Write;

use super::{LoadReason, Planner, Source};
use crate::ids::{ModelName, TargetId};

/// Shortest time between two summaries.
const INTERVAL_MS: u64 = 1_000;
/// Models in a summary.
const MAX_MODELS: usize = 6;

/// A load that was started, and what it was decided from.
#[derive(Clone, Debug, PartialEq)]
pub struct StartedLoad {
    /// The model.
    pub model: ModelName,
    /// The engine.
    pub target: TargetId,
    /// Where it reads the weights.
    pub source: Source,
    /// Why it is loaded.
    pub reason: LoadReason,
    /// The model that is evicted for it.
    pub victim: Option<ModelName>,
    /// Requests that are delayed at each moment without it.
    pub gain: f64,
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Replicas before it.
    pub replicas: u32,
    /// Copies before it.
    pub copies: u32,
}

impl Planner {
    /// The loads that were started since the last call.
    #[must_use]
    pub fn take_started_loads(&mut self) -> Vec<StartedLoad> {
        std::mem::take(&mut self.started)
    }

    /// Loads from the weight store that may run at once, as learned.
    pub fn store_load_limit(&self) -> usize {
        self.store.limit()
    }

    /// Describes the models with the highest load for the log, at most once a second and only if
    /// there is any load.
    pub fn take_summary(&mut self) -> Option<String> {
        if self.now_ms < self.summary_ms + INTERVAL_MS {
            return None;
        }
        let mut busy: Vec<_> =
            self.counts.all().iter().filter(|(_, count)| count.load >= 1.0).collect();
        busy.sort_by(|(_, a), (_, b)| b.load.total_cmp(&a.load));
        if busy.is_empty() {
            return None;
        }
        self.summary_ms = self.now_ms;
        let mut text = format!("{} models in use", busy.len());
        for (model, count) in busy.iter().take(MAX_MODELS) {
            let _ = write!(
                text,
                "; {model} {:.1}/s, {} running, {} waiting, {} replicas for a load of {:.0}, {} copies",
                count.rates.current_per_s,
                count.running,
                count.waiting,
                count.replicas,
                count.load,
                count.copies
            );
        }
        let _ = write!(text, "; {} loads from the weight store at full speed", self.store.limit());
        Some(text)
    }
}
