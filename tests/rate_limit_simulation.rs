//! Replays of routers, a leader and one limited target in virtual time, from fixed seeds.
//!
//! Each replay counts what reaches the target from routers that know its limit.

use std::collections::VecDeque;

use fescuebay::ids::{DaemonId, Incarnation};
use fescuebay::rate_limit::message::{PermitAsk, PermitGrant};
use fescuebay::rate_limit::permits::{Gate, PermitPool};
use fescuebay::rate_limit::schedule::PermitSchedule;
use fescuebay::rate_limit::statements::StatedAt;
use fescuebay::rate_limit::{Claim, SCHEDULE_AHEAD_MS, Statement, TargetLife};
use fescuebay::units::PerSecond;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// One way between a router and the leader.
const WAY_MS: u64 = 3;
/// Time after which a router takes the leader for lost.
const ASK_TIMEOUT_MS: u64 = 300;
/// Time between two answers to a router's question for news.
const NEWS_MS: u64 = 400;
/// Time that the target takes for one request.
const ANSWER_MS: u64 = 30;
/// Longest wait of a request.
const MAX_WAIT_MS: u64 = 1_500;
/// The length of the sliding window in which requests are counted.
const WINDOW_MS: u64 = 4_000;
/// Time after a limit is first named from which it must be kept.
const NOTICE_MS: u64 = 3_000;

fn life() -> TargetLife {
    TargetLife { target: "t".parse().unwrap(), incarnation: Incarnation(1) }
}

struct AskInFlight {
    asked_ms: u64,
    asks: Vec<PermitAsk>,
    /// The answer, once the leader has given one, and when it arrives.
    answer: Option<(u64, Vec<PermitGrant>)>,
}

struct Router {
    id: DaemonId,
    pool: PermitPool,
    /// Until when each waiting request waits.
    waiting: VecDeque<u64>,
    ask: Option<AskInFlight>,
    news_ms: u64,
    /// Requests at the target: when each was sent.
    sent: VecDeque<u64>,
    frozen_until_ms: u64,
    cut_until_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The leader is replaced: none answers for this long.
    LeaderLost(u64),
    /// This router does nothing for this long.
    Freeze(usize, u64),
    /// This router does not reach the leader for this long.
    Cut(usize, u64),
    /// This router starts again and knows nothing.
    Restart(usize),
}

/// A fleet before one target, and what it did.
struct Replay {
    rng: SmallRng,
    now_ms: u64,
    routers: Vec<Router>,
    schedule: PermitSchedule,
    led_from_ms: u64,
    /// The target's limit over time: each from this moment on.
    limits: Vec<(u64, Option<f64>)>,
    /// Requests that arrive at each router, a second.
    rate_per_s: f64,
    faults: Vec<(u64, Fault)>,
    /// When requests reached the target, and from which router.
    reached: Vec<(u64, usize)>,
    refused: usize,
    refused_late: usize,
}

impl Replay {
    fn new(seed: u64, routers: usize, rate_per_s: f64, limits: Vec<(u64, Option<f64>)>) -> Self {
        let router = |number: usize| Router {
            id: format!("r{number}").parse().unwrap(),
            pool: PermitPool::new(seed * 1_000 + number as u64),
            waiting: VecDeque::new(),
            ask: None,
            news_ms: (number as u64 * 37) % NEWS_MS,
            sent: VecDeque::new(),
            frozen_until_ms: 0,
            cut_until_ms: 0,
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            routers: (0..routers).map(router).collect(),
            schedule: PermitSchedule::new(0),
            led_from_ms: 0,
            limits,
            rate_per_s,
            faults: Vec::new(),
            reached: Vec::new(),
            refused: 0,
            refused_late: 0,
        }
    }

    fn fault(mut self, at_ms: u64, fault: Fault) -> Self {
        self.faults.push((at_ms, fault));
        self
    }

    fn limit(&self) -> Option<f64> {
        let past = self.limits.iter().rev().find(|(from_ms, _)| *from_ms <= self.now_ms);
        past.and_then(|(_, limit)| *limit)
    }

    fn run(mut self, length_ms: u64) -> Self {
        while self.now_ms < length_ms {
            for (at_ms, fault) in self.faults.clone() {
                if at_ms == self.now_ms {
                    self.begin(fault);
                }
            }
            for number in 0..self.routers.len() {
                let arrives = self.rng.random_bool((self.rate_per_s / 1_000.0).min(1.0));
                if self.now_ms >= self.routers[number].frozen_until_ms {
                    self.step(number, arrives);
                }
            }
            self.now_ms += 1;
        }
        self
    }

    fn begin(&mut self, fault: Fault) {
        let now_ms = self.now_ms;
        match fault {
            Fault::LeaderLost(length_ms) => {
                self.led_from_ms = now_ms + length_ms;
                self.schedule = PermitSchedule::new(self.led_from_ms);
            }
            Fault::Freeze(number, length_ms) => {
                self.routers[number].frozen_until_ms = now_ms + length_ms;
            }
            Fault::Cut(number, length_ms) => {
                self.routers[number].cut_until_ms = now_ms + length_ms;
            }
            Fault::Restart(number) => {
                let router = &mut self.routers[number];
                router.pool = PermitPool::new(self.rng.random());
                (router.waiting, router.sent) = Default::default();
                (router.ask, router.news_ms) = (None, now_ms);
            }
        }
    }

