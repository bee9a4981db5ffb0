//! The replicated list of suspects and closed digests, and the commands that change it.

use crate::control::machine::Context;
use crate::control::owner;
use crate::control::poison::command::{Command, Flight, Lifted, Outcome, Trial};
use crate::control::poison::feed::Standing;
use crate::control::poison::limits::Limits;
use crate::ids::{Digest, Incarnation, TargetId};

/// Number of removals kept for the feed; a router further behind receives the whole list.
const MAX_REMOVALS: usize = 1_000;
/// Number of lifts kept for operators.
const MAX_LIFTS: usize = 100;
/// How long a digest stays closed while a death counted against it is unconfirmed: long enough for
/// the death to be detected, and short because the call may only have lost its connection twice.
const UNCONFIRMED_CLOSED_MS: u64 = 60_000;

/// A target that died with a request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Death {
    /// The target.
    pub target: TargetId,
    /// The incarnation of the target that ended.
    pub incarnation: Incarnation,
    /// Unix time at which the death was reported.
    pub at_ms: u64,
}

/// A digest that an operator removed from the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LiftRecord {
    /// The digest.
    pub digest: Digest,
    /// The operator.
    pub by: String,
    /// The operator's reason.
    pub reason: String,
    /// Unix time of the removal.
    pub at_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct RunningTrial {
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
    pub(super) trial: Option<RunningTrial>,
    /// The revision of the list at which the entry last changed for routers.
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
    /// The last digests that operators removed from the list, oldest first.
    pub(super) lifts: Vec<LiftRecord>,
    /// The last digests that left the list and the revisions of their removal, oldest first.
    pub(super) removals: Vec<(u64, Digest)>,
    /// The last revision whose removal is no longer kept.
    pub(super) forgotten: u64,
    /// Deaths on the list that are so far inferred from broken calls alone.
    ///
    /// Older snapshots lack this field, so it is encoded after the other parts of the state.
    #[serde(skip)]
    pub(in crate::control) unconfirmed_deaths: Vec<UnconfirmedDeath>,
}

/// An unconfirmed death, counted against a digest although the target may only have lost a
/// connection.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(in crate::control) struct UnconfirmedDeath {
    digest: Digest,
    target: TargetId,
    incarnation: Incarnation,
}

impl State {
    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the number of digests on the list.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the list is empty.
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
                let running = RunningTrial { target, owner, nonce, until_ms };
                Outcome::Tried(self.try_suspect(context, &digest, running))
            }
            Command::EndTrial { digest, nonce, is_answered } => {
                self.end_trial(&digest, nonce, is_answered);
                Outcome::Done
            }
            Command::Lift { digest, by, reason } => {
                let lift = LiftRecord { digest, by, reason, at_ms: context.now_ms };
                Outcome::Lifted(self.lift(lift))
            }
        }
    }

    fn target_died(&mut self, context: &Context<'_>, death: &Death, in_flight: Vec<Flight>) {
        // The daemon of a trial may have died with the target and then cannot report the trial.
        let mut tried = Vec::new();
        for entry in &mut self.entries {
            if entry.trial.take_if(|trial| trial.target == death.target).is_some() {
                tried.push(entry.flight.clone());
            }
        }
        for flight in in_flight.into_iter().chain(tried) {
            let digest = flight.digest;
            self.count_death(context, death, flight);
            self.confirm_death(context, death, &digest);
        }
        self.make_room();
    }

    /// Counts broken calls as unconfirmed deaths of their target.
    fn calls_broke(&mut self, context: &Context<'_>, death: &Death, in_flight: Vec<Flight>) {
        for flight in in_flight {
            let digest = flight.digest;
            if self.count_death(context, death, flight) {
                let Death { target, incarnation, .. } = death.clone();
                self.unconfirmed_deaths.push(UnconfirmedDeath { digest, target, incarnation });
            }
            let Ok(at) = self.place(&digest) else { continue };
            let entry = &mut self.entries[at];
            entry.trial.take_if(|trial| trial.target == death.target);
            if entry.is_closed
                && self.unconfirmed_deaths.iter().any(|unconfirmed| unconfirmed.digest == digest)
            {
                entry.until_ms = entry.until_ms.min(context.now_ms + UNCONFIRMED_CLOSED_MS);
            }
        }
        self.make_room();
    }

    /// Confirms a death. A closed digest without unconfirmed deaths stays closed for the full time.
    fn confirm_death(&mut self, context: &Context<'_>, death: &Death, digest: &Digest) {
        let before = self.unconfirmed_deaths.len();
        self.unconfirmed_deaths.retain(|unconfirmed| {
            unconfirmed.digest != *digest
                || unconfirmed.target != death.target
                || unconfirmed.incarnation != death.incarnation
        });
        let has_unconfirmed =
            self.unconfirmed_deaths.iter().any(|unconfirmed| unconfirmed.digest == *digest);
        if self.unconfirmed_deaths.len() == before || has_unconfirmed {
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

    /// Counts a death against a digest and returns whether the death was new. Reports of one death
    /// by several daemons count once.
    fn count_death(&mut self, context: &Context<'_>, death: &Death, flight: Flight) -> bool {
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

    fn try_suspect(
        &mut self,
        context: &Context<'_>,
        digest: &Digest,
        trial_request: RunningTrial,
    ) -> Trial {
        let Ok(at) = self.place(digest) else { return Trial::NotSuspect };
        let entry = &self.entries[at];
        if entry.until_ms <= context.now_ms {
            return Trial::NotSuspect;
        }
        if entry.is_closed {
            return Trial::Closed { until_ms: entry.until_ms };
        }
        if let Some(running) = entry.trial.as_ref().filter(|trial| is_running(context, trial)) {
            let is_repeat =
                running.owner == trial_request.owner && running.nonce == trial_request.nonce;
            return if is_repeat { Trial::Granted } else { Trial::Busy };
        }
        let trials = self.entries.iter().filter_map(|entry| entry.trial.as_ref());
        let mut running = trials.filter(|trial| is_running(context, trial));
        if running.any(|trial| trial.target == trial_request.target) {
            return Trial::TargetBusy;
        }
        self.entries[at].trial = Some(trial_request);
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

    fn lift(&mut self, lift: LiftRecord) -> Lifted {
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

    /// Removes expired suspects and closed digests.
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
        self.unconfirmed_deaths.retain(|unconfirmed| unconfirmed.digest != entry.flight.digest);
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

/// Whether a trial still occupies its target: its time has not run out and its daemon incarnation
/// has not ended.
fn is_running(context: &Context<'_>, trial: &RunningTrial) -> bool {
    trial.until_ms > context.now_ms && !context.gone.contains(&trial.owner)
}
