//! The leader's failure detector for daemons: heartbeats drive each one through its life cycle.

use std::fmt;
use std::marker::PhantomData;
use std::net::SocketAddr;

use crate::ids::{DaemonId, Incarnation, Revision, Zone};

/// Time without a heartbeat after which a daemon is suspected.
pub const SUSPECT_MS: u64 = 2_500;
/// Time without a heartbeat after which a daemon is declared gone.
pub const GONE_MS: u64 = 6_000;

/// State of a daemon that is running and sends heartbeats.
#[derive(Clone, Debug)]
pub struct Active;
/// State of a daemon that sent no heartbeat for [`SUSPECT_MS`].
#[derive(Clone, Debug)]
pub struct Suspected;
/// State of a daemon that is shutting down.
#[derive(Clone, Debug)]
pub struct Leaving;
/// State of a daemon whose incarnation has ended.
#[derive(Clone, Debug)]
pub struct Gone;

/// The heartbeat message of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// The daemon.
    pub daemon: DaemonId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The availability zone in which it runs.
    pub availability_zone: Zone,
    /// The revision of the configuration that it applies.
    pub revision: Revision,
    /// The address at which it accepts announcements of targets.
    pub target_address: SocketAddr,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// One incarnation of a daemon in the life cycle state `S`.
#[derive(Clone, Debug)]
pub struct TrackedDaemon<S> {
    last_heartbeat: Heartbeat,
    heard_ms: u64,
    state: PhantomData<S>,
}

impl<S> TrackedDaemon<S> {
    fn into_state<T>(self) -> TrackedDaemon<T> {
        TrackedDaemon {
            last_heartbeat: self.last_heartbeat,
            heard_ms: self.heard_ms,
            state: PhantomData,
        }
    }

    fn heard(mut self, now_ms: u64, last_heartbeat: Heartbeat) -> Self {
        self.last_heartbeat = last_heartbeat;
        self.heard_ms = now_ms;
        self
    }

    fn silence_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.heard_ms)
    }
}

impl TrackedDaemon<Active> {
    fn begin(now_ms: u64, last_heartbeat: Heartbeat) -> Self {
        Self { last_heartbeat, heard_ms: now_ms, state: PhantomData }
    }

    fn suspect(self) -> TrackedDaemon<Suspected> {
        self.into_state()
    }

    fn leave(self) -> TrackedDaemon<Leaving> {
        self.into_state()
    }
}

impl TrackedDaemon<Suspected> {
    fn restore(self) -> TrackedDaemon<Active> {
        self.into_state()
    }

    fn end(self) -> TrackedDaemon<Gone> {
        self.into_state()
    }
}

impl TrackedDaemon<Leaving> {
    fn end(self) -> TrackedDaemon<Gone> {
        self.into_state()
    }
}

/// The life cycle state of a daemon, without its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonState {
    /// It is running and sends heartbeats.
    Active,
    /// It sent no heartbeat for [`SUSPECT_MS`].
    Suspected,
    /// It is shutting down.
    Leaving,
    /// Its incarnation has ended.
    Gone,
}

impl fmt::Display for DaemonState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            DaemonState::Active => "active",
            DaemonState::Suspected => "suspected",
            DaemonState::Leaving => "leaving",
            DaemonState::Gone => "gone",
        })
    }
}

/// A daemon and its life cycle state.
#[derive(Clone, Debug)]
pub enum DaemonRecord {
    /// It is running and sends heartbeats.
    Active(TrackedDaemon<Active>),
    /// It sent no heartbeat for [`SUSPECT_MS`].
    Suspected(TrackedDaemon<Suspected>),
    /// It is shutting down.
    Leaving(TrackedDaemon<Leaving>),
    /// Its incarnation has ended. The record stays so that the daemon is not mistaken for a later
    /// incarnation.
    Gone(TrackedDaemon<Gone>),
}

impl DaemonRecord {
    /// The last heartbeat received.
    pub fn last_heartbeat(&self) -> &Heartbeat {
        match self {
            DaemonRecord::Active(daemon) => &daemon.last_heartbeat,
            DaemonRecord::Suspected(daemon) => &daemon.last_heartbeat,
            DaemonRecord::Leaving(daemon) => &daemon.last_heartbeat,
            DaemonRecord::Gone(daemon) => &daemon.last_heartbeat,
        }
    }

    /// When its last heartbeat was received.
    pub fn heard_ms(&self) -> u64 {
        match self {
            DaemonRecord::Active(daemon) => daemon.heard_ms,
            DaemonRecord::Suspected(daemon) => daemon.heard_ms,
            DaemonRecord::Leaving(daemon) => daemon.heard_ms,
            DaemonRecord::Gone(daemon) => daemon.heard_ms,
        }
    }

    /// Whether its incarnation has not ended.
    pub fn is_alive(&self) -> bool {
        !matches!(self, DaemonRecord::Gone(_))
    }

    /// The life cycle state without its data.
    pub fn state(&self) -> DaemonState {
        match self {
            DaemonRecord::Active(_) => DaemonState::Active,
            DaemonRecord::Suspected(_) => DaemonState::Suspected,
            DaemonRecord::Leaving(_) => DaemonState::Leaving,
            DaemonRecord::Gone(_) => DaemonState::Gone,
        }
    }

