//! The leader's directory of targets: it joins the reports of all home daemons.

use crate::control::departures::Departure;
use crate::ids::{DaemonId, Incarnation, TargetId};
use crate::membership::table::{Change, Entry, Replica, Standing};
use crate::membership::targets::Report;
use crate::target::order;

/// Time that a target has to be reported by another daemon after its home was lost, and that a
/// new leader gives to the targets which it knows from its own route table.
pub const ADOPTION_MS: u64 = 4_000;

/// Reads what is on record of a life of a target.
pub type Recorded<'a> = &'a dyn Fn(&TargetId, Incarnation) -> Option<Departure>;

/// What a report changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The route table changes.
    Table(Change),
    /// Placement learns the state of a target.
    State(Box<order::State>),
    /// Placement learns that a life of a target has ended.
    Gone(TargetId, Incarnation),
}

#[derive(Clone, Debug)]
struct Known {
    entry: Entry,
    sequence: u64,
    home: Option<DaemonId>,
    /// Time by which some daemon must have reported it.
    adopt_by_ms: Option<u64>,
    is_drained: bool,
    standing: Standing,
}

impl Known {
    fn key(&self) -> (Incarnation, u64) {
        (self.entry.incarnation, self.sequence)
    }
}

/// The targets, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    known: Vec<Known>,
}

impl Directory {
    /// The directory of a new leader: it starts from the route table that it has, so that no
    /// router loses its targets, and drops what nobody confirms. The table may be older than what is
    /// on record of targets that leave.
    pub fn adopt(now_ms: u64, entries: &[Entry], recorded: Recorded<'_>) -> Self {
        let known =
            entries.iter().filter_map(|entry| inherit(entry, recorded)).map(|entry| Known {
                sequence: 0,
                home: None,
                adopt_by_ms: Some(now_ms + ADOPTION_MS),
                is_drained: false,
                standing: entry.standing,
                entry,
            });
        Self { known: known.collect() }
    }

    /// Takes the report of a home daemon.
    pub fn report(&mut self, from: &DaemonId, report: Report) -> Vec<Effect> {
        match report {
            Report::State(state, standing) => self.state(from, *state, standing),
            Report::Gone(target, incarnation) => self.gone(from, &target, incarnation),
        }
    }

    /// A daemon is gone: its targets must be reported by others within [`ADOPTION_MS`].
    pub fn daemon_gone(&mut self, now_ms: u64, daemon: &DaemonId) {
        for known in self.known.iter_mut().filter(|known| known.home.as_ref() == Some(daemon)) {
            known.home = None;
            known.adopt_by_ms = Some(now_ms + ADOPTION_MS);
        }
    }

    /// Sets which targets an operator has taken out.
    pub fn drain(&mut self, is_drained: impl Fn(&Entry) -> bool) -> Vec<Effect> {
        let changed = self.known.iter_mut().filter_map(|known| {
            let is_drained = is_drained(&known.entry);
            drain(known, is_drained)
        });
        changed.collect()
    }

    /// Sets whether an operator has taken out one target.
    pub fn drain_target(&mut self, target: &TargetId, is_drained: bool) -> Option<Effect> {
        let at = self.place(target).ok()?;
        drain(&mut self.known[at], is_drained)
    }

    /// A life of a target said to a router that it leaves.
    pub fn leaves(&mut self, target: &TargetId, life: Incarnation) -> Option<Effect> {
        let at = self.place(target).ok()?;
        let known = &mut self.known[at];
        if known.entry.incarnation != life {
            return None;
        }
        known.standing = Standing::Leaving;
        let is_drained = known.is_drained;
        drain(known, is_drained)
    }

