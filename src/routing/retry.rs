//! Retry policy for failed attempts, and the `Retry-After` delay of refusals.

use rand::Rng;

use crate::routing::refusal::{Refusal, RefusalCode, RunStatus};
use crate::target::call::{Cause, Written};

/// Most attempts of one request, hedges included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Upper bound of the first retry delay; it doubles with each retry.
const MIN_BACKOFF_MS: u64 = 10;
/// Longest retry delay.
const MAX_BACKOFF_MS: u64 = 500;
/// Shortest `Retry-After` delay, before jitter.
const MIN_RETRY_AFTER_MS: f64 = 500.0;
/// Longest `Retry-After` delay, before jitter.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;
/// Half-life of the counts of recent responses and refusals.
const REFUSAL_RATE_HALF_LIFE_MS: f64 = 2000.0;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The call failed.
    Call {
        /// The cause of the failure.
        cause: Cause,
        /// Whether the target may have received the call.
        written: Written,
    },
    /// The target responded that it is too busy (429 or 503).
    Busy,
    /// Not sent: the target has named a rate limit meanwhile, or the permit was over.
    Withdrawn,
    /// Not sent: the request is suspect and no trial is available at this target now.
    TrialUnavailable,
    /// Not sent: the request is refused as poison because too many targets died running it.
    ClosedAsPoison,
}

impl AttemptFailure {
    /// Whether the target may have died while running the call.
    pub fn may_have_died(self) -> bool {
        matches!(
            self,
            AttemptFailure::Call {
                cause: Cause::Broken | Cause::Truncated,
                written: Written::Maybe
            }
        )
    }

    /// Whether no byte of the call was written to the target.
    pub fn is_unwritten(self) -> bool {
        match self {
            AttemptFailure::Call { written, .. } => written == Written::No,
            AttemptFailure::Withdrawn
            | AttemptFailure::TrialUnavailable
            | AttemptFailure::ClosedAsPoison => true,
            AttemptFailure::Busy => false,
        }
    }

    /// Whether a retry takes nothing from the retry budget: nothing was sent, and the request may
    /// be sent as soon as its target takes it.
    pub fn is_free(self) -> bool {
        matches!(self, AttemptFailure::Withdrawn | AttemptFailure::TrialUnavailable)
    }
}

/// A failed attempt and the state of its request.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How the attempt failed.
    pub failure: AttemptFailure,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether part of the response was sent to the caller.
    pub is_delivering: bool,
    /// Attempts sent so far.
    pub attempts: u32,
    /// Whether an earlier attempt of the request may have been written.
    pub was_written: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry, if the retry budget allows.
    Retry,
    /// Refuse the request.
    Refuse(RefusalCode, RunStatus),
}

fn run_status(attempt: &FailedAttempt) -> RunStatus {
    if attempt.failure.is_unwritten() && !attempt.was_written {
        RunStatus::No
    } else {
        RunStatus::Maybe
    }
}

/// The refusal code and run status of a request that is not retried after this failure.
pub fn refusal_after(attempt: &FailedAttempt) -> (RefusalCode, RunStatus) {
    let code = match attempt.failure {
        AttemptFailure::Busy => RefusalCode::TargetBusy,
        AttemptFailure::Call { cause: Cause::Silent, .. } => RefusalCode::TargetSilent,
        AttemptFailure::Call { .. } => RefusalCode::TargetFailed,
        AttemptFailure::Withdrawn => RefusalCode::TargetsLimited,
        AttemptFailure::TrialUnavailable | AttemptFailure::ClosedAsPoison => {
            RefusalCode::PoisonSuspect
        }
    };
    (code, run_status(attempt))
}

/// Decides whether to retry after a failed attempt. The caller checks the retry budget.
pub fn decide_retry(attempt: &FailedAttempt) -> RetryDecision {
    if attempt.failure.is_free() && !attempt.is_delivering {
        return RetryDecision::Retry;
    }
    let may_repeat =
        attempt.is_idempotent && !attempt.is_delivering && attempt.attempts < MAX_ATTEMPTS;
    if may_repeat && attempt.failure != AttemptFailure::ClosedAsPoison {
        return RetryDecision::Retry;
    }
    let (code, ran) = refusal_after(attempt);
    RetryDecision::Refuse(code, ran)
}

