//! Routing state machine: tracks each request from arrival to completion, refusal or cancellation.
//!
//! Callers report events through the methods of [`RoutingEngine`] and carry out the [`Action`]s
//! that are appended to [`EventContext::out`]. A [`Ticket`] identifies a request from
//! [`RoutingEngine::arrive`] until [`Action::Refuse`], [`RoutingEngine::complete`] or
//! [`RoutingEngine::cancel`]; after that it is invalid.

mod arrival;
mod dispatch;
mod outcome;
mod permits;
mod table_update;
mod tick;

use std::sync::Arc;

use rand::rngs::SmallRng;

use crate::ids::{ClassName, Digest, ModelRef, ServiceName, TargetId, TenantId};
use crate::membership::table::RouteTable;
use crate::rate_limit::TargetLife;
use crate::rate_limit::permits::{PermitId, PermitPool};
use crate::routing::admission::{self, WaitEstimate};
use crate::routing::affinity::{ConversationHash, PrefixAffinity};
use crate::routing::budget::RetryBudget;
use crate::routing::demand::{DemandTracker, ModelDemand};
use crate::routing::duration::{self, DurationEstimates, ExpectedDuration};
use crate::routing::queue::{DestinationQueue, FairScheduler, QueuePosition, RANKS};
use crate::routing::refusal::Refusal;
use crate::routing::retry::RefusalRate;
use crate::routing::slab::Slab;
use crate::routing::suspect::Suspects;
use crate::routing::target::{Target, TargetNumber};
use crate::routing::usage::UsageTable;

pub use crate::routing::retry::AttemptFailure;

/// Identifies a request within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// Index of the request in the slab.
    pub index: u32,
    /// Generation of that index, which changes whenever the index is reused.
    pub generation: u32,
}

/// The model or service that a request is addressed to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Destination {
    /// A model or adapter.
    Model(ModelRef),
    /// A plain service.
    Service(ServiceName),
}

impl Destination {
    /// The key under which durations of these requests are learned.
    pub fn duration_key(&self) -> duration::DurationKey {
        match self {
            Destination::Model(model) => duration::DurationKey::Model(model.model.clone()),
            Destination::Service(service) => duration::DurationKey::Service(service.clone()),
        }
    }

    /// Indices in `table` of the targets that can serve this destination.
    pub fn candidates<'a>(&self, table: &'a RouteTable) -> &'a [u32] {
        match self {
            Destination::Model(model) => table.holding(model),
            Destination::Service(service) => table.serving(service),
        }
    }
}

/// The properties of an arriving request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The model or service that is requested.
    pub destination: Destination,
    /// The tenant that sent the request.
    pub tenant: TenantId,
    /// The class of the request.
    pub class: ClassName,
    /// The rank of the class; 0 is served first. Ranks beyond the last count as the last.
    pub rank: u8,
    /// The weight of the tenant in fair queueing within a rank.
    pub weight: f64,
    /// The time by which the request must be answered.
    pub deadline_ms: u64,
    /// Most requests of this tenant and class that may wait.
    pub max_waiting: u32,
    /// Most requests of this tenant and class that may be at targets.
    pub max_in_flight: u32,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the response is a stream, which counts as answered at the first token.
    pub is_stream: bool,
    /// The token limit stated in the request.
    pub max_tokens: Option<u32>,
    /// The conversation that the request belongs to.
    pub conversation: Option<ConversationHash>,
    /// The digest of the request.
    pub digest: Digest,
    /// Whether targets elsewhere are known to have failed while running it.
    pub is_suspect: bool,
    /// Memory that the body takes while the request waits.
    pub body_bytes: usize,
}

