//! Tests of the routing engine in virtual time: limits, fairness, target selection and invariants.

use std::sync::Arc;

use fescuebay::ids::{Digest, Incarnation, Sequence};
use fescuebay::membership::table::{Replica, RouteTable, Standing, TargetEntry};
use fescuebay::routing::engine::{
    Action, Arrival, AttemptFailure, AttemptStart, Destination, EngineSettings, EventContext,
    RoutingEngine, Ticket,
};
use fescuebay::routing::refusal::{RefusalCode, RunStatus};
use fescuebay::target::call::{Cause, Written};
use fescuebay::target::order::{Kind, Load};
use proptest::prelude::{Strategy, any, prop};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn entry(name: &str, slots: u32) -> TargetEntry {
    TargetEntry {
        software: None,
        target: name.parse().unwrap(),
        incarnation: Incarnation(1),
        kind: Kind::Assistant,
        availability_zone: "andina-a".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        standing: Standing::Up,
        slots,
        replicas: vec![Replica { model: "quill".parse().unwrap(), version: "1".parse().unwrap() }],
        services: vec![],
    }
}

fn arrival(now_ms: u64, tenant: &str, rank: u8) -> Arrival {
    Arrival {
        destination: Destination::Model("quill".parse().unwrap()),
        tenant: tenant.parse().unwrap(),
        class: "quote".parse().unwrap(),
        rank,
        weight: 1.0,
        deadline_ms: now_ms + 5000,
        max_waiting: 100,
        max_in_flight: 100,
        is_idempotent: true,
        is_stream: false,
        max_tokens: None,
        conversation: None,
        digest: Digest::of(&[tenant.as_bytes(), &now_ms.to_le_bytes()]),
        is_suspect: false,
        body_bytes: 10,
    }
}

/// An engine with virtual time, a seeded random number generator and the actions it emitted.
struct EngineHarness {
    engine: RoutingEngine,
    rng: SmallRng,
    now_ms: u64,
    running: Vec<AttemptStart>,
    refused: Vec<(Ticket, RefusalCode, RunStatus)>,
}

impl EngineHarness {
    fn new(entries: Vec<TargetEntry>) -> Self {
        let engine = RoutingEngine::new(EngineSettings::default());
        let rng = SmallRng::seed_from_u64(3);
        let mut harness = Self { engine, rng, now_ms: 1000, running: vec![], refused: vec![] };
        harness.publish(1, entries);
        harness
    }

