//! Reads a settings file and checks what concerns several lines at once.

use std::path::Path;
use std::{fs, io};

use super::reader::{At, Reader};
use super::sections::{self, ClusterSection, DaemonSection, PORTS, PeerLine};
use super::{Cluster, Daemon, Peer, Result, Settings};
use crate::ids::DaemonId;

/// The most voters of a cluster.
const MAX_VOTERS: usize = 7;

/// Every section that a file may have.
const SECTIONS: [&str; 9] =
    ["daemon", "cluster", "peers", "log", "traffic", "targets", "tenants", "operators", "defaults"];

/// Reads the text of a settings file. The disk is touched only to see whether the data folder can
/// be written.
///
/// # Errors
///
/// Every problem of the file, sorted by line.
pub fn read(text: &str) -> Result<Settings> {
    let mut reader = Reader::new(text);
    let daemon = sections::daemon(&mut reader);
    let cluster = sections::cluster(&mut reader);
    let peers = sections::peers(&mut reader);
    let log = sections::log(&mut reader);
    let traffic = sections::traffic(&mut reader);
    let targets = sections::targets(&mut reader);
    let tokens = sections::tokens(&mut reader);
    let defaults = sections::defaults(&mut reader);

    check_ports(&daemon, &mut reader);
    check_addresses(&daemon, &peers, &mut reader);
    check_voters(&daemon, &peers, &mut reader);
    if let Some(folder) = &daemon.data_folder
        && let Err(error) = probe(&folder.value)
    {
        let what = format!("the folder cannot be written: {error}");
        reader.problem(folder.line, "daemon", "data_folder", what);
    }
    if traffic.anonymous_tenant.is_none() && tokens.tenants().is_empty() {
        let what = "no tenant has a token and there is no anonymous_tenant: nobody could call";
        reader.problem(reader.header("tenants"), "tenants", "", what);
    }
    let joined = join(daemon, cluster, peers, &mut reader);
    let settings = joined.map(|(daemon, cluster)| Settings {
        daemon,
        cluster,
        log,
        traffic,
        targets,
        tokens,
        defaults,
    });
    reader.finish(&SECTIONS, settings)
}

fn check_ports(daemon: &DaemonSection, reader: &mut Reader<'_>) {
    for (place, port) in daemon.ports.iter().enumerate() {
        let same = daemon.ports[..place].iter().position(|other| other.value == port.value);
        if let Some(same) = same {
            let what = format!("the port {} is also that of {}", port.value, PORTS[same].0);
            reader.problem(port.line, "daemon", PORTS[place].0, what);
        }
    }
}

fn check_addresses(daemon: &DaemonSection, peers: &[At<PeerLine>], reader: &mut Reader<'_>) {
    let own_port = daemon.ports[3].value;
    let address = |peer: &PeerLine| (peer.ip, peer.port.unwrap_or(own_port));
    for (place, peer) in peers.iter().enumerate() {
        let is_same = |other: &&At<PeerLine>| address(&other.value) == address(&peer.value);
        if let Some(first) = peers[..place].iter().find(is_same) {
            let what = format!("line {} has the same address and port", first.line);
            reader.problem(peer.line, "peers", peer.value.id.as_str(), what);
        }
    }
    let is_own = |peer: &PeerLine| daemon.id.as_ref().is_some_and(|id| id.value == peer.id);
    if let Some(ip) = &daemon.ip {
        let own = (ip.value, own_port);
        for peer in peers.iter().filter(|peer| !is_own(&peer.value)) {
            if address(&peer.value) == own {
                let what = "it has this daemon's own address and port";
                reader.problem(peer.line, "peers", peer.value.id.as_str(), what);
            }
        }
    }
}

fn check_voters(daemon: &DaemonSection, peers: &[At<PeerLine>], reader: &mut Reader<'_>) {
    let own = own_line(daemon, peers);
    match (own, &daemon.data_folder) {
        (Some(own), None) if own.value.is_voter => {
            let what = "a voter needs data_folder in [daemon]";
            reader.problem(own.line, "peers", own.value.id.as_str(), what);
        }
        (Some(own), Some(folder)) if !own.value.is_voter => {
            let what = format!("a data folder makes a voter, which line {} does not say", own.line);
            reader.problem(folder.line, "daemon", "data_folder", what);
        }
        _ => {}
    }
    let others = peers.iter().filter(|peer| own.is_none_or(|own| own.value.id != peer.value.id));
    let voters = others.filter(|peer| peer.value.is_voter).count();
    let voters = voters + usize::from(daemon.data_folder.is_some());
    let header = reader.header("peers");
    if voters == 0 && own.is_none_or(|own| !own.value.is_voter) {
        reader.problem(header, "peers", "", "no daemon is a voter: mark one, three or five");
    }
    if voters > MAX_VOTERS {
        let what = format!("{voters} daemons are voters, {MAX_VOTERS} are the most");
        reader.problem(header, "peers", "", what);
    }
}

