//! What routers ask for: arrivals, what waits and what runs.

use crate::ids::{DaemonId, Incarnation, ModelName, ModelRef, TargetId};

/// Time between two looks at demand that fades.
pub const RATE_REFRESH_INTERVAL_MS: u64 = 250;
/// Time in which the count of past arrivals falls to a third.
const RATE_TAU_MS: f64 = 3_000.0;
/// A router that told nothing for this long has nothing waiting or running.
pub const ROUTER_TIMEOUT_MS: u64 = 2_500;

/// What one router has waiting and running, and what arrived since it last told.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RouterDemand {
    /// Requests that arrived since the last report.
    pub arrivals: Vec<(ModelRef, u32)>,
    /// Requests that wait for a replica.
    pub waiting: Vec<WaitingRequests>,
    /// Requests at targets.
    pub running: Vec<RunningRequests>,
    /// Targets that said in their answers that they leave, and that the route table does not show so.
    pub leaving: Vec<(TargetId, Incarnation)>,
}

/// Requests that wait for one model or adapter.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WaitingRequests {
    /// The model or adapter.
    pub model: ModelRef,
    /// How many wait.
    pub count: u32,
    /// The least time that one of them has left to be timely.
    pub slack_ms: i64,
}

/// Requests at one target.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RunningRequests {
    /// The target.
    pub target: TargetId,
    /// The model or adapter; `None` at plain services.
    pub model: Option<ModelRef>,
    /// How many run or wait there.
    pub count: u32,
}

#[derive(Clone, Debug)]
struct Rate {
    model: ModelName,
    count: f64,
    at_ms: u64,
}

impl Rate {
    fn decayed(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.count * (-age_ms / RATE_TAU_MS).exp()
    }
}

#[derive(Clone, Debug)]
struct Told {
    daemon: DaemonId,
    at_ms: u64,
    usage: RouterDemand,
}

/// The demand of all routers.
#[derive(Clone, Debug, Default)]
pub struct AggregateDemand {
    /// Sorted by daemon.
    told: Vec<Told>,
    /// Sorted by model.
    rates: Vec<Rate>,
}

impl AggregateDemand {
    /// Takes the report of a router.
    pub fn take(&mut self, now_ms: u64, daemon: DaemonId, usage: RouterDemand) {
        for (model, count) in &usage.arrivals {
            self.arrived(now_ms, &model.model, *count);
        }
        let told = Told { daemon, at_ms: now_ms, usage };
        match self.told.binary_search_by(|known| known.daemon.cmp(&told.daemon)) {
            Ok(at) => self.told[at] = told,
            Err(at) => self.told.insert(at, told),
        }
    }

    fn arrived(&mut self, now_ms: u64, model: &ModelName, count: u32) {
        let at = match self.rates.binary_search_by(|rate| rate.model.cmp(model)) {
            Ok(at) => at,
            Err(at) => {
                let rate = Rate { model: model.clone(), count: 0.0, at_ms: now_ms };
                self.rates.insert(at, rate);
                at
            }
        };
        let rate = &mut self.rates[at];
        rate.count = rate.decayed(now_ms) + f64::from(count);
        rate.at_ms = now_ms;
    }

    /// Drops what routers told that have been silent since.
    pub fn forget_silent(&mut self, now_ms: u64) {
        self.told.retain(|told| now_ms.saturating_sub(told.at_ms) < ROUTER_TIMEOUT_MS);
    }

    /// Recent arrivals a second.
    pub fn rate_per_s(&self, now_ms: u64, model: &ModelName) -> f64 {
        match self.rates.binary_search_by(|rate| rate.model.cmp(model)) {
            Ok(at) => self.rates[at].decayed(now_ms) * 1_000.0 / RATE_TAU_MS,
            Err(_) => 0.0,
        }
    }

    /// All that waits, at all routers.
    pub fn waiting(&self) -> impl Iterator<Item = &WaitingRequests> {
        self.told.iter().flat_map(|told| &told.usage.waiting)
    }

    /// All that runs, at all routers.
    pub fn running(&self) -> impl Iterator<Item = &RunningRequests> {
        self.told.iter().flat_map(|told| &told.usage.running)
    }
}
