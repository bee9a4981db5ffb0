//! The leader's directory of targets, merged from the reports of all home daemons.

use crate::control::departures::Departure;
use crate::ids::{DaemonId, Incarnation, TargetId};
use crate::membership::table::{Replica, Standing, TableChange, TargetEntry};
use crate::membership::targets::TargetReport;
use crate::target::order;

/// Time within which another daemon must report a target after its home daemon was lost. A new
/// leader grants the same time to the targets that it knows from its own route table.
pub const ADOPTION_TIMEOUT_MS: u64 = 4_000;

/// Looks up the recorded departure of one incarnation of a target.
pub type DepartureLookup<'a> = &'a dyn Fn(&TargetId, Incarnation) -> Option<Departure>;

/// An effect of a change in the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryEffect {
    /// The route table changes.
    Table(TableChange),
    /// Placement has to process the new state of a target.
    State(Box<order::State>),
    /// Placement has to process the end of an incarnation of a target.
    Gone(TargetId, Incarnation),
}

#[derive(Clone, Debug)]
struct KnownTarget {
    entry: TargetEntry,
    sequence: u64,
    home: Option<DaemonId>,
    /// The time by which a daemon must report the target; otherwise it is removed.
    adopt_by_ms: Option<u64>,
    is_drained: bool,
    standing: Standing,
}

impl KnownTarget {
    fn key(&self) -> (Incarnation, u64) {
        (self.entry.incarnation, self.sequence)
    }
}

/// The targets, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct TargetDirectory {
    known: Vec<KnownTarget>,
}

impl TargetDirectory {
    /// Builds the directory of a new leader from its route table, so that no router loses its
    /// targets. Targets that no daemon confirms in time are removed. The table may be older than
    /// the recorded departures.
    pub fn from_entries(
        now_ms: u64,
        entries: &[TargetEntry],
        find_departure: DepartureLookup<'_>,
    ) -> Self {
        let known =
            entries.iter().filter_map(|entry| inherit_entry(entry, find_departure)).map(|entry| {
                KnownTarget {
                    sequence: 0,
                    home: None,
                    adopt_by_ms: Some(now_ms + ADOPTION_TIMEOUT_MS),
                    is_drained: false,
                    standing: entry.standing,
                    entry,
                }
            });
        Self { known: known.collect() }
    }

    /// Processes the report of a home daemon.
    pub fn report(&mut self, from: &DaemonId, report: TargetReport) -> Vec<DirectoryEffect> {
        match report {
            TargetReport::State(state, standing) => self.handle_state(from, *state, standing),
            TargetReport::Gone(target, incarnation) => {
                self.handle_target_loss(from, &target, incarnation)
            }
        }
    }

    /// Handles the loss of a daemon: other daemons must report its targets within
    /// [`ADOPTION_TIMEOUT_MS`].
    pub fn handle_daemon_loss(&mut self, now_ms: u64, daemon: &DaemonId) {
        for known in self.known.iter_mut().filter(|known| known.home.as_ref() == Some(daemon)) {
            known.home = None;
            known.adopt_by_ms = Some(now_ms + ADOPTION_TIMEOUT_MS);
        }
    }

    /// Sets which targets an operator has drained.
    pub fn set_drained(
        &mut self,
        is_drained: impl Fn(&TargetEntry) -> bool,
    ) -> Vec<DirectoryEffect> {
        let changed = self.known.iter_mut().filter_map(|known| {
            let is_drained = is_drained(&known.entry);
            set_entry_drained(known, is_drained)
        });
        changed.collect()
    }

    /// Sets whether an operator has drained one target.
    pub fn set_target_drained(
        &mut self,
        target: &TargetId,
        is_drained: bool,
    ) -> Option<DirectoryEffect> {
        let at = self.position(target).ok()?;
        set_entry_drained(&mut self.known[at], is_drained)
    }