    /// Drops targets that nobody adopted in time.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Effect> {
        let is_lost = |known: &Known| known.adopt_by_ms.is_some_and(|by_ms| by_ms <= now_ms);
        let lost: Vec<Known> = self.known.extract_if(.., |known| is_lost(known)).collect();
        lost.into_iter().flat_map(|known| removed(known.entry)).collect()
    }

    /// The entries as routers see them.
    pub fn entries(&self) -> Vec<Entry> {
        self.known.iter().map(|known| known.entry.clone()).collect()
    }

    fn place(&self, target: &TargetId) -> Result<usize, usize> {
        self.known.binary_search_by(|known| known.entry.target.cmp(target))
    }

    fn state(&mut self, from: &DaemonId, state: order::State, standing: Standing) -> Vec<Effect> {
        let place = self.place(&state.target);
        let mut is_drained = false;
        let mut effects = Vec::new();
        if let Ok(at) = place {
            let known = &self.known[at];
            let key = (state.incarnation, state.sequence);
            if key < known.key() {
                return effects;
            }
            is_drained = known.is_drained;
            if state.incarnation > known.entry.incarnation {
                effects.push(Effect::Gone(state.target.clone(), known.entry.incarnation));
            }
        }
        let known = Known {
            entry: entry(&state, shown(standing, is_drained)),
            sequence: state.sequence,
            home: Some(from.clone()),
            adopt_by_ms: None,
            is_drained,
            standing,
        };
        let is_same_entry = place.is_ok_and(|at| self.known[at].entry == known.entry);
        if !is_same_entry {
            effects.push(Effect::Table(Change::Put(known.entry.clone())));
        }
        effects.push(Effect::State(Box::new(state)));
        match place {
            Ok(at) => self.known[at] = known,
            Err(at) => self.known.insert(at, known),
        }
        effects
    }

    fn gone(&mut self, from: &DaemonId, target: &TargetId, life: Incarnation) -> Vec<Effect> {
        let Ok(at) = self.place(target) else { return Vec::new() };
        let known = &self.known[at];
        // A daemon that no longer watches the target must not end it.
        let is_home = known.home.as_ref().is_none_or(|home| home == from);
        if !is_home || known.entry.incarnation != life {
            return Vec::new();
        }
        removed(self.known.remove(at).entry)
    }
}

/// An entry as a new leader takes it over. `None`: that life of the target is over.
fn inherit(entry: &Entry, recorded: Recorded<'_>) -> Option<Entry> {
    let known = recorded(&entry.target, entry.incarnation);
    let standing = match known {
        Some(Departure::Gone) => None,
        Some(Departure::Leaving) => Some(Standing::Leaving),
        None => Some(entry.standing),
    };
    if standing != Some(Standing::Up) {
        let Entry { target, incarnation, standing: told, .. } = entry;
        log::info!(
            "target {target} of life {incarnation}, told as {told:?}, is inherited as \
             {standing:?}; on record: {known:?}"
        );
    }
    standing.map(|standing| Entry { standing, ..entry.clone() })
}

/// A report as it stands beside what is on record. `None`: that life of the target is over.
pub fn amend(report: Report, recorded: Recorded<'_>) -> Option<Report> {
    let Report::State(mut state, standing) = report else { return Some(report) };
    match recorded(&state.target, state.incarnation) {
        None => Some(Report::State(state, standing)),
        Some(Departure::Leaving) => {
            state.leaving = true;
            Some(Report::State(state, Standing::Leaving))
        }
        Some(Departure::Gone) => {
            let order::State { target, incarnation, sequence, .. } = &*state;
            log::info!(
                "announcement {sequence} of target {target}, life {incarnation}, changes nothing; \
                 on record: it is gone"
            );
            None
        }
    }
}

fn removed(entry: Entry) -> Vec<Effect> {
    let gone = Effect::Gone(entry.target.clone(), entry.incarnation);
    vec![Effect::Table(Change::Remove(entry.target)), gone]
}

fn drain(known: &mut Known, is_drained: bool) -> Option<Effect> {
    known.is_drained = is_drained;
    let standing = shown(known.standing, is_drained);
    if known.entry.standing == standing {
        return None;
    }
    known.entry.standing = standing;
    Some(Effect::Table(Change::Put(known.entry.clone())))
}

fn shown(standing: Standing, is_drained: bool) -> Standing {
    if is_drained { Standing::Leaving } else { standing }
}

fn entry(state: &order::State, standing: Standing) -> Entry {
    let ready = state.holds.iter().filter(|held| held.phase == order::Phase::Loaded);
    let mut replicas: Vec<Replica> = ready
        .map(|held| Replica { model: held.model.clone(), version: held.version.clone() })
        .collect();
    replicas.sort_unstable();
    let mut services = state.services.clone();
    services.sort_unstable();
    Entry {
        target: state.target.clone(),
        incarnation: state.incarnation,
        kind: state.kind,
        availability_zone: state.availability_zone.clone(),
        address: state.address,
        standing,
        slots: state.load.slots,
        replicas,
        services,
    }
}
