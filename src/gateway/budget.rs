//! The budget for sending requests again: a share of the requests of each service in each window.
//!
//! All routers draw on one budget. The leader tells how many routers there are, and each takes its
//! part; a router that the leader does not reach goes on with the part that it had.

use std::collections::VecDeque;

use crate::ids::ServiceName;

/// Part of the budget that is used: routers come and go before the others hear of it.
const USED_SHARE: f64 = 0.7;

/// What the budget allows.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Repeats for each request in a window.
    pub ratio: f64,
    /// Repeats in a window beyond that, over all routers.
    pub slack: f64,
    /// The length of a window.
    pub window_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Account {
    requests_ms: VecDeque<u64>,
    repeats_ms: VecDeque<u64>,
}

/// The part of one router.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    routers: u32,
    /// Sorted by service.
    accounts: Vec<(ServiceName, Account)>,
}

impl Budget {
    /// The whole budget, until the other routers are known.
    pub fn new(settings: Settings) -> Self {
        Self { settings, routers: 1, accounts: Vec::new() }
    }

    /// Learns how many routers there are.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Counts a request of a service.
    pub fn request(&mut self, now_ms: u64, service: &ServiceName) {
        self.account(now_ms, service).requests_ms.push_back(now_ms);
    }

    /// Takes the right to send one request again; `false` if there is none left.
    pub fn take(&mut self, now_ms: u64, service: &ServiceName) -> bool {
        let Settings { ratio, slack, .. } = self.settings;
        let part = slack / f64::from(self.routers);
        let account = self.account(now_ms, service);
        let allowed = (account.requests_ms.len() as f64 * ratio + part) * USED_SHARE;
        let is_allowed = (account.repeats_ms.len() as f64) + 1.0 <= allowed;
        if is_allowed {
            account.repeats_ms.push_back(now_ms);
        }
        is_allowed
    }

    fn account(&mut self, now_ms: u64, service: &ServiceName) -> &mut Account {
        let at = match self.accounts.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                self.accounts.insert(at, (service.clone(), Account::default()));
                at
            }
        };
        let account = &mut self.accounts[at].1;
        let begin_ms = now_ms.saturating_sub(self.settings.window_ms);
        for times in [&mut account.requests_ms, &mut account.repeats_ms] {
            while times.front().is_some_and(|at_ms| *at_ms < begin_ms) {
                times.pop_front();
            }
        }
        account
    }
}
