//! Failure detection for the targets of one daemon, from their announcements.

use crate::ids::{Incarnation, TargetId};
use crate::membership::table::Standing;
use crate::target::order;

/// Time for which a target that is gone stays known, so that its delayed announcements are
/// recognized as stale.
const REMEMBER_GONE_MS: u64 = 600_000;
/// Half-life of the penalty that a target collects each time it returns.
const PENALTY_HALF_LIFE_MS: f64 = 30_000.0;
/// Penalty above which a flapping target is damped: it stays [`Standing::Suspect`].
const DAMPING_START_PENALTY: f64 = 2.5;
/// Penalty at or below which a damped target is no longer damped.
const DAMPING_END_PENALTY: f64 = 1.2;

/// Timeouts after which a silent target is suspected and declared gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceTimeouts {
    /// Time without an announcement after which a target receives requests only if no other target
    /// can serve them.
    pub suspect_ms: u64,
    /// Time without an announcement after which a target is declared gone.
    pub dead_ms: u64,
}

impl Default for SilenceTimeouts {
    fn default() -> Self {
        Self { suspect_ms: 1_250, dead_ms: 2_500 }
    }
}

/// An input of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetEvent {
    /// A target announced itself.
    Announced(order::State),
    /// A target announced itself, and only the sequence number differs from its last announcement.
    Heartbeat(TargetId, Incarnation, u64),
    /// A target reported that it has left.
    Left(TargetId, Incarnation),
    /// Time has passed: the timeouts are checked.
    Tick,
}

/// A change of state that the home daemon reports to the leader.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum TargetReport {
    /// The target is new or its state differs. A difference in load alone is not reported.
    State(Box<order::State>, Standing),
    /// This incarnation of the target has ended.
    Gone(TargetId, Incarnation),
}

/// The response to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum AnnouncementOutcome {
    /// It is the newest one of this target.
    Accepted,
    /// It is delayed, repeated or of an earlier incarnation: nothing changed.
    Stale,
    /// This incarnation of the target is not known here: its full state is needed.
    Unknown,
}

#[derive(Clone, Debug)]
struct WatchedTarget {
    state: order::State,
    standing: Standing,
    heard_ms: u64,
    is_gone: bool,
    penalty: f64,
    penalty_ms: u64,
    is_damped: bool,
}

impl WatchedTarget {
    fn new(state: order::State, now_ms: u64) -> Self {
        let standing = if state.leaving { Standing::Leaving } else { Standing::Up };
        Self {
            state,
            standing,
            heard_ms: now_ms,
            is_gone: false,
            penalty: 0.0,
            penalty_ms: now_ms,
            is_damped: false,
        }
    }

    fn key(&self) -> (Incarnation, u64) {
        (self.state.incarnation, self.state.sequence)
    }

    fn decay(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.penalty_ms) as f64;
        self.penalty *= 0.5_f64.powf(age_ms / PENALTY_HALF_LIFE_MS);
        self.penalty_ms = now_ms;
        self.is_damped = match self.is_damped {
            true => self.penalty > DAMPING_END_PENALTY,
            false => self.penalty > DAMPING_START_PENALTY,
        };
    }

    fn count_return(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.penalty += 1.0;
        self.is_damped |= self.penalty > DAMPING_START_PENALTY;
    }

    fn standing_at(&self, now_ms: u64, settings: &SilenceTimeouts) -> Standing {
        let silence_ms = now_ms.saturating_sub(self.heard_ms);
        match () {
            () if self.state.leaving => Standing::Leaving,
            () if self.is_damped || silence_ms >= settings.suspect_ms => Standing::Suspect,
            () => Standing::Up,
        }
    }

    fn report(&self) -> TargetReport {
        match self.is_gone {
            true => TargetReport::Gone(self.state.target.clone(), self.state.incarnation),
            false => TargetReport::State(Box::new(self.state.clone()), self.standing),
        }
    }
}

/// The targets that one daemon monitors, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    settings: SilenceTimeouts,
    watched: Vec<WatchedTarget>,
}

impl TargetRegistry {
    /// Creates a registry without targets.
    pub fn new(settings: SilenceTimeouts) -> Self {
        Self { settings, watched: Vec::new() }
    }

    /// Processes an event and returns the changes of state to report.
    pub fn handle_event(
        &mut self,
        now_ms: u64,
        event: TargetEvent,
    ) -> (AnnouncementOutcome, Vec<TargetReport>) {
        match event {
            TargetEvent::Announced(state) => self.handle_announcement(now_ms, state),
            TargetEvent::Heartbeat(target, incarnation, sequence) => {
                self.handle_heartbeat(now_ms, &target, incarnation, sequence)
            }
            TargetEvent::Left(target, incarnation) => self.handle_departure(&target, incarnation),
            TargetEvent::Tick => (AnnouncementOutcome::Accepted, self.check_silence(now_ms)),
        }
    }

