//! Requests, replicas and copies of each model over all engines, counted once per planning round.

use super::demand::{AggregateDemand, Rates};
use super::engine::EngineState;
use super::load_history::LoadHistory;
use super::specs::EngineSpecs;
use crate::ids::{ModelName, SoftwareVersion};

/// Share of an engine's slots beyond which requests begin late: those that arrive at one moment do
/// not find a slot each.
const FULL_OCCUPANCY: f64 = 0.8;
/// Share of the slots to which the load of busy models is spread where there is room.
pub(super) const SPREAD_OCCUPANCY: f64 = 0.5;
/// Share of an engine's slots that a model may count on beside the other models there.
const MIN_SLOT_SHARE: f64 = 0.125;
/// Delay avoided by a further replica, in requests, below which it is not worth a load.
const MIN_REPLICA_GAIN: f64 = 0.5;
/// Arrival rate above which a model is kept on two engines where there is room.
const HIGH_RATE_PER_S: f64 = 1.0;
/// Delay avoided by the second replica of such a model, in requests: if one engine fails, its
/// requests find the other.
const SECOND_REPLICA_GAIN: f64 = 0.1;
/// Rise above the largest load of the last minute for which copies are made in advance, as a multiple
/// of it; at most the slots of an engine.
const PEAK_HEADROOM: f64 = 3.0;
/// Share of the time in which a model is assumed to have its largest load at least: a minute may
/// have shown only the beginning of it.
const MIN_BUSY_SHARE: f64 = 0.1;
/// Time beside the load itself until a request for a model that has to be loaded can begin: the
/// requests of the evicted model end first.
const LOAD_MARGIN_MS: f64 = 2_000.0;

/// Counts for one model.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ModelCount {
    /// Requests that wait for the model or one of its adapters, on any engine.
    pub waiting: u32,
    /// Requests for the model at engines.
    pub running: u32,
    /// Replicas that are loaded or being loaded on engines that are not leaving.
    pub replicas: u32,
    /// Those of them on engines that name a rate limit, and the requests a second that these take.
    pub limited_replicas: u32,
    pub limited_per_s: f64,
    /// Engines that are not leaving and have a copy, loaded or not.
    pub copies: u32,
    /// Waiting requests, those that can still wait counted in part.
    pub urgent_waiting: f64,
    /// Arrivals.
    pub rates: Rates,
    /// Requests that the replicas can run at once beside the other requests at their engines, and
    /// those of them that replicas on limited engines can run.
    pub capacity: f64,
    pub limited_capacity: f64,
    /// Requests that run or want to run at once: now, with those of the last seconds, at most in
    /// the last minute, and in the mean of the last minute.
    pub load: f64,
    pub lasting_load: f64,
    pub peak_load: f64,
    pub mean_load: f64,
}

impl ModelCount {
    /// Whether replicas on limited engines serve no further requests.
    fn is_limited(&self) -> bool {
        self.limited_per_s < self.rates.current_per_s
    }

    /// Replicas that serve requests at the current rate: those on limited engines count only if
    /// these take as many.
    pub(super) fn serving_replicas(&self) -> u32 {
        self.replicas - if self.is_limited() { self.limited_replicas.min(self.replicas) } else { 0 }
    }

    fn serving_capacity(&self) -> f64 {
        self.capacity - if self.is_limited() { self.limited_capacity } else { 0.0 }
    }

    /// Whether requests are so frequent that the last replica is never given up.
    pub(super) fn is_high_rate(&self) -> bool {
        self.rates.current_per_s > HIGH_RATE_PER_S
    }

