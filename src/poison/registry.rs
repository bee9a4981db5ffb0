//! The leader's evidence on what crashes targets, and its decisions.

use super::message::{Death, Observation, Permission, Statement, Wanted};
use super::{Standing, Subject};
use crate::ids::DaemonId;
use crate::rate_limit::TargetLife;

/// Targets that ended under a subject before it is restricted.
const RESTRICTED_AFTER: usize = 2;
/// What a target that ends in a trial says against the only restricted subject of the request.
const SOLE_BLAME: u32 = 2;
/// The same against each of several restricted subjects.
const SHARED_BLAME: u32 = 1;
/// Blame at which a subject is closed.
const CLOSED_AT_BLAME: u32 = 4;
/// The same for one that was answered shortly before: other requests with it are sound.
const CLOSED_AT_BLAME_TRUSTED: u32 = 8;
/// Time for which a subject is closed.
pub const CLOSED_MS: u64 = 10 * 60_000;
/// Time for which a death counts.
const DEATH_COUNTS_MS: u64 = 10 * 60_000;
/// A subject that was answered so recently before is not restricted by targets that ended together: they
/// may have had a cause in common.
const TRUSTED_MS: u64 = 60_000;
/// Time for which a trial may last without a result.
const TRIAL_MS: u64 = 5_000;
/// Upper bound of deaths that are kept of one subject.
const MAX_DEATHS: usize = 8;
/// Upper bound of subjects. The one that changed the longest ago is dropped first, closed ones last.
pub const MAX_SUBJECTS: usize = 1_024;

/// Announcements of a target after a connection to it broke that show that it has not ended: one may have been
/// under way.
const ALIVE_ANNOUNCEMENTS: u8 = 2;

#[derive(Clone, Debug, PartialEq, Eq)]
struct KnownDeath {
    life: TargetLife,
    sent_ms: u64,
    broke_ms: u64,
    /// What it says against the subject, if it was the end of a trial.
    blame: u32,
    /// Announcements of this incarnation that came later.
    announcements: u8,
}

#[derive(Clone, Debug)]
struct Trial {
    router: DaemonId,
    target: TargetLife,
    /// The other restricted subjects of the request, which may be to blame as well.
    with: Vec<Subject>,
    until_ms: u64,
}

impl Trial {
    /// What the end of the target says against the subject.
    fn blame(&self) -> u32 {
        if self.with.is_empty() { SOLE_BLAME } else { SHARED_BLAME }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    subject: Subject,
    /// Since the last answer, sorted by the time of the break.
    deaths: Vec<KnownDeath>,
    /// When the last answer began.
    answered_ms: Option<u64>,
    closed_until_ms: Option<u64>,
    /// The other suspects of the trial that closed it.
    closed_with: Vec<Subject>,
    trial: Option<Trial>,
    changed_ms: u64,
}

impl Entry {
    fn new(subject: Subject) -> Self {
        Self {
            subject,
            deaths: Vec::new(),
            answered_ms: None,
            closed_until_ms: None,
            closed_with: Vec::new(),
            trial: None,
            changed_ms: 0,
        }
    }

    /// Targets that ended one after the other: a request was sent only after the one before had broken.
    fn successive_deaths(&self) -> usize {
        let mut last_ms = None;
        let mut count = 0;
        for death in &self.deaths {
            if last_ms.is_none_or(|last_ms| death.sent_ms >= last_ms) {
                count += 1;
                last_ms = Some(death.broke_ms);
            }
        }
        count
    }

    /// Whether an answer began shortly before the first death.
    fn is_trusted(&self) -> bool {
        let Some(first) = self.deaths.first() else { return true };
        self.answered_ms.is_some_and(|at_ms| first.sent_ms < at_ms + TRUSTED_MS)
    }

    fn standing(&self, now_ms: u64) -> Standing {
        if let Some(until_ms) = self.closed_until_ms.filter(|until_ms| now_ms < *until_ms) {
            return Standing::Closed { until_ms };
        }
        let count = match self.is_trusted() {
            true => self.successive_deaths(),
            false => self.deaths.len(),
        };
        if count >= RESTRICTED_AFTER { Standing::Restricted } else { Standing::Clear }
    }

    fn is_tried(&self, now_ms: u64) -> bool {
        self.trial.as_ref().is_some_and(|trial| now_ms < trial.until_ms)
    }

    /// Records a death. Returns whether it is new.
    fn add_death(&mut self, death: KnownDeath) -> bool {
        if self.deaths.iter().any(|known| known.life == death.life) {
            return false;
        }
        let at = self.deaths.partition_point(|known| known.broke_ms <= death.broke_ms);
        self.deaths.insert(at, death);
        if self.deaths.len() > MAX_DEATHS {
            self.deaths.remove(0);
        }
        true
    }

