//! Cost of a target: the time until a request is expected to have its first event there, or its response.
//!
//! Workload: engines of uneven speed (0.6 : 1 : 1.6) with short spells of slowness, a model that is much in
//! demand on a few of them, prompts of very different length, and routers that see the same totals.

/// Unread prompt tokens that delay a request as much as one request that runs beside it: while a target
/// reads a prompt, the events of all its other streams are delayed.
const TOKENS_AS_REQUEST: f64 = 600.0;
/// Requests beside a request at a plain service that double the time of its response.
const PLAIN_DOUBLING: f64 = 4.0;
/// Cost of a target in another availability zone, in requests that run beside this one.
const ZONE_REQUESTS: f64 = 0.6;
/// Cost of each recent failure of a target, in requests that run beside this one.
const FAILURE_REQUESTS: f64 = 2.0;
/// Targets whose costs differ by less than this many requests count as equal and are drawn between, because
/// the requests that other routers sent most recently are not known yet.
const MIN_SPREAD_REQUESTS: f64 = 1.2;
/// Largest draw, so that its logarithm is finite.
const MAX_DRAW: f64 = 0.999_999;
/// Upper bound of the preference for the target that all routers prefer for a shared prompt, in requests. It
/// decides between targets that count as equal, and only there.
const MAX_AFFINITY_REQUESTS: f64 = 0.8;
/// Share of a target's memory in use from which kept prompts begin to count less: they are evicted as soon as
/// running requests need the room.
const EVICTING_SHARE: f64 = 0.75;
/// Share of the memory in use from which nothing counts as kept.
const EVICTED_SHARE: f64 = 0.9;
/// Cost that exceeds all expected times: a target without it is chosen first.
const LAST_RESORT_MS: f64 = 1e9;

/// How long the requests of a service usually take at a target of usual speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTimes {
    /// Whether its targets are model engines.
    pub is_engine: bool,
    /// Time to read one prompt token.
    pub token_ms: f64,
    /// Time to the response of a plain service.
    pub response_ms: f64,
    /// Time for which a request occupies a slot.
    pub occupancy_ms: f64,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self { is_engine: false, token_ms: 0.1, response_ms: 50.0, occupancy_ms: 500.0 }
    }
}

impl ServiceTimes {
    /// The time by which one running request delays another one at the same target.
    pub fn request_ms(&self) -> f64 {
        match self.is_engine {
            true => TOKENS_AS_REQUEST * self.token_ms,
            false => self.response_ms / PLAIN_DOUBLING,
        }
    }
}

/// What the cost of a target depends on, of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestCost {
    /// Tokens of its prompt.
    pub prompt_tokens: f64,
    /// Tokens of the leading parts of its prompt that other requests share.
    pub shared_tokens: f64,
}

/// What the cost of a target depends on, of the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests that are expected there, over all routers.
    pub requests: f64,
    /// Requests that may have begun there at other routers since their totals were taken, and as many that
    /// may have ended.
    pub unseen_requests: f64,
    /// Prompt tokens that it has to read before those of the request.
    pub unread_tokens: f64,
    /// Tokens of the prompt that it is believed to hold.
    pub kept_tokens: f64,
    /// Share of its memory that requests in flight need.
    pub memory_share: f64,
    /// The time that it takes relative to other targets; 1 is usual.
    pub slowness: f64,
    /// Whether it is in another availability zone.
    pub is_remote: bool,
    /// Its recent failures.
    pub failures: u32,
    /// Whether its announcements are overdue, or it failed a short time ago.
    pub is_suspect: bool,
    /// Whether the request failed there before.
    pub is_avoided: bool,
    /// Its place between 0 and 1 in the order that all routers have of targets for this prompt.
    pub affinity: f64,
    /// The draw between 0 and 1 for this request.
    pub draw: f64,
}

/// The time until the request is expected to have its first event or its response at the target, with the
/// preferences and the draw.
pub fn cost_ms(times: &ServiceTimes, request: &RequestCost, target: &TargetLoad) -> f64 {
    let beside_ms = times.request_ms();
    let zone = if target.is_remote { ZONE_REQUESTS } else { 0.0 };
    let failures = FAILURE_REQUESTS * f64::from(target.failures);
    let affinity_requests =
        (request.shared_tokens / TOKENS_AS_REQUEST).min(MAX_AFFINITY_REQUESTS) * target.affinity;
    let preferences = zone + failures - affinity_requests + drawn_requests(target);
    let last_resort = f64::from(u32::from(target.is_suspect) + 2 * u32::from(target.is_avoided));
    expected_ms(times, request, target) + beside_ms * preferences + LAST_RESORT_MS * last_resort
}

/// The random part of the cost, in requests. Where much is unseen, it is exponential and grows with the
/// slowness: among targets that cost the same otherwise, each is then chosen in proportion to its speed.
fn drawn_requests(target: &TargetLoad) -> f64 {
    let unseen_requests = (target.unseen_requests - MIN_SPREAD_REQUESTS).max(0.0);
    let exponential = -(1.0 - target.draw.clamp(0.0, MAX_DRAW)).ln();
    MIN_SPREAD_REQUESTS * target.draw + unseen_requests * target.slowness * exponential
}

/// The time until the request is expected to have its first event or its response at the target.
pub fn expected_ms(times: &ServiceTimes, request: &RequestCost, target: &TargetLoad) -> f64 {
    let slots = f64::from(target.slots.max(1));
    let running = target.requests.min(slots);
    let queued = expected_excess(target.requests + 1.0 - slots, target.unseen_requests);
    let own_ms = match times.is_engine {
        true => {
            let kept_tokens = target.kept_tokens * usable_share(target.memory_share);
            let unread_tokens = target.unread_tokens + request.prompt_tokens - kept_tokens;
            // One more request in the batch: without a prompt it takes a turn, too.
            unread_tokens.max(0.0) * times.token_ms + times.request_ms()
        }
        false => {
            let unread_tokens = target.unread_tokens / TOKENS_AS_REQUEST;
            times.response_ms + unread_tokens * times.request_ms()
        }
    };
    let wait_ms = queued * times.occupancy_ms / slots;
    target.slowness * (own_ms + running * times.request_ms() + wait_ms)
}

/// The expected part above zero of a number of requests that is known but for those that nobody has told of yet.
fn expected_excess(excess: f64, unseen_requests: f64) -> f64 {
    // Those that began and those that ended vary independently of each other.
    let variance = 2.0 * unseen_requests;
    ((excess + (excess * excess + variance).sqrt()) / 2.0).max(0.0)
}

/// The part of kept prompts that is still there when the request arrives, by the share of the memory in use.
fn usable_share(memory_share: f64) -> f64 {
    ((EVICTED_SHARE - memory_share) / (EVICTED_SHARE - EVICTING_SHARE)).clamp(0.0, 1.0)
}

/// The requests that other routers may have sent to each of the targets since their totals were taken.
/// `others` of them are known at `targets` targets, each of which occupies a slot for `occupancy_ms`.
pub fn unseen_requests(others: f64, targets: usize, occupancy_ms: f64, age_ms: u64) -> f64 {
    let each = others / targets.max(1) as f64;
    // All of them have ended and were followed by others after the time that a request takes.
    each * (age_ms as f64 / occupancy_ms.max(1.0)).min(1.0)
}
