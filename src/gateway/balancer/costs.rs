//! What the cost of targets depends on: measured times, published speeds, memory, and kept prompts.

use super::{Balancer, KnownTarget};
use crate::coordinator::speeds::{SpeedChanges, SpeedReport};
use crate::gateway::choice::TargetQuery;
use crate::gateway::kept_prompts::SharedParts;
use crate::gateway::others::TotalsAge;
use crate::gateway::paces::Measurement;
use crate::gateway::target_cost::{self, RequestCost, ServiceTimes, TargetLoad};
use crate::ids::{ModelRef, ServiceName, TargetId};
use crate::membership::table::Standing;
use crate::rate_limit::TargetLife;
use crate::routes::Document;

/// Usual time from a change of a router's requests to totals that contain it: half of a poll of the leader,
/// and the interval between totals.
const REPORT_DELAY_MS: u64 = 250;

/// The size of the engines of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EngineSize {
    service: ServiceName,
    slots: u32,
    kv_capacity_tokens: u64,
}

/// What the costs of all targets for one request have in common.
pub(super) struct CostContext {
    times: ServiceTimes,
    request: RequestCost,
    shared: SharedParts,
    totals: TotalsAge,
    /// Slots and KV cache tokens of an engine; the tokens are 0 if they are not known.
    engine_slots: Option<u32>,
    kv_capacity_tokens: u64,
    /// Mean tokens that a request needs.
    mean_need_tokens: f64,
    /// Requests of other routers for each slot, and for each slot of usual speed, over the targets that could
    /// serve the request.
    others_per_slot: f64,
    others_per_usual_slot: f64,
    unseen_requests: f64,
}

impl CostContext {
    /// The time by which one request delays another one at the same target.
    pub(super) fn request_ms(&self) -> f64 {
        self.times.request_ms()
    }
}

/// An event stream or a response as a router measured it.
#[derive(Clone, Copy, Debug)]
pub struct Measured<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The incarnation of the target.
    pub life: &'a TargetLife,
    /// What is comparable: a hash of the service and the model or the route.
    pub key: u64,
    /// The mean time between events, or to the response.
    pub time_ms: f64,
    /// Events or responses.
    pub weight: u32,
}

impl Balancer {
    /// Sets the sizes of engines.
    pub fn set_document(&mut self, document: &Document) {
        let sizes = document.services.iter().filter_map(|service| {
            let engine = service.engine.as_ref()?;
            Some(EngineSize {
                service: service.name.clone(),
                slots: engine.slots,
                kv_capacity_tokens: engine.kv_capacity_tokens,
            })
        });
        self.engine_sizes = sizes.collect();
        self.engine_sizes.sort_unstable_by(|a, b| a.service.cmp(&b.service));
    }

    /// Whether a request needs more memory than any engine of its service has.
    pub fn exceeds_memory(&self, service: &ServiceName, need_tokens: u64) -> bool {
        let size = self.engine_size(service);
        size.is_some_and(|size| {
            size.kv_capacity_tokens > 0 && need_tokens > size.kv_capacity_tokens
        })
    }

    fn engine_size(&self, service: &ServiceName) -> Option<&EngineSize> {
        let at = self.engine_sizes.binary_search_by(|size| size.service.cmp(service)).ok()?;
        Some(&self.engine_sizes[at])
    }

    /// Applies changes of published speeds.
    pub fn apply_speeds(&mut self, changes: &SpeedChanges) {
        self.speeds.apply(changes);
    }

    /// What the leader is told of speeds.
    pub fn take_speed_report(&mut self, now_ms: u64) -> SpeedReport {
        SpeedReport { cursor: self.speeds.cursor(), samples: self.paces.take_samples(now_ms) }
    }

    /// The time that a target takes now relative to others. 1 is usual.
    pub fn slowness(&self, now_ms: u64, life: &TargetLife) -> f64 {
        let (target, incarnation) = (&life.target, life.incarnation);
        self.speeds.slowness(target, incarnation) * self.paces.spell(now_ms, target, incarnation)
    }

    /// Records the time between events of a stream.
    pub fn record_gaps(&mut self, now_ms: u64, measured: &Measured<'_>) {
        let Some(measurement) = self.measurement(measured) else { return };
        self.paces.record(now_ms, &measurement);
    }

