//! What follows from a failed attempt: for its target, and for the request.

use super::attempt::{RoutedRequest, SentAttempt};
use super::events::{self, RequestEvent};
use super::retry::{self, AttemptFailure, FailedAttempt, RequestFailure, RetryDecision};
use super::state::RouterState;
use crate::ids::TargetId;

/// Records a failed attempt and decides whether the request is retried.
pub(super) fn handle_failure(
    router: &RouterState,
    routed: &RoutedRequest,
    sent: &SentAttempt,
    failure: AttemptFailure,
) -> Result<(), RequestFailure> {
    let now_ms = router.now_ms();
    note_failure(router, routed, sent, failure);
    let attempt = FailedAttempt {
        failure,
        kind: routed.route.kind,
        possible_runs: routed.possible_runs.get(),
        max_possible_runs: routed.route.max_attempts.max(1),
        is_past_deadline: now_ms >= routed.deadline_ms,
    };
    match retry::decide_retry(&attempt) {
        RetryDecision::GiveUp(request_failure) => Err(request_failure),
        // An attempt that was not sent put no load on any target, so its retry does not count
        // against the budget.
        RetryDecision::Retry
            if matches!(failure, AttemptFailure::NotSent | AttemptFailure::Withdrawn) =>
        {
            Ok(())
        }
        RetryDecision::Retry if router.budget.borrow_mut().try_take(now_ms, &routed.service) => {
            Ok(())
        }
        RetryDecision::Retry => {
            Err(retry::request_failure(attempt.possible_runs, attempt.is_past_deadline))
        }
    }
}

/// Records a failed attempt and what follows for its target and for the request.
pub(super) fn note_failure(
    router: &RouterState,
    routed: &RoutedRequest,
    sent: &SentAttempt,
    failure: AttemptFailure,
) {
    record_failed_attempt(router, routed, &sent.life.target, failure, sent.sent_ms);
    penalize_target(router, routed, &sent.life.target, failure);
    if matches!(failure, AttemptFailure::ConnectionClosed | AttemptFailure::NotSent) {
        routed.continuation.borrow_mut().record_broken(&sent.life);
    }
    if failure == AttemptFailure::ConnectionClosed && !sent.has_answered {
        router.record_break(routed, sent);
    }
}

/// Logs and counts a failed attempt, and notes whether it may have run.
pub(super) fn record_failed_attempt(
    router: &RouterState,
    routed: &RoutedRequest,
    target: &TargetId,
    failure: AttemptFailure,
    sent_ms: u64,
) {
    let event = RequestEvent::AttemptFailed {
        target: target.as_str(),
        failure: events::failure_name(failure),
        elapsed_ms: router.now_ms().saturating_sub(sent_ms),
    };
    events::emit(&routed.info.id, &event);
    metrics::counter!("fescuebay_attempts_failed_total", "failure" => events::failure_name(failure))
        .increment(1);
    if failure.may_have_run() {
        routed.possible_runs.set(routed.possible_runs.get() + 1);
    }
}

/// Makes the balancer avoid a target after a failure, unless the target itself declined the
/// request.
fn penalize_target(
    router: &RouterState,
    routed: &RoutedRequest,
    target: &TargetId,
    failure: AttemptFailure,
) {
    routed.avoided_targets.borrow_mut().push(target.clone());
    let mut balancer = router.balancer.borrow_mut();
    match (failure, &routed.info.model) {
        (AttemptFailure::Misdirected, Some(model)) => {
            balancer.record_missing_model(router.now_ms(), target, model);
        }
        (AttemptFailure::NotRun | AttemptFailure::Withdrawn, _) => {}
        // Without a model to lack, another target is at this address.
        _ => balancer.record_failure(router.now_ms(), target),
    }
}
