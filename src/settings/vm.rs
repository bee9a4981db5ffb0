//! The settings file of a VM that has one role: a router or a voter.
//!
//! Daemons of this kind name each other by their addresses, so the file names but the few voters that
//! are asked first; the others are learned from them.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use super::Result;
use super::reader::Reader;
use crate::coordinator::daemon_at;
use crate::ids::{ClusterId, Incarnation, Zone};
use crate::peer;
use crate::quota::Bounds;
use crate::units::Millis;

/// Every section that a file may have.
const SECTIONS: [&str; 7] = ["vm", "group", "targets", "retries", "workspaces", "quotas", "stop"];
/// The port for metrics, where the settings name no other.
pub const METRICS_PORT: u16 = 9464;
/// A heartbeat that is this many intervals late makes a target doubtful.
const SUSPECT_INTERVALS: u64 = 3;
/// A heartbeat that is this many intervals late makes a target count as gone.
const DEAD_INTERVALS: u64 = 5;

/// What a VM does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes requests of callers and sends them to targets.
    Router,
    /// It keeps the document of routes and gives orders to targets.
    Voter,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Role::Router => "router",
            Role::Voter => "voter",
        })
    }
}

impl FromStr for Role {
    type Err = &'static str;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        match text {
            "router" => Ok(Role::Router),
            "voter" => Ok(Role::Voter),
            _ => Err("write router or voter"),
        }
    }
}

/// Where a VM is and where it listens.
#[derive(Clone, Debug)]
pub struct Vm {
    /// What it does.
    pub role: Role,
    /// The address that every socket is bound to.
    pub ip: IpAddr,
    /// Where it runs.
    pub availability_zone: Zone,
    /// Where callers connect, at a router.
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks whether it is ready, at a router.
    pub readiness: Option<SocketAddr>,
    /// Where operators and targets connect, at a voter.
    pub control: Option<SocketAddr>,
    /// The port at which other daemons reach a VM, the same on every VM.
    pub peer_port: u16,
    /// The port at which this VM listens for other daemons. It differs from `peer_port` where a
    /// port is mapped on the way.
    pub peer_listen_port: u16,
    /// The port for metrics.
    pub metrics_port: u16,
    /// Memory of the process, in megabytes, if it is limited.
    pub memory_mb: Option<u64>,
}

/// The group of voters.
#[derive(Clone, Debug)]
pub struct Group {
    /// Its name; daemons of another are refused.
    pub cluster: ClusterId,
    /// The voters that are asked first.
    pub first: Vec<IpAddr>,
    /// Whether the first voters may form a group: true only when the whole system is new.
    pub may_form: bool,
    /// Voters that may be lost at once.
    pub max_lost: usize,
    /// Where a voter keeps its log.
    pub data_folder: Option<PathBuf>,
    /// Where a voter keeps the targets that it knows, for a restart of all daemons. It may be lost.
    pub cache_folder: Option<PathBuf>,
}

impl Group {
    /// Voters that the group has at most: a majority is left when `max_lost` are lost.
    pub fn places(&self) -> usize {
        2 * self.max_lost.max(1) + 1
    }
}

/// Times of the side towards targets.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// Silence after which a target gets work only if no other can do it.
    pub suspect_ms: Millis,
    /// Silence after which a target counts as gone.
    pub dead_ms: Millis,
    /// Time between the orders of two leaders.
    pub takeover_ms: Millis,
    /// Whether engines check fencing numbers: an earlier leader's orders are refused then.
    pub checks_fencing: bool,
    /// Whether voters send orders as delegates of the leader, where engines check no fencing numbers.
    pub delegate_orders: bool,
}

/// The budget for sending a request again, shared by all routers.
#[derive(Clone, Copy, Debug)]
pub struct Retries {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that in each window.
    pub slack: f64,
    /// The length of a window.
    pub window_ms: Millis,
}