    /// Records the time to the response of a plain service.
    pub fn record_response_time(&mut self, now_ms: u64, measured: &Measured<'_>) {
        let Some(measurement) = self.measurement(measured) else { return };
        self.paces.record_response(now_ms, measured.service, &measurement);
    }

    /// Records the time to the first event of a request, before which the target had to read this many prompt
    /// tokens.
    pub fn record_first_event(
        &mut self,
        service: &ServiceName,
        life: &TargetLife,
        waited_ms: u64,
        read_tokens: u64,
    ) {
        let slowness = self.speeds.slowness(&life.target, life.incarnation);
        self.paces.record_first_event(service, waited_ms, read_tokens as f64, slowness);
    }

    /// Records for how long a request occupied a slot.
    pub fn record_occupancy(&mut self, life: &TargetLife, took_ms: u64) {
        if let Some(service) = self.service_of(life) {
            self.paces.record_occupancy(&service, took_ms);
        }
    }

    fn service_of(&self, life: &TargetLife) -> Option<ServiceName> {
        self.targets[self.position(&life.target)?].entry.services.first().cloned()
    }

    fn measurement<'a>(&self, measured: &Measured<'a>) -> Option<Measurement<'a>> {
        let target = &self.targets[self.position(&measured.life.target)?];
        let slots = f64::from(target.entry.slots.max(1));
        (target.entry.incarnation == measured.life.incarnation).then(|| Measurement {
            life: measured.life,
            key: measured.key,
            time_ms: measured.time_ms,
            weight: measured.weight,
            busy_share: f64::from(target.in_flight()) / slots,
            slowness: self.speeds.slowness(&measured.life.target, measured.life.incarnation),
        })
    }

    /// Counts the tokens that a request needs at a target, until they are released.
    pub fn hold_tokens(&mut self, index: usize, need_tokens: u64) {
        let target = &mut self.targets[index];
        target.own_tokens += need_tokens;
        target.sent_tokens += need_tokens;
        if let Some(service) = target.entry.services.first().filter(|_| need_tokens > 0) {
            self.paces.record_need(service, need_tokens);
        }
    }

    /// Releases the tokens of a request that has ended.
    pub fn release_tokens(&mut self, life: &TargetLife, need_tokens: u64) {
        let Some(at) = self.position(&life.target) else { return };
        if self.targets[at].entry.incarnation == life.incarnation {
            let held = &mut self.targets[at].own_tokens;
            *held = held.saturating_sub(need_tokens);
        }
    }

    /// Remembers that a target has read a prompt and may hold its leading parts.
    pub fn remember_prompt(
        &mut self,
        target: &TargetId,
        model: Option<&ModelRef>,
        prompt_parts: &[(u64, u32)],
    ) {
        let Some(at) = self.position(target) else { return };
        let shared = SharedParts::new(model, prompt_parts);
        let (life, sent_tokens) = (self.targets[at].life(), self.targets[at].sent_tokens);
        self.kept_prompts.record(&life, model, &shared, sent_tokens);
    }

    /// Forgets what was known of incarnations that have left, and of prompts for models that were unloaded.
    pub(super) fn forget_absent(&mut self) {
        let lives: Vec<TargetLife> = self.targets.iter().map(KnownTarget::life).collect();
        self.paces.retain_lives(&lives);
        let targets = &self.targets;
        self.kept_prompts.retain(|life, model| {
            let at = targets.binary_search_by(|known| known.entry.target.cmp(&life.target));
            at.is_ok_and(|at| {
                let known = &targets[at];
                known.entry.incarnation == life.incarnation
                    && model.is_none_or(|model| known.is_listed_with(model))
            })
        });
    }

    /// The age of the totals.
    pub(super) fn totals_age(&self, now_ms: u64) -> TotalsAge {
        let age_ms = self.told_ms.map(|told_ms| now_ms.saturating_sub(told_ms));
        TotalsAge { age_ms, routers: self.routers }
    }

    /// What the costs of these targets for a request have in common.
    pub(super) fn cost_context(
        &self,
        now_ms: u64,
        query: &TargetQuery<'_>,
        serving: &[usize],
    ) -> CostContext {
        let engine = self.engine_size(query.service);
        let times = self.paces.times(query.service, engine.is_some());
        let mut others = 0.0;
        let (mut slots, mut usual_slots) = (0.0, 0.0);
        for target in serving.iter().map(|at| &self.targets[*at]) {
            let (id, incarnation) = (&target.entry.target, target.entry.incarnation);
            others += f64::from(target.other_requests);
            let announced = f64::from(target.entry.slots.max(1));
            slots += announced;
            usual_slots += announced / self.speeds.slowness(id, incarnation);
        }
        let totals = self.totals_age(now_ms);
        let delay_ms = match totals.routers > 1 {
            true => totals.age_ms.unwrap_or_default() + REPORT_DELAY_MS,
            false => 0,
        };
        let shared = SharedParts::new(query.model, query.prompt_parts);
        let prompt_tokens = query.prompt_parts.iter().map(|(_, tokens)| f64::from(*tokens)).sum();
        let occupancy_ms = times.occupancy_ms;
        CostContext {
            times,
            request: RequestCost { prompt_tokens, shared_tokens: shared.tokens() as f64 },
            shared,
            totals,
            engine_slots: engine.map(|size| size.slots),
            kv_capacity_tokens: engine.map_or(0, |size| size.kv_capacity_tokens),
            mean_need_tokens: self
                .paces
                .mean_need_tokens(query.service)
                .unwrap_or(query.need_tokens as f64),
            others_per_slot: others / slots.max(1.0),
            others_per_usual_slot: others / usual_slots.max(1.0),
            unseen_requests: target_cost::unseen_requests(
                others,
                serving.len(),
                occupancy_ms,
                delay_ms,
            ),
        }
    }

    /// Whether a target has a free slot and memory for a request.
    pub(super) fn has_room(
        &self,
        target: &KnownTarget,
        query: &TargetQuery<'_>,
        context: &CostContext,
    ) -> bool {
        // While there is a free slot anywhere, none of them is certainly full.
        let fair = context.others_per_slot * f64::from(target.entry.slots.max(1));
        let others = context.totals.certain(target.other_requests, target.own_requests, fair);
        let in_flight = target.own_requests.saturating_add(others);
        if in_flight >= target.entry.slots.max(1) {
            return false;
        }
        let is_limited = context.kv_capacity_tokens > 0 && query.need_tokens > 0;
        if !is_limited || in_flight == 0 {
            return true;
        }
        let needed = target.own_tokens.saturating_add(query.need_tokens) as f64
            + f64::from(others) * context.mean_need_tokens;
        needed <= context.kv_capacity_tokens as f64
    }

    /// The cost of a target for a request, in milliseconds.
    pub(super) fn cost_ms(
        &self,
        now_ms: u64,
        target: &KnownTarget,
        query: &TargetQuery<'_>,
        context: &CostContext,
    ) -> f64 {
        let entry = &target.entry;
        let announced = entry.slots.max(1);
        let slots = context.engine_slots.map_or(announced, |slots| slots.clamp(1, announced));
        let usual = self.speeds.slowness(&entry.target, entry.incarnation);
        let fair = context.others_per_usual_slot * f64::from(announced) / usual;
        let others = context.totals.expected(target.other_requests, target.own_requests, fair);
        let requests = f64::from(target.own_requests) + others;
        let capacity = context.kv_capacity_tokens as f64;
        let memory_share = match context.kv_capacity_tokens {
            0 => requests / f64::from(slots),
            _ => (target.own_tokens as f64 + others * context.mean_need_tokens) / capacity,
        };
        // Other routers send as much as this one, as far as it knows.
        let evicted_after = match context.kv_capacity_tokens {
            0 => u64::MAX,
            capacity => capacity / u64::from(context.totals.routers.max(1)),
        };
        let kept_tokens = match context.shared.is_empty() || self.kept_prompts.is_empty() {
            true => 0,
            false => self.kept_prompts.tokens_at(
                &target.life(),
                &context.shared,
                target.sent_tokens,
                evicted_after,
            ),
        };
        let load = TargetLoad {
            slots,
            requests,
            unseen_requests: context.unseen_requests,
            unread_tokens: target.unread_tokens as f64,
            kept_tokens: kept_tokens as f64,
            memory_share,
            slowness: usual * self.paces.spell(now_ms, &entry.target, entry.incarnation),
            is_remote: entry.availability_zone != self.zone,
            failures: target.failures,
            is_suspect: entry.standing == Standing::Suspect || now_ms < target.avoid_until_ms,
            is_avoided: query.avoided_targets.contains(&entry.target),
            affinity: context.shared.affinity(&entry.target),
            draw: entry.target.hash_fraction(query.salt),
        };
        target_cost::cost_ms(&context.times, &context.request, &load)
    }
}
