//! What to do after a failed attempt, and when a refused caller should come back.

use rand::Rng;

use crate::routing::refusal::{Code, Ran, Refusal};
use crate::target::call::{Cause, Written};

/// Attempts of one request at most, hedges among them.
pub const MAX_ATTEMPTS: u32 = 3;
/// First pause before a retry; it doubles with each.
const BACKOFF_MS: u64 = 10;
/// Longest pause before a retry.
const MAX_BACKOFF_MS: u64 = 500;
/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER_MS: f64 = 500.0;
/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;
/// Time in which the count of recent refusals halves.
const CREST_HALF_LIFE_MS: f64 = 2000.0;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
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
    Untried,
    /// It was not sent: it has ended too many targets.
    Closed,
}

impl Failure {
    /// Whether the target may have died of the call.
    pub fn may_have_died(self) -> bool {
        matches!(
            self,
            Failure::Call { cause: Cause::Broken | Cause::Truncated, written: Written::Maybe }
        )
    }

    /// Whether no byte of the call left for the target.
    pub fn is_unwritten(self) -> bool {
        match self {
            Failure::Call { written, .. } => written == Written::No,
            Failure::Untried | Failure::Closed => true,
            Failure::Busy => false,
        }
    }
}

/// What is known of a request whose attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// How the attempt failed.
    pub failure: Failure,
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
pub enum Next {
    /// Try again, if the budget allows.
    Retry,
    /// Give the caller its final answer now.
    Refuse(Code, Ran),
}

fn ran(case: &Case) -> Ran {
    if case.failure.is_unwritten() && !case.was_written { Ran::No } else { Ran::Maybe }
}

/// The refusal for a request that is given up after this failure.
pub fn give_up(case: &Case) -> (Code, Ran) {
    let code = match case.failure {
        Failure::Busy => Code::TargetBusy,
        Failure::Call { cause: Cause::Silent, .. } => Code::TargetSilent,
        Failure::Call { .. } => Code::TargetFailed,
        Failure::Untried | Failure::Closed => Code::PoisonSuspect,
    };
    (code, ran(case))
}

/// Decides what follows a failed attempt; the budget is the caller's to ask.
pub fn next(case: &Case) -> Next {
    if case.failure == Failure::Untried && !case.is_delivering {
        return Next::Retry;
    }
    let may_repeat = case.is_idempotent && !case.is_delivering && case.attempts < MAX_ATTEMPTS;
    if may_repeat && case.failure != Failure::Closed {
        return Next::Retry;
    }
    let (code, ran) = give_up(case);
    Next::Refuse(code, ran)
}

/// The pause before the attempt of this number, with full jitter.
///
/// Full jitter: "Exponential backoff and jitter", AWS Architecture Blog 2015.
pub fn backoff_ms(attempt: u32, rng: &mut impl Rng) -> u64 {
    let ceiling = (BACKOFF_MS << attempt.saturating_sub(1).min(8)).min(MAX_BACKOFF_MS);
    rng.random_range(1..=ceiling)
}

/// A decaying count of answers and refusals, from which `Retry-After` grows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crest {
    answered: f64,
    refused: f64,
    updated_ms: u64,
}

impl Crest {
    fn decay(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let factor = (-age_ms / CREST_HALF_LIFE_MS).exp2();
        self.answered *= factor;
        self.refused *= factor;
        self.updated_ms = now_ms;
    }

    /// Counts an answer.
    pub fn answered(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.answered += 1.0;
    }

    /// Counts a refusal for lack of capacity.
    pub fn refused(&mut self, now_ms: u64) {
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
pub fn is_final(code: Code) -> bool {
    !matches!(
        code,
        Code::NoRecords
            | Code::ConfigurationStale
            | Code::TooManyWaiting
            | Code::QueueFull
            | Code::NotInTime
            | Code::DeadlinePassed
            | Code::TargetBusy
            | Code::TargetFailed
            | Code::TargetSilent
            | Code::InProgress
            | Code::PoisonSuspect
    )
}

/// Builds the refusal, with a time to come back where that is worthwhile.
pub fn refusal(code: Code, ran: Ran, retry_after_ms: u64) -> Refusal {
    let retry_after_ms = if is_final(code) { 0 } else { retry_after_ms };
    Refusal { code, ran, retry_after_ms }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    #[test]
    fn only_idempotent_work_without_an_answer_is_retried() {
        let failure = Failure::Call { cause: Cause::Broken, written: Written::Maybe };
        let case = Case {
            failure,
            is_idempotent: true,
            is_delivering: false,
            attempts: 1,
            was_written: false,
        };
        let refused = Next::Refuse(Code::TargetFailed, Ran::Maybe);
        assert_eq!(next(&case), Next::Retry);
        assert_eq!(next(&Case { is_idempotent: false, ..case }), refused);
        assert_eq!(next(&Case { is_delivering: true, ..case }), refused);
        assert_eq!(next(&Case { attempts: MAX_ATTEMPTS, ..case }), refused);
    }

    #[test]
    fn not_run_is_claimed_only_if_no_attempt_was_written() {
        let failure = Failure::Call { cause: Cause::Connect, written: Written::No };
        let case = Case {
            failure,
            is_idempotent: false,
            is_delivering: false,
            attempts: 1,
            was_written: false,
        };
        assert_eq!(give_up(&case).1, Ran::No);
        assert_eq!(give_up(&Case { was_written: true, ..case }).1, Ran::Maybe);
        assert_eq!(give_up(&Case { failure: Failure::Busy, ..case }).1, Ran::Maybe);
    }

    #[test]
    fn retry_after_grows_with_the_crest() {
        let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
        let mut crest = Crest::default();
        (0..100).for_each(|_| crest.answered(1000));
        let calm = crest.retry_after_ms(1000.0, &mut rng);
        (0..200).for_each(|_| crest.refused(1000));
        assert!(crest.retry_after_ms(1000.0, &mut rng) > 2 * calm);
    }
}
