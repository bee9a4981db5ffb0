//! What to do after a failed attempt, and when a refused caller should come back.

use rand::Rng;

use crate::routing::refusal::{Refusal, RefusalCode, RunStatus};
use crate::target::call::{Cause, Written};

/// Attempts of one request at most, hedges among them.
pub const MAX_ATTEMPTS: u32 = 3;
/// First pause before a retry; it doubles with each.
const MIN_BACKOFF_MS: u64 = 10;
/// Longest pause before a retry.
const MAX_BACKOFF_MS: u64 = 500;
/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER_MS: f64 = 500.0;
/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;
/// Time in which the count of recent refusals halves.
const REFUSAL_RATE_HALF_LIFE_MS: f64 = 2000.0;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The call broke.
    Call {
        /// What went wrong.
        cause: Cause,
        /// Whether the target may have got it.
        written: Written,
    },
    /// The target answered that it is too busy (429 or 503).
    Busy,
    /// It was not sent: a suspect may not run at this target now.
    TrialUnavailable,
    /// It was not sent: it has ended too many targets.
    ClosedAsPoison,
}

impl AttemptFailure {
    /// Whether the target may have died of the call.
    pub fn may_have_died(self) -> bool {
        matches!(
            self,
            AttemptFailure::Call {
                cause: Cause::Broken | Cause::Truncated,
                written: Written::Maybe
            }
        )
    }

    /// Whether no byte of the call left for the target.
    pub fn is_unwritten(self) -> bool {
        match self {
            AttemptFailure::Call { written, .. } => written == Written::No,
            AttemptFailure::TrialUnavailable | AttemptFailure::ClosedAsPoison => true,
            AttemptFailure::Busy => false,
        }
    }
}

/// What is known of a request whose attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How the attempt failed.
    pub failure: AttemptFailure,
    /// Whether the request may run twice.
    pub is_idempotent: bool,
    /// Whether the caller has got a part of the answer.
    pub is_delivering: bool,
    /// Attempts so far.
    pub attempts: u32,
    /// Whether an earlier attempt of the request may have been written.
    pub was_written: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again, if the budget allows.
    Retry,
    /// Give the caller its final answer now.
    Refuse(RefusalCode, RunStatus),
}

fn run_status(attempt: &FailedAttempt) -> RunStatus {
    if attempt.failure.is_unwritten() && !attempt.was_written {
        RunStatus::No
    } else {
        RunStatus::Maybe
    }
}

/// The refusal for a request that is given up after this failure.
pub fn refusal_after(attempt: &FailedAttempt) -> (RefusalCode, RunStatus) {
    let code = match attempt.failure {
        AttemptFailure::Busy => RefusalCode::TargetBusy,
        AttemptFailure::Call { cause: Cause::Silent, .. } => RefusalCode::TargetSilent,
        AttemptFailure::Call { .. } => RefusalCode::TargetFailed,
        AttemptFailure::TrialUnavailable | AttemptFailure::ClosedAsPoison => {
            RefusalCode::PoisonSuspect
        }
    };
    (code, run_status(attempt))
}

/// Decides what follows a failed attempt; the budget is the caller's to ask.
pub fn decide_retry(attempt: &FailedAttempt) -> RetryDecision {
    if attempt.failure == AttemptFailure::TrialUnavailable && !attempt.is_delivering {
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

/// The pause before the attempt of this number, with full jitter.
///
/// Full jitter: "Exponential backoff and jitter", AWS Architecture Blog 2015.
pub fn backoff_ms(attempt: u32, rng: &mut impl Rng) -> u64 {
    let ceiling = (MIN_BACKOFF_MS << attempt.saturating_sub(1).min(8)).min(MAX_BACKOFF_MS);
    rng.random_range(1..=ceiling)
}

/// A decaying count of answers and refusals, from which `Retry-After` grows.
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

    /// Counts an answer.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.answered += 1.0;
    }

    /// Counts a refusal for lack of capacity.
    pub fn record_refusal(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.refused += 1.0;
    }

    /// When a refused caller should come back: the expected wait, stretched by the share of
    /// refusals among recent requests and spread so that callers do not return together.
    pub fn retry_after_ms(&self, wait_ms: f64, rng: &mut impl Rng) -> u64 {
        let stretch = 1.0 + self.refused / (self.answered + 1.0);
        let base = (wait_ms.max(MIN_RETRY_AFTER_MS) * stretch).min(MAX_RETRY_AFTER_MS);
        (base * rng.random_range(0.75..1.25)) as u64
    }
}

/// A refusal that asking again will not change.
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
            | RefusalCode::TargetFailed
            | RefusalCode::TargetSilent
            | RefusalCode::InProgress
            | RefusalCode::PoisonSuspect
    )
}

/// Builds the refusal, with a time to come back where that is worthwhile.
pub fn build_refusal(code: RefusalCode, ran: RunStatus, retry_after_ms: u64) -> Refusal {
    let retry_after_ms = if is_permanent(code) { 0 } else { retry_after_ms };
    Refusal { code, ran, retry_after_ms }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    #[test]
    fn only_idempotent_work_without_an_answer_is_retried() {
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
    fn not_run_is_claimed_only_if_no_attempt_was_written() {
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
    fn retry_after_grows_with_the_crest() {
        let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
        let mut refusal_rate = RefusalRate::default();
        (0..100).for_each(|_| refusal_rate.record_answer(1000));
        let before = refusal_rate.retry_after_ms(1000.0, &mut rng);
        (0..200).for_each(|_| refusal_rate.record_refusal(1000));
        assert!(refusal_rate.retry_after_ms(1000.0, &mut rng) > 2 * before);
    }
}
