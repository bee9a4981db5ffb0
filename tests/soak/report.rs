//! The promises that are checked, and what became of them.

use std::fmt;

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
}

impl Promise {
    pub const ALL: [Promise; 8] = [
        Promise::OwnAnswer,
        Promise::AtMostOnce,
        Promise::NotRunIsTrue,
        Promise::StreamOrder,
        Promise::Limit,
        Promise::Pause,
        Promise::Leaving,
        Promise::DocumentNotOlder,
    ];
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
        match self.checks.iter_mut().find(|(known, _)| *known == promise) {
            Some((_, count)) => *count += 1,
            None => self.checks.push((promise, 1)),
        }
        if let Err(what) = held {
            self.breaks.push((promise, what));
        }
    }

    fn count(&self, promise: Promise) -> u64 {
        self.checks.iter().find(|(known, _)| *known == promise).map_or(0, |(_, count)| *count)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<20} {:>8} {:>8}", "promise", "checks", "broken")?;
        for promise in Promise::ALL {
            let broken = self.breaks.iter().filter(|(known, _)| *known == promise).count();
            let name = format!("{promise:?}");
            match self.count(promise) {
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