/// An attempt that the caller must send to a target.
#[derive(Clone, Debug)]
pub struct AttemptStart {
    /// The request.
    pub ticket: Ticket,
    /// The route table that `target_index` refers to.
    pub table: Arc<RouteTable>,
    /// The index of the target in `table`.
    pub target_index: u32,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// Time since the arrival of the request.
    pub waited_ms: u64,
    /// The predicted queue wait, if the request was queued.
    pub predicted_ms: Option<u64>,
    /// Delay without a response after which a hedge may be requested; `None` if it never may.
    pub hedge_after_ms: Option<u64>,
    /// Whether the request may have crashed a target, so that it may be sent only as a trial.
    pub is_suspect: bool,
    /// The permit to send it, if the target is limited.
    pub permit: Option<PermitId>,
}

/// An effect that the caller of the engine must carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an attempt.
    StartAttempt(AttemptStart),
    /// Refuse the request, which ends it.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The refusal to return to the caller.
        refusal: Refusal,
    },
    /// Report demand for a model to placement.
    ReportDemand(ModelDemand),
    /// Ask the leader for permits, or tell it of a rate limit.
    AskPermits,
    /// Report the requests that were running at a target that died to the poison records.
    TargetDied {
        /// The target.
        target: TargetId,
        /// Digests of the calls that were in flight at the target or broke shortly before.
        digests: Vec<Digest>,
    },
}

/// Time, randomness and output that are passed with each event.
pub struct EventContext<'a> {
    /// The current time; it never decreases.
    pub now_ms: u64,
    /// The random number generator.
    pub rng: &'a mut SmallRng,
    /// The list to which actions are appended.
    pub out: &'a mut Vec<Action>,
}

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    zone: Option<crate::ids::Zone>,
    long_share: f64,
    floor_share: f64,
    max_waiting: u32,
    max_waiting_bytes: usize,
}

impl Default for EngineSettings {
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

impl EngineSettings {
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

    /// Sets the minimum share of dispatches that each lower rank gets while better ranks are busy.
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
enum RequestState {
    /// Waits because the in-flight limit of its tenant and class is reached.
    Parked,
    /// Waits in the queue of its destination.
    Waiting(QueuePosition),
    /// Waits before a retry.
    BackingOff,
    /// Has an attempt in flight, or two while it is hedged.
    Running,
}

#[derive(Clone, Debug)]
struct Request {
    /// Numbers requests in the order of their arrival.
    number: u64,
    arrival: Arrival,
    duration_key: duration::DurationKey,
    usage_index: usize,
    state: RequestState,
    arrived_ms: u64,
    queued_ms: u64,
    uncorrected_wait_ms: f64,
    predicted_ms: Option<u64>,
    expected: ExpectedDuration,
    expected_ms: f64,
    answer_ms: f64,
    is_long: bool,
    is_delivering: bool,
    attempts: u32,
    /// Attempts that were not sent because no trial was available.
    unsent_attempts: u32,
    /// The limited target for whose permit the request waits.
    awaited: Option<permits::AwaitedPermit>,
    /// Until when it waits for a permit although another target could take it.
    await_until_ms: Option<u64>,
    /// The target where a trial was last unavailable; it is also in `avoided_targets`.
    trial_unavailable_at: Option<TargetNumber>,
    was_written: bool,
    is_admitted: bool,
    is_counted_waiting: bool,
    calls: [Option<(TargetNumber, u32)>; 2],
    avoided_targets: Vec<TargetNumber>,
}

impl Request {
    /// Whether an attempt of the request is in flight.
    fn is_in_flight(&self) -> bool {
        self.calls.iter().any(Option::is_some)
    }

    /// The time at which the request would be answered if it were sent after `wait_ms`.
    ///
    /// The learned response time counts for at most half of the time that the caller allowed: an
    /// overestimate must not refuse the very requests whose responses would correct it.
    fn expected_answer_at_ms(&self, now_ms: u64, wait_ms: f64) -> f64 {
        let allowed_ms = self.arrival.deadline_ms.saturating_sub(self.arrived_ms) as f64;
        let own_ms = if self.expected.is_learned() { self.answer_ms } else { 0.0 };
        now_ms as f64 + wait_ms + own_ms.min(allowed_ms / 2.0)
    }

    /// Whether the request is for `destination` and in flight.
    fn is_at_target_for(&self, destination: &Destination) -> bool {
        self.calls.iter().any(Option::is_some) && self.arrival.destination == *destination
    }

