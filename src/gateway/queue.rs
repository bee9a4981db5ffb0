//! Queue of requests that wait for a target.
//!
//! Requests are served by rank. Within a rank, those go first whose last useful start is near, then
//! those that can still meet their latency target, then the others. Among these, a workspace that was
//! served fewer tokens recently goes first, then the request that has to begin first.
//!
//! Worst-case load: a burst of requests for models that no target has loaded, while requests for
//! other models pass, and workspaces that send several times their usual load.

mod order;
mod shares;

use super::choice::PermitClaims;
use super::continuation::Continuation;
use super::forecast::{Outlook, Shortage};
use super::wait_limit::WaitTimes;
use crate::ids::{ModelRef, ServiceName, TargetId, TenantId};
use crate::placement::swap::demand::WaitingRequests;
use crate::rate_limit::TargetLife;
use crate::slot_lease::message::RankCount;

use order::ServingOrder;
use shares::Shares;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Its id, in order of arrival.
    pub id: WaiterId,
    /// The service of the request.
    pub service: ServiceName,
    /// The requested model or adapter, if the service is a model engine.
    pub model: Option<ModelRef>,
    /// The parts of its prompt.
    pub prompt_parts: Vec<(u64, u32)>,
    /// Tokens that it needs in the memory of an engine; 0 if it is not known.
    pub need_tokens: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Targets at which earlier attempts of the request failed.
    pub avoided_targets: Vec<TargetId>,
    /// Which targets may continue the stream, if it has events already.
    pub continuation: Continuation,
    /// Its priority; 0 is served first.
    pub rank: u8,
    /// When the latency target of its route expires.
    pub respond_by_ms: u64,
    /// When it is refused if it still waits.
    pub give_up_ms: u64,
    /// Whether it may wait for a permit although another target could take it.
    pub may_await: bool,
    /// Whether it was decided, while the wait for a slot of a brittle target was known, that it may wait.
    pub is_judged: bool,
    /// The limited or brittle target that it waits for.
    pub awaited: Option<AwaitedPermit>,
    /// The workspace that it is for.
    pub workspace: Option<TenantId>,
    /// Its size in tokens.
    pub tokens: u64,
    /// When it was queued.
    pub queued_ms: u64,
    /// The times that bound its wait.
    pub times: WaitTimes,
    /// Whether it is held for as long as the forecast allows, not until a fixed time.
    pub is_reviewed: bool,
    /// What it lacked when it was last tried.
    pub shortage: Shortage,
    /// The last forecast.
    pub outlook: Outlook,
    /// When it was expected to have a slot at the latest by the first forecast from observations of slots.
    pub promised_ms: Option<u64>,
}

/// What was found for a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placing<T> {
    /// It is served.
    Served(T),
    /// It need not wait any more.
    Ended(T),
    /// It goes on waiting.
    Waits,
}

/// The permit, or the slot of a brittle target, that a waiting request counts on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AwaitedPermit {
    /// The target.
    pub life: TargetLife,
    /// Whether another target could take the request meanwhile.
    pub has_alternative: bool,
}

/// The waiting requests.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    /// Sorted by rank and arrival.
    waiters: Vec<WaitingRequest>,
    last_id: u64,
    shares: Shares,
    /// Requests that were served in a row while one of a less urgent rank was out of time.
    passed: u32,
}

/// Requests of more urgent ranks that are served in a row while one of another rank is nearly out of time.
/// After them it has its turn, so that no rank is starved.
const MAX_PASSED: u32 = 19;

/// Where a request stands among those that wait for the same model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Requests that wait for the same model, this one included.
    pub waiting: u32,
    /// Those of them that go before it.
    pub ahead: u32,
}

/// Waiting requests for one model.
struct Group {
    service: ServiceName,
    model: Option<ModelRef>,
    waiting: u32,
    ahead: u32,
}

fn count_in_group<'a>(groups: &'a mut Vec<Group>, waiter: &WaitingRequest) -> &'a mut Group {
    let key = (&waiter.service, &waiter.model);
    let at = match groups.binary_search_by(|group| (&group.service, &group.model).cmp(&key)) {
        Ok(at) => at,
        Err(at) => {
            let (service, model) = (waiter.service.clone(), waiter.model.clone());
            groups.insert(at, Group { service, model, waiting: 0, ahead: 0 });
            at
        }
    };
    &mut groups[at]
}

impl RequestQueue {
    /// Allocates the id of the next request.
    pub fn next_id(&mut self) -> WaiterId {
        self.last_id += 1;
        WaiterId(self.last_id)
    }

    /// Adds a request, kept by rank and within a rank by arrival.
    pub fn insert(&mut self, waiter: WaitingRequest) {
        let at =
            self.waiters.partition_point(|other| (other.rank, other.id) < (waiter.rank, waiter.id));
        self.waiters.insert(at, waiter);
    }

