//! The messages between daemons and voters.

use bytes::Bytes;

use super::delegates::{ContactId, Permit};
use super::loads;
use super::routers::HelperQuery;
use super::speeds::SpeedChanges;
use super::takeover::LastOrder;
use crate::consensus::entry::VoterId;
use crate::consensus::formation;
use crate::ids::{DaemonId, Incarnation, ServiceName, TargetId, Term, Zone};
use crate::membership::feed;
use crate::origins::StreamKey;
use crate::origins::message::{BegunStreams, Origin, OriginQuery};
use crate::placement::swap::expected::ExpectedLoad;
use crate::placement::swap::{Order, OrderReply, demand};
use crate::poison;
use crate::quota::message::{QuotaGrant, QuotaReport};
use crate::rate_limit::message::{PermitAsk, PermitGrant, TargetStatement};
use crate::routes;
use crate::slot_lease::message::{BrittleNews, LeaseGrant, LeaseRequest};
use crate::target::order;
use crate::trailing;

/// A request to a voter.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Request {
    /// Read the voter's state of the group. Any voter answers.
    Status,
    /// Add this voter to the group. The leader answers.
    Join(VoterId),
    /// A target announced itself. The leader answers.
    Announce(Box<order::State>),
    /// A target has left, in this incarnation if one is given. The leader answers.
    Leave(TargetId, Option<Incarnation>),
    /// Store a route document. The leader answers.
    PutRoutes(routes::state::Command),
    /// Read the route document in force. The leader answers.
    GetRoutes,
    /// Long poll for updates. The leader answers, after a timeout if there are none.
    Watch(Box<WatchRequest>),
    /// The requests waiting and running at a router. The leader answers.
    Usage(Box<demand::RouterDemand>),
    /// Read when the voter sent its last order. The leader of this term asks, which also stops a
    /// leader of an earlier term from sending orders.
    LastOrder(Term),
    /// Statements of targets on their rate limits, and the permits that a router wants. The leader
    /// answers.
    Permits(Vec<PermitAsk>),
    /// What a router has and wants at brittle targets. The leader answers.
    LeaseSlots(Box<LeaseRequest>),
    /// This voter stops: give its place to one that waits. The leader answers once that is done, or if
    /// nobody waits.
    Retire(VoterId),
    /// What a router saw of requests that may crash targets, and what it wants to send. The leader
    /// answers.
    Poison(Box<poison::message::Report>),
    /// Streams that began at a router. The leader remembers them and passes them on.
    RecordStreams(StreamReport),
    /// Streams that began, as the leader was told. Any voter remembers them.
    CopyStreams(Vec<BegunStreams>),
    /// Who began these streams? The leader answers.
    FindStreams(Vec<OriginQuery>),
    /// Which routers reach targets of a service? The leader answers.
    FindHelpers(HelperQuery),
    /// Who began these streams, as far as this voter remembers? Any voter answers.
    RecallStreams(Vec<StreamKey>),
    /// What a router used and wants of the quotas of workspaces. The leader answers.
    Quota(Box<QuotaReport>),
    /// The leader of this term asks a voter to send nothing for earlier terms. The voter answers if it
    /// follows this leader and can send orders for it.
    Delegate(Term),
    /// An order that a delegate sends to an engine.
    SendOrder(Permit, Box<Order>),
}

/// A follower's long poll for updates. It also serves as its heartbeat.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WatchRequest {
    /// Whether the follower is a router.
    pub is_router: bool,
    /// Where it runs, if it is a router.
    pub zone: Option<Zone>,
    /// Its position in the feed of the route table.
    pub cursor: feed::FeedCursor,
    /// Its position in the totals of requests at targets.
    pub loads: feed::FeedCursor,
    /// Its position in the changes of rate limits.
    pub rate_limits: feed::FeedCursor,
    /// Its position in the changes of which targets are brittle.
    pub brittle: feed::FeedCursor,
    /// Its position in the changes of what may crash targets.
    pub suspects: feed::FeedCursor,
    /// Its position in the changes of the services with more than one software version.
    pub mixed_services: feed::FeedCursor,
    /// The position of these changes after which the follower has told of all its streams.
    pub streams_told: feed::FeedCursor,
    /// The document that it has, if any.
    pub routes: Option<routes::Version>,
    /// The requests waiting and running at it.
    pub usage: demand::RouterDemand,
}