    /// Requests that are delayed at each moment and that one more replica would not delay once
    /// `added` others are loaded; `None` if it is not worth a load.
    pub(super) fn gain_of_replica(&self, added: u32) -> Option<f64> {
        let replicas = self.serving_replicas();
        if added > 0 && replicas == 0 {
            return None;
        }
        if replicas == 0 {
            let is_requested = self.rates.current_per_s > 0.0 || self.load > 0.0;
            return is_requested.then(|| self.load.max(1.0));
        }
        let capacity = self.serving_capacity() / f64::from(replicas);
        let gain = replica_gain(self.load, capacity, replicas + added);
        let is_worth = gain >= MIN_REPLICA_GAIN;
        let is_second = replicas + added == 1 && self.is_high_rate();
        (is_worth || is_second).then(|| gain.max(SECOND_REPLICA_GAIN))
    }

    /// Whether requests arrive that no replica can begin in time.
    pub(super) fn is_overloaded(&self) -> bool {
        self.load > FULL_OCCUPANCY * self.serving_capacity()
    }

    /// Requests that are delayed at each moment once one of several replicas is lost.
    pub(super) fn loss_of_replica(&self) -> f64 {
        match self.replicas {
            0 | 1 => 0.0,
            replicas => {
                let capacity = self.capacity / f64::from(replicas);
                replica_gain(self.lasting_load, capacity, replicas - 1)
            }
        }
    }

    /// Copies that the largest load of the last minute needs, on engines of `slots`.
    pub(super) fn wanted_copies(&self, slots: f64) -> u32 {
        (self.possible_load(slots) / (slots * SPREAD_OCCUPANCY)).ceil() as u32
    }

    /// A load that the model may soon have: busy models take turns in being the busiest.
    fn possible_load(&self, slots: f64) -> f64 {
        self.peak_load + (PEAK_HEADROOM * self.peak_load).min(slots)
    }

    /// Requests that are delayed in the mean over time because there is no further copy beside
    /// `added` that are being made, on engines of `slots`.
    pub(super) fn gain_of_copy(&self, slots: f64, added: u32) -> f64 {
        if self.peak_load <= 0.0 {
            return 0.0;
        }
        let load = self.possible_load(slots);
        let busy_share = (self.mean_load / load).clamp(MIN_BUSY_SHARE, 1.0);
        let copies = self.copies.max(self.replicas).max(1) + added;
        replica_gain(load, slots, copies) * busy_share
    }
}

/// Requests that are delayed at each moment and that a further replica beside `replicas` would not
/// delay: those beyond what the replicas can begin, and the delay that requests at one engine cause
/// each other, which grows with the share of its slots in use.
fn replica_gain(load: f64, capacity: f64, replicas: u32) -> f64 {
    let (capacity, replicas) = (capacity.max(1.0), f64::from(replicas.max(1)));
    let beyond = (load - FULL_OCCUPANCY * capacity * replicas).max(0.0);
    beyond + load * load / capacity * (1.0 / replicas - 1.0 / (replicas + 1.0))
}

/// Weight of a request that waits for a load of `load_ms`: 1 if it would be late, less the more time
/// it has left.
fn waiting_weight(slack_ms: i64, load_ms: u64) -> f64 {
    let needed_ms = load_ms as f64 + LOAD_MARGIN_MS;
    if slack_ms as f64 <= needed_ms { 1.0 } else { needed_ms / slack_ms as f64 }
}

/// Counts for all models.
#[derive(Debug, Default)]
pub(super) struct ModelCounts {
    /// Sorted by model.
    counts: Vec<(ModelName, ModelCount)>,
    /// Requests that wait for a model on an engine of one software version.
    bound: Vec<BoundWaiting>,
}

/// Requests whose streams only engines of one software version can continue.
#[derive(Clone, Debug)]
pub(super) struct BoundWaiting {
    pub model: ModelName,
    pub software: SoftwareVersion,
    pub count: u32,
}

