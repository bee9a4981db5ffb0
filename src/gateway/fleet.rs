//! The targets as one router sees them, and the choice among them.
//!
//! Load at its worst: a wave of requests for one model at all routers at once, beside targets that
//! have just died, hang, or answer with errors.

use crate::coordinator::loads;
use crate::gateway::gates::{Gate, Gates};
use crate::ids::{Incarnation, ModelRef, ServiceName, TargetId, Zone};
use crate::membership::table::{Standing, TargetEntry};
use crate::placement::swap::demand::RunningRequests;

/// Time for which a target that failed once is avoided; it doubles with each failure.
const AVOID_MS: u64 = 400;
/// Longest time for which a target is avoided.
const MAX_AVOID_MS: u64 = 5_000;
/// How long a target's word that it lacks a model counts against tables that show the model there: a
/// few announcements of the target.
const LACKING_MS: u64 = 1_500;
/// What another availability zone costs, as a part of one request in flight per slot.
const ZONE_COST: f64 = 0.6;
/// What each recent failure costs, on the same scale.
const FAILURE_COST: f64 = 2.0;
/// Requests of one conversation that a target is remembered for.
const MAX_REMEMBERED: usize = 512;
/// Prompt tokens that a target has still to read and that weigh as much as one request in flight:
/// reading them holds up the events of all that it runs.
const TOKENS_AS_REQUEST: f64 = 600.0;
/// Loads that differ by less than this are taken for equal: what other routers sent lately is not
/// known yet.
const SPREAD: f64 = 1.2;
/// Routers come back to a target spread over this part of the time that it asked to be left alone.
const REOPEN_SPREAD: f64 = 0.1;
/// The longest such spread.
const MAX_REOPEN_SPREAD_MS: f64 = 500.0;
/// What a cached beginning of the prompt is worth, on the same scale.
const CACHED_GAIN: f64 = 1.5;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model or adapter, at a model engine.
    pub model: Option<&'a ModelRef>,
    /// Names the beginning of its prompt, by which a target may have it cached.
    pub prompt: Option<u64>,
    /// Targets that failed it.
    pub avoid: &'a [TargetId],
    /// Spreads routers that see the same loads over different targets.
    pub salt: u64,
}

/// The outcome of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The target at this place.
    Target(usize),
    /// All targets that could serve it are full.
    Full,
    /// All targets that could serve it asked to be left alone.
    Paused {
        /// When the first of them opens.
        opens_ms: u64,
    },
    /// No target holds the model.
    NoReplica,
    /// The service has no targets.
    NoTarget,
}

/// A target and what this router knows of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// What the leader tells.
    pub entry: TargetEntry,
    /// Requests of this router, by model.
    running: Vec<(Option<ModelRef>, u32)>,
    own: u32,
    /// Requests of all other routers, as last told.
    others: u32,
    /// Prompt tokens of this router's requests that have no first event yet.
    unread_tokens: u64,
    failures: u32,
    avoid_until_ms: u64,
    /// Models that it said it lacks while the table shows them, and until when that counts.
    lacking: Vec<(ModelRef, u64)>,
}

impl Target {
    fn new(entry: TargetEntry) -> Self {
        Self {
            entry,
            running: Vec::new(),
            own: 0,
            others: 0,
            unread_tokens: 0,
            failures: 0,
            avoid_until_ms: 0,
            lacking: Vec::new(),
        }
    }

    /// Requests in flight, over all routers as far as known.
    pub fn in_flight(&self) -> u32 {
        self.own + self.others
    }

    fn serves(&self, service: &ServiceName) -> bool {
        self.entry.services.first() == Some(service)
    }

    fn is_shown_with(&self, model: &ModelRef) -> bool {
        self.entry.replicas.binary_search_by(|replica| replica.model.cmp(model)).is_ok()
    }

    fn holds(&self, now_ms: u64, model: &ModelRef) -> bool {
        let said_no =
            |(lacking, until_ms): &(ModelRef, u64)| lacking == model && now_ms < *until_ms;
        self.is_shown_with(model) && !self.lacking.iter().any(said_no)
    }

