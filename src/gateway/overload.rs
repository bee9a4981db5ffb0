//! Decides when an overloaded router reports itself as not ready, so that new callers go to others.
//!
//! The load that it answers: one router gets more than its part, and is near its limit of memory, descriptors or
//! processor time. If all routers are near theirs, callers gain nothing from some that leave, so each leaves at random,
//! seldom enough that most stay.

use std::time::Duration;

use super::state::RouterState;

/// Parts of a limit at which a router is overloaded, and below which it is so no longer.
const HIGH_SHARE: f64 = 0.9;
const LOW_SHARE: f64 = 0.7;
/// How long a router is overloaded before it may leave. A single pause is none.
const MIN_OVERLOAD_MS: u64 = 500;
/// How long the load is lower before a router returns.
const MIN_RELIEF_MS: u64 = 500;
/// Time between two draws of an overloaded router.
const DRAW_INTERVAL_MS: u64 = 1_000;
/// Chance to leave at each draw. Three draws fit into the time away, so of routers that are overloaded together about
/// a quarter is away at a time. At 1/8 it was more than half at times.
const LEAVE_CHANCE: f64 = 1.0 / 10.0;
/// Longest time away. The balancer in front asks once a second and needs two failed checks.
const MAX_AWAY_MS: u64 = 3_000;
/// The window in which the time away is bounded, and the bound, an eighth of it.
const WINDOW_MS: u64 = 60_000;
const MAX_AWAY_IN_WINDOW_MS: u64 = WINDOW_MS / 8;
/// Routers without which none leaves: the others would have to take half as much again.
const MIN_ROUTERS: u32 = 3;
/// A longer time between two looks means that the process stood still.
const MAX_STEP_MS: u64 = 2_000;

/// How much of its limits a router uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Bytes held for callers, as a part of what may be held.
    pub held_share: f64,
    /// Open descriptors, as a part of what may be open.
    pub descriptor_share: f64,
    /// Delay of a timer, as a part of what callers can bear.
    pub lag_share: f64,
}

impl Usage {
    /// The part of the limit that is nearest.
    pub fn highest(self) -> f64 {
        self.held_share.max(self.descriptor_share).max(self.lag_share)
    }
}

/// What changes about the readiness of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadinessChange {
    /// Nothing.
    Unchanged,
    /// It is not ready from now on.
    Leave,
    /// It is ready again.
    Return {
        /// Time for which it was not.
        after_ms: u64,
    },
}

/// Whether a router is overloaded, and since when it is away.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    routers: u32,
    seen_ms: u64,
    high_since_ms: Option<u64>,
    low_since_ms: Option<u64>,
    drawn_ms: Option<u64>,
    away_since_ms: Option<u64>,
    /// When it left and returned within the window.
    past: Vec<(u64, u64)>,
}

impl Overload {
    /// Sets the number of routers.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers;
    }

    /// Whether the router is to be reported as not ready.
    pub fn is_away(&self, now_ms: u64) -> bool {
        self.away_since_ms.is_some_and(|since_ms| now_ms < since_ms + MAX_AWAY_MS)
    }

    /// Takes a measurement; `draw` is random and at least 0 and less than 1.
    pub fn observe(&mut self, now_ms: u64, usage: Usage, draw: f64) -> ReadinessChange {
        if now_ms.saturating_sub(self.seen_ms) > MAX_STEP_MS {
            (self.high_since_ms, self.low_since_ms) = (None, None);
        }
        self.seen_ms = now_ms;
        let share = usage.highest();
        self.high_since_ms = since(self.high_since_ms, now_ms, share >= HIGH_SHARE);
        self.low_since_ms = since(self.low_since_ms, now_ms, share < LOW_SHARE);
        let has_lasted = |since_ms: Option<u64>, ms| since_ms.is_some_and(|at| now_ms >= at + ms);
        match self.away_since_ms {
            Some(since_ms) => {
                let is_over = has_lasted(self.low_since_ms, MIN_RELIEF_MS);
                if !is_over && self.is_away(now_ms) {
                    return ReadinessChange::Unchanged;
                }
                let until_ms = now_ms.min(since_ms + MAX_AWAY_MS);
                self.past.push((since_ms, until_ms));
                self.away_since_ms = None;
                ReadinessChange::Return { after_ms: until_ms - since_ms }
            }
            None if has_lasted(self.high_since_ms, MIN_OVERLOAD_MS) => self.draw(now_ms, draw),
            None => ReadinessChange::Unchanged,
        }
    }

    /// Decides at random whether an overloaded router leaves.
    fn draw(&mut self, now_ms: u64, draw: f64) -> ReadinessChange {
        let is_early = self.drawn_ms.is_some_and(|at_ms| now_ms < at_ms + DRAW_INTERVAL_MS);
        if self.routers < MIN_ROUTERS || is_early {
            return ReadinessChange::Unchanged;
        }
        self.drawn_ms = Some(now_ms);
        let begin_ms = now_ms.saturating_sub(WINDOW_MS);
        self.past.retain(|(_, until_ms)| *until_ms > begin_ms);
        let away = self.past.iter().map(|(since_ms, until_ms)| until_ms - since_ms.max(&begin_ms));
        let away_ms: u64 = away.sum();
        if draw >= LEAVE_CHANCE || away_ms + MAX_AWAY_MS > MAX_AWAY_IN_WINDOW_MS {
            return ReadinessChange::Unchanged;
        }
        self.away_since_ms = Some(now_ms);
        ReadinessChange::Leave
    }
}

