//! What daemons ask of voters, and what voters answer.

use bytes::Bytes;

use super::loads;
use super::takeover::LastOrder;
use crate::consensus::entry::VoterId;
use crate::consensus::formation;
use crate::ids::{DaemonId, Incarnation, TargetId, Term};
use crate::membership::feed;
use crate::placement::swap::demand;
use crate::routes;
use crate::target::order;

/// A request to a voter.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Request {
    /// What the voter knows of the group. Any voter answers.
    Status,
    /// Take this voter into the group. The leader answers.
    Join(VoterId),
    /// A target announced itself. The leader answers.
    Announced(Box<order::State>),
    /// A target is gone, in this life if that is told. The leader answers.
    Left(TargetId, Option<Incarnation>),
    /// Put a document in force. The leader answers.
    PutRoutes(routes::state::Command),
    /// Read the document in force. The leader answers.
    GetRoutes,
    /// What is new since? The leader answers, after a while if nothing is.
    Watch(Box<Watch>),
    /// What a router has waiting and running now. The leader answers.
    Usage(Box<demand::Usage>),
    /// When did the voter give its last order? The leader of this term asks, so that an earlier leader
    /// gives none any more.
    LastOrder(Term),
}

/// A follower's question for news. It is also its sign of life.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Watch {
    /// Whether the follower takes requests of callers.
    pub is_router: bool,
    /// How far it is in the route table.
    pub cursor: feed::FeedCursor,
    /// How far it is in the totals of requests at targets.
    pub loads: feed::FeedCursor,
    /// The document that it has, if any.
    pub routes: Option<routes::Version>,
    /// What it has waiting and running.
    pub usage: demand::Usage,
}

/// What the leader tells a follower.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct News {
    /// The leader's term.
    pub term: Term,
    /// Changes of the route table.
    pub batch: feed::FeedBatch,
    /// The document in force without the models of engines, encoded, if the follower is a router and
    /// has an older one.
    pub document: Option<(routes::Version, Bytes)>,
    /// Routers that asked for news lately, the asking one included.
    pub routers: u32,
    /// Changes of the requests at each target, over all routers.
    pub loads: loads::Changes,
    /// The voters.
    pub voters: Vec<DaemonId>,
}

/// What a voter knows of the group.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The voter itself.
    pub voter: VoterId,
    /// What its folder says.
    pub seen: formation::Seen,
    /// The leader, if it knows one.
    pub leader: Option<DaemonId>,
}

/// What becomes of a voter that wants to join.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Joined {
    /// It is a voter.
    Member,
    /// It is being taken in.
    Started,
    /// No place is free.
    Full,
}

/// What became of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Put {
    /// It is in force, or was overtaken by a higher version.
    Acknowledged(routes::state::Outcome),
    /// It certainly is not in force; it may be sent again.
    NotDone,
    /// It may come into force later.
    Unknown,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// Another voter leads, if it is known.
    NotLeader(Option<DaemonId>),
    /// To [`Request::Status`].
    Status(Box<Status>),
    /// To [`Request::Join`].
    Joined(Joined),
    /// It was taken in.
    Done,
    /// To [`Request::PutRoutes`].
    Put(Put),
    /// To [`Request::GetRoutes`]: the document in force, empty if there is none yet.
    Routes(Bytes),
    /// To [`Request::Watch`].
    News(Box<News>),
    /// To [`Request::LastOrder`].
    LastOrder(LastOrder),
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