/// What is done about the keys of workspaces without a leader.
#[derive(Clone, Copy, Debug)]
pub struct Workspaces {
    /// Whether a router refuses keys once it cannot know of a withdrawal.
    pub fail_closed: bool,
    /// Time without a leader after which a router cannot know of a withdrawal.
    pub revoke_ms: Millis,
}

/// How closely the quotas of workspaces are kept.
#[derive(Clone, Copy, Debug)]
pub struct Quotas {
    /// The window in which what is admitted is compared with a quota.
    pub window_ms: Millis,
    /// Part of a quota that may be admitted beyond it in a window.
    pub tolerance: f64,
    /// Units that may be admitted beyond that in a window.
    pub slack: f64,
}

impl Quotas {
    /// The same for the ledger of the leader.
    pub fn bounds(&self) -> Bounds {
        let window_ms = self.window_ms.0;
        Bounds { window_ms, tolerance: self.tolerance, slack: self.slack }
    }
}

/// The settings of one VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM.
    pub vm: Vm,
    /// The group of voters.
    pub group: Group,
    /// The side towards targets.
    pub targets: Targets,
    /// The budget for repeats.
    pub retries: Retries,
    /// Keys of workspaces.
    pub workspaces: Workspaces,
    /// Quotas of workspaces.
    pub quotas: Quotas,
    /// Time between the signal to stop and the end of the process.
    pub stop_limit_ms: Millis,
}

impl Settings {
    /// Where a voter takes calls.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.vm.control
    }

    /// Who this daemon is towards its peers. The network between daemons is trusted; the key keeps
    /// clusters apart.
    pub fn identity(&self) -> peer::Identity {
        let cluster = self.group.cluster.to_string();
        let born_ms = crate::traffic::clock::Clock::system().now_ms();
        peer::Identity {
            key: peer::Key::new(cluster.clone().into_bytes()),
            cluster,
            daemon: daemon_at(self.vm.ip),
            incarnation: Incarnation(born_ms),
        }
    }
}

/// Reads the text of a settings file.
///
/// # Errors
/// Every problem of the file, sorted by line.
pub fn read(text: &str) -> Result<Settings> {
    let mut reader = Reader::new(text);
    let vm = vm(&mut reader);
    let group = group(&mut reader);
    let targets = targets(&mut reader);
    let retries = Retries {
        ratio: reader.or("retries", "ratio", 0.1, number),
        slack: reader.or("retries", "slack", 10.0, number),
        window_ms: Millis(reader.or("retries", "window_s", 10, parsed::<u64>) * 1_000),
    };
    let workspaces = Workspaces {
        fail_closed: reader.or("workspaces", "fail_closed", false, parsed),
        revoke_ms: Millis(reader.or("workspaces", "revoke_ms", 5_000, parsed::<u64>)),
    };
    let quotas = Quotas {
        window_ms: Millis(reader.or("quotas", "window_s", 8, parsed::<u64>) * 1_000),
        tolerance: reader.or("quotas", "tolerance", 0.0, number),
        slack: reader.or("quotas", "slack", 0.0, number),
    };
    let stop_limit_ms = Millis(reader.or("stop", "limit_s", 8, parsed::<u64>) * 1_000);
    if let (Some(vm), Some(group)) = (&vm, &group) {
        check(vm, group, &mut reader);
    }
    let settings = vm.zip(group).map(|(vm, group)| Settings {
        vm,
        group,
        targets,
        retries,
        workspaces,
        quotas,
        stop_limit_ms,
    });
    reader.finish(&SECTIONS, settings)
}