/// The delay before the attempt of this number: exponential backoff with full jitter.
///
/// See "Exponential backoff and jitter", AWS Architecture Blog 2015.
pub fn backoff_ms(attempt: u32, rng: &mut impl Rng) -> u64 {
    let ceiling = (MIN_BACKOFF_MS << attempt.saturating_sub(1).min(8)).min(MAX_BACKOFF_MS);
    rng.random_range(1..=ceiling)
}

/// Decaying counts of responses and refusals, which lengthen `Retry-After` under overload.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalRate {
    answered: f64,
    refused: f64,
    updated_ms: u64,
}

impl RefusalRate {
    fn decay(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let factor = (-age_ms / REFUSAL_RATE_HALF_LIFE_MS).exp2();
        self.answered *= factor;
        self.refused *= factor;
        self.updated_ms = now_ms;
    }

    /// Counts an answered request.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.answered += 1.0;
    }

    /// Counts a refusal for lack of capacity.
    pub fn record_refusal(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.refused += 1.0;
    }

    /// The `Retry-After` delay: the expected wait, multiplied by the recent ratio of refusals to
    /// responses, with jitter so that callers do not return at the same time.
    pub fn retry_after_ms(&self, wait_ms: f64, rng: &mut impl Rng) -> u64 {
        let stretch = 1.0 + self.refused / (self.answered + 1.0);
        let base = (wait_ms.max(MIN_RETRY_AFTER_MS) * stretch).min(MAX_RETRY_AFTER_MS);
        (base * rng.random_range(0.75..1.25)) as u64
    }
}

/// Whether a retry by the caller can't succeed after this refusal.
pub fn is_permanent(code: RefusalCode) -> bool {
    !matches!(
        code,
        RefusalCode::NoRecords
            | RefusalCode::ConfigurationStale
            | RefusalCode::TooManyWaiting
            | RefusalCode::QueueFull
            | RefusalCode::NotInTime
            | RefusalCode::DeadlinePassed
            | RefusalCode::TargetBusy
            | RefusalCode::TargetsLimited
            | RefusalCode::TargetFailed
            | RefusalCode::TargetSilent
            | RefusalCode::InProgress
            | RefusalCode::PoisonSuspect
    )
}

/// Builds a refusal, with a `Retry-After` delay unless it is permanent.
pub fn build_refusal(code: RefusalCode, ran: RunStatus, retry_after_ms: u64) -> Refusal {
    let retry_after_ms = if is_permanent(code) { 0 } else { retry_after_ms };
    Refusal { code, ran, retry_after_ms }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    #[test]
    fn only_idempotent_requests_without_partial_response_are_retried() {
        let failure = AttemptFailure::Call { cause: Cause::Broken, written: Written::Maybe };
        let attempt = FailedAttempt {
            failure,
            is_idempotent: true,
            is_delivering: false,
            attempts: 1,
            was_written: false,
        };
        let refused = RetryDecision::Refuse(RefusalCode::TargetFailed, RunStatus::Maybe);
        assert_eq!(decide_retry(&attempt), RetryDecision::Retry);
        assert_eq!(decide_retry(&FailedAttempt { is_idempotent: false, ..attempt }), refused);
        assert_eq!(decide_retry(&FailedAttempt { is_delivering: true, ..attempt }), refused);
        assert_eq!(decide_retry(&FailedAttempt { attempts: MAX_ATTEMPTS, ..attempt }), refused);
    }

    #[test]
    fn not_run_is_reported_only_if_no_attempt_was_written() {
        let failure = AttemptFailure::Call { cause: Cause::Connect, written: Written::No };
        let attempt = FailedAttempt {
            failure,
            is_idempotent: false,
            is_delivering: false,
            attempts: 1,
            was_written: false,
        };
        assert_eq!(refusal_after(&attempt).1, RunStatus::No);
        assert_eq!(
            refusal_after(&FailedAttempt { was_written: true, ..attempt }).1,
            RunStatus::Maybe
        );
        assert_eq!(
            refusal_after(&FailedAttempt { failure: AttemptFailure::Busy, ..attempt }).1,
            RunStatus::Maybe
        );
    }

    #[test]
    fn retry_after_grows_with_the_refusal_rate() {
        let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
        let mut refusal_rate = RefusalRate::default();
        (0..100).for_each(|_| refusal_rate.record_answer(1000));
        let before = refusal_rate.retry_after_ms(1000.0, &mut rng);
        (0..200).for_each(|_| refusal_rate.record_refusal(1000));
        assert!(refusal_rate.retry_after_ms(1000.0, &mut rng) > 2 * before);
    }
}
