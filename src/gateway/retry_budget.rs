//! Retry budget: limits retries to a share of the requests of each service in a time window.
//!
//! All routers share one budget. The leader publishes the number of routers, and each router uses
//! an equal part. A router that cannot reach the leader keeps its last part.

use std::collections::VecDeque;

use crate::ids::ServiceName;

/// Share of the budget that is used, because routers start and stop before the others learn of the
/// new number of routers.
const USED_SHARE: f64 = 0.7;

/// Settings of the retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Retries allowed for each request in a window.
    pub ratio: f64,
    /// Retries allowed in a window in addition to the ratio, over all routers.
    pub slack: f64,
    /// The length of a window.
    pub window_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct ServiceHistory {
    requests_ms: VecDeque<u64>,
    retries_ms: VecDeque<u64>,
}

/// The part of the retry budget that one router uses.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    routers: u32,
    /// Sorted by service.
    histories: Vec<(ServiceName, ServiceHistory)>,
}

impl RetryBudget {
    /// Creates a budget that uses the whole of it until the number of routers is known.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self { settings, routers: 1, histories: Vec::new() }
    }

    /// Sets the number of routers that share the budget.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Counts a request of a service.
    pub fn record_request(&mut self, now_ms: u64, service: &ServiceName) {
        self.history(now_ms, service).requests_ms.push_back(now_ms);
    }

    /// Takes one retry from the budget; `false` if none is left.
    pub fn try_take(&mut self, now_ms: u64, service: &ServiceName) -> bool {
        let RetryBudgetSettings { ratio, slack, .. } = self.settings;
        let own_slack = slack / f64::from(self.routers);
        let history = self.history(now_ms, service);
        let allowed = (history.requests_ms.len() as f64 * ratio + own_slack) * USED_SHARE;
        let is_allowed = (history.retries_ms.len() as f64) + 1.0 <= allowed;
        if is_allowed {
            history.retries_ms.push_back(now_ms);
        }
        is_allowed
    }

    fn history(&mut self, now_ms: u64, service: &ServiceName) -> &mut ServiceHistory {
        let at = match self.histories.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                self.histories.insert(at, (service.clone(), ServiceHistory::default()));
                at
            }
        };
        let history = &mut self.histories[at].1;
        let begin_ms = now_ms.saturating_sub(self.settings.window_ms);
        for times in [&mut history.requests_ms, &mut history.retries_ms] {
            while times.front().is_some_and(|at_ms| *at_ms < begin_ms) {
                times.pop_front();
            }
        }
        history
    }
}
