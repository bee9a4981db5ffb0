//! When models come that no target holds, as the leader tells it.
//!
//! Load at its worst: more rare models asked for at once than the weight store brings. What cannot be
//! served in time is refused at once; its callers are expected back when the model is there, and count
//! as waiting until then, so that it is loaded.

use crate::ids::{ModelName, ModelRef};
use crate::placement::swap::Expected;
use crate::placement::swap::demand::Waiting;

/// What a leader told counts for so long: it is told anew with each answer to a router.
const FRESH_MS: u64 = 1_500;
/// A caller that has not come back for so long after its time does not come any more.
const LATE_RETURN_MS: u64 = 1_000;

#[derive(Clone, Debug)]
struct Known {
    model: ModelName,
    ready_ms: u64,
    told_ms: u64,
}

/// What one router knows of models that are on their way.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    /// Sorted by model.
    known: Vec<Known>,
    /// Callers that were refused and asked back, and when.
    returning: Vec<(ModelRef, u64)>,
}

impl Forecast {
    /// Takes what a leader tells.
    pub fn take(&mut self, now_ms: u64, expected: &[Expected]) {
        self.known.retain(|known| now_ms < known.told_ms + FRESH_MS);
        for Expected { model, in_ms } in expected {
            let known = Known { model: model.clone(), ready_ms: now_ms + in_ms, told_ms: now_ms };
            match self.place(model) {
                Ok(at) => self.known[at] = known,
                Err(at) => self.known.insert(at, known),
            }
        }
    }

    /// When a model is expected; `None` where no leader told it lately.
    pub fn ready_ms(&self, now_ms: u64, model: &ModelName) -> Option<u64> {
        let known = &self.known[self.place(model).ok()?];
        (now_ms < known.told_ms + FRESH_MS).then_some(known.ready_ms)
    }

    /// A caller was refused, and is asked back for then.
    pub fn asked_back(&mut self, model: &ModelRef, at_ms: u64) {
        self.returning.push((model.clone(), at_ms));
    }

    /// A request for a model came: one who was asked back may be back.
    pub fn arrived(&mut self, model: &ModelRef) {
        if let Some(at) = self.returning.iter().position(|(known, _)| known == model) {
            self.returning.swap_remove(at);
        }
    }

    /// Adds those who are asked back to what waits.
    pub fn add_returning(&mut self, now_ms: u64, waiting: &mut Vec<Waiting>) {
        self.returning.retain(|(_, at_ms)| now_ms < at_ms + LATE_RETURN_MS);
        for (model, at_ms) in &self.returning {
            let slack_ms = *at_ms as i64 - now_ms as i64;
            match waiting.iter_mut().find(|known| known.model == *model) {
                Some(known) => known.count += 1,
                None => waiting.push(Waiting { model: model.clone(), count: 1, slack_ms }),
            }
        }
    }

    fn place(&self, model: &ModelName) -> Result<usize, usize> {
        self.known.binary_search_by(|known| known.model.cmp(model))
    }
}