    fn record_death(&mut self, now_ms: u64, from: &DaemonId, mut death: KnownDeath) {
        let is_of_trial = |trial: &mut Trial| trial.router == *from && trial.target == death.life;
        let trial = self.trial.take_if(is_of_trial);
        death.blame = trial.as_ref().map_or(0, Trial::blame);
        let is_new = self.add_death(death);
        if let Some(trial) = trial.filter(|_| is_new && self.is_to_blame()) {
            self.closed_until_ms = Some(now_ms + CLOSED_MS);
            self.closed_with = trial.with;
        }
    }

    /// Whether the trials since the last answer say enough to close the subject.
    fn is_to_blame(&self) -> bool {
        let limit = match self.is_trusted() {
            true => CLOSED_AT_BLAME_TRUSTED,
            false => CLOSED_AT_BLAME,
        };
        self.deaths.iter().map(|death| death.blame).sum::<u32>() >= limit
    }

    /// Takes an announcement of a target into account: an incarnation that goes on announcing itself has not
    /// ended, whatever became of a connection to it.
    fn record_announcement(&mut self, now_ms: u64, life: &TargetLife) {
        let before = self.deaths.len();
        let had_blame = self.deaths.iter().any(|death| death.blame > 0);
        for death in self.deaths.iter_mut().filter(|death| death.life == *life) {
            death.announcements += u8::from(now_ms > death.broke_ms);
        }
        self.deaths.retain(|death| death.announcements < ALIVE_ANNOUNCEMENTS);
        let is_reopened = self.deaths.is_empty() || (had_blame && !self.is_to_blame());
        if self.deaths.len() < before && is_reopened {
            self.closed_until_ms = None;
        }
    }

    /// An answer clears the deaths under requests that were sent before it began.
    fn record_answer(&mut self, began_ms: u64) {
        self.answered_ms = self.answered_ms.max(Some(began_ms));
        let before = self.deaths.len();
        self.deaths.retain(|death| death.sent_ms > began_ms);
        if self.deaths.len() < before {
            self.trial = None;
        }
        if self.deaths.is_empty() {
            self.closed_until_ms = None;
        }
    }
}

/// The subjects that targets may have ended under, sorted.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: Vec<Entry>,
}

impl Registry {
    /// The registry of a daemon that was told this by the leader.
    pub fn from_statements(now_ms: u64, statements: &[Statement]) -> Self {
        let mut registry = Self::default();
        for statement in statements {
            registry.inherit(now_ms, statement);
        }
        registry
    }

    /// Takes what a router saw. Returns whether the standing of the subject changed.
    pub fn record(&mut self, now_ms: u64, from: &DaemonId, observation: &Observation) -> bool {
        let Observation { subject, death, answer_age_ms, is_trial_over } = observation;
        if death.is_none() && self.find(subject).is_none() {
            return false;
        }
        let entry = self.entry(subject);
        let before = entry.standing(now_ms);
        if let Some(age_ms) = answer_age_ms {
            entry.record_answer(now_ms.saturating_sub(*age_ms));
        }
        if let Some(death) = death {
            entry.record_death(now_ms, from, known(now_ms, death));
        }
        let is_own = |trial: &Trial| trial.router == *from;
        if *is_trial_over && entry.trial.as_ref().is_some_and(is_own) {
            entry.trial = None;
        }
        entry.changed_ms = now_ms;
        let is_changed = entry.standing(now_ms) != before;
        self.forget(now_ms);
        is_changed
    }

    /// Takes into account that an incarnation of a target has announced itself. Returns whether the standing of
    /// a subject changed.
    pub fn record_announcement(&mut self, now_ms: u64, life: &TargetLife) -> bool {
        let mut is_changed = false;
        for entry in &mut self.entries {
            let before = entry.standing(now_ms);
            entry.record_announcement(now_ms, life);
            is_changed |= entry.standing(now_ms) != before;
        }
        self.forget(now_ms);
        is_changed
    }

    /// Takes what an earlier leader told of a subject. Returns whether this is new.
    pub fn inherit(&mut self, now_ms: u64, statement: &Statement) -> bool {
        let entry = self.entry(&statement.subject);
        let before = entry.standing(now_ms);
        for death in &statement.deaths {
            entry.add_death(known(now_ms, death));
        }
        if let Some(age_ms) = statement.answer_age_ms {
            entry.answered_ms = entry.answered_ms.max(Some(now_ms.saturating_sub(age_ms)));
        }
        let closed_until_ms = statement.closed_for_ms.map(|for_ms| now_ms + for_ms);
        if closed_until_ms > entry.closed_until_ms {
            entry.closed_until_ms = closed_until_ms;
            entry.closed_with.clone_from(&statement.closed_with);
        }
        entry.changed_ms = now_ms;
        let is_changed = entry.standing(now_ms) != before;
        self.forget(now_ms);
        is_changed
    }