    /// Marks an incarnation of a target as leaving after it reported this to a router.
    pub fn mark_leaving(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> Option<DirectoryEffect> {
        let at = self.position(target).ok()?;
        let known = &mut self.known[at];
        if known.entry.incarnation != incarnation {
            return None;
        }
        known.standing = Standing::Leaving;
        let is_drained = known.is_drained;
        set_entry_drained(known, is_drained)
    }

    /// Removes the targets that no daemon reported within [`ADOPTION_TIMEOUT_MS`].
    pub fn tick(&mut self, now_ms: u64) -> Vec<DirectoryEffect> {
        let is_lost = |known: &KnownTarget| known.adopt_by_ms.is_some_and(|by_ms| by_ms <= now_ms);
        let lost: Vec<KnownTarget> = self.known.extract_if(.., |known| is_lost(known)).collect();
        lost.into_iter().flat_map(|known| removal_effects(known.entry)).collect()
    }

    /// The entries as published to routers.
    pub fn entries(&self) -> Vec<TargetEntry> {
        self.known.iter().map(|known| known.entry.clone()).collect()
    }

    /// The entry of a target as published to routers.
    pub fn find(&self, target: &TargetId) -> Option<&TargetEntry> {
        Some(&self.known[self.position(target).ok()?].entry)
    }

    fn position(&self, target: &TargetId) -> Result<usize, usize> {
        self.known.binary_search_by(|known| known.entry.target.cmp(target))
    }

    fn handle_state(
        &mut self,
        from: &DaemonId,
        state: order::State,
        standing: Standing,
    ) -> Vec<DirectoryEffect> {
        let position = self.position(&state.target);
        let mut is_drained = false;
        let mut effects = Vec::new();
        if let Ok(at) = position {
            let known = &self.known[at];
            let key = (state.incarnation, state.sequence);
            if key < known.key() {
                return effects;
            }
            is_drained = known.is_drained;
            if state.incarnation > known.entry.incarnation {
                effects.push(DirectoryEffect::Gone(state.target.clone(), known.entry.incarnation));
            }
        }
        let known = KnownTarget {
            entry: entry_from_state(&state, effective_standing(standing, is_drained)),
            sequence: state.sequence,
            home: Some(from.clone()),
            adopt_by_ms: None,
            is_drained,
            standing,
        };
        let is_same_entry = position.is_ok_and(|at| self.known[at].entry == known.entry);
        if !is_same_entry {
            effects.push(DirectoryEffect::Table(TableChange::Put(known.entry.clone())));
        }
        effects.push(DirectoryEffect::State(Box::new(state)));
        match position {
            Ok(at) => self.known[at] = known,
            Err(at) => self.known.insert(at, known),
        }
        effects
    }

    fn handle_target_loss(
        &mut self,
        from: &DaemonId,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> Vec<DirectoryEffect> {
        let Ok(at) = self.position(target) else { return Vec::new() };
        let known = &self.known[at];
        // A daemon that no longer monitors the target must not remove it.
        let is_home = known.home.as_ref().is_none_or(|home| home == from);
        if !is_home || known.entry.incarnation != incarnation {
            return Vec::new();
        }
        removal_effects(self.known.remove(at).entry)
    }
}

/// Returns an entry as a new leader inherits it, or `None` if that incarnation has ended.
fn inherit_entry(entry: &TargetEntry, find_departure: DepartureLookup<'_>) -> Option<TargetEntry> {
    let known = find_departure(&entry.target, entry.incarnation);
    let standing = match known {
        Some(Departure::Gone) => None,
        Some(Departure::Leaving) => Some(Standing::Leaving),
        None => Some(entry.standing),
    };
    if standing != Some(Standing::Up) {
        let TargetEntry { target, incarnation, standing: previous, .. } = entry;
        log::info!(
            "target {target}, incarnation {incarnation}, known as {previous:?}, is inherited as \
             {standing:?}; on record: {known:?}"
        );
    }
    standing.map(|standing| TargetEntry { standing, ..entry.clone() })
}

/// Applies a recorded departure to a report. Returns `None` if that incarnation has ended.
pub fn apply_departure(
    report: TargetReport,
    find_departure: DepartureLookup<'_>,
) -> Option<TargetReport> {
    let TargetReport::State(mut state, standing) = report else { return Some(report) };
    match find_departure(&state.target, state.incarnation) {
        None => Some(TargetReport::State(state, standing)),
        Some(Departure::Leaving) => {
            state.leaving = true;
            Some(TargetReport::State(state, Standing::Leaving))
        }
        Some(Departure::Gone) => {
            let order::State { target, incarnation, sequence, .. } = &*state;
            log::info!(
                "announcement {sequence} of target {target}, incarnation {incarnation}, changes nothing; \
                 on record: it is gone"
            );
            None
        }
    }
}

fn removal_effects(entry: TargetEntry) -> Vec<DirectoryEffect> {
    let gone = DirectoryEffect::Gone(entry.target.clone(), entry.incarnation);
    vec![DirectoryEffect::Table(TableChange::Remove(entry.target)), gone]
}

fn set_entry_drained(known: &mut KnownTarget, is_drained: bool) -> Option<DirectoryEffect> {
    known.is_drained = is_drained;
    let standing = effective_standing(known.standing, is_drained);
    if known.entry.standing == standing {
        return None;
    }
    known.entry.standing = standing;
    Some(DirectoryEffect::Table(TableChange::Put(known.entry.clone())))
}

fn effective_standing(standing: Standing, is_drained: bool) -> Standing {
    if is_drained { Standing::Leaving } else { standing }
}

fn entry_from_state(state: &order::State, standing: Standing) -> TargetEntry {
    let ready = state.holds.iter().filter(|held| held.phase == order::Phase::Loaded);
    let mut replicas: Vec<Replica> = ready
        .map(|held| Replica { model: held.model.clone(), version: held.version.clone() })
        .collect();
    replicas.sort_unstable();
    let mut services = state.services.clone();
    services.sort_unstable();
    TargetEntry {
        target: state.target.clone(),
        incarnation: state.incarnation,
        software: state.software.clone(),
        kind: state.kind,
        availability_zone: state.availability_zone.clone(),
        address: state.address,
        standing,
        slots: state.load.slots,
        replicas,
        services,
    }
}
