//! The daemons as the leader knows them, each in one state of its life cycle.

use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;

use crate::ids::{DaemonId, Incarnation, Revision, Zone};

/// Silence after which a daemon is suspected.
pub const SUSPECT_MS: u64 = 2_500;
/// Silence after which a daemon counts as gone.
pub const GONE_MS: u64 = 6_000;

/// A daemon that takes part.
#[derive(Clone, Debug)]
pub struct Active;
/// A daemon that was silent for [`SUSPECT_MS`].
#[derive(Clone, Debug)]
pub struct Suspected;
/// A daemon that finishes its work and stops.
#[derive(Clone, Debug)]
pub struct Leaving;
/// A daemon whose life has ended.
#[derive(Clone, Debug)]
pub struct Gone;

/// What a daemon tells with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// The daemon.
    pub daemon: DaemonId,
    /// This life of its process.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub availability_zone: Zone,
    /// The revision of the configuration that it has in force.
    pub revision: Revision,
    /// Where targets announce themselves to it.
    pub target_address: SocketAddr,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

/// One life of a daemon in the state `S`.
#[derive(Clone, Debug)]
pub struct Life<S> {
    last: Heartbeat,
    heard_ms: u64,
    state: PhantomData<S>,
}

impl<S> Life<S> {
    fn into_state<T>(self) -> Life<T> {
        Life { last: self.last, heard_ms: self.heard_ms, state: PhantomData }
    }

    fn heard(mut self, now_ms: u64, last: Heartbeat) -> Self {
        self.last = last;
        self.heard_ms = now_ms;
        self
    }

    fn silence_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.heard_ms)
    }
}

impl Life<Active> {
    fn begin(now_ms: u64, last: Heartbeat) -> Self {
        Self { last, heard_ms: now_ms, state: PhantomData }
    }

    fn suspect(self) -> Life<Suspected> {
        self.into_state()
    }

    fn leave(self) -> Life<Leaving> {
        self.into_state()
    }
}

impl Life<Suspected> {
    fn restore(self) -> Life<Active> {
        self.into_state()
    }

    fn end(self) -> Life<Gone> {
        self.into_state()
    }
}

impl Life<Leaving> {
    fn end(self) -> Life<Gone> {
        self.into_state()
    }
}

/// The states of the life cycle, without their data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It takes part.
    Active,
    /// It has been silent.
    Suspected,
    /// It finishes its work.
    Leaving,
    /// Its life has ended.
    Gone,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Stage::Active => "active",
            Stage::Suspected => "suspected",
            Stage::Leaving => "leaving",
            Stage::Gone => "gone",
        })
    }
}

/// A daemon in whichever state it is.
#[derive(Clone, Debug)]
pub enum Member {
    /// It takes part.
    Active(Life<Active>),
    /// It has been silent.
    Suspected(Life<Suspected>),
    /// It finishes its work.
    Leaving(Life<Leaving>),
    /// Its life has ended; remembered so that it is not mistaken for a later one.
    Gone(Life<Gone>),
}

impl Member {
    /// The last heartbeat.
    pub fn last(&self) -> &Heartbeat {
        match self {
            Member::Active(life) => &life.last,
            Member::Suspected(life) => &life.last,
            Member::Leaving(life) => &life.last,
            Member::Gone(life) => &life.last,
        }
    }

    /// When it was last heard of.
    pub fn heard_ms(&self) -> u64 {
        match self {
            Member::Active(life) => life.heard_ms,
            Member::Suspected(life) => life.heard_ms,
            Member::Leaving(life) => life.heard_ms,
            Member::Gone(life) => life.heard_ms,
        }
    }

    /// Whether its life goes on.
    pub fn is_alive(&self) -> bool {
        !matches!(self, Member::Gone(_))
    }

    /// The state without its data.
    pub fn stage(&self) -> Stage {
        match self {
            Member::Active(_) => Stage::Active,
            Member::Suspected(_) => Stage::Suspected,
            Member::Leaving(_) => Stage::Leaving,
            Member::Gone(_) => Stage::Gone,
        }
    }

