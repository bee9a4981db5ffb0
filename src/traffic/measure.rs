//! Metrics and outcome counts of requests.

use crate::control::outcomes;
use crate::control::outcomes::Promise;
use crate::routing::engine::AttemptStart;
use crate::routing::refusal::Refusal;
use crate::traffic::call::Call;

/// How long after its deadline a refusal still counts as in time.
const REFUSAL_GRACE_MS: u64 = 500;

fn labels(call: &Call) -> [(&'static str, String); 2] {
    [("tenant", call.tenant().to_string()), ("class", call.class().to_string())]
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}

/// Records how long a request waited before its first attempt, and the error of the prediction.
pub(super) fn record_queue_wait(call: &Call, start: &AttemptStart) {
    let labels = labels(call);
    metrics::histogram!("fescuebay_queue_wait_seconds", &labels).record(seconds(start.waited_ms));
    let (tenant, class) = (call.tenant().clone(), call.class().clone());
    outcomes::count(|tally| {
        tally.waited(outcomes::Waited { wait_ms: start.waited_ms, tenant, class });
    });
    if let Some(predicted_ms) = start.predicted_ms {
        let error = seconds(start.waited_ms) - seconds(predicted_ms);
        metrics::histogram!("fescuebay_queue_wait_error_seconds", &labels).record(error);
    }
}

/// Counts an attempt.
pub(super) fn count_attempt(call: &Call) {
    metrics::counter!("fescuebay_attempts_total", &labels(call)).increment(1);
}

/// Records the time to the first byte or token.
pub(super) fn record_first_byte(call: &Call, elapsed_ms: u64) {
    let labels = labels(call);
    metrics::histogram!("fescuebay_first_token_seconds", &labels).record(seconds(elapsed_ms));
}

/// Records the complete response of a request that was started at `began_ms`.
pub(super) fn record_answer(call: &Call, began_ms: u64, now_ms: u64) {
    let elapsed_ms = now_ms.saturating_sub(began_ms);
    let labels = labels(call);
    metrics::histogram!("fescuebay_answer_seconds", &labels).record(seconds(elapsed_ms));
    metrics::counter!("fescuebay_answers_total", &labels).increment(1);
    outcomes::count(|tally| {
        tally.answered += 1;
        tally.check(now_ms, Promise::ServedOrRefused, Ok(()));
        tally.check(now_ms, Promise::WholeOwnAnswer, Ok(()));
    });
}

/// Counts a refusal of a request that had a tenant and a class.
pub(super) fn count_refusal(call: &Call, refusal: &Refusal, now_ms: u64) {
    let [tenant, class] = labels(call);
    let labels = [tenant, class, ("code", refusal.code.to_string())];
    metrics::counter!("fescuebay_refusals_total", &labels).increment(1);
    let late_ms = now_ms.saturating_sub(call.deadline_ms());
    let in_time = if late_ms <= REFUSAL_GRACE_MS {
        Ok(())
    } else {
        Err(format!("{} for {} came {late_ms} ms late", refusal.code, call.tenant()))
    };
    outcomes::count(|tally| {
        tally.refuse(refusal.code.as_str(), 1);
        tally.check(now_ms, Promise::ServedOrRefused, in_time);
    });
}

/// Counts a response that was aborted after a part of it had been sent to the caller.
pub(super) fn count_broken_off(call: &Call, refusal: &Refusal, now_ms: u64) {
    count_stream_event(call, "broken-off");
    let reason = format!("an answer for {} broke off: {}", call.tenant(), refusal.code);
    outcomes::count(|tally| tally.check(now_ms, Promise::WholeOwnAnswer, Err(reason)));
}

/// Counts a request that was refused before it had a tenant and a class.
pub(super) fn count_edge_refusal(refusal: &Refusal) {
    let labels = [("code", refusal.code.to_string())];
    metrics::counter!("fescuebay_edge_refusals_total", &labels).increment(1);
    outcomes::count(|tally| tally.refuse(refusal.code.as_str(), 1));
}

/// Counts streams that were resumed, aborted, or abandoned by their callers.
pub(super) fn count_stream_event(call: &Call, event: &'static str) {
    let [tenant, class] = labels(call);
    let labels = [tenant, class, ("event", event.to_owned())];
    metrics::counter!("fescuebay_stream_events_total", &labels).increment(1);
}
