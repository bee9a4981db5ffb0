//! What a report says, before it is given a form.

use crate::control::outcomes::{Breach, Hour, Promise, Refused, Tally, Waited};
use crate::report::span::{Span, Window};

/// How long before its end an exception counts as one that ends soon.
const ENDS_SOON_MS: u64 = 24 * 3_600_000;

/// An exception to the fleet's defaults, as reports name it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Exception {
    /// What it changes, and for whom.
    pub what: String,
    /// The written reason.
    pub reason: String,
    /// Unix time at which it ends, if it does.
    pub until_ms: Option<u64>,
}

/// What a report is made from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Input {
    /// The span that is asked for.
    pub span: Span,
    /// Its window.
    pub window: Window,
    /// Hours of the ledger in the window.
    pub hours: Vec<Hour>,
    /// Calls that may have run and that no operator has settled.
    pub unknown_calls: usize,
    /// Digests that are closed because targets died of them.
    pub closed_digests: usize,
    /// Jobs that wait or run.
    pub open_jobs: usize,
    /// Exceptions in force.
    pub exceptions: Vec<Exception>,
}

/// One promise in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Line {
    /// The promise.
    pub promise: Promise,
    /// Checks.
    pub checks: u64,
    /// Checks that found it broken.
    pub breaches: u64,
    /// The first breach.
    pub first: Option<Breach>,
}

impl Line {
    /// What the checks found, in a word or two.
    pub fn verdict(&self) -> String {
        match (self.checks, self.breaches) {
            (0, _) => "not checked".to_owned(),
            (_, 0) => "held".to_owned(),
            (_, breaches) => format!("BROKEN {breaches}x"),
        }
    }
}

/// A report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Report {
    /// The span that it tells of.
    pub span: Span,
    /// Its window.
    pub window: Window,
    /// The promises, broken ones first.
    pub lines: Vec<Line>,
    /// Requests that were answered.
    pub answered: u64,
    /// Refusals, most frequent first.
    pub refused: Vec<Refused>,
    /// The longest waits, longest first.
    pub waits: Vec<Waited>,
    /// Accelerator time that was unused.
    pub idle_accelerator_ms: u64,
    /// Requests that waited for a load.
    pub cold_starts: u64,
    /// The longest such wait.
    pub longest_cold_start_ms: u64,
    /// Calls that may have run and that no operator has settled.
    pub unknown_calls: usize,
    /// Digests that are closed because targets died of them.
    pub closed_digests: usize,
    /// Jobs that wait or run.
    pub open_jobs: usize,
    /// Exceptions in force that end soon, soonest first.
    pub ending_soon: Vec<Exception>,
    /// The other exceptions in force.
    pub exceptions: Vec<Exception>,
}

impl Report {
    /// Adds the hours up.
    pub fn new(input: Input) -> Self {
        let mut tally = Tally::default();
        input.hours.iter().for_each(|hour| tally.add(&hour.tally));
        let soon_ms = input.window.to_ms + ENDS_SOON_MS;
        let ends_soon = |exception: &Exception| exception.until_ms.is_some_and(|at| at <= soon_ms);
        let (mut ending_soon, exceptions): (Vec<_>, Vec<_>) =
            input.exceptions.into_iter().partition(ends_soon);
        ending_soon.sort_by_key(|exception| exception.until_ms);
        let mut refused = tally.refused;
        refused.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.code.cmp(&b.code)));
        Self {
            span: input.span,
            window: input.window,
            lines: lines(tally.promises),
            answered: tally.answered,
            refused,
            waits: tally.waits,
            idle_accelerator_ms: tally.idle_accelerator_ms,
            cold_starts: tally.cold_starts,
            longest_cold_start_ms: tally.longest_cold_start_ms,
            unknown_calls: input.unknown_calls,
            closed_digests: input.closed_digests,
            open_jobs: input.open_jobs,
            ending_soon,
            exceptions,
        }
    }

    /// Whether every promise that was checked held.
    pub fn is_good(&self) -> bool {
        self.lines.iter().all(|line| line.breaches == 0)
    }

    /// The first line of every form.
    pub fn headline(&self) -> String {
        let broken = self.lines.iter().filter(|line| line.breaches > 0).count();
        let checked = self.lines.iter().filter(|line| line.checks > 0).count();
        match (checked, broken) {
            (0, _) => "Nothing was checked.".to_owned(),
            (_, 0) => format!("All {checked} checked promises held."),
            (_, 1) => "1 promise did not hold.".to_owned(),
            (_, broken) => format!("{broken} promises did not hold."),
        }
    }
}

fn lines(counts: [crate::control::outcomes::Count; 9]) -> Vec<Line> {
    let line = |(promise, count): (Promise, crate::control::outcomes::Count)| Line {
        promise,
        checks: count.checks,
        breaches: count.breaches,
        first: count.first,
    };
    let mut lines: Vec<Line> = Promise::ALL.into_iter().zip(counts).map(line).collect();
    lines.sort_by_key(|line| line.breaches == 0);
    lines
}

/// A length of time as reports give it, such as `3.2 h`.
pub(super) fn length(ms: u64) -> String {
    let (unit_ms, unit) = match ms {
        0..1_000 => return format!("{ms} ms"),
        1_000..120_000 => (1_000, "s"),
        120_000..7_200_000 => (60_000, "min"),
        _ => (3_600_000, "h"),
    };
    format!("{}.{} {unit}", ms / unit_ms, ms % unit_ms * 10 / unit_ms)
}
