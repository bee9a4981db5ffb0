//! The list of suspects and closed digests, and what commands do to it.

use crate::control::machine::Context;
use crate::control::owner;
use crate::control::poison::command::{Command, Flight, Lifted, Outcome, Trial};
use crate::control::poison::feed::Standing;
use crate::control::poison::limits::Limits;
use crate::ids::{Digest, Incarnation, TargetId};

/// Removals that the feed remembers; whoever is further behind gets the whole list.
const MAX_REMOVALS: usize = 1_000;
/// Lifts that are remembered.
const MAX_LIFTS: usize = 100;
/// How long a digest stays closed while a death that counts against it is in doubt: long enough
/// for the death to be noticed, short enough for a call whose connection alone broke twice.
const DOUBTFUL_CLOSED_MS: u64 = 60_000;

/// A target that died with a request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Death {
    /// The target.
    pub target: TargetId,
    /// Its life that ended.
    pub incarnation: Incarnation,
    /// Unix time at which it was told.
    pub at_ms: u64,
}

/// A digest that an operator took off the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Lift {
    /// The digest.
    pub digest: Digest,
    /// Who lifted it.
    pub by: String,
    /// Why.
    pub reason: String,
    /// Unix time at which it was.
    pub at_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Running {
    pub(super) target: TargetId,
    pub(super) owner: owner::Owner,
    pub(super) nonce: u64,
    pub(super) until_ms: u64,
}

/// A digest on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Entry {
    pub(super) flight: Flight,
    pub(super) deaths: Vec<Death>,
    pub(super) is_closed: bool,
    pub(super) until_ms: u64,
    pub(super) trial: Option<Running>,
    /// The revision of the list at which routers have to learn of it.
    pub(super) revision: u64,
}

impl Entry {
    pub(super) fn standing(&self) -> Standing {
        if self.is_closed {
            Standing::Closed { until_ms: self.until_ms }
        } else {
            Standing::Suspect
        }
    }
}

/// The list of suspects and closed digests, sorted by digest.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    limits: Limits,
    pub(super) revision: u64,
    pub(super) entries: Vec<Entry>,
    /// The last digests that operators took off the list, in that order.
    pub(super) lifts: Vec<Lift>,
    /// Digests that left the list, and the revision at which they did, in that order.
    pub(super) removals: Vec<(u64, Digest)>,
    /// The last revision whose removals are no longer remembered.
    pub(super) forgotten: u64,
    /// Deaths on the list that only a broken call speaks for, so far.
    ///
    /// In a snapshot they follow the other parts, where older ones end.
    #[serde(skip)]
    pub(in crate::control) doubts: Vec<Doubt>,
}

/// A death that counts against a digest although the target may only have lost a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(in crate::control) struct Doubt {
    digest: Digest,
    target: TargetId,
    incarnation: Incarnation,
}

impl State {
    /// Puts other limits in force.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Digests on the list.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies a command.
    pub fn apply(&mut self, context: &Context<'_>, command: Command) -> Outcome {
        match command {
            Command::TargetDied { target, incarnation, in_flight } => {
                let death = Death { target, incarnation, at_ms: context.now_ms };
                self.target_died(context, &death, in_flight);
                Outcome::Done
            }
            Command::CallsBroke { target, incarnation, in_flight } => {
                let death = Death { target, incarnation, at_ms: context.now_ms };
                self.calls_broke(context, &death, in_flight);
                Outcome::Done
            }
            Command::Try { digest, target, owner, nonce } => {
                let until_ms = context.now_ms + self.limits.trial_ms;
                let running = Running { target, owner, nonce, until_ms };
                Outcome::Tried(self.try_suspect(context, &digest, running))
            }
            Command::EndTrial { digest, nonce, is_answered } => {
                self.end_trial(&digest, nonce, is_answered);
                Outcome::Done
            }
            Command::Lift { digest, by, reason } => {
                let lift = Lift { digest, by, reason, at_ms: context.now_ms };
                Outcome::Lifted(self.lift(lift))
            }
        }
    }

    fn target_died(&mut self, context: &Context<'_>, death: &Death, in_flight: Vec<Flight>) {
        // The daemon of a trial may have died with the target, so that nobody reports the trial.
        let mut tried = Vec::new();
        for entry in &mut self.entries {
            if entry.trial.take_if(|trial| trial.target == death.target).is_some() {
                tried.push(entry.flight.clone());
            }
        }
        for flight in in_flight.into_iter().chain(tried) {
            let digest = flight.digest;
            self.mark(context, death, flight);
            self.confirm(context, death, &digest);
        }
        self.make_room();
    }

    /// Counts calls that broke like deaths of their target, until more is known of it.
    fn calls_broke(&mut self, context: &Context<'_>, death: &Death, in_flight: Vec<Flight>) {
        for flight in in_flight {
            let digest = flight.digest;
            if self.mark(context, death, flight) {
                let Death { target, incarnation, .. } = death.clone();
                self.doubts.push(Doubt { digest, target, incarnation });
            }
            let Ok(at) = self.place(&digest) else { continue };
            let entry = &mut self.entries[at];
            entry.trial.take_if(|trial| trial.target == death.target);
            if entry.is_closed && self.doubts.iter().any(|doubt| doubt.digest == digest) {
                entry.until_ms = entry.until_ms.min(context.now_ms + DOUBTFUL_CLOSED_MS);
            }
        }
        self.make_room();
    }

