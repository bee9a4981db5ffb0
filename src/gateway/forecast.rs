//! Forecast of when a waiting request can begin at a target.
//!
//! Worst-case load: three workspaces at 6 times their usual rate, bursts of requests that can wait for
//! seconds, a third of the targets slow, and a leader that is silent for seconds.

use crate::ids::{ModelName, ModelRef, ServiceName};
use crate::placement::swap::expected::ExpectedLoad;

/// News of the leader that are older than this are not used: a leader is polled every 400 ms.
pub const MAX_NEWS_AGE_MS: u64 = 1_000;
/// Observations that are older than this are not used: which models are busy has changed meanwhile.
const MAX_OBSERVATION_AGE_MS: u64 = 60_000;
/// Observations of which a mean is used.
const MIN_OBSERVATIONS: u32 = 4;
/// Number of observations from which a further one gets a constant weight.
const MEAN_LENGTH: u32 = 16;
/// Upper bound of the services and models with observations. The oldest is dropped first.
const MAX_MEANS: usize = 2_048;

/// When a request is expected to begin at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forecast {
    /// In this time.
    Begins {
        /// Time until it begins.
        in_ms: u64,
    },
    /// No target can ever take it.
    Never,
    /// Too little is known.
    Unknown,
}

/// What a forecast rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The leader's news of loads in progress.
    Leader,
    /// This router's observations of how long requests occupy slots.
    Slots,
    /// This router's observations of how long requests waited for loads. The models differ too much
    /// for a request to be refused because of them.
    Loads,
    /// The same, without recent news of the leader.
    LoadsWithoutLeader,
    /// Nothing.
    Nothing,
}

impl Basis {
    /// The basis as written to log lines.
    pub fn text(self) -> &'static str {
        match self {
            Basis::Leader => "news of the leader",
            Basis::Slots => "own observations of slots",
            Basis::Loads => "own observations of loads",
            Basis::LoadsWithoutLeader => "own observations of loads, the leader is silent",
            Basis::Nothing => "nothing",
        }
    }
}

/// A forecast and what it rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// The forecast.
    pub forecast: Forecast,
    /// What it rests on.
    pub basis: Basis,
    /// Age of that.
    pub age_ms: u64,
    /// How much earlier or later it may well begin.
    pub spread_ms: u64,
}

impl Outlook {
    /// The outlook of a request of which nothing is known.
    pub const UNKNOWN: Self =
        Self { forecast: Forecast::Unknown, basis: Basis::Nothing, age_ms: 0, spread_ms: 0 };

    /// Whether a request may be refused because of it.
    pub fn is_firm(&self) -> bool {
        matches!(self.basis, Basis::Leader | Basis::Slots)
    }

    /// When the request is expected to have a slot at the latest, if that is known from observations of
    /// slots.
    pub fn slot_at_ms(&self, now_ms: u64) -> Option<u64> {
        let in_ms = self.begins_in_ms().filter(|_| self.basis == Basis::Slots)?;
        Some(now_ms + in_ms + self.spread_ms)
    }

    /// When the request may begin at the earliest, if that is known.
    pub fn earliest_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_add(self.begins_in_ms()?).saturating_sub(self.spread_ms))
    }

    /// Time until the request is expected to begin, if that is known.
    pub fn begins_in_ms(&self) -> Option<u64> {
        match self.forecast {
            Forecast::Begins { in_ms } => Some(in_ms),
            Forecast::Never | Forecast::Unknown => None,
        }
    }
}

/// The slots of all known replicas that could serve a request, and the requests that want them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crowd {
    /// Slots of the replicas.
    pub slots: u32,
    /// Requests in flight there, over all routers.
    pub in_flight: u32,
    /// Those of this router.
    pub own_running: u32,
    /// Requests of this router that wait for the same model, this one included.
    pub own_waiting: u32,
    /// Those of them that go before this one.
    pub ahead: u32,
}

/// What is short for a request that waits in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Slots: all replicas are full.
    Slots,
    /// Replicas: no target has the model loaded.
    Replicas,
    /// Something that is scheduled elsewhere.
    Other,
}

/// Why a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scarcity {
    /// The service has no target.
    NoTarget,
    /// The request is larger than any engine.
    TooLarge,
    /// All replicas are full.
    Full(Crowd),
    /// No target has the model loaded.
    NotLoaded,
    /// It waits for a permit, a slot of a brittle target or the end of a pause, which are scheduled
    /// elsewhere.
    Scheduled,
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiting<'a> {
    /// Its service.
    pub service: &'a ServiceName,
    /// Its model or adapter.
    pub model: Option<&'a ModelRef>,
    /// Why it waits.
    pub scarcity: Scarcity,
    /// How long it has waited.
    pub waited_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Mean {
    value_ms: f64,
    /// Mean distance of the observations from the mean.
    deviation_ms: f64,
    count: u32,
    updated_ms: u64,
}

