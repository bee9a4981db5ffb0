//! The settings file of one daemon, read once into typed and checked values.
//!
//! The file is INI: `[section]`, `key = value`, and whole-line comments that begin with `;`.
//! [`read`] returns the settings, or every problem that it found, each with its line.

mod builder;
mod check;
mod ini;
mod reader;
mod sections;
pub mod tokens;
pub mod vm;

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use crate::config;
use crate::ids::{ClusterId, DaemonId, GroupId, Incarnation, Revision, TargetId, TenantId, Zone};
use crate::units::Millis;

pub use builder::Builder;
pub use check::read;
pub use tokens::{ClusterKey, Secret, Tokens};

/// Port for callers, where the settings name no other.
pub const TRAFFIC_PORT: u16 = 7100;
/// Port for targets, where the settings name no other.
pub const TARGET_PORT: u16 = 7101;
/// Port for operators, where the settings name no other.
pub const ADMIN_PORT: u16 = 7102;
/// Port for other daemons, where the settings name no other.
pub const PEER_PORT: u16 = 7103;
/// Threads for traffic, where the settings name no other number.
pub const THREADS: usize = 4;

/// The id and the author of the change that a settings file makes.
const FIRST_CHANGE: &str = "settings";

/// One problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize)]
pub struct Problem {
    /// The line, from 1; 0 if it concerns the file as a whole.
    pub line: u32,
    /// The section, empty before the first one.
    pub section: String,
    /// The key, empty if it concerns the section.
    pub key: String,
    /// What is wrong, and what would be right.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.what)
    }
}

/// The result of reading a settings file: the settings, or every problem by line.
pub type Result<T> = std::result::Result<T, Vec<Problem>>;

/// The settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who this daemon is and where it listens.
    pub daemon: Daemon,
    /// The daemons that it belongs with.
    pub cluster: Cluster,
    /// Log lines.
    pub log: Log,
    /// The side towards callers.
    pub traffic: Traffic,
    /// The side towards targets.
    pub targets: Targets,
    /// Hashes of bearer tokens.
    pub tokens: Tokens,
    /// Fleet defaults for a cluster that has none yet.
    pub defaults: Vec<config::Setting>,
}

impl Settings {
    /// A builder of settings for tests and the `dev` command.
    pub fn builder(id: DaemonId, availability_zone: Zone, ip: IpAddr) -> Builder {
        Builder::new(id, availability_zone, ip)
    }

    /// Whether this daemon keeps a replica of the control state.
    pub fn is_voter(&self) -> bool {
        self.daemon.data_folder.is_some()
    }

    /// The change that gives a cluster without a configuration the fleet defaults of this file.
    pub fn first_change(&self) -> Option<config::Change> {
        if self.defaults.is_empty() {
            return None;
        }
        let defaults = self.defaults.iter().cloned();
        Some(config::Change {
            id: FIRST_CHANGE.parse().expect("a constant name"),
            base: Revision(0),
            author: FIRST_CHANGE.parse().expect("a constant name"),
            reason: "fleet defaults of the settings".to_owned(),
            edits: defaults.map(config::Edit::SetDefault).collect(),
        })
    }
}

/// Who a daemon is and where it listens. Port 0 takes any free port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Daemon {
    /// Its id, different for each daemon of the cluster.
    pub id: DaemonId,
    /// Where it runs.
    pub availability_zone: Zone,
    /// The address that every socket is bound to and connected from.
    pub ip: IpAddr,
    /// The port for callers.
    pub traffic_port: u16,
    /// The port for targets' announcements.
    pub target_port: u16,
    /// The port for operators.
    pub admin_port: u16,
    /// The port for other daemons.
    pub peer_port: u16,
    /// Where the number of this life of the process comes from.
    pub incarnation: IncarnationSource,
    /// Threads for traffic.
    pub threads: usize,
    /// Where control state is kept; its presence makes the daemon a voter.
    pub data_folder: Option<PathBuf>,
}