    /// A death is certain. A digest that is closed by nothing but certain ones stays closed for
    /// the whole time.
    fn confirm(&mut self, context: &Context<'_>, death: &Death, digest: &Digest) {
        let before = self.doubts.len();
        self.doubts.retain(|doubt| {
            doubt.digest != *digest
                || doubt.target != death.target
                || doubt.incarnation != death.incarnation
        });
        let is_doubtful = self.doubts.iter().any(|doubt| doubt.digest == *digest);
        if self.doubts.len() == before || is_doubtful {
            return;
        }
        let Ok(at) = self.place(digest) else { return };
        let entry = &mut self.entries[at];
        if entry.is_closed {
            entry.until_ms = context.now_ms + self.limits.closed_ms;
            self.revision += 1;
            entry.revision = self.revision;
        }
    }

    /// Notes a death against a digest, and tells whether it was new. Reports of one death by
    /// several daemons count once.
    fn mark(&mut self, context: &Context<'_>, death: &Death, flight: Flight) -> bool {
        let at = match self.place(&flight.digest) {
            Ok(at) => at,
            Err(at) => {
                let entry = Entry {
                    flight,
                    deaths: Vec::new(),
                    is_closed: false,
                    until_ms: 0,
                    trial: None,
                    revision: 0,
                };
                self.entries.insert(at, entry);
                at
            }
        };
        let entry = &mut self.entries[at];
        let is_same =
            |known: &Death| known.target == death.target && known.incarnation == death.incarnation;
        if entry.is_closed || entry.deaths.iter().any(is_same) {
            return false;
        }
        entry.deaths.push(death.clone());
        entry.is_closed = entry.deaths.len() >= self.limits.max_deaths;
        let kept_ms = if entry.is_closed { self.limits.closed_ms } else { self.limits.suspect_ms };
        entry.until_ms = context.now_ms + kept_ms;
        self.revision += 1;
        entry.revision = self.revision;
        true
    }

    fn try_suspect(&mut self, context: &Context<'_>, digest: &Digest, wish: Running) -> Trial {
        let Ok(at) = self.place(digest) else { return Trial::NotSuspect };
        let entry = &self.entries[at];
        if entry.until_ms <= context.now_ms {
            return Trial::NotSuspect;
        }
        if entry.is_closed {
            return Trial::Closed { until_ms: entry.until_ms };
        }
        if let Some(running) = entry.trial.as_ref().filter(|trial| is_running(context, trial)) {
            let is_repeat = running.owner == wish.owner && running.nonce == wish.nonce;
            return if is_repeat { Trial::Granted } else { Trial::Busy };
        }
        let trials = self.entries.iter().filter_map(|entry| entry.trial.as_ref());
        let mut running = trials.filter(|trial| is_running(context, trial));
        if running.any(|trial| trial.target == wish.target) {
            return Trial::TargetBusy;
        }
        self.entries[at].trial = Some(wish);
        Trial::Granted
    }

    fn end_trial(&mut self, digest: &Digest, nonce: u64, is_answered: bool) {
        let Ok(at) = self.place(digest) else { return };
        let entry = &mut self.entries[at];
        if entry.trial.as_ref().is_none_or(|trial| trial.nonce != nonce) {
            return;
        }
        entry.trial = None;
        if is_answered && !entry.is_closed {
            self.remove(at);
        }
    }

    fn lift(&mut self, lift: Lift) -> Lifted {
        if lift.reason.trim().is_empty() {
            return Lifted::NoReason;
        }
        let Ok(at) = self.place(&lift.digest) else { return Lifted::NotListed };
        self.remove(at);
        self.lifts.push(lift);
        if self.lifts.len() > MAX_LIFTS {
            self.lifts.remove(0);
        }
        Lifted::Done
    }

    /// Lets time pass: suspects and closed digests leave the list.
    pub fn tick(&mut self, context: &Context<'_>) {
        let is_over = |entry: &Entry| entry.until_ms <= context.now_ms;
        while let Some(at) = self.entries.iter().position(is_over) {
            self.remove(at);
        }
    }

    fn make_room(&mut self) {
        while self.entries.len() > self.limits.max_digests {
            let places = 0..self.entries.len();
            let first = places.min_by_key(|at| {
                let entry = &self.entries[*at];
                (entry.is_closed, entry.until_ms)
            });
            let Some(first) = first else { return };
            self.remove(first);
        }
    }

    fn remove(&mut self, at: usize) {
        let entry = self.entries.remove(at);
        self.doubts.retain(|doubt| doubt.digest != entry.flight.digest);
        self.revision += 1;
        self.removals.push((self.revision, entry.flight.digest));
        if self.removals.len() > MAX_REMOVALS {
            self.forgotten = self.removals.remove(0).0;
        }
    }

    fn place(&self, digest: &Digest) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.flight.digest.cmp(digest))
    }
}

/// Whether a trial still holds its target: not past its time, and its daemon not gone.
fn is_running(context: &Context<'_>, trial: &Running) -> bool {
    trial.until_ms > context.now_ms && !context.gone.contains(&trial.owner)
}