    /// The expected queue wait, before and after the correction for earlier prediction errors.
    ///
    /// Both are 0 until a duration was observed: a request is not refused because of a default.
    fn queue_wait_ms(&self, ahead: usize, slots: f64, estimate: &WaitEstimate) -> (f64, f64) {
        if !self.expected.is_learned() {
            return (0.0, 0.0);
        }
        let uncorrected_ms = admission::wait_ms(ahead, self.expected_ms, slots);
        (uncorrected_ms, estimate.corrected_ms(uncorrected_ms))
    }

    /// Whether the request would be answered by its deadline if it were sent after `wait_ms`.
    fn can_meet_deadline(&self, now_ms: u64, wait_ms: f64) -> bool {
        self.expected_answer_at_ms(now_ms, wait_ms) <= self.arrival.deadline_ms as f64
    }
}

#[derive(Clone, Copy, Debug)]
struct BrokenCall {
    failed_ms: u64,
    number: TargetNumber,
    digest: Digest,
}

/// The routing state of one daemon.
#[derive(Clone, Debug, Default)]
pub struct RoutingEngine {
    settings: EngineSettings,
    table: Arc<RouteTable>,
    targets: Vec<Target>,
    index_by_number: Vec<(TargetNumber, u32)>,
    next_number: u64,
    requests: Slab<Request>,
    queues: Vec<DestinationQueue>,
    usage: UsageTable,
    fair_scheduler: FairScheduler,
    waiting_by_rank: [u32; RANKS],
    waiting_bytes: usize,
    sequence: u64,
    backoffs: Vec<(u64, Ticket)>,
    wait_estimate: WaitEstimate,
    durations: DurationEstimates,
    retry_budget: RetryBudget,
    refusal_rate: RefusalRate,
    affinity: PrefixAffinity,
    suspects: Suspects,
    broken_calls: Vec<BrokenCall>,
    demand_tracker: DemandTracker,
    permits: PermitPool,
    /// Interrupted streams that wait for a permit to be resumed, by target.
    waiting_resumes: Vec<TargetLife>,
    is_permit_wanted: bool,
    usages_to_unpark: Vec<usize>,
    has_empty_queue: bool,
}

impl RoutingEngine {
    /// Creates an engine without targets.
    pub fn new(settings: EngineSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// The route table in use.
    pub fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// The ticket that the next request will get.
    pub fn next_ticket(&self) -> Ticket {
        self.requests.next_ticket()
    }

    /// The number of requests that have not ended.
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// The number of requests that wait for a target, for a limit or for a retry.
    pub fn waiting(&self) -> usize {
        self.requests.len() - self.running()
    }

    /// Whether any request waits.
    pub fn has_waiting(&self) -> bool {
        self.waiting_by_rank.iter().any(|waiting| *waiting > 0)
    }

    /// The number of requests with an attempt in flight.
    pub fn running(&self) -> usize {
        self.usage.iter().map(|(_, _, usage)| usage.in_flight as usize).sum()
    }

    /// The number of calls in flight at all targets, hedges included.
    pub fn in_flight_calls(&self) -> usize {
        self.targets.iter().map(|target| target.calls.len()).sum()
    }

    /// Memory taken by the bodies of waiting requests.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// The state of each target, in the order of the route table.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// The queues, sorted by destination.
    pub fn queues(&self) -> &[DestinationQueue] {
        &self.queues
    }

    /// Waiting and in-flight counts of each tenant and class.
    pub fn usage(&self) -> &UsageTable {
        &self.usage
    }

    fn index_of(&self, number: TargetNumber) -> Option<u32> {
        let at = self.index_by_number.binary_search_by(|(n, _)| n.cmp(&number)).ok()?;
        Some(self.index_by_number[at].1)
    }

    fn target_mut(&mut self, number: TargetNumber) -> Option<&mut Target> {
        let index = self.index_of(number)?;
        self.targets.get_mut(index as usize)
    }
}
