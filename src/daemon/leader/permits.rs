//! Grants permits for limited targets to daemons.

use super::Leader;
use crate::daemon::core::Core;
use crate::daemon::message::{Reply, Version, Watch};
use crate::ids::DaemonId;
use crate::rate_limit::message::{PermitAsk, TargetStatement};
use crate::rate_limit::schedule::PermitSchedule;

/// The schedule of a new leader, with what its own traffic knows of rate limits.
pub(super) fn inherited(core: &Core, now_ms: u64) -> PermitSchedule {
    let mut permits = PermitSchedule::new(now_ms);
    for statement in core.parts.traffic.rate_limits() {
        permits.record(now_ms, &statement);
    }
    permits
}

impl Leader {
    /// Answers a daemon that asks for permits or passes on what targets said of their limits.
    pub fn permits(&self, core: &Core, from: &DaemonId, asks: &[PermitAsk]) -> Reply {
        let now_ms = core.now_ms();
        let mut permits = self.permits.borrow_mut();
        let changed = asks.iter().filter(|ask| permits.record(now_ms, &ask.statement)).count();
        let grants = asks.iter().map(|ask| permits.grant(now_ms, from, ask)).collect();
        drop(permits);
        if changed > 0 {
            log::info!("daemon {from} tells of {changed} changed rate limits");
            let Version { term, number } = self.rate_limits.get();
            self.rate_limits.set(Version { term, number: number + 1 });
            self.tell();
        }
        match core.node().is_some_and(|node| node.status().lease_left_ms > 0) {
            true => Reply::Permits(grants),
            false => Reply::NotLeader(None),
        }
    }

    /// What targets said of their limits, for a daemon that has another version.
    pub(super) fn rate_limits_for(
        &self,
        now_ms: u64,
        watch: &Watch,
    ) -> Option<(Version, Vec<TargetStatement>)> {
        let version = self.rate_limits.get();
        (version != watch.rate_limits).then(|| (version, self.permits.borrow().statements(now_ms)))
    }
}
