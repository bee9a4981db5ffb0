//! Builds settings without a file, for tests and the `dev` command.

use std::net::IpAddr;
use std::path::PathBuf;

use super::tokens::{ClusterKey, Tokens};
use super::{Cluster, Daemon, IncarnationSource, Log, Peer, Settings, Targets, Traffic};
use crate::ids::{ClusterId, DaemonId, GroupId, Zone};

/// Builds [`Settings`]. Every port is 0, which takes any free port, until one is given.
#[derive(Clone, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    pub(super) fn new(id: DaemonId, availability_zone: Zone, ip: IpAddr) -> Self {
        let daemon = Daemon {
            id,
            availability_zone,
            ip,
            traffic_port: 0,
            target_port: 0,
            admin_port: 0,
            peer_port: 0,
            incarnation: IncarnationSource::Clock,
            threads: super::THREADS,
            data_folder: None,
        };
        let cluster = Cluster {
            id: "local".parse::<ClusterId>().expect("a constant name"),
            key: ClusterKey::new([0; 32]),
            group: GroupId(1),
            peers: Vec::new(),
        };
        Self {
            settings: Settings {
                daemon,
                cluster,
                log: Log::default(),
                traffic: Traffic::default(),
                targets: Targets::default(),
                tokens: Tokens::default(),
                defaults: Vec::new(),
            },
        }
    }

    /// Sets the ports for callers, targets, operators and other daemons, in this order.
    pub fn ports(mut self, traffic: u16, target: u16, admin: u16, peer: u16) -> Self {
        let daemon = &mut self.settings.daemon;
        daemon.traffic_port = traffic;
        daemon.target_port = target;
        daemon.admin_port = admin;
        daemon.peer_port = peer;
        self
    }

    /// Makes the daemon a voter that keeps its state in `folder`.
    pub fn data_folder(mut self, folder: PathBuf) -> Self {
        self.settings.daemon.data_folder = Some(folder);
        self
    }

    /// Sets the number of traffic threads.
    pub fn threads(mut self, threads: usize) -> Self {
        self.settings.daemon.threads = threads;
        self
    }

    /// Sets the cluster's id and key.
    pub fn cluster(mut self, id: ClusterId, key: ClusterKey) -> Self {
        self.settings.cluster.id = id;
        self.settings.cluster.key = key;
        self
    }

    /// Adds another daemon of the cluster.
    pub fn peer(mut self, peer: Peer) -> Self {
        self.settings.cluster.peers.push(peer);
        self.settings.cluster.peers.sort_by(|a, b| a.id.cmp(&b.id));
        self
    }

    /// Sets how log lines look and which are written.
    pub fn log(mut self, log: Log) -> Self {
        self.settings.log = log;
        self
    }

    /// Sets the side towards callers.
    pub fn traffic(mut self, traffic: Traffic) -> Self {
        self.settings.traffic = traffic;
        self
    }

    /// Sets the side towards targets.
    pub fn targets(mut self, targets: Targets) -> Self {
        self.settings.targets = targets;
        self
    }

    /// Sets the tokens.
    pub fn tokens(mut self, tokens: Tokens) -> Self {
        self.settings.tokens = tokens;
        self
    }

    /// Sets the first fleet defaults.
    pub fn defaults(mut self, defaults: Vec<crate::config::Setting>) -> Self {
        self.settings.defaults = defaults;
        self
    }

    /// The settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
