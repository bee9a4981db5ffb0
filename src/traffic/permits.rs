//! Rate limits of targets: what the responses of targets and the leader say goes to the routing
//! engine, and what it asks for goes to the leader.

use std::time::Duration;

use crate::rate_limit::message::{PermitAsk, PermitGrant, TargetStatement};
use crate::rate_limit::{Statement, TargetLife};
use crate::routing::engine::AttemptStart;
use crate::traffic::state::TrafficState;

/// Pause between two looks for a permit to resume a stream.
const RESUME_PAUSE: Duration = Duration::from_millis(10);

/// The target of an attempt.
pub(super) fn target_life(start: &AttemptStart) -> TargetLife {
    start.table.entry(start.target_index).life()
}

impl TrafficState {
    /// Whether an attempt may still be sent. Its permit is used up.
    pub(super) fn begin_send(&self, life: &TargetLife, start: &AttemptStart) -> bool {
        self.apply_event_without_wake(|engine, cx| engine.begin_send(cx.now_ms, life, start.permit))
    }

    /// Handles what a target said of its rate limit in the response to a request of `sent_ms`.
    pub(super) fn record_rate_limit(&self, life: &TargetLife, named: Statement, sent_ms: u64) {
        if self.apply_event(|engine, cx| engine.rate_limit_named(cx, life, named, sent_ms)) {
            log::info!(
                "target {} of incarnation {} says in an answer to a call of {} ms ago: rate limit \
                 {named:?}",
                life.target,
                life.incarnation,
                self.now_ms().saturating_sub(sent_ms)
            );
            metrics::counter!("fescuebay_rate_limit_changes_total").increment(1);
        }
    }

    /// Waits for a permit to resume a stream at a target. Returns whether there was one in time.
    pub(super) async fn wait_to_resume(&self, life: &TargetLife, limit: Duration) -> bool {
        let _waiting = ResumeWait { shared: self, life };
        let end = tokio::time::Instant::now() + limit;
        while !self.apply_event(|engine, cx| engine.begin_resume(cx, life)) {
            if tokio::time::Instant::now() >= end {
                return false;
            }
            tokio::time::sleep(RESUME_PAUSE).await;
        }
        true
    }

    /// Waits until the leader should be asked for permits, or told of a rate limit.
    pub async fn permits_wanted(&self) {
        self.permit_asks_due.notified().await;
    }

    /// What to ask the leader.
    pub fn permit_asks(&self) -> Vec<PermitAsk> {
        self.inspect(|engine| engine.permit_asks(self.now_ms()))
    }

    /// Handles the leader's grants to asks that were sent at `asked_ms`; `None` if no leader
    /// answered.
    pub fn permits_granted(
        &self,
        asked_ms: u64,
        asks: &[PermitAsk],
        grants: Option<&[PermitGrant]>,
    ) {
        self.apply_event(|engine, cx| engine.permits_granted(cx, asked_ms, asks, grants));
    }

    /// Handles a change of the leader.
    pub fn leader_changed(&self) {
        self.apply_event(|engine, cx| engine.leader_changed(cx));
    }

    /// What targets last said of their rate limits.
    pub fn rate_limits(&self) -> Vec<TargetStatement> {
        self.inspect(|engine| engine.rate_limits(self.now_ms()))
    }

    /// Handles news of the leader: how many daemons share the limits, and what targets said of
    /// theirs to any of them.
    pub fn rate_limits_told(&self, daemons: u32, told: &[TargetStatement]) {
        self.apply_event(|engine, cx| engine.rate_limits_told(cx, daemons, told));
    }
}

/// Ends the wait of a stream for its permit, also when its caller has left.
struct ResumeWait<'a> {
    shared: &'a TrafficState,
    life: &'a TargetLife,
}

impl Drop for ResumeWait<'_> {
    fn drop(&mut self) {
        self.shared.apply_event(|engine, _| engine.end_wait_to_resume(self.life));
    }
}