    fn handle<T>(
        &mut self,
        event: impl FnOnce(&mut RoutingEngine, &mut EventContext<'_>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let mut cx = EventContext { now_ms: self.now_ms, rng: &mut self.rng, out: &mut out };
        let value = event(&mut self.engine, &mut cx);
        for action in out {
            match action {
                Action::StartAttempt(start) => self.running.push(start),
                Action::Refuse { ticket, refusal } => {
                    self.refused.push((ticket, refusal.code, refusal.ran));
                }
                Action::AskPermits | Action::ReportDemand(_) | Action::TargetDied { .. } => {}
            }
        }
        value
    }

    fn publish(&mut self, sequence: u64, entries: Vec<TargetEntry>) {
        let table = Arc::new(RouteTable::new(Sequence(sequence), entries));
        self.handle(|engine, cx| engine.set_table(cx, table));
    }

    fn arrive(&mut self, arrival: Arrival) -> Ticket {
        self.handle(|engine, cx| engine.arrive(cx, arrival, |_| None))
    }

    fn tick(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        self.handle(|engine, cx| engine.tick(cx, |_| None));
    }

    fn complete(&mut self, at: usize, load: Option<Load>) {
        let start = self.running.remove(at);
        self.handle(|engine, cx| {
            engine.first_byte(cx, start.ticket, start.attempt, load);
            engine.complete(cx, start.ticket, start.attempt);
        });
    }

    /// Advances time by `ms` and completes all running attempts.
    fn answer_all(&mut self, ms: u64) {
        self.now_ms += ms;
        while !self.running.is_empty() {
            self.complete(0, None);
        }
    }

    fn calls_per_target(&self, targets: usize) -> Vec<usize> {
        let count =
            |target| self.running.iter().filter(|s| s.target_index as usize == target).count();
        (0..targets).map(count).collect()
    }
}

#[test]
fn flooding_tenant_does_not_starve_another() {
    let mut harness = EngineHarness::new(vec![entry("runner-1", 1)]);
    for _ in 0..60 {
        harness.arrive(arrival(1000, "flood", 1));
    }
    for _ in 0..10 {
        harness.arrive(arrival(1000, "quiet", 1));
    }
    let mut quiet_done_at = None;
    let mut quiet = 0;
    for served in 0..40 {
        harness.now_ms += 10;
        // The first 60 slab indices belong to the flooding tenant.
        let ticket = harness.running[0].ticket;
        quiet += usize::from(ticket.index >= 60);
        quiet_done_at = quiet_done_at.or((quiet == 10).then_some(served));
        harness.complete(0, None);
    }
    assert!(quiet_done_at.is_some_and(|at| at <= 22), "{quiet_done_at:?}: {quiet}");
}

#[test]
fn tenant_class_limits_refuse_or_park_excess_requests() {
    let mut harness = EngineHarness::new(vec![entry("runner-1", 1)]);
    let limited = |max_waiting, max_in_flight| Arrival {
        max_waiting,
        max_in_flight,
        ..arrival(1000, "santuario", 1)
    };
    harness.arrive(limited(2, 100));
    for _ in 0..3 {
        harness.arrive(limited(2, 100));
    }
    assert_eq!(harness.refused.len(), 1);
    assert_eq!(
        (harness.refused[0].1, harness.refused[0].2),
        (RefusalCode::TooManyWaiting, RunStatus::No)
    );

    let mut harness = EngineHarness::new(vec![entry("runner-1", 8)]);
    for _ in 0..8 {
        harness.arrive(limited(100, 2));
    }
    assert_eq!(harness.running.len(), 2, "the limit on work in flight holds while slots are free");
    harness.answer_all(10);
    assert_eq!(harness.engine.requests(), 0, "parked requests are sent when the limit has room");
}

#[test]
fn requests_that_cannot_meet_their_deadline_are_refused_on_arrival() {
    let mut harness = EngineHarness::new(vec![entry("runner-1", 1)]);
    for _ in 0..20 {
        harness.arrive(arrival(harness.now_ms, "santuario", 1));
        harness.answer_all(1000);
    }
    let now_ms = harness.now_ms;
    for _ in 0..10 {
        harness.arrive(arrival(now_ms, "santuario", 1));
    }
    let early =
        harness.refused.iter().filter(|(_, code, _)| *code == RefusalCode::NotInTime).count();
    assert!((4..=7).contains(&early), "{early} of 10 refused on arrival");
}

#[test]
fn slowed_target_is_avoided_and_used_again_after_recovery() {
    let entries = (1..=4).map(|n| entry(&format!("runner-{n}"), 8)).collect();
    let mut harness = EngineHarness::new(entries);
    let mut slow_share = |slow: bool, rounds: usize| {
        let (mut at_slow, mut all) = (0, 0);
        for _ in 0..rounds {
            let now_ms = harness.now_ms;
            for _ in 0..8 {
                harness.arrive(arrival(now_ms, "santuario", 1));
            }
            at_slow += harness.calls_per_target(4)[0];
            all += 8;
            harness.now_ms += 20;
            while let Some(at) = harness.running.iter().position(|s| !slow || s.target_index != 0) {
                harness.complete(at, None);
            }
            harness.now_ms += if slow { 180 } else { 0 };
            while !harness.running.is_empty() {
                harness.complete(0, None);
            }
        }
        at_slow as f64 / all as f64
    };
    let before = slow_share(false, 30);
    let during = slow_share(true, 10);
    slow_share(false, 400);
    let after = slow_share(false, 200);
    assert!((0.15..0.35).contains(&before), "{before}");
    assert!(during < 0.08, "{during} of the work went to the slow target");
    assert!(after > 0.15, "{after} of the work goes to the recovered target after 8 s");
}

#[test]
fn stale_load_report_is_ignored() {
    let entries = vec![entry("runner-1", 8), entry("runner-2", 8)];
    let mut harness = EngineHarness::new(entries);
    harness.arrive(arrival(1000, "santuario", 1));
    let busy = harness.running[0].target_index as usize;
    harness.now_ms += 20;
    harness.complete(0, Some(Load { running: 8, waiting: 0, slots: 8 }));
    let mut share_of_busy = |wait_ms: u64| {
        harness.now_ms += wait_ms;
        let now_ms = harness.now_ms;
        let mut at_busy = 0;
        for _ in 0..200 {
            harness.arrive(arrival(now_ms, "santuario", 1));
            at_busy += usize::from(harness.running[0].target_index as usize == busy);
            let start = harness.running.remove(0);
            harness.handle(|engine, cx| engine.cancel(cx, start.ticket));
        }
        at_busy
    };
    assert_eq!(share_of_busy(0), 0, "a fresh report counts");
    assert!((60..=140).contains(&share_of_busy(5001)), "a report of five seconds ago does not");
}

#[test]
fn retries_stay_within_the_budget_when_all_attempts_fail() {
    let entries = (1..=4).map(|n| entry(&format!("runner-{n}"), 8)).collect();
    let mut harness = EngineHarness::new(entries);
    let mut attempts = 0;
    for _ in 0..1000 {
        let now_ms = harness.now_ms;
        harness.arrive(arrival(now_ms, "santuario", 1));
        for _ in 0..10 {
            harness.tick(25);
            while let Some(start) = harness.running.pop() {
                attempts += 1;
                let (cause, written) = (Cause::Connect, Written::No);
                let failure = AttemptFailure::Call { cause, written };
                harness.handle(|engine, cx| {
                    engine.attempt_failed(cx, start.ticket, start.attempt, failure);
                });
            }
        }
    }
    assert_eq!(harness.engine.requests(), 0);
    assert_eq!(harness.refused.len(), 1000);
    assert!(attempts <= 1104, "{attempts} attempts for 1000 requests");
    assert!(harness.refused.iter().all(|(_, _, ran)| *ran == RunStatus::No));
}

#[derive(Clone, Copy, Debug)]
enum RandomEvent {
    Arrive { tenant: u8, rank: u8, idempotent: bool, deadline_ms: u64 },
    Complete(usize),
    Fail(usize, bool),
    Hedge(usize),
    Leave(usize),
    Tick(u64),
    Publish(u8),
}

fn random_events() -> impl Strategy<Value = Vec<RandomEvent>> {
    let arrive = (0..3_u8, 0..9_u8, any::<bool>(), 1..3000_u64).prop_map(
        |(tenant, rank, idempotent, deadline_ms)| RandomEvent::Arrive {
            tenant,
            rank,
            idempotent,
            deadline_ms,
        },
    );
    let step = proptest::prop_oneof![
        6 => arrive,
        4 => any::<usize>().prop_map(RandomEvent::Complete),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(at, maybe)| RandomEvent::Fail(at, maybe)),
        1 => any::<usize>().prop_map(RandomEvent::Hedge),
        1 => any::<usize>().prop_map(RandomEvent::Leave),
        3 => (1..200_u64).prop_map(RandomEvent::Tick),
        1 => any::<u8>().prop_map(RandomEvent::Publish),
    ];
    prop::collection::vec(step, 1..120)
}