    /// Removes a request, if it is still in the queue.
    pub fn remove(&mut self, id: WaiterId) -> Option<WaitingRequest> {
        let at = self.waiters.iter().position(|waiter| waiter.id == id)?;
        Some(self.waiters.remove(at))
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Removes every request that `find` does not leave waiting, in the order in which requests are
    /// served, and returns both.
    pub fn take_placed<T>(
        &mut self,
        now_ms: u64,
        mut find: impl FnMut(&mut WaitingRequest) -> Placing<T>,
    ) -> Vec<(WaitingRequest, T)> {
        let is_turn_of_last = self.passed >= MAX_PASSED;
        let mut order = ServingOrder::new(now_ms, &self.waiters, is_turn_of_last);
        let mut taken: Vec<(usize, T)> = Vec::new();
        while let Some(at) = order.next(&self.shares) {
            match find(&mut self.waiters[at]) {
                Placing::Served(found) => {
                    let waiter = &self.waiters[at];
                    self.shares.record(now_ms, waiter.workspace.as_ref(), waiter.tokens);
                    self.passed = if order.is_passing(waiter.rank) { self.passed + 1 } else { 0 };
                    taken.push((at, found));
                }
                Placing::Ended(found) => taken.push((at, found)),
                Placing::Waits => {}
            }
        }
        self.remove_taken(taken)
    }

    fn remove_taken<T>(&mut self, taken: Vec<(usize, T)>) -> Vec<(WaitingRequest, T)> {
        if taken.is_empty() {
            return Vec::new();
        }
        let mut waiters: Vec<Option<WaitingRequest>> =
            std::mem::take(&mut self.waiters).into_iter().map(Some).collect();
        let removed = taken
            .into_iter()
            .filter_map(|(at, found)| Some((waiters[at].take()?, found)))
            .collect();
        self.waiters = waiters.into_iter().flatten().collect();
        removed
    }

    /// Records that a request was served without a wait.
    pub fn record_served(&mut self, now_ms: u64, workspace: Option<&TenantId>, tokens: u64) {
        self.shares.record(now_ms, workspace, tokens);
    }

    /// The waiting request of this id.
    pub fn find(&self, id: WaiterId) -> Option<&WaitingRequest> {
        self.waiters.iter().find(|waiter| waiter.id == id)
    }

    /// Requests for the same model, and those of them that go before one of this rank that has to begin
    /// at `start_by_ms`.
    pub fn count_ahead(
        &self,
        service: &ServiceName,
        model: Option<&ModelRef>,
        rank: u8,
        start_by_ms: u64,
    ) -> (u32, u32) {
        let is_same =
            |waiter: &&WaitingRequest| waiter.service == *service && waiter.model.as_ref() == model;
        let same = self.waiters.iter().filter(is_same);
        same.fold((0, 0), |(all, ahead), waiter| {
            let is_ahead = (waiter.rank, waiter.times.start_by_ms) <= (rank, start_by_ms);
            (all + 1, ahead + u32::from(is_ahead))
        })
    }

    /// Whether a request for a service waits that is more urgent than `rank`.
    pub fn has_more_urgent(&self, service: &ServiceName, rank: u8) -> bool {
        let more_urgent = self.waiters.iter().take_while(|waiter| waiter.rank < rank);
        more_urgent.into_iter().any(|waiter| waiter.service == *service)
    }

    /// Calls `judge` for each waiting request in the order in which they are served, with its standing.
    pub fn review(&mut self, now_ms: u64, mut judge: impl FnMut(&mut WaitingRequest, Standing)) {
        let mut order = ServingOrder::new(now_ms, &self.waiters, false);
        let mut groups: Vec<Group> = Vec::new();
        for waiter in &self.waiters {
            count_in_group(&mut groups, waiter).waiting += 1;
        }
        while let Some(at) = order.next(&self.shares) {
            let group = count_in_group(&mut groups, &self.waiters[at]);
            let (waiting, ahead) = (group.waiting, group.ahead);
            group.ahead += 1;
            judge(&mut self.waiters[at], Standing { waiting, ahead });
        }
    }

    /// The permits that waiting requests count on.
    pub fn permit_claims(&self) -> PermitClaims {
        self.permit_claims_before(u8::MAX)
    }

    /// The permits that waiting requests count on which are served before a new one of this rank.
    pub fn permit_claims_before(&self, rank: u8) -> PermitClaims {
        let mut claims = PermitClaims::default();
        let before = self.waiters.iter().filter(|waiter| waiter.rank <= rank);
        for awaited in before.filter_map(|waiter| waiter.awaited.as_ref()) {
            claims.add(awaited.life.clone(), !awaited.has_alternative);
        }
        claims
    }

    /// The waiting requests that count on slots of a target, by rank.
    pub fn waiting_by_rank(&self, life: &TargetLife) -> Vec<RankCount> {
        let is_awaited = |waiter: &&WaitingRequest| {
            waiter.awaited.as_ref().is_some_and(|awaited| awaited.life == *life)
        };
        let mut counts: Vec<RankCount> = Vec::new();
        // They are in the order of their ranks.
        for waiter in self.waiters.iter().filter(is_awaited) {
            match counts.last_mut() {
                Some(last) if last.rank == waiter.rank => last.count += 1,
                _ => counts.push(RankCount { rank: waiter.rank, count: 1 }),
            }
        }
        counts
    }

    /// Number and urgency of waiting requests for each model, as input of placement.
    pub fn waiting_by_model(&self, now_ms: u64) -> Vec<WaitingRequests> {
        let mut waiting: Vec<WaitingRequests> = Vec::new();
        for waiter in &self.waiters {
            let Some(model) = &waiter.model else { continue };
            let slack_ms = waiter.respond_by_ms as i64 - now_ms as i64;
            let software = waiter.continuation.software().cloned();
            let is_same =
                |known: &&mut WaitingRequests| known.model == *model && known.software == software;
            match waiting.iter_mut().find(is_same) {
                Some(known) => {
                    known.count += 1;
                    known.slack_ms = known.slack_ms.min(slack_ms);
                }
                None => {
                    let model = model.clone();
                    waiting.push(WaitingRequests { model, software, count: 1, slack_ms });
                }
            }
        }
        waiting
    }
}
