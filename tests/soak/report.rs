//! The promises that are checked, and what became of them.

use std::fmt;

use clap::ValueEnum as _;

/// What is promised to callers and targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Promise {
    /// A success is the whole answer to the caller's own request.
    OwnAnswer,
    /// What must not repeat runs once at most.
    AtMostOnce,
    /// A request that is said not to have run did not.
    NotRunIsTrue,
    /// Events of a stream come once, in order, and all of them if it ends whole.
    StreamOrder,
    /// A limit that a target names holds for all routers together.
    Limit,
    /// A target that asks for a pause gets one.
    Pause,
    /// A target that says that it leaves gets no new requests.
    Leaving,
    /// A document that is read is not older than one that was acknowledged.
    DocumentNotOlder,
    /// A document that is read is what was first sent under its version.
    DocumentContent,
    /// Routers obey an acknowledged document within its time.
    DocumentInForce,
    /// The newest acknowledged document can be read at the end.
    DocumentKept,
    /// An invalid document is refused.
    InvalidRefused,
    /// A request that was read gets a whole answer, also around stops, reloads and documents.
    NotLost,
    /// A request ends soon after the timeout of its route.
    Timeout,
    /// A request reaches no target once its caller has left.
    Gone,
    /// Repeats stay in the budget of all routers.
    RetryBudget,
    /// Routers probe targets no more often than each half second.
    Probes,
    /// A request runs at no more targets than its route says.
    Attempts,
    /// Targets are told no more time than is left.
    Deadline,
    /// Callers of a router that is cut off from all targets are served like those of others.
    CutOff,
    /// A content that crashes targets reaches none any more.
    Crashes,
    /// Requests are served again after the last fault.
    Recovery,
    /// No process ends by itself.
    NoOwnEnd,
    /// A process holds no more memory than it may.
    Memory,
    /// A process holds no more descriptors than it may.
    Descriptors,
    /// Targets hold no more replicas than fit.
    ReplicaMemory,
    /// A fleet without work needs next to no processor time.
    IdleCores,
}

/// How often each promise was checked, and what broke.
#[derive(Default)]
pub struct Report {
    checks: Vec<(Promise, u64)>,
    pub breaks: Vec<(Promise, String)>,
}

impl Report {
    /// Counts a check; `Err` says what broke.
    pub fn check(&mut self, promise: Promise, held: Result<(), String>) {
        self.count(promise, 1);
        if let Err(what) = held {
            self.breaks.push((promise, what));
        }
    }

    /// Counts checks of which none broke.
    pub fn count(&mut self, promise: Promise, checks: u64) {
        match self.checks.iter_mut().find(|(known, _)| *known == promise) {
            Some((_, count)) => *count += checks,
            None => self.checks.push((promise, checks)),
        }
    }

    fn checks_of(&self, promise: Promise) -> u64 {
        self.checks.iter().find(|(known, _)| *known == promise).map_or(0, |(_, count)| *count)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<20} {:>8} {:>8}", "promise", "checks", "broken")?;
        for promise in Promise::value_variants().iter().copied() {
            let broken = self.breaks.iter().filter(|(known, _)| *known == promise).count();
            let name = format!("{promise:?}");
            match self.checks_of(promise) {
                0 => writeln!(f, "{name:<20} not put to the test")?,
                count => writeln!(f, "{name:<20} {count:>8} {broken:>8}")?,
            }
        }
        for (promise, what) in self.breaks.iter().take(20) {
            writeln!(f, "{promise:?}: {what}")?;
        }
        Ok(())
    }
}