impl Mean {
    fn record(&mut self, now_ms: u64, took_ms: u64) {
        self.count = (self.count + 1).min(MEAN_LENGTH);
        let distance_ms = took_ms as f64 - self.value_ms;
        let weight = f64::from(self.count);
        self.value_ms += distance_ms / weight;
        // The first observation has no distance from a mean.
        let spread_ms = if self.count == 1 { 0.0 } else { distance_ms.abs() };
        self.deviation_ms += (spread_ms - self.deviation_ms) / weight;
        self.updated_ms = now_ms;
    }
}

/// Means by key, sorted.
#[derive(Clone, Debug)]
struct Means<K> {
    means: Vec<(K, Mean)>,
}

impl<K> Default for Means<K> {
    fn default() -> Self {
        Self { means: Vec::new() }
    }
}

impl<K: Ord> Means<K> {
    fn record(&mut self, now_ms: u64, key: K, took_ms: u64) {
        match self.means.binary_search_by(|(known, _)| known.cmp(&key)) {
            Ok(at) => self.means[at].1.record(now_ms, took_ms),
            Err(at) => {
                let mut mean =
                    Mean { value_ms: 0.0, deviation_ms: 0.0, count: 0, updated_ms: now_ms };
                mean.record(now_ms, took_ms);
                self.means.insert(at, (key, mean));
            }
        }
        if self.means.len() > MAX_MEANS {
            let all = self.means.iter().enumerate();
            if let Some((at, _)) = all.min_by_key(|(_, (_, mean))| mean.updated_ms) {
                self.means.remove(at);
            }
        }
    }

    fn get(&self, now_ms: u64, key: &K) -> Option<Mean> {
        let at = self.means.binary_search_by(|(known, _)| known.cmp(key)).ok()?;
        let mean = self.means[at].1;
        let is_recent = now_ms.saturating_sub(mean.updated_ms) <= MAX_OBSERVATION_AGE_MS;
        (mean.count >= MIN_OBSERVATIONS && is_recent).then_some(mean)
    }
}

#[derive(Clone, Debug)]
struct ToldLoad {
    model: ModelName,
    /// When it is due, by this router's clock; `None` if no load has been planned.
    due_ms: Option<i64>,
    /// When this was true.
    true_ms: u64,
}

/// What a router has observed and was told about waits.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// How long requests occupied slots, by service and model; without a model for all of the service.
    occupancy: Means<(ServiceName, Option<ModelName>)>,
    /// How long requests waited for a model (or an adapter: `true`) that no target had loaded.
    load_waits: Means<(ServiceName, bool)>,
    /// Sorted by model.
    told: Vec<ToldLoad>,
}

impl Observations {
    /// Records that a request has occupied a slot for `took_ms`.
    pub fn record_occupancy(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        model: Option<&ModelRef>,
        took_ms: u64,
    ) {
        if let Some(model) = model {
            let key = (service.clone(), Some(model.model.clone()));
            self.occupancy.record(now_ms, key, took_ms);
        }
        self.occupancy.record(now_ms, (service.clone(), None), took_ms);
    }

    /// Records that a request has got a target after it waited for a load for `waited_ms`.
    pub fn record_load_wait(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        model: &ModelRef,
        waited_ms: u64,
    ) {
        self.load_waits.record(now_ms, (service.clone(), model.is_adapter()), waited_ms);
    }

    /// Replaces what the leader said of loads. What it says no more is not kept.
    pub fn set_told(&mut self, now_ms: u64, told: &[ExpectedLoad]) {
        self.told.clear();
        self.told.extend(told.iter().map(|load| ToldLoad {
            model: load.model.clone(),
            due_ms: load.ready_in_ms.map(|in_ms| now_ms as i64 + in_ms),
            true_ms: now_ms.saturating_sub(load.age_ms),
        }));
        self.told.sort_by(|a, b| a.model.cmp(&b.model));
    }

    /// Time within which most requests are done with their slot, if that is known: most of those that
    /// begin this long before their deadline are answered.
    pub fn run_ms(
        &self,
        now_ms: u64,
        service: &ServiceName,
        model: Option<&ModelRef>,
    ) -> Option<u64> {
        let mean = self.occupancy_of(now_ms, service, model)?;
        Some((mean.value_ms + mean.deviation_ms) as u64)
    }

