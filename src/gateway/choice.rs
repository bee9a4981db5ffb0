//! Choice of a target among those that could serve a request.
//!
//! Worst-case load: a burst for a model whose targets are partly full, partly paused and partly
//! limited or brittle. A limited target without a permit is chosen if it is the best one, and its permit is
//! asked for; the others take the rest.

use super::continuation::Continuation;
use crate::ids::{ModelRef, ServiceName, TargetId};
use crate::rate_limit::permits::Gate;
use crate::rate_limit::schedule::AT_ONCE_MS;
use crate::rate_limit::{Claim, SCHEDULE_AHEAD_MS, TargetLife};

/// The properties of a request that the choice of a target depends on.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// The service of the request.
    pub service: &'a ServiceName,
    /// The requested model or adapter, if the service is a model engine.
    pub model: Option<&'a ModelRef>,
    /// The parts of the prompt in order, with the tokens of each. All but the last may be kept at a target.
    pub prompt_parts: &'a [(u64, u32)],
    /// Tokens that the request needs in the memory of an engine; 0 if it is not known.
    pub need_tokens: u64,
    /// Targets at which earlier attempts of the request failed. They are chosen last.
    pub avoided_targets: &'a [TargetId],
    /// Which targets may continue the stream, if it has events already. The others do not count.
    pub continuation: &'a Continuation,
    /// Its priority; 0 is served first.
    pub rank: u8,
    /// Seed of the random part of the cost, so that routers that see equal loads choose different
    /// targets.
    pub salt: u64,
}

/// The result of choosing a target. Its indices are valid until the list of targets changes, so not across a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChoice {
    /// The target at this index can take the request.
    Selected(usize),
    /// The target at this index can take the request with a permit, which has to be waited for.
    AwaitPermit {
        /// The index of the target.
        index: usize,
        /// Whether another target could take the request now.
        has_alternative: bool,
    },
    /// The brittle target at this index can take the request with a leased slot, which has to be waited for. No
    /// other target can take it now.
    AwaitSlot {
        /// The index of the target.
        index: usize,
        /// Requests of this router that get slots before it.
        ahead: u32,
        /// The time in which this router's share of the slots serves a request, in microseconds. 0 if it is not
        /// known: it may get as many slots as it wants.
        interval_us: u64,
    },
    /// All targets that could serve the request are at their limit of requests in flight.
    AllFull,
    /// All targets that could serve the request are at their rate limit, or paused.
    AllLimited {
        /// The index of the limited target that is expected to have a permit first.
        index: usize,
        /// When it is expected to: after all requests that wait at any router.
        clears_at_ms: u64,
    },
    /// All targets that could serve the request are paused.
    AllPaused {
        /// When the first of them accepts requests again.
        resumes_at_ms: u64,
    },
    /// No target has the model loaded.
    NoReplica,
    /// The service has no targets.
    NoTarget,
}

/// What may be done about limited targets without a permit.
#[derive(Clone, Copy, Debug, Default)]
pub struct PermitUse<'a> {
    /// Permits that requests before this one wait for.
    pub claims: Option<&'a PermitClaims>,
    /// Whether the request may wait for a permit although another target could take it now.
    pub may_await: bool,
}

/// Permits that waiting requests count on, by target.
#[derive(Clone, Debug, Default)]
pub struct PermitClaims {
    /// Sorted by target.
    claims: Vec<(TargetLife, Claim)>,
}

impl PermitClaims {
    /// Whether no request counts on a permit.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Adds a request.
    pub fn add(&mut self, life: TargetLife, is_patient: bool) {
        let at = match self.claims.binary_search_by(|(known, _)| known.cmp(&life)) {
            Ok(at) => at,
            Err(at) => {
                self.claims.insert(at, (life, Claim::default()));
                at
            }
        };
        let claim = &mut self.claims[at].1;
        claim.count += 1;
        claim.patient += u32::from(is_patient);
    }

    /// The requests that count on permits of a target.
    pub fn get(&self, life: &TargetLife) -> Claim {
        match self.claims.binary_search_by(|(known, _)| known.cmp(life)) {
            Ok(at) => self.claims[at].1,
            Err(_) => Claim::default(),
        }
    }
}

/// The targets that could serve a request.
#[derive(Debug)]
pub(super) struct Candidates {
    now_ms: u64,
    may_await: bool,
    has_target: bool,
    is_any_full: bool,
    /// The cheapest target that can take the request now.
    open: Option<(f64, usize)>,
    /// The cheapest one that can take it as soon as a permit has been granted.
    awaited: Option<(f64, usize)>,
    /// The one whose next permit starts first, not at once.
    scheduled: Option<(u64, usize)>,
    /// The limited target that is clear of waiting requests first, and when.
    first_clear: Option<(u64, usize)>,
    /// When the first pause ends.
    resumes_at_ms: Option<u64>,
    unleased: Unleased,
}

