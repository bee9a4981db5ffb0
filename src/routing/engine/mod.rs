//! The engine: every request's way from its arrival to its one end.
//!
//! Events go in by the methods; what to do comes out as [`Action`]s in [`Context::out`]. A request
//! is named by its [`Ticket`] from [`Engine::arrive`] until its end: [`Action::Refuse`],
//! [`Engine::complete`] or [`Engine::leave`]. After its end the ticket names nothing.

mod arrive;
mod dispatch;
mod outcome;
mod tables;
mod tick;

use std::sync::Arc;

use rand::rngs::SmallRng;

use crate::ids::{ClassName, Digest, ModelRef, ServiceName, TargetId, TenantId};
use crate::membership::table::RouteTable;
use crate::routing::admission::{self, Estimate};
use crate::routing::affinity::{Affinity, Conversation};
use crate::routing::budget::Budget;
use crate::routing::demand::{Demand, Pace};
use crate::routing::length::{self, Expected, Lengths};
use crate::routing::queue::{Fairness, Lane, Position, RANKS};
use crate::routing::refusal::Refusal;
use crate::routing::retry::Crest;
use crate::routing::share::Shares;
use crate::routing::slab::Slab;
use crate::routing::suspect::Suspects;
use crate::routing::target::{Number, Target};

pub use crate::routing::retry::Failure;

/// Names a request within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// Its place in the slab.
    pub place: u32,
    /// Which user of that place it is.
    pub generation: u32,
}

/// What a request is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Destination {
    /// A model or adapter.
    Model(ModelRef),
    /// A plain service.
    Service(ServiceName),
}

impl Destination {
    /// What its length is learned for.
    pub fn subject(&self) -> length::Subject {
        match self {
            Destination::Model(model) => length::Subject::Model(model.model.clone()),
            Destination::Service(service) => length::Subject::Service(service.clone()),
        }
    }

    /// Places in `table` of the targets that can serve it.
    pub fn candidates<'a>(&self, table: &'a RouteTable) -> &'a [u32] {
        match self {
            Destination::Model(model) => table.holding(model),
            Destination::Service(service) => table.serving(service),
        }
    }
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// What it is for.
    pub destination: Destination,
    /// Who asks.
    pub tenant: TenantId,
    /// Its class.
    pub class: ClassName,
    /// The rank of its class: 0 goes first. Ranks beyond the last count as the last.
    pub rank: u8,
    /// The weight of its tenant among those of one rank.
    pub weight: f64,
    /// When it must be answered.
    pub deadline_ms: u64,
    /// Most requests of this tenant and class that may wait.
    pub max_waiting: u32,
    /// Most requests of this tenant and class that may be at targets.
    pub max_in_flight: u32,
    /// Whether it may run twice.
    pub is_idempotent: bool,
    /// Whether its answer is a stream, which counts as answered at the first token.
    pub is_stream: bool,
    /// The token limit that it states.
    pub max_tokens: Option<u32>,
    /// The conversation that it belongs to.
    pub conversation: Option<Conversation>,
    /// The digest of the request.
    pub digest: Digest,
    /// Whether targets elsewhere are known to have failed while running it.
    pub is_suspect: bool,
    /// Memory that it takes while it waits.
    pub body_bytes: usize,
}

/// One attempt to be sent.
#[derive(Clone, Debug)]
pub struct Start {
    /// The request.
    pub ticket: Ticket,
    /// The table in which the target was found.
    pub table: Arc<RouteTable>,
    /// The place of the target in it.
    pub place: u32,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// How long the request has waited in the queue.
    pub waited_ms: u64,
    /// How long it was predicted to wait, if it had to.
    pub predicted_ms: Option<u64>,
    /// After how long without an answer a hedge is worthwhile.
    pub hedge_after_ms: Option<u64>,
    /// Whether a target may have died of the request, so that it may be sent only in a trial.
    pub is_suspect: bool,
}

/// What to do next.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an attempt.
    Start(Start),
    /// Tell the caller no: the end of the request.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// What to tell.
        refusal: Refusal,
    },
    /// Tell placement of demand.
    Demand(Demand),
    /// Tell the poison records what ran at a target that died.
    Died {
        /// The target.
        target: TargetId,
        /// Digests of the calls that were in flight there, or broke shortly before.
        digests: Vec<Digest>,
    },
}

/// What every event comes with.
pub struct Context<'a> {
    /// The time; it never goes back.
    pub now_ms: u64,
    /// Random numbers.
    pub rng: &'a mut SmallRng,
    /// Where actions are put.
    pub out: &'a mut Vec<Action>,
}

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    zone: Option<crate::ids::Zone>,
    long_share: f64,
    floor_share: f64,
    max_waiting: u32,
    max_waiting_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: None,
            long_share: 0.75,
            floor_share: 0.02,
            max_waiting: 20_000,
            max_waiting_bytes: 64 << 20,
        }
    }
}

impl Settings {
    /// Sets the availability zone of the router.
    pub fn zone(mut self, zone: crate::ids::Zone) -> Self {
        self.zone = Some(zone);
        self
    }

    /// Sets the share of each target's limit that long work may hold.
    pub fn long_share(mut self, share: f64) -> Self {
        self.long_share = share;
        self
    }

    /// Sets the share of turns that each lower rank gets while better ranks keep it waiting.
    pub fn floor_share(mut self, share: f64) -> Self {
        self.floor_share = share;
        self
    }