    /// Takes a newer entry of the same life. What it no longer shows may be loaded again.
    fn set_entry(&mut self, entry: &TargetEntry) {
        self.entry = entry.clone();
        let lacking = std::mem::take(&mut self.lacking);
        self.lacking = lacking.into_iter().filter(|(model, _)| self.is_shown_with(model)).collect();
    }

    fn has_room(&self) -> bool {
        self.in_flight() < self.entry.slots.max(1)
    }
}

/// The targets of one router.
#[derive(Clone, Debug)]
pub struct Fleet {
    zone: Zone,
    /// Sorted by id.
    targets: Vec<Target>,
    /// Which target last read a prompt that begins so, oldest first.
    prompts: std::collections::VecDeque<(u64, TargetId)>,
    totals: loads::LoadTotals,
    gates: Gates,
}

impl Fleet {
    /// No targets, seen from `zone`.
    pub fn new(zone: Zone) -> Self {
        let prompts = std::collections::VecDeque::new();
        let (totals, gates) = (loads::LoadTotals::default(), Gates::default());
        Self { zone, targets: Vec::new(), prompts, totals, gates }
    }

    /// The targets, sorted by id.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// The target at a place that [`Fleet::choose`] gave.
    pub fn target(&self, place: usize) -> &Target {
        &self.targets[place]
    }

    /// Takes the entries of the route table, and keeps what is known of targets that stay.
    pub fn set_entries(&mut self, entries: &[TargetEntry]) {
        let mut old = std::mem::take(&mut self.targets);
        for entry in entries {
            let known = old.iter().position(|target| {
                target.entry.target == entry.target && target.entry.incarnation == entry.incarnation
            });
            let mut target = match known {
                Some(at) => old.swap_remove(at),
                None => Target::new(entry.clone()),
            };
            target.set_entry(entry);
            self.targets.push(target);
        }
        self.targets.sort_unstable_by(|a, b| a.entry.target.cmp(&b.entry.target));
    }

    /// Takes what changed in the requests at each target over all routers.
    pub fn take_totals(&mut self, changes: &loads::LoadChanges) {
        self.totals.apply(changes);
        let totals = self.totals.all();
        for target in &mut self.targets {
            let told = totals.binary_search_by(|(id, _)| id.cmp(&target.entry.target));
            let total = told.map_or(0, |at| totals[at].1);
            target.others = total.saturating_sub(target.own);
        }
    }

    fn place(&self, target: &TargetId) -> Option<usize> {
        self.targets.binary_search_by(|known| known.entry.target.cmp(target)).ok()
    }

    /// Chooses a target for a request.
    pub fn choose(&self, now_ms: u64, wish: &Wish<'_>) -> Choice {
        let mut best: Option<(f64, usize)> = None;
        let (mut has_target, mut has_replica) = (false, false);
        let mut opens_ms: Option<u64> = None;
        for (at, target) in self.targets.iter().enumerate() {
            if !target.serves(wish.service) || self.is_leaving(&target.entry) {
                continue;
            }
            has_target = true;
            if wish.model.is_some_and(|model| !target.holds(now_ms, model)) {
                continue;
            }
            let gate = self.gates.of(now_ms, &target.entry.target, target.entry.incarnation);
            if let Gate::Paused { until_ms } = gate {
                opens_ms = Some(opens_ms.map_or(until_ms, |first_ms| first_ms.min(until_ms)));
                continue;
            }
            has_replica = true;
            if !target.has_room() || gate == (Gate::Reopening { credits: 0 }) {
                continue;
            }
            let cost = self.cost(now_ms, target, wish);
            if best.is_none_or(|(best_cost, _)| cost < best_cost) {
                best = Some((cost, at));
            }
        }
        match (best, opens_ms) {
            (Some((_, at)), _) => Choice::Target(at),
            (None, _) if has_replica => Choice::Full,
            (None, Some(opens_ms)) => Choice::Paused { opens_ms },
            (None, None) if has_target => Choice::NoReplica,
            (None, None) => Choice::NoTarget,
        }
    }