    fn heard(self, now_ms: u64, last_heartbeat: Heartbeat) -> Self {
        let is_leaving = last_heartbeat.is_leaving;
        match self {
            DaemonRecord::Active(daemon) if is_leaving => {
                DaemonRecord::Leaving(daemon.heard(now_ms, last_heartbeat).leave())
            }
            DaemonRecord::Active(daemon) => {
                DaemonRecord::Active(daemon.heard(now_ms, last_heartbeat))
            }
            DaemonRecord::Suspected(daemon) if is_leaving => {
                DaemonRecord::Leaving(daemon.heard(now_ms, last_heartbeat).restore().leave())
            }
            DaemonRecord::Suspected(daemon) => {
                DaemonRecord::Active(daemon.heard(now_ms, last_heartbeat).restore())
            }
            DaemonRecord::Leaving(daemon) => {
                DaemonRecord::Leaving(daemon.heard(now_ms, last_heartbeat))
            }
            // An incarnation declared gone may only have been partitioned: it is active again.
            DaemonRecord::Gone(_) => {
                DaemonRecord::Active(TrackedDaemon::begin(now_ms, last_heartbeat))
            }
        }
    }

    fn tick(self, now_ms: u64) -> Self {
        match self {
            DaemonRecord::Active(daemon) if daemon.silence_ms(now_ms) >= SUSPECT_MS => {
                DaemonRecord::Suspected(daemon.suspect())
            }
            DaemonRecord::Suspected(daemon) if daemon.silence_ms(now_ms) >= GONE_MS => {
                DaemonRecord::Gone(daemon.end())
            }
            DaemonRecord::Leaving(daemon) if daemon.silence_ms(now_ms) >= SUSPECT_MS => {
                DaemonRecord::Gone(daemon.end())
            }
            same => same,
        }
    }
}

/// A life cycle change of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DaemonChange {
    /// A new incarnation sent its first heartbeat.
    Joined(DaemonId, Incarnation),
    /// An incarnation is suspected.
    Suspected(DaemonId, Incarnation),
    /// An incarnation that was suspected or declared gone sent a heartbeat again.
    Returned(DaemonId, Incarnation),
    /// An incarnation is shutting down.
    Leaving(DaemonId, Incarnation),
    /// An incarnation has ended, and its unfinished work with it.
    Gone(DaemonId, Incarnation),
}

/// All daemons, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct DaemonRegistry {
    members: Vec<DaemonRecord>,
}

impl DaemonRegistry {
    /// Processes a heartbeat. A heartbeat of an earlier incarnation is ignored.
    pub fn handle_heartbeat(&mut self, now_ms: u64, heartbeat: Heartbeat) -> Vec<DaemonChange> {
        let (daemon, incarnation) = (heartbeat.daemon.clone(), heartbeat.incarnation);
        let place = self.members.binary_search_by(|m| m.last_heartbeat().daemon.cmp(&daemon));
        let at = match place {
            Ok(at) => at,
            Err(at) => {
                self.members
                    .insert(at, DaemonRecord::Active(TrackedDaemon::begin(now_ms, heartbeat)));
                return vec![DaemonChange::Joined(daemon, incarnation)];
            }
        };
        let known = self.members[at].last_heartbeat().incarnation;
        if incarnation < known {
            return Vec::new();
        }
        if incarnation > known {
            let was_alive = self.members[at].is_alive();
            self.members[at] = DaemonRecord::Active(TrackedDaemon::begin(now_ms, heartbeat));
            let gone = was_alive.then(|| DaemonChange::Gone(daemon.clone(), known));
            return gone.into_iter().chain([DaemonChange::Joined(daemon, incarnation)]).collect();
        }
        let before = self.members[at].state();
        self.replace(at, |member| member.heard(now_ms, heartbeat));
        match (before, self.members[at].state()) {
            (DaemonState::Suspected | DaemonState::Gone, DaemonState::Active) => {
                vec![DaemonChange::Returned(daemon, incarnation)]
            }
            (DaemonState::Active | DaemonState::Suspected, DaemonState::Leaving) => {
                vec![DaemonChange::Leaving(daemon, incarnation)]
            }
            _ => Vec::new(),
        }
    }

    /// Suspects daemons without recent heartbeats, or declares them gone.
    pub fn tick(&mut self, now_ms: u64) -> Vec<DaemonChange> {
        let mut changes = Vec::new();
        for at in 0..self.members.len() {
            let before = self.members[at].state();
            self.replace(at, |member| member.tick(now_ms));
            let member = &self.members[at];
            let (daemon, incarnation) =
                (member.last_heartbeat().daemon.clone(), member.last_heartbeat().incarnation);
            match member.state() {
                after if after == before => {}
                DaemonState::Suspected => {
                    changes.push(DaemonChange::Suspected(daemon, incarnation));
                }
                _ => changes.push(DaemonChange::Gone(daemon, incarnation)),
            }
        }
        changes
    }

    /// The incarnation of a daemon, unless it is unknown or has ended.
    pub fn live_incarnation(&self, daemon: &DaemonId) -> Option<Incarnation> {
        let place =
            self.members.binary_search_by(|m| m.last_heartbeat().daemon.cmp(daemon)).ok()?;
        let member = &self.members[place];
        member.is_alive().then(|| member.last_heartbeat().incarnation)
    }

    /// All daemons, sorted by id.
    pub fn members(&self) -> &[DaemonRecord] {
        &self.members
    }

    fn replace(&mut self, at: usize, next: impl FnOnce(DaemonRecord) -> DaemonRecord) {
        let member = self.members.remove(at);
        self.members.insert(at, next(member));
    }
}