    fn heard(self, now_ms: u64, last: Heartbeat) -> Self {
        let is_leaving = last.is_leaving;
        match self {
            Member::Active(life) if is_leaving => Member::Leaving(life.heard(now_ms, last).leave()),
            Member::Active(life) => Member::Active(life.heard(now_ms, last)),
            Member::Suspected(life) if is_leaving => {
                Member::Leaving(life.heard(now_ms, last).restore().leave())
            }
            Member::Suspected(life) => Member::Active(life.heard(now_ms, last).restore()),
            Member::Leaving(life) => Member::Leaving(life.heard(now_ms, last)),
            // A life that was given up may only have been cut off: it takes part again.
            Member::Gone(_) => Member::Active(Life::begin(now_ms, last)),
        }
    }

    fn tick(self, now_ms: u64) -> Self {
        match self {
            Member::Active(life) if life.silence_ms(now_ms) >= SUSPECT_MS => {
                Member::Suspected(life.suspect())
            }
            Member::Suspected(life) if life.silence_ms(now_ms) >= GONE_MS => {
                Member::Gone(life.end())
            }
            Member::Leaving(life) if life.silence_ms(now_ms) >= SUSPECT_MS => {
                Member::Gone(life.end())
            }
            same => same,
        }
    }
}

/// A change that others act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new life takes part.
    Joined(DaemonId, Incarnation),
    /// A life is doubted.
    Suspected(DaemonId, Incarnation),
    /// A doubted life was heard of again.
    Returned(DaemonId, Incarnation),
    /// A life is about to stop.
    Leaving(DaemonId, Incarnation),
    /// A life has ended: what it had under way is not going on.
    Gone(DaemonId, Incarnation),
}

/// All daemons, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Daemons {
    members: Vec<Member>,
}

impl Daemons {
    /// Takes a heartbeat. One of an earlier life changes nothing.
    pub fn heard(&mut self, now_ms: u64, heartbeat: Heartbeat) -> Vec<Change> {
        let (daemon, incarnation) = (heartbeat.daemon.clone(), heartbeat.incarnation);
        let place = self.members.binary_search_by(|m| m.last().daemon.cmp(&daemon));
        let at = match place {
            Ok(at) => at,
            Err(at) => {
                self.members.insert(at, Member::Active(Life::begin(now_ms, heartbeat)));
                return vec![Change::Joined(daemon, incarnation)];
            }
        };
        let known = self.members[at].last().incarnation;
        if incarnation < known {
            return Vec::new();
        }
        if incarnation > known {
            let was_alive = self.members[at].is_alive();
            self.members[at] = Member::Active(Life::begin(now_ms, heartbeat));
            let gone = was_alive.then(|| Change::Gone(daemon.clone(), known));
            return gone.into_iter().chain([Change::Joined(daemon, incarnation)]).collect();
        }
        let before = self.members[at].stage();
        self.replace(at, |member| member.heard(now_ms, heartbeat));
        match (before, self.members[at].stage()) {
            (Stage::Suspected | Stage::Gone, Stage::Active) => {
                vec![Change::Returned(daemon, incarnation)]
            }
            (Stage::Active | Stage::Suspected, Stage::Leaving) => {
                vec![Change::Leaving(daemon, incarnation)]
            }
            _ => Vec::new(),
        }
    }

    /// Doubts and gives up silent daemons.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        for at in 0..self.members.len() {
            let before = self.members[at].stage();
            self.replace(at, |member| member.tick(now_ms));
            let member = &self.members[at];
            let (daemon, life) = (member.last().daemon.clone(), member.last().incarnation);
            match member.stage() {
                after if after == before => {}
                Stage::Suspected => changes.push(Change::Suspected(daemon, life)),
                _ => changes.push(Change::Gone(daemon, life)),
            }
        }
        changes
    }

    /// The life of a daemon that goes on, if it is known to.
    pub fn life_of(&self, daemon: &DaemonId) -> Option<Incarnation> {
        let place = self.members.binary_search_by(|m| m.last().daemon.cmp(daemon)).ok()?;
        let member = &self.members[place];
        member.is_alive().then(|| member.last().incarnation)
    }

    /// All daemons, sorted by id.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    fn replace(&mut self, at: usize, next: impl FnOnce(Member) -> Member) {
        let member = self.members.remove(at);
        self.members.insert(at, next(member));
    }
}