fn vm(reader: &mut Reader<'_>) -> Option<Vm> {
    let section = "vm";
    let role = reader.required(section, "role", parsed);
    let ip = reader.required(section, "ip", parsed);
    let zone = reader.required(section, "availability_zone", parsed);
    let callers = reader.optional(section, "callers", parsed);
    let readiness = reader.optional(section, "readiness", parsed);
    let control = reader.optional(section, "control", parsed);
    let peer_port = reader.required(section, "peer_port", parsed);
    let peer_listen_port = reader.optional(section, "peer_listen_port", parsed);
    let metrics_port = reader.or(section, "metrics_port", METRICS_PORT, parsed);
    let memory_mb = reader.optional(section, "memory_mb", parsed);
    let peer_port = peer_port?.value;
    Some(Vm {
        role: role?.value,
        ip: ip?.value,
        availability_zone: zone?.value,
        callers: callers.map(|at| at.value),
        readiness: readiness.map(|at| at.value),
        control: control.map(|at| at.value),
        peer_port,
        peer_listen_port: peer_listen_port.map_or(peer_port, |at| at.value),
        metrics_port,
        memory_mb: memory_mb.map(|at| at.value),
    })
}

fn group(reader: &mut Reader<'_>) -> Option<Group> {
    let section = "group";
    let cluster = reader.required(section, "cluster", parsed);
    let first = reader.required(section, "first", addresses);
    let may_form = reader.or(section, "may_form", false, parsed);
    let max_lost = reader.or(section, "max_lost", 1, parsed);
    let folder = |text: &str| match text {
        "" => Err("write a folder"),
        _ => Ok(PathBuf::from(text)),
    };
    let data_folder = reader.optional(section, "data_folder", folder);
    let cache_folder = reader.optional(section, "cache_folder", folder);
    Some(Group {
        cluster: cluster?.value,
        first: first?.value,
        may_form,
        max_lost,
        data_folder: data_folder.map(|at| at.value),
        cache_folder: cache_folder.map(|at| at.value),
    })
}

fn targets(reader: &mut Reader<'_>) -> Targets {
    let section = "targets";
    let heartbeat_ms = reader.or(section, "heartbeat_ms", 500, parsed::<u64>);
    let takeover_ms = reader.or(section, "takeover_ms", 3_000, parsed::<u64>);
    Targets {
        suspect_ms: Millis(heartbeat_ms * SUSPECT_INTERVALS),
        dead_ms: Millis(heartbeat_ms * DEAD_INTERVALS),
        takeover_ms: Millis(takeover_ms),
        checks_fencing: reader.or(section, "checks_fencing", false, parsed),
        delegate_orders: reader.or(section, "delegate_orders", false, parsed),
    }
}

/// Each role needs its addresses, and a voter its folder.
fn check(vm: &Vm, group: &Group, reader: &mut Reader<'_>) {
    let needed = match vm.role {
        Role::Router => vec![
            ("vm", "callers", vm.callers.is_some()),
            ("vm", "readiness", vm.readiness.is_some()),
        ],
        Role::Voter => vec![
            ("vm", "control", vm.control.is_some()),
            ("group", "data_folder", group.data_folder.is_some()),
        ],
    };
    for (section, key, is_there) in needed {
        if !is_there && !reader.has_problem(section, key) {
            let what = format!("a {} needs this key", vm.role);
            reader.problem(reader.header(section), section, key, what);
        }
    }
    if group.first.is_empty() {
        reader.problem(reader.header("group"), "group", "first", "no voter is named");
    }
}

fn parsed<T: FromStr<Err: fmt::Display>>(text: &str) -> std::result::Result<T, String> {
    text.parse().map_err(|error: T::Err| error.to_string())
}

fn number(text: &str) -> std::result::Result<f64, &'static str> {
    let number: f64 = text.parse().map_err(|_| "write a number")?;
    if number.is_finite() && number >= 0.0 { Ok(number) } else { Err("write a number from 0 on") }
}

/// Addresses of voters, separated by commas. A port is left out: it is the same on every VM.
fn addresses(text: &str) -> std::result::Result<Vec<IpAddr>, String> {
    let words = text.split(',').map(str::trim).filter(|word| !word.is_empty());
    let address = |word: &str| match word.parse::<SocketAddr>() {
        Ok(address) => Ok(address.ip()),
        Err(_) => word.parse::<IpAddr>().map_err(|_| format!("{word} is no address")),
    };
    words.map(address).collect()
}