fn own_line<'a>(daemon: &DaemonSection, peers: &'a [At<PeerLine>]) -> Option<&'a At<PeerLine>> {
    let id = &daemon.id.as_ref()?.value;
    peers.iter().find(|peer| peer.value.id == *id)
}

/// Completes `[daemon]` from its own line in `[peers]`.
fn join(
    daemon: DaemonSection,
    cluster: ClusterSection,
    peers: Vec<At<PeerLine>>,
    reader: &mut Reader<'_>,
) -> Option<(Daemon, Cluster)> {
    let own = own_line(&daemon, &peers);
    let own_zone = own.map(|own| own.value.availability_zone.clone());
    let own_ip = own.map(|own| own.value.ip);
    let own_port = own.and_then(|own| own.value.port);
    let header = reader.header("daemon");
    let availability_zone =
        one_of(daemon.availability_zone, own_zone, "availability_zone", header, reader);
    let ip = one_of(daemon.ip, own_ip, "ip", header, reader);
    let [traffic_port, target_port, admin_port, peer_port] = daemon.ports.map(|port| port.value);
    if own_port.is_some_and(|port| port != peer_port) {
        let what = "its own line in [peers] has another port";
        reader.problem(daemon.ports[3].line, "daemon", "peer_port", what);
    }
    let id = daemon.id?.value;
    let others = peers.into_iter().map(|peer| peer.value).filter(|peer| peer.id != id);
    let daemon = Daemon {
        id: id.clone(),
        availability_zone: availability_zone?,
        ip: ip?,
        traffic_port,
        target_port,
        admin_port,
        peer_port,
        incarnation: daemon.incarnation,
        threads: daemon.threads,
        data_folder: daemon.data_folder.map(|folder| folder.value),
    };
    let cluster = Cluster {
        id: cluster.id?.value,
        key: cluster.key?.value,
        group: cluster.group,
        peers: sorted(others.map(|peer| peer.with_port(peer_port)).collect()),
    };
    Some((daemon, cluster))
}

fn sorted(mut peers: Vec<Peer>) -> Vec<Peer> {
    peers.sort_by(|a, b| DaemonId::cmp(&a.id, &b.id));
    peers
}

impl PeerLine {
    fn with_port(self, default: u16) -> Peer {
        let address = (self.ip, self.port.unwrap_or(default)).into();
        let PeerLine { id, availability_zone, is_voter, .. } = self;
        Peer { id, availability_zone, address, is_voter }
    }
}

/// The value of `[daemon]` or of the daemon's own line in `[peers]`, which must not differ.
fn one_of<T: PartialEq + std::fmt::Display>(
    given: Option<At<T>>,
    own: Option<T>,
    key: &str,
    header: u32,
    reader: &mut Reader<'_>,
) -> Option<T> {
    match (given, own) {
        (Some(given), Some(own)) if given.value != own => {
            let what = format!("its own line in [peers] says {own}");
            reader.problem(given.line, "daemon", key, what);
            None
        }
        (Some(given), _) => Some(given.value),
        (None, Some(own)) => Some(own),
        (None, None) if reader.has_problem("daemon", key) => None,
        (None, None) => {
            let what = "this key is missing, and [peers] has no line of this daemon";
            reader.problem(header, "daemon", key, what);
            None
        }
    }
}

/// Whether the folder, or the nearest one above it that exists, can be written.
fn probe(folder: &Path) -> io::Result<()> {
    let existing = folder.ancestors().find(|ancestor| ancestor.exists());
    let existing = match existing {
        Some(existing) => existing,
        None => Path::new("."),
    };
    let probe = existing.join(format!(".fescuebay-check-{}", std::process::id()));
    fs::File::create(&probe)?;
    fs::remove_file(&probe)
}
