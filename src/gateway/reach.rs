//! Decides whether this router has lost its paths to all targets of a service.
//!
//! Worst-case load: the router is partitioned from all targets for seconds, while callers, voters and other
//! routers still reach it. Connections to targets hang or are reset, or old ones live on while new ones are
//! refused. One target that is silent for a second, or that has ended, must not look the same.
//!
//! A failed attempt is a reason to probe a few targets, and all others soon after if none of these answers: a
//! few may have ended together. If none answers at all, the service is out of reach. It is in reach again with
//! the first answer, so no request of a caller is sent as a probe.

use crate::ids::ServiceName;
use crate::rate_limit::TargetLife;

/// Time without an answer after which an attempt is a reason to probe.
pub const SILENT_MS: u64 = 700;
/// Number of targets that a round probes first.
pub const FIRST_PROBES: usize = 3;
/// Most targets that one round probes, so that a router opens no more connections at once.
pub const MAX_PROBES: usize = 256;
/// Time between the starts of two rounds of probes.
const ROUND_INTERVAL_MS: u64 = 500;

/// What is known of the paths to the targets of one service.
#[derive(Clone, Debug)]
struct ServiceReach {
    service: ServiceName,
    heard_ms: Option<u64>,
    /// Lives of targets at which attempts or probes failed since the last answer, sorted.
    tried: Vec<TargetLife>,
    lost_since_ms: Option<u64>,
    round_began_ms: Option<u64>,
    /// Whether a task probes its targets.
    is_probed: bool,
    /// Counts rounds, so that each probes other targets.
    rounds: usize,
}

impl ServiceReach {
    /// Whether there is a reason to probe.
    fn has_reason(&self) -> bool {
        !self.tried.is_empty() || self.lost_since_ms.is_some()
    }

    fn note_tried(&mut self, target: TargetLife) {
        if let Err(at) = self.tried.binary_search(&target) {
            self.tried.insert(at, target);
        }
    }
}

/// What the task that probes a service does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Probe some targets; this is the number of the round.
    Probe {
        /// The number, from 1.
        round: usize,
    },
    /// Wait for this long.
    Wait {
        /// The time to wait.
        ms: u64,
    },
    /// End: there is no reason to probe any more.
    Stop,
}

/// The change that an event brings about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// Nothing has changed.
    Unchanged,
    /// The service is out of reach from now on.
    Lost,
    /// It was out of reach for this long.
    Regained {
        /// How long.
        after_ms: u64,
    },
}

/// What one router knows of its paths to targets.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Sorted by service.
    services: Vec<ServiceReach>,
}

impl Reachability {
    /// Whether all targets of a service are out of reach.
    pub fn is_lost(&self, service: &ServiceName) -> bool {
        self.find(service).is_some_and(|known| known.lost_since_ms.is_some())
    }

    /// The services that are out of reach, sorted.
    pub fn lost_services(&self) -> Vec<ServiceName> {
        let lost = self.services.iter().filter(|known| known.lost_since_ms.is_some());
        lost.map(|known| known.service.clone()).collect()
    }

    /// Records that a target of the service has answered something.
    pub fn record_answer(&mut self, now_ms: u64, service: &ServiceName) -> ReachChange {
        let known = self.entry(service);
        known.heard_ms = Some(now_ms);
        known.tried.clear();
        match known.lost_since_ms.take() {
            Some(since_ms) => ReachChange::Regained { after_ms: now_ms.saturating_sub(since_ms) },
            None => ReachChange::Unchanged,
        }
    }

    /// Records that a target could not be connected to, broke a connection before it answered, or has not
    /// answered for [`SILENT_MS`].
    pub fn record_failure(&mut self, service: &ServiceName, target: TargetLife) {
        self.entry(service).note_tried(target);
    }

    /// Whether a task has to begin to probe the service: there is a reason, and none does so yet.
    pub fn begin_probing(&mut self, service: &ServiceName) -> bool {
        let known = self.entry(service);
        known.has_reason() && !std::mem::replace(&mut known.is_probed, true)
    }

    /// What the task that probes the service does next.
    pub fn next_step(&mut self, now_ms: u64, service: &ServiceName) -> ProbeStep {
        let known = self.entry(service);
        if !known.has_reason() {
            known.is_probed = false;
            return ProbeStep::Stop;
        }
        let due_ms = known.round_began_ms.map_or(now_ms, |began_ms| began_ms + ROUND_INTERVAL_MS);
        if now_ms < due_ms {
            return ProbeStep::Wait { ms: due_ms - now_ms };
        }
        known.round_began_ms = Some(now_ms);
        known.rounds += 1;
        ProbeStep::Probe { round: known.rounds }
    }

    /// Ends a round in which all these targets were probed and none of them answered.
    pub fn end_round(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        probed: Vec<TargetLife>,
    ) -> ReachChange {
        let known = self.entry(service);
        let was_heard = known.heard_ms >= known.round_began_ms;
        if probed.is_empty() || was_heard {
            return ReachChange::Unchanged;
        }
        probed.into_iter().for_each(|target| known.note_tried(target));
        if known.lost_since_ms.is_some() {
            return ReachChange::Unchanged;
        }
        known.lost_since_ms = Some(now_ms);
        ReachChange::Lost
    }

    /// Chooses the targets of a round among those of the service: first those that were not tried since the last
    /// answer, so also new ones. Once the service is out of reach, a round probes no more than the first few.
    pub fn choose_probed(
        &mut self,
        service: &ServiceName,
        round: usize,
        mut targets: Vec<TargetLife>,
    ) -> Vec<TargetLife> {
        let known = self.entry(service);
        if !targets.is_empty() {
            let first = (round * FIRST_PROBES) % targets.len();
            targets.rotate_left(first);
        }
        targets.sort_by_key(|target| known.tried.binary_search(target).is_ok());
        targets.truncate(if known.lost_since_ms.is_some() { FIRST_PROBES } else { MAX_PROBES });
        targets
    }

    fn find(&self, service: &ServiceName) -> Option<&ServiceReach> {
        let at = self.services.binary_search_by(|known| known.service.cmp(service)).ok()?;
        Some(&self.services[at])
    }

    fn entry(&mut self, service: &ServiceName) -> &mut ServiceReach {
        let at = match self.services.binary_search_by(|known| known.service.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let known = ServiceReach {
                    service: service.clone(),
                    heard_ms: None,
                    tried: Vec::new(),
                    lost_since_ms: None,
                    round_began_ms: None,
                    is_probed: false,
                    rounds: 0,
                };
                self.services.insert(at, known);
                at
            }
        };
        &mut self.services[at]
    }
}