/// Brittle targets at which this router has no free slot.
#[derive(Debug, Default)]
struct Unleased {
    /// The cheapest one at which the leader may be asked for one now.
    now: Option<(f64, usize)>,
    /// The one at which the leader may be asked first.
    later: Option<(u64, usize)>,
    /// Requests that wait for a slot before this one, and that the slots serve in a millisecond.
    claimed: u32,
    rate_per_ms: f64,
    /// Whether more slots may be had at one of them.
    has_more: bool,
}

impl Unleased {
    fn add(&mut self, now_ms: u64, index: usize, cost: f64, ask_ms: u64) {
        match ask_ms <= now_ms {
            true => keep_cheaper(&mut self.now, cost, index),
            false => keep_earlier(&mut self.later, ask_ms, index),
        }
    }

    fn choose(&self) -> Option<TargetChoice> {
        let index = self.now.map(|(_, index)| index).or(self.later.map(|(_, index)| index))?;
        let is_known = !self.has_more && self.rate_per_ms > 0.0;
        let interval_us = if is_known { (1_000.0 / self.rate_per_ms) as u64 } else { 0 };
        Some(TargetChoice::AwaitSlot { index, ahead: self.claimed, interval_us })
    }
}

impl Candidates {
    pub(super) fn new(now_ms: u64, may_await: bool) -> Self {
        Self {
            now_ms,
            may_await,
            has_target: false,
            is_any_full: false,
            open: None,
            awaited: None,
            scheduled: None,
            first_clear: None,
            resumes_at_ms: None,
            unleased: Unleased::default(),
        }
    }

    /// Adds a target of the service that lacks the model.
    pub(super) fn add_without_model(&mut self) {
        self.has_target = true;
    }

    /// Adds a target that is at its limit of requests in flight.
    pub(super) fn add_full(&mut self) {
        self.has_target = true;
        self.is_any_full = true;
    }

    /// Adds a paused target.
    pub(super) fn add_paused(&mut self, until_ms: u64) {
        self.has_target = true;
        let first_ms = self.resumes_at_ms.unwrap_or(until_ms);
        self.resumes_at_ms = Some(first_ms.min(until_ms));
    }

    /// Adds a target that has room.
    pub(super) fn add(&mut self, index: usize, cost: f64, gate: Gate) {
        self.has_target = true;
        match gate {
            Gate::Unlimited | Gate::Permit => keep_cheaper(&mut self.open, cost, index),
            Gate::Closed { next_ms, clears_ms } => {
                keep_earlier(&mut self.first_clear, clears_ms.max(next_ms), index);
                if next_ms <= self.now_ms + AT_ONCE_MS {
                    keep_cheaper(&mut self.awaited, cost, index);
                } else if next_ms <= self.now_ms + SCHEDULE_AHEAD_MS {
                    keep_earlier(&mut self.scheduled, next_ms, index);
                }
            }
        }
    }

    /// Adds a brittle target without a free slot, for which `claimed` requests wait before this one. Its cost
    /// contains their wait, so that requests that wait are spread over targets.
    pub(super) fn add_unleased(
        &mut self,
        index: usize,
        cost: f64,
        claimed: u32,
        ask_ms: u64,
        rate_per_ms: Option<f64>,
    ) {
        self.has_target = true;
        self.unleased.claimed += claimed;
        self.unleased.rate_per_ms += rate_per_ms.unwrap_or_default();
        self.unleased.has_more |= rate_per_ms.is_none();
        self.unleased.add(self.now_ms, index, cost, ask_ms);
    }

    pub(super) fn choose(self) -> TargetChoice {
        match (self.open, self.awaited) {
            (Some((open, _)), Some((awaited, index))) if self.may_await && awaited < open => {
                return TargetChoice::AwaitPermit { index, has_alternative: true };
            }
            (Some((_, index)), _) => return TargetChoice::Selected(index),
            (None, Some((_, index))) => {
                return TargetChoice::AwaitPermit { index, has_alternative: false };
            }
            (None, None) => {}
        }
        if let Some((_, index)) = self.scheduled {
            return TargetChoice::AwaitPermit { index, has_alternative: false };
        }
        if let Some(choice) = self.unleased.choose() {
            return choice;
        }
        if self.is_any_full {
            return TargetChoice::AllFull;
        }
        match (self.first_clear, self.resumes_at_ms) {
            (Some((clears_at_ms, index)), resumes_at_ms) => TargetChoice::AllLimited {
                index,
                clears_at_ms: resumes_at_ms.map_or(clears_at_ms, |at_ms| at_ms.min(clears_at_ms)),
            },
            (None, Some(resumes_at_ms)) => TargetChoice::AllPaused { resumes_at_ms },
            (None, None) if self.has_target => TargetChoice::NoReplica,
            (None, None) => TargetChoice::NoTarget,
        }
    }
}

fn keep_cheaper(best: &mut Option<(f64, usize)>, cost: f64, index: usize) {
    if best.is_none_or(|(best_cost, _)| cost < best_cost) {
        *best = Some((cost, index));
    }
}

fn keep_earlier(first: &mut Option<(u64, usize)>, at_ms: u64, index: usize) {
    if first.is_none_or(|(first_ms, _)| at_ms < first_ms) {
        *first = Some((at_ms, index));
    }
}
