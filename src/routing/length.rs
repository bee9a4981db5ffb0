//! Expected length of work, learned for each model or service and class.

use crate::ids::{ClassName, ModelName, ServiceName};

/// What a length is learned for: adapters share the lengths of their model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// Work of a model.
    Model(ModelName),
    /// Calls of a service.
    Service(ServiceName),
}

/// Weight of the newest observation.
const SMOOTHING: f64 = 0.1;
/// The length of work of which nothing is known.
const FIRST_GUESS_MS: f64 = 500.0;
/// The time to the first token of work of which nothing is known.
const FIRST_TOKEN_GUESS_MS: f64 = 200.0;
/// Work this many times longer than the typical length on a target is long.
pub const LONG_FACTOR: f64 = 4.0;
/// Most subjects kept; further ones are given the first guess.
const MAX_SUBJECTS: usize = 4096;

/// What is learned about one subject and class.
#[derive(Clone, Copy, Debug)]
pub struct Expected {
    /// Time from dispatch to the end.
    pub whole_ms: f64,
    /// Time from dispatch to the first byte or token.
    pub first_ms: f64,
    /// Time for each token of the request's limit, if requests state limits.
    per_token_ms: Option<f64>,
    observations: u32,
}

impl Default for Expected {
    fn default() -> Self {
        Self {
            whole_ms: FIRST_GUESS_MS,
            first_ms: FIRST_TOKEN_GUESS_MS,
            per_token_ms: None,
            observations: 0,
        }
    }
}

impl Expected {
    /// The expected time of a request with this token limit.
    pub fn for_tokens(&self, max_tokens: Option<u32>) -> f64 {
        match (max_tokens, self.per_token_ms) {
            (Some(tokens), Some(per_token_ms)) => per_token_ms * f64::from(tokens),
            _ => self.whole_ms,
        }
    }

    /// The expected time until a request is answered: to the first token of a stream, else the
    /// whole answer.
    pub fn answer_ms(&self, is_stream: bool, max_tokens: Option<u32>) -> f64 {
        if is_stream { self.first_ms } else { self.for_tokens(max_tokens) }
    }

    /// Whether anything was observed.
    pub fn is_learned(&self) -> bool {
        self.observations > 0
    }
}

/// The lengths of all subjects, sorted, and the typical length of all work.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    known: Vec<((Subject, ClassName), Expected)>,
    typical: Expected,
}

fn blend(old: f64, new: f64, observations: u32) -> f64 {
    // The first observations weigh more, so that a wrong first guess is soon forgotten.
    let share = SMOOTHING.max(1.0 / f64::from(observations + 1));
    old + share * (new - old)
}

impl Lengths {
    /// What is expected of `subject` in `class`.
    pub fn expected(&self, subject: &Subject, class: &ClassName) -> Expected {
        match self.search(subject, class) {
            Ok(at) => self.known[at].1,
            Err(_) => Expected::default(),
        }
    }

    /// Whether work of this length is long beside what usually runs here.
    pub fn is_long(&self, expected_ms: f64) -> bool {
        self.typical.is_learned() && expected_ms > LONG_FACTOR * self.typical.whole_ms
    }

    fn search(&self, subject: &Subject, class: &ClassName) -> Result<usize, usize> {
        self.known.binary_search_by(|((s, c), _)| s.cmp(subject).then_with(|| c.cmp(class)))
    }

    fn entry(&mut self, subject: &Subject, class: &ClassName) -> Option<&mut Expected> {
        match self.search(subject, class) {
            Ok(at) => Some(&mut self.known[at].1),
            Err(_) if self.known.len() >= MAX_SUBJECTS => None,
            Err(at) => {
                let key = (subject.clone(), class.clone());
                self.known.insert(at, (key, Expected::default()));
                Some(&mut self.known[at].1)
            }
        }
    }

    /// Takes in the time to the first byte or token of one answer.
    pub fn observe_first(&mut self, subject: &Subject, class: &ClassName, first_ms: u64) {
        if let Some(expected) = self.entry(subject, class) {
            let count = expected.observations;
            expected.first_ms = blend(expected.first_ms, first_ms as f64, count);
        }
    }

    /// Takes in the time that one whole answer took.
    pub fn observe_whole(
        &mut self,
        subject: &Subject,
        class: &ClassName,
        whole_ms: u64,
        max_tokens: Option<u32>,
    ) {
        let whole_ms = whole_ms as f64;
        // The logarithm keeps a few stragglers from moving the typical length.
        let old = self.typical.whole_ms.max(1.0).ln();
        let new = whole_ms.max(1.0).ln();
        self.typical.whole_ms = blend(old, new, self.typical.observations).exp();
        self.typical.observations = self.typical.observations.saturating_add(1);
        let Some(expected) = self.entry(subject, class) else { return };
        let count = expected.observations;
        expected.whole_ms = blend(expected.whole_ms, whole_ms, count);
        if let Some(tokens) = max_tokens.filter(|tokens| *tokens > 0) {
            let sample = whole_ms / f64::from(tokens);
            let old = expected.per_token_ms.unwrap_or(sample);
            expected.per_token_ms = Some(blend(old, sample, count));
        }
        expected.observations = count.saturating_add(1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn learns_by_class_and_by_token_limit() {
        let mut lengths = Lengths::default();
        let subject = Subject::Model("quill".parse().unwrap());
        let (quote, report) = ("quote".parse().unwrap(), "report".parse().unwrap());
        for _ in 0..50 {
            lengths.observe_whole(&subject, &quote, 100, None);
        }
        lengths.observe_whole(&subject, &report, 5000, Some(1000));
        assert!((lengths.expected(&subject, &quote).whole_ms - 100.0).abs() < 1.0);
        assert!((lengths.expected(&subject, &report).for_tokens(Some(200)) - 1000.0).abs() < 1.0);
        assert!(lengths.is_long(5000.0) && !lengths.is_long(100.0));
    }
}