    /// Decides whether a router may send a request now.
    pub fn permit(&mut self, now_ms: u64, from: &DaemonId, wanted: &Wanted) -> Permission {
        let Wanted { subjects, target } = wanted;
        let mut restricted = Vec::new();
        for subject in subjects {
            match self.standing(now_ms, subject) {
                Standing::Clear => {}
                Standing::Closed { until_ms } if self.is_same_case(subject, subjects) => {
                    return Permission::Closed { for_ms: until_ms - now_ms };
                }
                Standing::Restricted | Standing::Closed { .. } => restricted.push(subject),
            }
        }
        if restricted.is_empty() {
            return Permission::Free;
        }
        let is_tried = |subject: &&Subject| self.find(subject).is_some_and(|e| e.is_tried(now_ms));
        if restricted.iter().any(is_tried) || self.has_trial_at(now_ms, target) {
            return Permission::Wait;
        }
        for subject in &restricted {
            let others = restricted.iter().copied().filter(|other| other != subject);
            let with = others.cloned().collect();
            self.entry(subject).trial = Some(Trial {
                router: from.clone(),
                target: target.clone(),
                with,
                until_ms: now_ms + TRIAL_MS,
            });
        }
        Permission::Trial
    }

    /// Whether a request has all suspects of the trial that closed `subject`, but for those that an answer has
    /// cleared since.
    fn is_same_case(&self, subject: &Subject, subjects: &[Subject]) -> bool {
        let Some(entry) = self.find(subject) else { return false };
        let mut suspects = entry.closed_with.iter().filter(|other| self.find(other).is_some());
        suspects.all(|other| subjects.contains(other))
    }

    fn has_trial_at(&self, now_ms: u64, target: &TargetLife) -> bool {
        let mut tried = self.entries.iter().filter(|entry| entry.is_tried(now_ms));
        tried.any(|entry| entry.trial.as_ref().is_some_and(|trial| trial.target == *target))
    }

    /// How requests with a subject are treated.
    pub fn standing(&self, now_ms: u64, subject: &Subject) -> Standing {
        self.find(subject).map_or(Standing::Clear, |entry| entry.standing(now_ms))
    }

    /// Targets that may have ended under a subject since it was last answered.
    pub fn deaths(&self, subject: &Subject) -> usize {
        self.find(subject).map_or(0, |entry| entry.deaths.len())
    }

    /// What is known of all subjects that are restricted or closed, for other daemons.
    pub fn statements(&self, now_ms: u64) -> Vec<Statement> {
        let suspect = self.entries.iter().filter(|e| e.standing(now_ms) != Standing::Clear);
        suspect.map(|entry| statement(now_ms, entry)).collect()
    }

    /// Number of subjects that are closed.
    pub fn closed(&self, now_ms: u64) -> usize {
        let is_closed = |entry: &&Entry| matches!(entry.standing(now_ms), Standing::Closed { .. });
        self.entries.iter().filter(is_closed).count()
    }

    /// Number of subjects that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no subject is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn place(&self, subject: &Subject) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.subject.cmp(subject))
    }

    fn find(&self, subject: &Subject) -> Option<&Entry> {
        Some(&self.entries[self.place(subject).ok()?])
    }

    fn entry(&mut self, subject: &Subject) -> &mut Entry {
        let at = match self.place(subject) {
            Ok(at) => at,
            Err(at) => {
                self.entries.insert(at, Entry::new(subject.clone()));
                at
            }
        };
        &mut self.entries[at]
    }

    /// Drops what no longer counts, and the oldest subjects beyond the bound.
    fn forget(&mut self, now_ms: u64) {
        self.entries.retain_mut(|entry| {
            let is_closed = matches!(entry.standing(now_ms), Standing::Closed { .. });
            let counts = |death: &KnownDeath| now_ms < death.broke_ms + DEATH_COUNTS_MS;
            entry.deaths.retain(|death| is_closed || counts(death));
            is_closed || !entry.deaths.is_empty()
        });
        if self.entries.len() > MAX_SUBJECTS {
            let age = |entry: &Entry| (entry.closed_until_ms.is_some(), entry.changed_ms);
            let oldest = (0..self.entries.len()).min_by_key(|at| age(&self.entries[*at]));
            oldest.map(|at| self.entries.remove(at));
        }
    }
}

fn known(now_ms: u64, death: &Death) -> KnownDeath {
    KnownDeath {
        life: death.life.clone(),
        sent_ms: now_ms.saturating_sub(death.sent_age_ms),
        broke_ms: now_ms.saturating_sub(death.broke_age_ms),
        blame: 0,
        announcements: 0,
    }
}

fn statement(now_ms: u64, entry: &Entry) -> Statement {
    let deaths = entry.deaths.iter().map(|death| Death {
        life: death.life.clone(),
        sent_age_ms: now_ms.saturating_sub(death.sent_ms),
        broke_age_ms: now_ms.saturating_sub(death.broke_ms),
    });
    Statement {
        subject: entry.subject.clone(),
        deaths: deaths.collect(),
        answer_age_ms: entry.answered_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
        closed_for_ms: entry
            .closed_until_ms
            .and_then(|until_ms| until_ms.checked_sub(now_ms))
            .filter(|for_ms| *for_ms > 0),
        closed_with: entry.closed_with.clone(),
    }
}