    fn step(&mut self, number: usize, arrives: bool) {
        let (now_ms, limit) = (self.now_ms, self.limit());
        let is_led = now_ms >= self.led_from_ms && now_ms >= self.routers[number].cut_until_ms;
        let routers = self.routers.len() as u32;
        let router = &mut self.routers[number];
        while router.sent.front().is_some_and(|sent_ms| sent_ms + ANSWER_MS <= now_ms) {
            let sent_ms = router.sent.pop_front().unwrap();
            let named = limit.map_or(Statement::Unlimited, |l| Statement::Limited(PerSecond(l)));
            router.pool.record(now_ms, &life(), named, StatedAt { sent_ms, read_ms: now_ms });
        }
        if is_led && now_ms >= router.news_ms {
            router.news_ms = now_ms + NEWS_MS;
            router.pool.set_routers(routers);
            for told in self.schedule.statements(now_ms) {
                router.pool.record_told(now_ms, &told);
            }
        }
        if arrives {
            router.waiting.push_back(now_ms + MAX_WAIT_MS);
        }
        self.serve(number);
        self.exchange(number, is_led);
        self.serve(number);
    }

    /// Sends, keeps or refuses each waiting request, in order.
    fn serve(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let router = &mut self.routers[number];
        let mut kept = VecDeque::new();
        for until_ms in std::mem::take(&mut router.waiting) {
            match router.pool.gate(now_ms, &life(), kept.len() as u32) {
                Gate::Unlimited => {}
                Gate::Permit => {
                    let permit = router.pool.reserve(now_ms, &life().target, life().incarnation);
                    let permit = permit.expect("the gate is open");
                    assert!(router.pool.spend(now_ms, &life().target, permit), "it is valid");
                }
                Gate::Closed { next_ms, clears_ms } => {
                    let is_soon = next_ms <= now_ms + SCHEDULE_AHEAD_MS;
                    if is_soon || clears_ms.max(next_ms) <= until_ms {
                        if now_ms < until_ms {
                            kept.push_back(until_ms);
                            continue;
                        }
                        self.refused_late += 1;
                    }
                    self.refused += 1;
                    continue;
                }
            }
            router.sent.push_back(now_ms);
            self.reached.push((now_ms, number));
        }
        router.waiting = kept;
    }

    /// Takes part in the exchange of asks and grants with the leader.
    fn exchange(&mut self, number: usize, is_led: bool) {
        let now_ms = self.now_ms;
        let router = &mut self.routers[number];
        match &mut router.ask {
            None => {
                let count = router.waiting.len() as u32;
                let asks = router.pool.asks(now_ms, |_| Claim { count, patient: count });
                if !asks.is_empty() {
                    router.ask = Some(AskInFlight { asked_ms: now_ms, asks, answer: None });
                }
            }
            Some(ask) => match &ask.answer {
                None if is_led && now_ms == ask.asked_ms + WAY_MS => {
                    for asked in &ask.asks {
                        self.schedule.record(now_ms, &asked.statement);
                    }
                    let grant = |asked| self.schedule.grant(now_ms, &router.id, asked);
                    let grants = ask.asks.iter().map(grant).collect();
                    ask.answer = Some((now_ms + WAY_MS, grants));
                }
                Some((at_ms, grants)) if *at_ms <= now_ms => {
                    router.pool.apply_grants(now_ms, ask.asked_ms, &ask.asks, grants);
                    router.ask = None;
                }
                None if now_ms >= ask.asked_ms + ASK_TIMEOUT_MS => {
                    router.pool.set_leader_lost(now_ms);
                    router.ask = None;
                }
                _ => {}
            },
        }
    }

    /// The most requests in one window from `from_ms` on, over all routers.
    fn most(&self, from_ms: u64) -> usize {
        let times: Vec<u64> = self
            .reached
            .iter()
            .map(|(at_ms, _)| *at_ms)
            .filter(|at_ms| *at_ms >= from_ms)
            .collect();
        let count =
            |from: u64| times.iter().filter(|at| (from..from + WINDOW_MS).contains(at)).count();
        times.iter().map(|from| count(*from)).max().unwrap_or_default()
    }

    fn between(&self, from_ms: u64, to_ms: u64) -> usize {
        self.reached.iter().filter(|(at_ms, _)| (from_ms..to_ms).contains(at_ms)).count()
    }
}

fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

/// A target that is limited from the start of the replay.
fn limited(limit: f64) -> Vec<(u64, Option<f64>)> {
    vec![(0, Some(limit))]
}