    /// Reports the state of every target that is not gone, for a leader that knows no targets.
    pub fn current_reports(&self) -> Vec<TargetReport> {
        self.watched.iter().filter(|w| !w.is_gone).map(WatchedTarget::report).collect()
    }

    /// Stops monitoring a target whose home is another daemon now. Nothing is reported.
    pub fn release(&mut self, target: &TargetId) {
        if let Ok(at) = self.position(target) {
            self.watched.remove(at);
        }
    }

    /// The number of targets monitored, those that are gone included.
    pub fn len(&self) -> usize {
        self.watched.len()
    }

    /// Whether no target is monitored.
    pub fn is_empty(&self) -> bool {
        self.watched.is_empty()
    }

    fn position(&self, target: &TargetId) -> Result<usize, usize> {
        self.watched.binary_search_by(|watched| watched.state.target.cmp(target))
    }

    fn handle_announcement(
        &mut self,
        now_ms: u64,
        state: order::State,
    ) -> (AnnouncementOutcome, Vec<TargetReport>) {
        let at = match self.position(&state.target) {
            Ok(at) => at,
            Err(at) => {
                self.watched.insert(at, WatchedTarget::new(state, now_ms));
                return (AnnouncementOutcome::Accepted, vec![self.watched[at].report()]);
            }
        };
        let settings = self.settings;
        let watched = &mut self.watched[at];
        if (state.incarnation, state.sequence) <= watched.key() {
            return (AnnouncementOutcome::Stale, Vec::new());
        }
        let is_new_incarnation = state.incarnation > watched.state.incarnation;
        // A target that reported its departure stays gone for the rest of that incarnation.
        if watched.is_gone && watched.state.leaving && !is_new_incarnation {
            return (AnnouncementOutcome::Stale, Vec::new());
        }
        let has_returned = watched.is_gone || is_new_incarnation;
        if has_returned || watched.standing == Standing::Suspect && !watched.is_damped {
            watched.count_return(now_ms);
        }
        let is_same = !has_returned && is_same_state(&watched.state, &state);
        watched.state = state;
        watched.heard_ms = now_ms;
        watched.is_gone = false;
        watched.decay(now_ms);
        let before = std::mem::replace(&mut watched.standing, Standing::Up);
        watched.standing = watched.standing_at(now_ms, &settings);
        if is_same && before == watched.standing {
            return (AnnouncementOutcome::Accepted, Vec::new());
        }
        (AnnouncementOutcome::Accepted, vec![watched.report()])
    }

    fn handle_heartbeat(
        &mut self,
        now_ms: u64,
        target: &TargetId,
        incarnation: Incarnation,
        sequence: u64,
    ) -> (AnnouncementOutcome, Vec<TargetReport>) {
        let position = self.position(target);
        let Ok(at) = position else { return (AnnouncementOutcome::Unknown, Vec::new()) };
        let known = &self.watched[at];
        if known.is_gone || incarnation > known.state.incarnation {
            return (AnnouncementOutcome::Unknown, Vec::new());
        }
        let state = order::State { incarnation, sequence, ..known.state.clone() };
        self.handle_announcement(now_ms, state)
    }

    fn handle_departure(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> (AnnouncementOutcome, Vec<TargetReport>) {
        let Ok(at) = self.position(target) else { return (AnnouncementOutcome::Stale, Vec::new()) };
        let watched = &mut self.watched[at];
        if watched.is_gone || watched.state.incarnation != incarnation {
            return (AnnouncementOutcome::Stale, Vec::new());
        }
        watched.is_gone = true;
        watched.state.leaving = true;
        (AnnouncementOutcome::Accepted, vec![watched.report()])
    }

    fn check_silence(&mut self, now_ms: u64) -> Vec<TargetReport> {
        let settings = self.settings;
        self.watched.retain(|w| {
            !w.is_gone || now_ms.saturating_sub(w.heard_ms) < REMEMBER_GONE_MS + settings.dead_ms
        });
        let mut reports = Vec::new();
        for watched in self.watched.iter_mut().filter(|w| !w.is_gone) {
            watched.decay(now_ms);
            let before = watched.standing;
            watched.standing = watched.standing_at(now_ms, &settings);
            watched.is_gone = now_ms.saturating_sub(watched.heard_ms) >= settings.dead_ms;
            if watched.is_gone || watched.standing != before {
                reports.push(watched.report());
            }
        }
        reports
    }
}

/// Whether two announcements of one incarnation differ in nothing but their load.
pub fn is_same_state(old: &order::State, new: &order::State) -> bool {
    let mut new_without_load = new.clone();
    new_without_load.sequence = old.sequence;
    new_without_load.load.running = old.load.running;
    new_without_load.load.waiting = old.load.waiting;
    new_without_load == *old
}