    /// Sets how many requests may wait in this daemon.
    pub fn max_waiting(mut self, requests: u32) -> Self {
        self.max_waiting = requests;
        self
    }

    /// Sets how much memory the bodies of waiting requests may take.
    pub fn max_waiting_bytes(mut self, bytes: usize) -> Self {
        self.max_waiting_bytes = bytes;
        self
    }
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Waits for the limit of its tenant and class.
    Parked,
    /// Waits in a lane.
    Waiting(Position),
    /// Waits before a retry.
    Pausing,
    /// At one target or two.
    Running,
}

#[derive(Clone, Debug)]
struct Request {
    arrival: Arrival,
    subject: length::Subject,
    share: usize,
    state: State,
    arrived_ms: u64,
    queued_ms: u64,
    raw_wait_ms: f64,
    predicted_ms: Option<u64>,
    expected: Expected,
    expected_ms: f64,
    answer_ms: f64,
    is_long: bool,
    is_delivering: bool,
    attempts: u32,
    /// Attempts that were not sent, for want of a trial.
    untried: u32,
    /// The target that was last found closed to it for now; it is among those to avoid.
    untried_at: Option<Number>,
    was_written: bool,
    is_admitted: bool,
    counted_waiting: bool,
    flights: [Option<(Number, u32)>; 2],
    avoid: Vec<Number>,
}

impl Request {
    /// Whether an attempt of it is at a target.
    fn is_in_flight(&self) -> bool {
        self.flights.iter().any(Option::is_some)
    }

    /// When it would be answered if it were sent after `wait_ms`.
    ///
    /// Its own time counts for at most half of what the caller allowed: a learned time that is too
    /// long must not keep out the very requests that would correct it.
    fn answered_ms(&self, now_ms: u64, wait_ms: f64) -> f64 {
        let allowed_ms = self.arrival.deadline_ms.saturating_sub(self.arrived_ms) as f64;
        let own_ms = if self.expected.is_learned() { self.answer_ms } else { 0.0 };
        now_ms as f64 + wait_ms + own_ms.min(allowed_ms / 2.0)
    }

    /// Whether it is at a target, for this destination.
    fn is_at_target_for(&self, destination: &Destination) -> bool {
        self.flights.iter().any(Option::is_some) && self.arrival.destination == *destination
    }

    /// The wait that is expected of it in a lane, as computed and as corrected for earlier errors.
    ///
    /// Without an observed length nothing is expected: a guess is no reason to refuse.
    fn queue_wait_ms(&self, ahead: usize, slots: f64, estimate: &Estimate) -> (f64, f64) {
        if !self.expected.is_learned() {
            return (0.0, 0.0);
        }
        let raw_ms = admission::wait_ms(ahead, self.expected_ms, slots);
        (raw_ms, estimate.corrected_ms(raw_ms))
    }

    /// Whether it would be answered by its deadline if it were sent after `wait_ms`.
    fn is_in_time(&self, now_ms: u64, wait_ms: f64) -> bool {
        self.answered_ms(now_ms, wait_ms) <= self.arrival.deadline_ms as f64
    }
}

#[derive(Clone, Copy, Debug)]
struct BrokenCall {
    at_ms: u64,
    number: Number,
    digest: Digest,
}

/// Routing state of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    settings: Settings,
    table: Arc<RouteTable>,
    targets: Vec<Target>,
    numbers: Vec<(Number, u32)>,
    next_number: u64,
    requests: Slab<Request>,
    lanes: Vec<Lane>,
    shares: Shares,
    fairness: Fairness,
    waiting_by_rank: [u32; RANKS],
    waiting_bytes: usize,
    sequence: u64,
    pauses: Vec<(u64, Ticket)>,
    estimate: Estimate,
    lengths: Lengths,
    budget: Budget,
    crest: Crest,
    affinity: Affinity,
    suspects: Suspects,
    broken: Vec<BrokenCall>,
    demand: Pace,
    unpark_later: Vec<usize>,
    has_empty_lane: bool,
}

impl Engine {
    /// An engine without targets.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// The table in use.
    pub fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// The name that the next request will get.
    pub fn next_ticket(&self) -> Ticket {
        self.requests.next()
    }

    /// Requests that have not ended.
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Requests that wait, for a target, for a limit or before a retry.
    pub fn waiting(&self) -> usize {
        self.requests.len() - self.running()
    }

    /// Whether any request waits.
    pub fn has_waiting(&self) -> bool {
        self.waiting_by_rank.iter().any(|waiting| *waiting > 0)
    }

    /// Requests at targets.
    pub fn running(&self) -> usize {
        self.shares.iter().map(|(_, _, share)| share.in_flight as usize).sum()
    }

    /// Calls in flight at all targets, hedges among them.
    pub fn flights(&self) -> usize {
        self.targets.iter().map(|target| target.flights.len()).sum()
    }

    /// Memory taken by the bodies of waiting requests.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// What is known of each target, in the order of the table.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// The lanes in which requests wait.
    pub fn lanes(&self) -> &[Lane] {
        &self.lanes
    }

    /// What each tenant and class has waiting and in flight.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    fn place_of(&self, number: Number) -> Option<u32> {
        let at = self.numbers.binary_search_by(|(n, _)| n.cmp(&number)).ok()?;
        Some(self.numbers[at].1)
    }

    fn target_of(&mut self, number: Number) -> Option<&mut Target> {
        let place = self.place_of(number)?;
        self.targets.get_mut(place as usize)
    }
}