/// Streams that began at a router.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StreamReport {
    /// The streams.
    pub begun: Vec<BegunStreams>,
    /// As [`WatchRequest::streams_told`], after this report.
    pub streams_told: feed::FeedCursor,
}

/// The updates that the leader sends to a follower.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WatchResponse {
    /// The leader's term.
    pub term: Term,
    /// Changes of the route table.
    pub batch: feed::FeedBatch,
    /// The document in force without the models of engines, encoded, if the follower is a router and
    /// has an older one.
    pub document: Option<(routes::Version, Bytes)>,
    /// Routers that polled recently, the requesting one included.
    pub routers: u32,
    /// Changes of the requests at each target, over all routers.
    pub loads: loads::LoadChanges,
    /// The leader's position in the changes of rate limits, and what all targets last said of
    /// theirs, if the follower is at another position.
    pub rate_limits: Option<(feed::FeedCursor, Vec<TargetStatement>)>,
    /// The leader's position in the changes of which targets are brittle, and what all of them last said, if the
    /// follower is at another position.
    pub brittle: Option<(feed::FeedCursor, Vec<BrittleNews>)>,
    /// The leader's position in the changes of what may crash targets, and all of it, if the follower
    /// is at another position.
    pub suspects: Option<(feed::FeedCursor, Vec<poison::message::Statement>)>,
    /// The leader's position in the changes of the services with more than one software version, and all
    /// of them, if the follower is at another position. They are never older than the route table.
    pub mixed_services: Option<(feed::FeedCursor, Vec<ServiceName>)>,
    /// The voters.
    pub voters: Vec<DaemonId>,
    /// When the models that requests wait for at the follower are expected to be loaded.
    #[serde(deserialize_with = "trailing::or_default")]
    pub expected_loads: Vec<ExpectedLoad>,
    /// Changes of the published speeds, if the follower is a router at another position.
    #[serde(deserialize_with = "trailing::or_default")]
    pub speeds: Option<SpeedChanges>,
}

/// A voter's state of the group.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The voter itself.
    pub voter: VoterId,
    /// The formation state in its folder.
    pub seen: formation::FolderState,
    /// The leader, if it knows one.
    pub leader: Option<DaemonId>,
}

/// The outcome of a request to join.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum JoinOutcome {
    /// It is a voter.
    Member,
    /// Its addition has started.
    Started,
    /// The group is full.
    Full,
}

/// The outcome of storing a route document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum PutRoutesOutcome {
    /// It is in force, or a higher version is.
    Acknowledged(routes::state::Outcome),
    /// It certainly was not stored. The request may be retried.
    NotDone,
    /// It may still be stored later.
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
    Joined(JoinOutcome),
    /// The request was carried out.
    Done,
    /// To [`Request::PutRoutes`].
    PutRoutes(PutRoutesOutcome),
    /// To [`Request::GetRoutes`]: the document in force, empty if there is none yet.
    Routes(Bytes),
    /// To [`Request::Watch`].
    Watch(Box<WatchResponse>),
    /// To [`Request::LastOrder`].
    LastOrder(LastOrder),
    /// To [`Request::Permits`].
    Permits(Vec<PermitGrant>),
    /// To [`Request::LeaseSlots`].
    LeasedSlots(Vec<LeaseGrant>),
    /// To [`Request::Poison`].
    Poison(poison::message::Permission),
    /// To [`Request::FindStreams`], in the order of the queries.
    Origins(Vec<Origin>),
    /// To [`Request::FindHelpers`].
    Helpers(Vec<DaemonId>),
    /// To [`Request::RecallStreams`]: the streams that this voter remembers.
    Recalled(Vec<BegunStreams>),
    /// To [`Request::Quota`].
    Quota(Vec<QuotaGrant>),
    /// To [`Request::Delegate`]. `None` if this voter sends no orders for that leader.
    Delegate(Option<ContactId>),
    /// To [`Request::SendOrder`]. `None` if the order was not sent and never will be.
    SentOrder(Option<OrderReply>),
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