    /// Whether a target leaves, by the table or by its own word.
    fn is_leaving(&self, entry: &TargetEntry) -> bool {
        entry.standing == Standing::Leaving
            || self.gates.is_leaving(&entry.target, entry.incarnation)
    }

    /// Whether a target that was chosen may still be sent something: it may have said meanwhile that
    /// it wants nothing more.
    pub fn may_send(&self, now_ms: u64, target: &TargetId, life: Incarnation) -> bool {
        let is_shown_leaving = self.place(target).is_some_and(|at| {
            let entry = &self.targets[at].entry;
            entry.incarnation == life && entry.standing == Standing::Leaving
        });
        match self.gates.of(now_ms, target, life) {
            Gate::Open | Gate::Reopening { .. } => !is_shown_leaving,
            Gate::Leaving | Gate::Paused { .. } => false,
        }
    }

    /// A target asked to be left alone. Returns whether that is new.
    pub fn pauses(
        &mut self,
        now_ms: u64,
        target: &TargetId,
        life: Incarnation,
        pause_ms: u64,
        salt: u64,
    ) -> bool {
        let spread_ms = (pause_ms as f64 * REOPEN_SPREAD).min(MAX_REOPEN_SPREAD_MS);
        let later_ms = spread_ms * share(target.as_str(), salt);
        self.gates.pauses(target, life, now_ms + pause_ms + later_ms as u64)
    }

    /// Targets of a service that take nothing now by their own word, whatever the table shows.
    pub fn closed(&self, now_ms: u64, service: &ServiceName) -> usize {
        if self.gates.is_empty() {
            return 0;
        }
        let of_service = self.targets.iter().filter(|target| target.serves(service));
        let is_closed = |target: &&Target| {
            let gate = self.gates.of(now_ms, &target.entry.target, target.entry.incarnation);
            matches!(gate, Gate::Leaving | Gate::Paused { .. })
        };
        of_service.filter(is_closed).count()
    }

    /// A target answered a request that was given to it at `begun_ms`.
    pub fn answered(&mut self, begun_ms: u64, target: &TargetId, life: Incarnation) {
        self.gates.answered(begun_ms, target, life);
    }

    /// A target said in an answer that it leaves. Returns whether that is new.
    pub fn leaves(&mut self, target: &TargetId, life: Incarnation) -> bool {
        self.gates.leaves(target, life)
    }

    /// Targets that said themselves that they leave and that the table does not show so.
    pub fn unshown_leaving(&self) -> Vec<(TargetId, Incarnation)> {
        let is_unshown = |target: &TargetId, life| {
            self.place(target).is_some_and(|at| {
                let entry = &self.targets[at].entry;
                entry.incarnation == life && entry.standing != Standing::Leaving
            })
        };
        let leaving = self.gates.leaving().filter(|(target, life)| is_unshown(target, *life));
        leaving.map(|(target, life)| (target.clone(), life)).collect()
    }

    /// Whether another target than `target` could take the request.
    pub fn has_other(&self, now_ms: u64, wish: &Wish<'_>, target: &TargetId) -> bool {
        match self.choose(now_ms, wish) {
            Choice::Target(at) => self.targets[at].entry.target != *target,
            Choice::Full | Choice::Paused { .. } | Choice::NoReplica | Choice::NoTarget => false,
        }
    }

    fn cost(&self, now_ms: u64, target: &Target, wish: &Wish<'_>) -> f64 {
        let entry = &target.entry;
        let mut cost = f64::from(target.in_flight());
        cost += target.unread_tokens as f64 / TOKENS_AS_REQUEST;
        cost += SPREAD * share(entry.target.as_str(), wish.salt);
        if entry.availability_zone != self.zone {
            cost += ZONE_COST;
        }
        cost += f64::from(target.failures) * FAILURE_COST;
        let is_avoided = wish.avoid.contains(&entry.target);
        let is_doubtful = entry.standing == Standing::Suspect || now_ms < target.avoid_until_ms;
        // Any target that is neither avoided nor doubtful goes before all that are.
        let last = f64::from(entry.slots.max(1)) * 4.0 + 1_000.0;
        cost += last * f64::from(u32::from(is_doubtful) + 2 * u32::from(is_avoided));
        let is_cached = |prompt| self.prompts.contains(&(prompt, entry.target.clone()));
        if wish.prompt.is_some_and(is_cached) {
            cost -= CACHED_GAIN;
        }
        cost
    }

