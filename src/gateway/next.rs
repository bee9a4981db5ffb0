//! What follows an attempt that failed.

use crate::routes::Kind;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of it was sent.
    NotSent,
    /// No byte of it was sent: after it was chosen, its target said that it wants nothing new.
    Withdrawn,
    /// The target says that it did not run the request.
    NotRun,
    /// The target did not run the request, since it lacks the model or is another target.
    Lacking,
    /// The connection ended before the whole answer came.
    Broken,
    /// More bytes came than an answer may have.
    TooLarge,
    /// What came is not the answer to this request.
    Foreign,
    /// No answer came in the time that it may take.
    Silent,
    /// The target failed while it ran the request.
    Failed,
}

impl Failure {
    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Failure::NotSent | Failure::Withdrawn | Failure::NotRun | Failure::Lacking)
    }
}

/// What is known of a request whose attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// How the last attempt failed.
    pub failure: Failure,
    /// What may be repeated.
    pub kind: Kind,
    /// Attempts that may have run, this one included.
    pub runs: u32,
    /// Targets that may run the request.
    pub max_runs: u32,
    /// Whether the time for the request is over.
    pub is_over: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try again, if the budget allows.
    Again,
    /// Tell the caller how it ended.
    End(End),
}

/// How a request ends without an answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was not run, and may be sent again.
    NotRun,
    /// It may have run; its target failed.
    Failed,
    /// It may have run; its time is over.
    TimedOut,
}

/// The end of a request that is given up now, after `runs` attempts that may have run.
pub fn give_up(runs: u32, is_over: bool) -> End {
    match runs {
        0 => End::NotRun,
        _ if is_over => End::TimedOut,
        _ => End::Failed,
    }
}

/// Decides what follows; the budget is the caller's to ask.
pub fn next(case: &Case) -> Next {
    let may_run = case.runs == 0 || (case.kind.is_repeatable() && case.runs < case.max_runs);
    match may_run && !case.is_over {
        true => Next::Again,
        false => Next::End(give_up(case.runs, case.is_over)),
    }
}