impl EngineHarness {
    fn apply(&mut self, step: RandomEvent, ended: &mut Vec<Ticket>) {
        let pick = |at: usize, len: usize| (len > 0).then(|| at % len);
        match step {
            RandomEvent::Arrive { tenant, rank, idempotent, deadline_ms } => {
                let mut arrival = arrival(self.now_ms, &format!("tenant-{tenant}"), rank);
                arrival.is_idempotent = idempotent;
                arrival.deadline_ms = self.now_ms + deadline_ms;
                (arrival.max_in_flight, arrival.max_waiting) = (6, 8);
                self.arrive(arrival);
            }
            RandomEvent::Complete(at) => {
                if let Some(at) = pick(at, self.running.len()) {
                    let ticket = self.running[at].ticket;
                    self.complete(at, None);
                    self.running.retain(|start| start.ticket != ticket);
                    ended.push(ticket);
                }
            }
            RandomEvent::Fail(at, written) => {
                if let Some(at) = pick(at, self.running.len()) {
                    let start = self.running.remove(at);
                    let written = if written { Written::Maybe } else { Written::No };
                    let failure = AttemptFailure::Call { cause: Cause::Broken, written };
                    self.handle(|engine, cx| {
                        engine.attempt_failed(cx, start.ticket, start.attempt, failure);
                    });
                }
            }
            RandomEvent::Hedge(at) => {
                if let Some(at) = pick(at, self.running.len()) {
                    let ticket = self.running[at].ticket;
                    self.handle(|engine, cx| engine.hedge(cx, ticket));
                }
            }
            RandomEvent::Leave(at) => {
                if let Some(at) = pick(at, self.running.len()) {
                    let ticket = self.running[at].ticket;
                    self.running.retain(|start| start.ticket != ticket);
                    self.handle(|engine, cx| engine.cancel(cx, ticket));
                    ended.push(ticket);
                }
            }
            RandomEvent::Tick(ms) => self.tick(ms),
            RandomEvent::Publish(mask) => {
                let on = (0..4).filter(|bit| mask >> bit & 1 == 1);
                let mut entries: Vec<TargetEntry> =
                    on.map(|bit| entry(&format!("runner-{bit}"), 2)).collect();
                if let Some(first) = entries.first_mut().filter(|_| mask & 16 != 0) {
                    first.incarnation = Incarnation(u64::from(mask));
                }
                self.publish(u64::from(mask), entries);
            }
        }
    }