impl ModelCounts {
    pub(super) fn collect(
        specs: &EngineSpecs,
        engines: &[EngineState],
        demand: &AggregateDemand,
        history: &mut LoadHistory,
        now_ms: u64,
        is_new: bool,
    ) -> Self {
        let names = specs.models().iter().map(|spec| (spec.name.clone(), ModelCount::default()));
        let mut counts = Self { counts: names.collect(), bound: Vec::new() };
        for running in demand.running() {
            let Some(model) = &running.model else { continue };
            counts.update(&model.model, |count| count.running += running.count);
        }
        for engine in engines.iter().filter(|engine| !engine.is_leaving) {
            let slots = specs.slots() * engine.speed;
            let total_running = engine.total_running();
            let room = |own: u32| {
                let others = f64::from(total_running - own);
                (slots - others).max(slots * MIN_SLOT_SHARE)
            };
            for loaded in &engine.models {
                counts.update(&loaded.model, |count| {
                    count.replicas += u32::from(!loaded.is_unloading);
                    count.copies += 1;
                    let capacity = if loaded.is_unloading { 0.0 } else { room(loaded.running) };
                    count.capacity += capacity;
                    if let Some(limit_per_s) = engine.limit_per_s.filter(|_| !loaded.is_unloading) {
                        count.limited_replicas += 1;
                        count.limited_per_s += limit_per_s;
                        count.limited_capacity += capacity;
                    }
                });
            }
            if let Some(model) = engine.incoming_model() {
                counts.update(model, |count| {
                    count.replicas += 1;
                    count.capacity += room(0);
                });
            }
            for model in engine.unloaded_copies() {
                counts.update(model, |count| count.copies += 1);
            }
        }
        counts.add_waiting(specs, demand);
        let step = history.begin(now_ms);
        for (model, count) in &mut counts.counts {
            count.rates = demand.rates(now_ms, model);
            history.update(step, model, count, specs.slots(), is_new);
        }
        counts
    }

    /// Adds waiting requests, once the copies are counted, on which the time of a load depends.
    fn add_waiting(&mut self, specs: &EngineSpecs, demand: &AggregateDemand) {
        for waiting in demand.waiting() {
            let model = &waiting.model.model;
            if let Some(software) = &waiting.software {
                self.add_bound(model, software, waiting.count);
                continue;
            }
            let has_copy = self.get(model).copies > 0;
            let load_ms = specs
                .find_model(model)
                .map_or(0, |spec| if has_copy { spec.disk_load_ms } else { spec.store_load_ms });
            let weight = waiting_weight(waiting.slack_ms, load_ms);
            self.update(model, |count| {
                count.waiting += waiting.count;
                count.urgent_waiting += weight * f64::from(waiting.count);
            });
        }
    }

    /// The counts of all models, sorted by model.
    pub(super) fn all(&self) -> &[(ModelName, ModelCount)] {
        &self.counts
    }

    fn add_bound(&mut self, model: &ModelName, software: &SoftwareVersion, added: u32) {
        let is_same =
            |known: &&mut BoundWaiting| known.model == *model && known.software == *software;
        match self.bound.iter_mut().find(is_same) {
            Some(known) => known.count += added,
            None => {
                let (model, software) = (model.clone(), software.clone());
                self.bound.push(BoundWaiting { model, software, count: added });
            }
        }
    }

    /// Requests that wait for a model on an engine of one software version.
    pub(super) fn bound(&self) -> &[BoundWaiting] {
        &self.bound
    }

    /// Whether requests wait for a model that this engine may serve.
    pub(super) fn is_awaited(&self, model: &ModelName, engine: &EngineState) -> bool {
        let is_bound =
            |bound: &BoundWaiting| bound.model == *model && engine.may_serve(Some(&bound.software));
        self.get(model).waiting > 0 || self.bound.iter().any(is_bound)
    }

    fn update(&mut self, model: &ModelName, update: impl FnOnce(&mut ModelCount)) {
        if let Ok(at) = self.counts.binary_search_by(|(known, _)| known.cmp(model)) {
            update(&mut self.counts[at].1);
        }
    }

    /// The counts of a model; all zero if the specification does not list it.
    pub(super) fn get(&self, model: &ModelName) -> ModelCount {
        match self.counts.binary_search_by(|(known, _)| known.cmp(model)) {
            Ok(at) => self.counts[at].1,
            Err(_) => ModelCount::default(),
        }
    }
}
