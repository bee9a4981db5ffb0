//! Decides whether a request is retried after a failed attempt.

use crate::rate_limit::TargetLife;
use crate::routes::Kind;

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent,
    /// No byte of the request was sent, because the chosen target announced meanwhile that it is
    /// leaving or paused.
    Withdrawn,
    /// The target responded that it did not run the request.
    NotRun,
    /// The target did not run the request, because it lacks the model or is not the intended
    /// target.
    Misdirected,
    /// The connection closed before the whole response had arrived.
    ConnectionClosed,
    /// The response exceeded a size limit.
    TooLarge,
    /// The received data is not the response to this request.
    InvalidResponse,
    /// The response did not arrive within its timeout.
    TimedOut,
    /// The target responded with an error status.
    ErrorStatus,
}

impl AttemptFailure {
    /// Whether the target may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            AttemptFailure::NotSent
                | AttemptFailure::Withdrawn
                | AttemptFailure::NotRun
                | AttemptFailure::Misdirected
        )
    }
}

/// A request after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Why the last attempt failed.
    pub failure: AttemptFailure,
    /// The kind of the route, which determines whether the request may run more than once.
    pub kind: Kind,
    /// Attempts that may have run, including the last one.
    pub possible_runs: u32,
    /// Upper bound of attempts that may run.
    pub max_possible_runs: u32,
    /// Whether the deadline of the request has passed.
    pub is_past_deadline: bool,
}

/// The decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry, if the retry budget allows it.
    Retry,
    /// Answer the caller with this failure.
    GiveUp(RequestFailure),
}

/// Pause after an attempt that no target has run.
const RETRY_PAUSE_MS: u64 = 15;
/// How often the pause doubles at most.
const MAX_DOUBLINGS: u32 = 4;

/// The attempts of one request that could not be sent.
#[derive(Clone, Debug, Default)]
pub struct UnsentAttempts {
    /// Whom they were for, sorted.
    lives: Vec<TargetLife>,
    /// Those for a target for which one had failed before.
    repeated: u32,
}

impl UnsentAttempts {
    /// Records an attempt at this target.
    pub fn record(&mut self, life: TargetLife) {
        match self.lives.binary_search(&life) {
            Ok(_) => self.repeated += 1,
            Err(at) => self.lives.insert(at, life),
        }
    }

    /// The number of attempts.
    pub fn count(&self) -> u32 {
        self.lives.len() as u32 + self.repeated
    }

    /// Whether one was for a target for which another had failed: this router has no other target left to try.
    pub fn has_tried_all(&self) -> bool {
        self.repeated > 0
    }

    /// Pause before the next attempt, in milliseconds. It grows with attempts at the same targets, which may stay
    /// out of reach for seconds; another target is tried soon.
    pub fn pause_ms(&self) -> u64 {
        RETRY_PAUSE_MS << self.repeated.min(MAX_DOUBLINGS)
    }
}

/// How a request fails without a response of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFailure {
    /// No target ran the request, so the caller may send it again.
    NotRun,
    /// A target failed and may have run the request.
    TargetFailed,
    /// The deadline passed and a target may have run the request.
    TimedOut,
}

/// The failure of a request that is given up now, after `possible_runs` attempts that may have run.
pub fn request_failure(possible_runs: u32, is_past_deadline: bool) -> RequestFailure {
    match possible_runs {
        0 => RequestFailure::NotRun,
        _ if is_past_deadline => RequestFailure::TimedOut,
        _ => RequestFailure::TargetFailed,
    }
}

/// Decides whether to retry. The caller checks the retry budget.
pub fn decide_retry(attempt: &FailedAttempt) -> RetryDecision {
    let can_run_again = attempt.possible_runs == 0
        || (attempt.kind.is_repeatable() && attempt.possible_runs < attempt.max_possible_runs);
    match can_run_again && !attempt.is_past_deadline {
        true => RetryDecision::Retry,
        false => {
            RetryDecision::GiveUp(request_failure(attempt.possible_runs, attempt.is_past_deadline))
        }
    }
}