    /// Checks the invariants that hold after every event.
    fn assert_invariants(&self) {
        let engine = &self.engine;
        let shares: Vec<_> = engine.usage().iter().map(|(_, _, share)| share).collect();
        for share in &shares {
            assert!(share.admitted <= 6, "more than the limit is admitted: {share:?}");
            assert!(share.in_flight <= share.admitted, "{share:?}");
        }
        let admitted: u32 = shares.iter().map(|share| share.admitted).sum();
        let parked: usize = shares.iter().map(|share| share.parked.len()).sum();
        assert_eq!(admitted as usize + parked, engine.requests());
        for target in engine.targets() {
            assert!(target.in_flight() <= target.limit.get().max(2), "a target is over its limit");
        }
    }
}

#[test]
fn random_events_end_every_request_once_and_leak_nothing() {
    let config = Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&random_events(), |steps| {
        let mut harness =
            EngineHarness::new((0..4).map(|n| entry(&format!("runner-{n}"), 2)).collect());
        let mut ended = Vec::new();
        let mut arrived = 0;
        for step in steps {
            arrived += usize::from(matches!(step, RandomEvent::Arrive { .. }));
            harness.apply(step, &mut ended);
            harness.assert_invariants();
        }
        // Fail all running attempts and remove all targets, so that waiting requests reach their
        // deadline.
        while let Some(start) = harness.running.pop() {
            let failure = AttemptFailure::Call { cause: Cause::Broken, written: Written::Maybe };
            harness.handle(|engine, cx| {
                engine.attempt_failed(cx, start.ticket, start.attempt, failure);
            });
        }
        harness.publish(99, vec![]);
        (0..200).for_each(|_| harness.tick(20));
        ended.extend(harness.refused.iter().map(|(ticket, ..)| *ticket));
        let ends = ended.len();
        ended.sort_unstable();
        ended.dedup();
        assert_eq!(ended.len(), ends, "a request ended twice");
        assert_eq!(ends, arrived, "a request has no end");
        let engine = &harness.engine;
        let left = (engine.requests(), engine.in_flight_calls(), engine.waiting_bytes());
        assert_eq!(left, (0, 0, 0));
        Ok(())
    });
    outcome.unwrap();
}