    /// When a waiting request is expected to begin.
    pub fn forecast(&self, now_ms: u64, waiting: &Waiting<'_>) -> Outlook {
        match waiting.scarcity {
            Scarcity::NoTarget | Scarcity::TooLarge => {
                Outlook { forecast: Forecast::Never, ..Outlook::UNKNOWN }
            }
            Scarcity::Scheduled => Outlook::UNKNOWN,
            Scarcity::Full(crowd) => {
                let slots = self.by_slots(now_ms, waiting, crowd);
                // A replica that is being loaded may be ready before a slot is free.
                match (slots, self.by_news(now_ms, waiting)) {
                    (Some(slots), Some(news)) if news.begins_in_ms() < slots.begins_in_ms() => news,
                    (Some(slots), _) => slots,
                    (None, _) => Outlook::UNKNOWN,
                }
            }
            Scarcity::NotLoaded => {
                let news = self.by_news(now_ms, waiting);
                news.or_else(|| self.by_load_waits(now_ms, waiting)).unwrap_or(Outlook::UNKNOWN)
            }
        }
    }

    /// The requests before this one need as many slots. They become free one after the other, and this
    /// router gets the share of them that its requests have among all that are known.
    fn by_slots(&self, now_ms: u64, waiting: &Waiting<'_>, crowd: Crowd) -> Option<Outlook> {
        if crowd.in_flight < crowd.slots {
            // Something else than requests in flight holds it back, such as a slow start after a pause.
            return None;
        }
        let occupancy = self.occupancy_of(now_ms, waiting.service, waiting.model)?;
        let own = f64::from(crowd.own_running + crowd.own_waiting).max(1.0);
        let all = f64::from(crowd.in_flight.max(crowd.own_running) + crowd.own_waiting).max(1.0);
        let slots = f64::from(crowd.slots.max(1));
        let per_ms = slots / occupancy.value_ms.max(1.0) * (own / all);
        let needed = f64::from(crowd.ahead + 1);
        let in_ms = (needed / per_ms) as u64;
        // Slots become free at random: the number in a given time has a standard deviation of its root.
        let spread_ms = (needed.sqrt() / per_ms) as u64;
        let age_ms = now_ms.saturating_sub(occupancy.updated_ms);
        Some(Outlook {
            forecast: Forecast::Begins { in_ms },
            spread_ms,
            basis: Basis::Slots,
            age_ms,
        })
    }

    /// A load that is overdue is expected to take as long again as it is late: a weight store that is
    /// read by too many slows all loads down by the same factor.
    fn by_news(&self, now_ms: u64, waiting: &Waiting<'_>) -> Option<Outlook> {
        // An adapter may be missing where its model is loaded already.
        let model = waiting.model.filter(|model| !model.is_adapter())?;
        let at = self.told.binary_search_by(|told| told.model.cmp(&model.model)).ok()?;
        let told = &self.told[at];
        let age_ms = now_ms.saturating_sub(told.true_ms);
        let due_ms = told.due_ms.filter(|_| age_ms <= MAX_NEWS_AGE_MS)?;
        let in_ms = (due_ms - now_ms as i64).unsigned_abs();
        Some(Outlook {
            forecast: Forecast::Begins { in_ms },
            basis: Basis::Leader,
            age_ms,
            spread_ms: 0,
        })
    }

    /// A request that has waited for longer than others is expected to wait for some time more, which
    /// grows with the time that it has waited.
    fn by_load_waits(&self, now_ms: u64, waiting: &Waiting<'_>) -> Option<Outlook> {
        let model = waiting.model?;
        let mean = self.load_waits.get(now_ms, &(waiting.service.clone(), model.is_adapter()))?;
        let usual_ms = (mean.value_ms as u64).saturating_sub(waiting.waited_ms);
        let in_ms = usual_ms.max(waiting.waited_ms / 4);
        let found = self.told.binary_search_by(|told| told.model.cmp(&model.model)).ok();
        let is_told =
            found.is_some_and(|at| now_ms.saturating_sub(self.told[at].true_ms) <= MAX_NEWS_AGE_MS);
        let basis = if is_told { Basis::Loads } else { Basis::LoadsWithoutLeader };
        let age_ms = now_ms.saturating_sub(mean.updated_ms);
        Some(Outlook { forecast: Forecast::Begins { in_ms }, basis, age_ms, spread_ms: 0 })
    }

    fn occupancy_of(
        &self,
        now_ms: u64,
        service: &ServiceName,
        model: Option<&ModelRef>,
    ) -> Option<Mean> {
        let of_model = model.and_then(|model| {
            self.occupancy.get(now_ms, &(service.clone(), Some(model.model.clone())))
        });
        of_model.or_else(|| self.occupancy.get(now_ms, &(service.clone(), None)))
    }
}
