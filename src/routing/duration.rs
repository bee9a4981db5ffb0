//! Expected duration of requests, learned for each model or service and class.

use crate::ids::{ClassName, ModelName, ServiceName};

/// The model or service for which durations are learned. Adapters share those of their model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DurationKey {
    /// Requests to a model.
    Model(ModelName),
    /// Requests to a service.
    Service(ServiceName),
}

/// Weight of the newest observation.
const SMOOTHING: f64 = 0.1;
/// The expected duration before any observation.
const INITIAL_TOTAL_MS: f64 = 500.0;
/// The expected time to the first byte or token before any observation.
const INITIAL_FIRST_TOKEN_MS: f64 = 200.0;
/// A request counts as long if it is expected to exceed the typical duration by this factor.
pub const LONG_FACTOR: f64 = 4.0;
/// Most pairs of key and class kept; further ones get the initial values.
const MAX_KEYS: usize = 4096;

/// The learned durations of one key and class.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedDuration {
    /// Time from dispatch to the end of the response.
    pub total_ms: f64,
    /// Time from dispatch to the first byte or token.
    pub first_ms: f64,
    /// Time per token of the request's token limit, if requests state limits.
    per_token_ms: Option<f64>,
    observations: u32,
}

impl Default for ExpectedDuration {
    fn default() -> Self {
        Self {
            total_ms: INITIAL_TOTAL_MS,
            first_ms: INITIAL_FIRST_TOKEN_MS,
            per_token_ms: None,
            observations: 0,
        }
    }
}

impl ExpectedDuration {
    /// The expected duration of a request with this token limit.
    pub fn total_for_tokens_ms(&self, max_tokens: Option<u32>) -> f64 {
        match (max_tokens, self.per_token_ms) {
            (Some(tokens), Some(per_token_ms)) => per_token_ms * f64::from(tokens),
            _ => self.total_ms,
        }
    }

    /// The expected time to the first token of a stream, or to the end of any other response.
    pub fn answer_ms(&self, is_stream: bool, max_tokens: Option<u32>) -> f64 {
        if is_stream { self.first_ms } else { self.total_for_tokens_ms(max_tokens) }
    }

    /// Whether a complete response was observed.
    pub fn is_learned(&self) -> bool {
        self.observations > 0
    }
}

/// Learned durations, sorted by key and class, and the typical duration of all requests.
#[derive(Clone, Debug, Default)]
pub struct DurationEstimates {
    known: Vec<((DurationKey, ClassName), ExpectedDuration)>,
    overall: ExpectedDuration,
}

fn smooth(old: f64, new: f64, observations: u32) -> f64 {
    // The first observations weigh more, so that a wrong initial value is corrected soon.
    let share = SMOOTHING.max(1.0 / f64::from(observations + 1));
    old + share * (new - old)
}

impl DurationEstimates {
    /// The expected durations of `key` in `class`.
    pub fn expected(&self, key: &DurationKey, class: &ClassName) -> ExpectedDuration {
        match self.search(key, class) {
            Ok(at) => self.known[at].1,
            Err(_) => ExpectedDuration::default(),
        }
    }

    /// Whether this duration is long compared with the typical one.
    pub fn is_long(&self, expected_ms: f64) -> bool {
        self.overall.is_learned() && expected_ms > LONG_FACTOR * self.overall.total_ms
    }

    fn search(&self, key: &DurationKey, class: &ClassName) -> Result<usize, usize> {
        self.known.binary_search_by(|((s, c), _)| s.cmp(key).then_with(|| c.cmp(class)))
    }

    fn entry(&mut self, key: &DurationKey, class: &ClassName) -> Option<&mut ExpectedDuration> {
        match self.search(key, class) {
            Ok(at) => Some(&mut self.known[at].1),
            Err(_) if self.known.len() >= MAX_KEYS => None,
            Err(at) => {
                let stored_key = (key.clone(), class.clone());
                self.known.insert(at, (stored_key, ExpectedDuration::default()));
                Some(&mut self.known[at].1)
            }
        }
    }

    /// Records the time to the first byte or token of a response.
    pub fn observe_first(&mut self, key: &DurationKey, class: &ClassName, first_ms: u64) {
        if let Some(expected) = self.entry(key, class) {
            let count = expected.observations;
            expected.first_ms = smooth(expected.first_ms, first_ms as f64, count);
        }
    }

    /// Records the time from dispatch to the end of a response.
    pub fn observe_total(
        &mut self,
        key: &DurationKey,
        class: &ClassName,
        total_ms: u64,
        max_tokens: Option<u32>,
    ) {
        let total_ms = total_ms as f64;
        // Averaging logarithms keeps a few stragglers from moving the typical duration.
        let old = self.overall.total_ms.max(1.0).ln();
        let new = total_ms.max(1.0).ln();
        self.overall.total_ms = smooth(old, new, self.overall.observations).exp();
        self.overall.observations = self.overall.observations.saturating_add(1);
        let Some(expected) = self.entry(key, class) else { return };
        let count = expected.observations;
        expected.total_ms = smooth(expected.total_ms, total_ms, count);
        if let Some(tokens) = max_tokens.filter(|tokens| *tokens > 0) {
            let sample = total_ms / f64::from(tokens);
            let old = expected.per_token_ms.unwrap_or(sample);
            expected.per_token_ms = Some(smooth(old, sample, count));
        }
        expected.observations = count.saturating_add(1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn learns_by_class_and_by_token_limit() {
        let mut estimates = DurationEstimates::default();
        let key = DurationKey::Model("quill".parse().unwrap());
        let (quote, report) = ("quote".parse().unwrap(), "report".parse().unwrap());
        for _ in 0..50 {
            estimates.observe_total(&key, &quote, 100, None);
        }
        estimates.observe_total(&key, &report, 5000, Some(1000));
        assert!((estimates.expected(&key, &quote).total_ms - 100.0).abs() < 1.0);
        assert!(
            (estimates.expected(&key, &report).total_for_tokens_ms(Some(200)) - 1000.0).abs() < 1.0
        );
        assert!(estimates.is_long(5000.0) && !estimates.is_long(100.0));
    }
}