impl Daemon {
    /// Where callers connect.
    pub fn traffic_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.traffic_port)
    }

    /// Where targets announce themselves.
    pub fn target_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.target_port)
    }

    /// Where operators connect.
    pub fn admin_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.admin_port)
    }

    /// Where other daemons connect.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}

/// Where the number of this life of the process comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationSource {
    /// Unix milliseconds at the start of the process.
    Clock,
    /// Given by the platform, higher for each start.
    Given(Incarnation),
}

impl IncarnationSource {
    /// The incarnation of a process that starts at `now_ms`, in Unix milliseconds.
    pub fn incarnation(self, now_ms: u64) -> Incarnation {
        match self {
            IncarnationSource::Clock => Incarnation(now_ms),
            IncarnationSource::Given(incarnation) => incarnation,
        }
    }
}

/// The daemons that a daemon belongs with.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// The cluster's id; daemons of another cluster are refused.
    pub id: ClusterId,
    /// The key that daemons of the cluster share.
    pub key: ClusterKey,
    /// The group of voters.
    pub group: GroupId,
    /// The other daemons, sorted by id.
    pub peers: Vec<Peer>,
}

impl Cluster {
    /// The peer with this id.
    pub fn peer(&self, id: &DaemonId) -> Option<&Peer> {
        let place = self.peers.binary_search_by(|peer| peer.id.cmp(id)).ok()?;
        Some(&self.peers[place])
    }

    /// The other daemons that are voters when the cluster starts.
    pub fn voters(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(|peer| peer.is_voter)
    }
}

/// Another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its id.
    pub id: DaemonId,
    /// Where it runs.
    pub availability_zone: Zone,
    /// Where it takes calls of other daemons.
    pub address: SocketAddr,
    /// Whether it is a voter when the cluster starts.
    pub is_voter: bool,
}

/// How log lines look and which are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// The least important level that is written.
    pub level: log::LevelFilter,
    /// How a line looks.
    pub format: LogFormat,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: log::LevelFilter::Info, format: LogFormat::People }
    }
}

/// How a log line looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people.
    People,
    /// One JSON object a line.
    Json,
}

/// The side towards callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Traffic {
    /// The tenant of callers without a token; without it they are refused.
    pub anonymous_tenant: Option<TenantId>,
    /// How long a daemon that stops still accepts requests, so that the balancer notices.
    pub linger_ms: Millis,
}

impl Default for Traffic {
    fn default() -> Self {
        Self { anonymous_tenant: None, linger_ms: Millis(5_000) }
    }
}

/// The side towards targets.
#[derive(Clone, Debug)]
pub struct Targets {
    /// How often targets are set to announce themselves. The other two times must be longer.
    pub heartbeat_ms: Millis,
    /// Silence after which a target gets work only if no other can do it.
    pub suspect_ms: Millis,
    /// Silence after which a target is dead.
    pub dead_ms: Millis,
    /// Which targets refuse orders with an old fencing number.
    pub fencing: FencingChecks,
    /// The bearer token that daemons send with orders and calls.
    pub order_token: Option<Secret>,
}

impl Default for Targets {
    fn default() -> Self {
        Self {
            heartbeat_ms: Millis(500),
            suspect_ms: Millis(1_500),
            dead_ms: Millis(2_500),
            fencing: FencingChecks::Announced,
            order_token: None,
        }
    }
}

/// Which targets refuse orders with an old fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FencingChecks {
    /// Those that say so when they announce themselves.
    Announced,
    /// These and no others, sorted.
    Only(Vec<TargetId>),
}

impl FencingChecks {
    /// Whether `target`, which announced `announced`, checks fencing numbers.
    pub fn is_checked_by(&self, target: &TargetId, announced: bool) -> bool {
        match self {
            FencingChecks::Announced => announced,
            FencingChecks::Only(targets) => targets.binary_search(target).is_ok(),
        }
    }
}
