//! What daemons ask of each other, beside the messages of the replicated log.

use std::net::SocketAddr;

use crate::config;
use crate::consensus::entry::VoterId;
use crate::consensus::formation;
use crate::control::{commands, poison, port, queries};
use crate::ids::{DaemonId, Incarnation, LogIndex, ModelRef, TargetId, Term, Zone};
use crate::membership::daemons::Heartbeat;
use crate::membership::feed::{FeedBatch, FeedCursor};
use crate::membership::targets::{AnnouncementOutcome, TargetReport};
use crate::placement::demand;
use crate::rate_limit::message::{PermitAsk, PermitGrant, TargetStatement};
use crate::target::order;

/// A question to another daemon.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Request {
    /// To the leader: a heartbeat, and what the sender has; answered when there is news or after
    /// a while.
    Watch(Box<Watch>),
    /// To a home daemon: the whole announcement of a target.
    Announced(Box<order::State>),
    /// To a home daemon: a target announced itself with nothing new.
    Alive(TargetId, Incarnation, u64),
    /// To a home daemon: a target said that it is gone.
    Left(TargetId, Incarnation),
    /// To the leader: changes of watched targets.
    Reports(Vec<TargetReport>),
    /// To the leader: what waits and runs at a router.
    Demand(Vec<demand::DemandEntry>),
    /// To the leader: a command for the replicated state.
    Propose(Box<commands::Command>),
    /// To the leader: a question about the replicated state.
    Query(queries::Query),
    /// To the leader: what operators are shown.
    Show(Show),
    /// To the leader: replace a voter.
    ReplaceVoter(DaemonId, DaemonId),
    /// To any voter: who leads, and how the log stands.
    Status,
    /// To the leader: what targets said of their rate limits, and the permits that are wanted.
    Permits(Vec<PermitAsk>),
}

/// What operators are shown, known to the leader alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Show {
    /// The targets, with their memory.
    Targets,
    /// The models that are wanted or loaded.
    Models,
    /// The daemons, with their revisions.
    Revisions,
    /// The voters.
    Voters,
}

/// A heartbeat, and how far the sender is with everything that it follows.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Watch {
    /// The heartbeat. Its revision is the one that the sender has in force.
    pub heartbeat: Heartbeat,
    /// How far it is in the feed of the route table.
    pub cursor: FeedCursor,
    /// The list of daemons that it has.
    pub daemons: Version,
    /// The revision of the list of poison requests that it has.
    pub poison: u64,
    /// The version of the rate limits that it was told of.
    pub rate_limits: Version,
}

/// The version of a list that a leader keeps. Versions of different terms are never equal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Version {
    /// The term of the leader.
    pub term: Term,
    /// Rises with each change.
    pub number: u64,
}

/// A daemon that takes part, and where it runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Place {
    /// The daemon.
    pub daemon: DaemonId,
    /// Where it runs.
    pub availability_zone: Zone,
    /// Where targets announce themselves to it.
    pub target_address: SocketAddr,
}

/// The daemons that take part, sorted.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Places {
    /// The version of the list.
    pub version: Version,
    /// The daemons.
    pub list: Vec<Place>,
}

/// An answer of another daemon.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// Done; there is nothing to tell.
    Done,
    /// The daemon asked does not lead. It may know who does. Nothing was done.
    NotLeader(Option<DaemonId>),
    /// What became of an announcement.
    Taken(AnnouncementOutcome),
    /// News for a daemon that watches.
    News(Box<News>),
    /// Time until a replica is expected, for each model in demand where that is known.
    Expected(Vec<Expected>),
    /// The outcome of a command.
    Outcome(Box<commands::Outcome>),
    /// The request failed, with its step.
    Failed(port::ProposalOutcome, String),
    /// The answer to a query.
    Answer(Box<queries::Answer>),
    /// What operators are shown, as JSON of the view that was asked for.
    Shown(String),
    /// How the log stands at a voter.
    Status(Box<Status>),
    /// The permits that the leader grants.
    Permits(Vec<PermitGrant>),
}

/// When a replica of a model is expected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Expected {
    /// The model or adapter.
    pub model: ModelRef,
    /// Time until then.
    pub in_ms: u64,
}

/// How the log stands at a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The voter, with the life of its folder.
    pub voter: VoterId,
    /// What its folder says of a group.
    pub seen: formation::FolderState,
    /// The daemon that it takes for the leader.
    pub leader: Option<DaemonId>,
    /// Its term.
    pub term: Term,
    /// The last entry that is committed.
    pub commit: LogIndex,
    /// The last entry that it holds durably.
    pub last: LogIndex,
}

/// What changed since the watcher's last question.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct News {
    /// The term of the leader that answers.
    pub term: Term,
    /// Changes of the route table.
    pub batch: FeedBatch,
    /// Changes of the configuration.
    pub fleet: FleetNews,
    /// The daemons that take part, if the list changed.
    pub daemons: Option<Places>,
    /// Changes of the list of poison requests.
    pub poison: Option<poison::Feed>,
    /// What all targets last said of their rate limits, if any of it changed.
    pub rate_limits: Option<(Version, Vec<TargetStatement>)>,
}

/// Changes of the configuration.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum FleetNews {
    /// The watcher's revision is the newest.
    Same,
    /// The changes that follow the watcher's revision.
    Changes(Vec<config::Accepted>),
    /// The whole configuration: the watcher is too far behind.
    Whole(Box<config::Fleet>),
}

impl FleetNews {
    /// What a watcher with `revision` in force needs.
    pub fn since(state: &config::State, revision: crate::ids::Revision) -> Self {
        if state.fleet().revision() == revision {
            return FleetNews::Same;
        }
        match state.since(revision) {
            Some(changes) => FleetNews::Changes(changes.cloned().collect()),
            None => FleetNews::Whole(Box::new(state.fleet().clone())),
        }
    }
}

/// Encodes a request or a reply.
pub fn encode<T: serde::Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages hold nothing that postcard refuses")
}

/// Decodes a request or a reply.
///
/// # Errors
/// When the bytes are not such a message.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