fn since(since_ms: Option<u64>, now_ms: u64, is_so: bool) -> Option<u64> {
    is_so.then(|| since_ms.unwrap_or(now_ms))
}

/// How often the usage is measured.
const MEASURE_INTERVAL: Duration = Duration::from_millis(100);
/// Descriptors are counted once in so many measurements.
const MEASUREMENTS_PER_COUNT: u32 = 10;
/// Part of the shortest latency target of all routes that the event loop may be late.
const LAG_TARGET_PARTS: u64 = 2;
/// Shortest delay that counts as lag at the limit: less is noise of the machine.
const MIN_LAG_LIMIT_MS: u64 = 100;
/// The delay at the limit where no route has a latency target.
const DEFAULT_LAG_LIMIT_MS: u64 = 500;

/// Measures the usage of the limits until the process ends.
pub(super) async fn watch(router: std::rc::Rc<RouterState>) {
    let mut descriptor_share = 0.0;
    for count in 0_u32.. {
        let before_ms = router.now_ms();
        tokio::time::sleep(MEASURE_INTERVAL).await;
        let now_ms = router.now_ms();
        let due_ms = before_ms + MEASURE_INTERVAL.as_millis() as u64;
        let lag_ms = now_ms.saturating_sub(due_ms);
        if count % MEASUREMENTS_PER_COUNT == 0 {
            descriptor_share = used_descriptors().unwrap_or(0.0);
        }
        let usage = Usage {
            held_share: router.held.held_bytes() as f64 / router.held.limit_bytes().max(1) as f64,
            descriptor_share,
            lag_share: lag_ms as f64 / lag_limit_ms(&router) as f64,
        };
        let change = router.overload.borrow_mut().observe(now_ms, usage, rand::random());
        report(&router, usage, change);
    }
}

fn report(router: &RouterState, usage: Usage, change: ReadinessChange) {
    let Usage { held_share, descriptor_share, lag_share } = usage;
    match change {
        ReadinessChange::Unchanged => {}
        ReadinessChange::Leave => {
            metrics::counter!("fescuebay_overload_leaves_total").increment(1);
            log::warn!(
                held_share = held_share, descriptor_share = descriptor_share,
                lag_share = lag_share, routers = router.overload.borrow().routers;
                "overloaded: reported as not ready for {MAX_AWAY_MS} ms at most"
            );
        }
        ReadinessChange::Return { after_ms } => log::info!(
            held_share = held_share, descriptor_share = descriptor_share, lag_share = lag_share,
            after_ms = after_ms;
            "reported as ready again after {after_ms} ms"
        ),
    }
}

/// The delay of the event loop at which callers are no longer served in time.
fn lag_limit_ms(router: &RouterState) -> u64 {
    let index = router.index();
    let routes = index.iter().flat_map(|index| &index.document().routes);
    let targets = routes.map(|route| route.latency_target_ms).filter(|target_ms| *target_ms > 0);
    let limit_ms = targets.min().map(|target_ms| target_ms / LAG_TARGET_PARTS);
    limit_ms.unwrap_or(DEFAULT_LAG_LIMIT_MS).max(MIN_LAG_LIMIT_MS)
}

/// The part of all descriptors that is open; `None` if the operating system does not tell.
fn used_descriptors() -> Option<f64> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    let limit: f64 = line.split_whitespace().next()?.parse().ok()?;
    let open = std::fs::read_dir("/proc/self/fd").ok()?.count();
    Some(open as f64 / limit)
}