    /// A request with a prompt of this many tokens was sent to a target.
    pub fn begin(&mut self, now_ms: u64, place: usize, model: Option<&ModelRef>, tokens: u64) {
        let target = &mut self.targets[place];
        self.gates.begin(now_ms, &target.entry.target, target.entry.incarnation);
        target.own += 1;
        target.unread_tokens += tokens;
        match target.running.iter_mut().find(|(known, _)| known.as_ref() == model) {
            Some((_, count)) => *count += 1,
            None => target.running.push((model.cloned(), 1)),
        }
    }

    /// A target has read a prompt of this many tokens, or will not.
    pub fn read(&mut self, target: &TargetId, life: Incarnation, tokens: u64) {
        let Some(at) = self.place(target) else { return };
        let target = &mut self.targets[at];
        if target.entry.incarnation == life {
            target.unread_tokens = target.unread_tokens.saturating_sub(tokens);
        }
    }

    /// A request of a target has ended.
    pub fn end(&mut self, target: &TargetId, life: Incarnation, model: Option<&ModelRef>) {
        let Some(at) = self.place(target) else { return };
        let target = &mut self.targets[at];
        if target.entry.incarnation != life {
            return;
        }
        target.own = target.own.saturating_sub(1);
        if let Some((_, count)) = target.running.iter_mut().find(|(m, _)| m.as_ref() == model) {
            *count = count.saturating_sub(1);
        }
        target.running.retain(|(_, count)| *count > 0);
    }

    /// A request that was given to a target at `begun_ms` had no answer.
    pub fn unanswered(&mut self, begun_ms: u64, target: &TargetId, life: Incarnation) {
        self.gates.failed(begun_ms, target, life);
    }

    /// A target answered.
    pub fn succeeded(&mut self, target: &TargetId) {
        if let Some(at) = self.place(target) {
            self.targets[at].failures = 0;
            self.targets[at].avoid_until_ms = 0;
        }
    }

    /// A target failed a request.
    pub fn failed(&mut self, now_ms: u64, target: &TargetId) {
        let Some(at) = self.place(target) else { return };
        let target = &mut self.targets[at];
        let avoid_ms = (AVOID_MS << target.failures.min(8)).min(MAX_AVOID_MS);
        target.failures = (target.failures + 1).min(8);
        target.avoid_until_ms = now_ms + avoid_ms;
    }

    /// A target said that it does not hold a model that the table shows.
    pub fn lacks(&mut self, now_ms: u64, target: &TargetId, model: &ModelRef) {
        let Some(at) = self.place(target) else { return };
        let lacking = &mut self.targets[at].lacking;
        lacking.retain(|(known, until_ms)| known != model && now_ms < *until_ms);
        lacking.push((model.clone(), now_ms + LACKING_MS));
    }

    /// Remembers that a target read a prompt that begins so.
    pub fn remember(&mut self, prompt: u64, target: &TargetId) {
        self.prompts.retain(|(known, at)| *known != prompt || at != target);
        self.prompts.push_back((prompt, target.clone()));
        if self.prompts.len() > MAX_REMEMBERED {
            self.prompts.pop_front();
        }
    }

    /// What runs at each target.
    pub fn running(&self) -> Vec<RunningRequests> {
        let all = self.targets.iter().flat_map(|target| {
            target.running.iter().map(|(model, count)| RunningRequests {
                target: target.entry.target.clone(),
                model: model.clone(),
                count: *count,
            })
        });
        all.collect()
    }
}

/// A number from 0 to 1 that differs by target and salt.
fn share(target: &str, salt: u64) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(target.as_bytes(), salt);
    (hash >> 32) as f64 / f64::from(u32::MAX)
}
