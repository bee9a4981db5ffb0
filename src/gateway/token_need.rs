//! How many tokens of an engine's KV cache a request needs.
//!
//! Workload: requests that name a maximum output far above what they use, and estimates that are right at the
//! median and often far off. Too small a need makes an engine preempt running requests; too large a one
//! leaves its slots empty.

use super::RequestInfo;

/// Share of the streams of a route whose output is at most the learned length.
const QUANTILE: f64 = 0.8;
/// Step of the learned length, as a ratio.
const STEP: f64 = 0.08;
/// Streams of a route after which the learned length counts.
const MIN_STREAMS: u32 = 20;
/// Routes whose lengths are kept.
const MAX_ROUTES: usize = 1_024;

#[derive(Clone, Debug)]
struct RouteLength {
    route: String,
    /// Natural logarithm of the tokens that [`QUANTILE`] of the streams stay below.
    log: f64,
    streams: u32,
}

/// The output lengths of routes, as far as this router has seen whole streams.
#[derive(Clone, Debug, Default)]
pub struct OutputLengths {
    /// Sorted by route.
    routes: Vec<RouteLength>,
}

impl OutputLengths {
    /// Records the output of a whole stream.
    pub fn record(&mut self, route: &str, output_tokens: u64) {
        let log = (output_tokens.max(1) as f64).ln();
        match self.routes.binary_search_by(|known| known.route.as_str().cmp(route)) {
            Ok(at) => self.routes[at].add(log),
            Err(at) if self.routes.len() < MAX_ROUTES => {
                self.routes.insert(at, RouteLength { route: route.to_owned(), log, streams: 1 });
            }
            Err(_) => {}
        }
    }

    /// The output tokens that most streams of a route stay below, if that is known.
    pub fn usual_max(&self, route: &str) -> Option<u64> {
        let at = self.routes.binary_search_by(|known| known.route.as_str().cmp(route)).ok()?;
        let known = &self.routes[at];
        (known.streams >= MIN_STREAMS).then(|| known.log.exp().ceil() as u64)
    }
}

impl RouteLength {
    fn add(&mut self, log: f64) {
        // The first streams move it further.
        let step = STEP.max(1.0 / f64::from(self.streams));
        match log > self.log {
            true => self.log += (step * QUANTILE).min(log - self.log),
            false => self.log -= (step * (1.0 - QUANTILE)).min(self.log - log),
        }
        self.streams = self.streams.saturating_add(1);
    }
}

/// The tokens that a request needs until its end. 0 if it says nothing of its size. `usual_max` is the output
/// that most requests of its route stay below.
pub fn need_tokens(info: &RequestInfo, usual_max: Option<u64>) -> u64 {
    let parts = info.prompt_parts.iter().map(|(_, tokens)| u64::from(*tokens));
    let hint = info.length_hint_tokens;
    // The estimate is often too low, the learned length too high: the larger one errs to the safe side.
    let output = hint.max(usual_max);
    match info.token_usage {
        Some(usage) => {
            let max_output = usage.max_output_tokens;
            usage.prompt_tokens.saturating_add(output.map_or(max_output, |it| it.min(max_output)))
        }
        None => parts.sum::<u64>().saturating_add(hint.unwrap_or(0)),
    }
}
