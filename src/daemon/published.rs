//! What the control thread publishes to the traffic threads, which only read it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;

use crate::config;
use crate::control::poison;
use crate::ids::ModelRef;
use crate::membership::table;

/// Estimates that are kept, so that models asked for once do not pile up.
const MAX_EXPECTED: usize = 65_536;

/// The route table, the configuration and the lists in force at this daemon.
#[derive(Debug, Default)]
pub struct Published {
    /// The route table.
    pub table: Arc<ArcSwap<table::RouteTable>>,
    /// The configuration.
    pub fleet: ArcSwap<config::Fleet>,
    /// The list of poison requests.
    pub poison: ArcSwap<poison::Mirror>,
    confirmed_ms: AtomicU64,
    expected: Mutex<Vec<(ModelRef, u64)>>,
}

impl Published {
    /// Notes that a leader confirmed at `now_ms` that the configuration in force is the newest.
    pub fn confirm(&self, now_ms: u64) {
        self.confirmed_ms.store(now_ms, Ordering::Release);
    }

    /// When the configuration in force was last confirmed, 0 if it never was.
    pub fn confirmed_ms(&self) -> u64 {
        self.confirmed_ms.load(Ordering::Acquire)
    }

    /// Notes when a replica of a model is expected, as Unix time.
    pub fn expect(&self, model: ModelRef, ready_at_ms: u64, now_ms: u64) {
        let mut expected = self.expected.lock().unwrap_or_else(PoisonError::into_inner);
        if expected.len() >= MAX_EXPECTED {
            expected.retain(|(_, at_ms)| *at_ms > now_ms);
        }
        match expected.binary_search_by(|(known, _)| known.cmp(&model)) {
            Ok(at) => expected[at].1 = ready_at_ms,
            Err(at) => expected.insert(at, (model, ready_at_ms)),
        }
    }

    /// When a replica of a model is expected, as Unix time.
    pub fn ready_at_ms(&self, model: &ModelRef) -> Option<u64> {
        let expected = self.expected.lock().unwrap_or_else(PoisonError::into_inner);
        let at = expected.binary_search_by(|(known, _)| known.cmp(model)).ok()?;
        Some(expected[at].1)
    }
}