/// Guards against routers that each take a limit, or a first request, for their own.
#[test]
fn the_requests_of_all_routers_add_up_to_no_more_than_the_limit() {
    for seed in 0..4 {
        for (routers, rate_per_s) in [(1, 40.0), (6, 20.0), (30, 5.0), (300, 1.0)] {
            for limit in [0.4, 1.2, 7.0, 60.0] {
                let replay = Replay::new(seed, routers, rate_per_s, limited(limit)).run(23_000);
                let (most, what) =
                    (replay.most(NOTICE_MS), format!("{routers} at {limit}, {seed}"));
                assert!(most <= allowed(limit), "{what}: {most} in 4 s");
                // What comes is more than the limit, so it is used up, but for one interval.
                let wanted = limit.min(routers as f64 * rate_per_s * 0.8);
                let used = replay.between(NOTICE_MS, 23_000) as f64;
                assert!(used >= wanted * 20.0 * 0.9 - 1.0, "{what}: {used} in 20 s");
                assert!(used <= limit * 20.0 * 1.05 + 2.0, "{what}: {used} in 20 s");
            }
        }
    }
}

/// Guards against callers that wait for a permit that they cannot get.
#[test]
fn who_cannot_have_a_permit_in_time_is_refused_at_once() {
    let replay = Replay::new(1, 6, 20.0, limited(1.2)).run(20_000);
    assert!(replay.refused > 1_500, "{}", replay.refused);
    let late = replay.refused_late as f64 / replay.refused as f64;
    assert!(late < 0.01, "{} of {} waited in vain", replay.refused_late, replay.refused);
}

/// Guards against a burst of all routers when the leader that scheduled their permits is lost, and
/// when the next one begins.
#[test]
fn a_limit_is_kept_while_leaders_change() {
    for seed in 0..20 {
        for (routers, limit) in [(6, 1.2), (30, 1.2), (30, 8.0)] {
            let mut replay = Replay::new(seed, routers, 120.0 / routers as f64, limited(limit));
            for (at_ms, gone_ms) in [(4_000, 400), (6_000, 2_500), (9_500, 1_000), (12_000, 50)] {
                replay = replay.fault(at_ms + seed * 13, Fault::LeaderLost(gone_ms));
            }
            let replay = replay.run(22_000);
            let most = replay.most(NOTICE_MS);
            assert!(most <= allowed(limit), "{routers} at {limit}, seed {seed}: {most} in 4 s");
            let used = replay.between(17_000, 22_000) as f64;
            assert!(used >= limit * 5.0 * 0.8 - 1.0, "seed {seed}: {used} in 5 s after the last");
        }
    }
}

/// Guards against permits that a router uses after a pause, and against routers that are cut off
/// beside a leader that gives out the whole limit.
#[test]
fn a_limit_is_kept_by_frozen_cut_off_and_restarted_routers() {
    for seed in 0..20 {
        let mut replay = Replay::new(seed, 6, 20.0, limited(2.0));
        for number in 0..6 {
            let at_ms = 4_000 + number as u64 * 1_700 + seed * 29;
            replay = replay
                .fault(at_ms, Fault::Freeze(number, 1_500))
                .fault(at_ms + 300, Fault::Cut((number + 1) % 6, 2_500))
                .fault(at_ms + 500, Fault::Restart((number + 2) % 6));
        }
        let replay = replay.run(20_000);
        let most = replay.most(NOTICE_MS);
        assert!(most <= allowed(2.0), "seed {seed}: {most} in 4 s");
    }
}

/// Guards against permits of a limit that has fallen meanwhile, and against limits that stay after
/// their target has ended them.
#[test]
fn a_limit_that_falls_rises_or_ends_is_followed() {
    for seed in 0..8 {
        let limits =
            vec![(0, Some(20.0)), (6_000, Some(2.0)), (14_000, Some(10.0)), (20_000, None)];
        let replay = Replay::new(seed, 6, 10.0, limits).run(26_000);
        let fallen = replay.between(6_500, 10_500);
        assert!(fallen <= allowed(2.0), "seed {seed}: {fallen} in 4 s after the fall");
        let risen = replay.between(15_000, 20_000);
        assert!(risen >= 40, "seed {seed}: {risen} of 50 in 5 s after the rise");
        let ended = replay.between(22_000, 26_000);
        assert!(ended >= 200, "seed {seed}: {ended} of 240 in 4 s after the end");
    }
}

/// A target that takes nothing is still asked now and then, or the end would not be heard.
#[test]
fn a_limit_of_zero_ends_when_the_target_says_so() {
    let replay = Replay::new(3, 6, 10.0, vec![(0, Some(0.0)), (20_000, None)]).run(32_000);
    let during = replay.between(NOTICE_MS, 20_000);
    assert!((1..=5).contains(&during), "{during}");
    assert!(replay.between(26_000, 30_000) >= 200);
}

/// Guards against a router that is always the first to ask.
#[test]
fn no_router_keeps_a_limited_target_to_itself() {
    let replay = Replay::new(5, 6, 20.0, limited(2.0)).run(63_000);
    let of = |number: usize| {
        let own = replay.reached.iter().filter(|(at, who)| *at >= NOTICE_MS && *who == number);
        own.count()
    };
    let shares: Vec<usize> = (0..6).map(of).collect();
    // Two a second over 60 s and six routers are twenty each.
    assert!(shares.iter().all(|share| (14..=26).contains(share)), "{shares:?}");
}
