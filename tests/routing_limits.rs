//! Tests of the routing engine before targets that name rate limits, in virtual time.

use std::sync::Arc;

use fescuebay::ids::{DaemonId, Digest, Incarnation, Sequence};
use fescuebay::membership::table::{Replica, RouteTable, Standing, TargetEntry};
use fescuebay::rate_limit::schedule::PermitSchedule;
use fescuebay::rate_limit::{Statement, TargetLife};
use fescuebay::routing::engine::{
    Action, Arrival, AttemptFailure, AttemptStart, Destination, EngineSettings, EventContext,
    RoutingEngine, Ticket,
};
use fescuebay::routing::refusal::{Refusal, RefusalCode, RunStatus};
use fescuebay::target::call::{Cause, Written};
use fescuebay::target::order::Kind;
use fescuebay::units::PerSecond;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START_MS: u64 = 100_000;

fn entry(name: &str) -> TargetEntry {
    TargetEntry {
        software: None,
        target: name.parse().unwrap(),
        incarnation: Incarnation(1),
        kind: Kind::Assistant,
        availability_zone: "andina-a".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        standing: Standing::Up,
        slots: 8,
        replicas: vec![Replica { model: "quill".parse().unwrap(), version: "1".parse().unwrap() }],
        services: vec![],
    }
}

fn life(name: &str) -> TargetLife {
    TargetLife { target: name.parse().unwrap(), incarnation: Incarnation(1) }
}

fn arrival(now_ms: u64, timeout_ms: u64) -> Arrival {
    Arrival {
        destination: Destination::Model("quill".parse().unwrap()),
        tenant: "adopters".parse().unwrap(),
        class: "quote".parse().unwrap(),
        rank: 1,
        weight: 1.0,
        deadline_ms: now_ms + timeout_ms,
        max_waiting: 1_000,
        max_in_flight: 1_000,
        is_idempotent: true,
        is_stream: false,
        max_tokens: None,
        conversation: None,
        digest: Digest::of(&[&rand::random::<u64>().to_le_bytes()]),
        is_suspect: false,
        body_bytes: 10,
    }
}

/// An engine with a leader that answers at once, in virtual time.
struct Harness {
    engine: RoutingEngine,
    schedule: PermitSchedule,
    rng: SmallRng,
    now_ms: u64,
    running: Vec<AttemptStart>,
    refused: Vec<(Ticket, Refusal)>,
    is_led: bool,
}

impl Harness {
    fn new(names: &[&str]) -> Self {
        let mut harness = Self {
            engine: RoutingEngine::new(EngineSettings::default()),
            schedule: PermitSchedule::new(0),
            rng: SmallRng::seed_from_u64(3),
            now_ms: START_MS,
            running: Vec::new(),
            refused: Vec::new(),
            is_led: true,
        };
        let entries = names.iter().map(|name| entry(name)).collect();
        let table = Arc::new(RouteTable::new(Sequence(1), entries));
        harness.handle(|engine, cx| engine.set_table(cx, table));
        harness.handle(|engine, cx| engine.rate_limits_told(cx, 6, &[]));
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
                Action::Refuse { ticket, refusal } => self.refused.push((ticket, refusal)),
                Action::AskPermits | Action::ReportDemand(_) | Action::TargetDied { .. } => {}
            }
        }
        value
    }

    fn name_limit(&mut self, name: &str, limit: f64) {
        let (life, sent_ms) = (life(name), self.now_ms - 5);
        let named = Statement::Limited(PerSecond(limit));
        self.handle(|engine, cx| engine.rate_limit_named(cx, &life, named, sent_ms));
        self.exchange();
    }

    /// Passes on what the engine asks of the leader, and the answer.
    fn exchange(&mut self) {
        let (now_ms, asks) = (self.now_ms, self.engine.permit_asks(self.now_ms));
        if asks.is_empty() {
            return;
        }
        let router: DaemonId = "r1".parse().unwrap();
        let mut grants = Vec::new();
        for ask in asks.iter().filter(|_| self.is_led) {
            self.schedule.record(now_ms, &ask.statement);
            grants.push(self.schedule.grant(now_ms, &router, ask));
        }
        let grants = self.is_led.then_some(grants);
        self.handle(|engine, cx| engine.permits_granted(cx, now_ms, &asks, grants.as_deref()));
    }

    fn arrive(&mut self, timeout_ms: u64) -> Ticket {
        let arrival = arrival(self.now_ms, timeout_ms);
        let ticket = self.handle(|engine, cx| engine.arrive(cx, arrival, |_| None));
        self.exchange();
        ticket
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now_ms += 10;
            self.handle(|engine, cx| engine.tick(cx, |_| None));
            self.exchange();
        }
    }

    fn target(&self, start: &AttemptStart) -> String {
        start.table.entry(start.target_index).target.to_string()
    }

    /// Sends all started attempts; returns the targets that got one.
    fn send_all(&mut self) -> Vec<String> {
        let mut sent = Vec::new();
        for start in std::mem::take(&mut self.running) {
            let name = self.target(&start);
            let life = life(&name);
            if self.handle(|engine, cx| engine.begin_send(cx.now_ms, &life, start.permit)) {
                sent.push(name);
                self.handle(|engine, cx| {
                    engine.first_byte(cx, start.ticket, start.attempt, None);
                    engine.complete(cx, start.ticket, start.attempt);
                });
            } else {
                let failure = AttemptFailure::Withdrawn;
                self.handle(|engine, cx| {
                    engine.attempt_failed(cx, start.ticket, start.attempt, failure);
                });
            }
        }
        sent
    }
}

#[test]
fn a_limited_target_gets_its_limit_and_others_take_the_rest() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.name_limit("a", 2.0);
    let mut sent = Vec::new();
    for _ in 0..400 {
        harness.arrive(5_000);
        harness.advance(50);
        sent.extend(harness.send_all());
    }
    let of = |name: &str| sent.iter().filter(|sent| *sent == name).count();
    assert!(harness.refused.is_empty(), "{:?}", harness.refused);
    // Two a second over 20 s.
    assert!((30..=42).contains(&of("a")), "{} of 40", of("a"));
    assert_eq!(of("a") + of("b"), 400);
}

/// Guards against requests that wait until their deadline for a permit that they cannot get.
#[test]
fn who_cannot_be_served_within_a_limit_is_refused_at_once_with_the_time_to_return() {
    let mut harness = Harness::new(&["a"]);
    harness.name_limit("a", 1.0);
    for _ in 0..40 {
        harness.arrive(3_000);
    }
    let refused = harness.refused.clone();
    assert!(refused.len() >= 34, "{} of 40", refused.len());
    for (_, refusal) in &refused {
        assert_eq!((refusal.code, refusal.ran), (RefusalCode::TargetsLimited, RunStatus::No));
        assert!(refusal.retry_after_ms >= 1_000, "{refusal:?}");
    }
    let last = refused.last().unwrap().1.retry_after_ms;
    assert!(last > refused[0].1.retry_after_ms + 10_000, "they return one after the other: {last}");
    let mut sent = Vec::new();
    for _ in 0..60 {
        harness.advance(50);
        sent.extend(harness.send_all());
    }
    assert!(sent.len() + refused.len() >= 39, "{} who waited were served", sent.len());
}

/// Guards against requests that were chosen for a target before it named a limit.
#[test]
fn a_request_chosen_before_the_limit_was_heard_is_not_sent_past_it() {
    let mut harness = Harness::new(&["a"]);
    for _ in 0..6 {
        harness.arrive(5_000);
    }
    assert_eq!(harness.running.len(), 6);
    harness.name_limit("a", 1.0);
    assert!(harness.send_all().is_empty(), "none has a permit");
    harness.advance(100);
    assert!(harness.send_all().len() <= 1);
    assert!(harness.refused.len() < 6, "the retry takes nothing from the retry budget");
}

#[test]
fn a_hedge_is_not_sent_to_a_limited_target_without_a_permit() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.name_limit("a", 0.5);
    harness.arrive(5_000);
    harness.advance(100);
    harness.send_all();
    harness.arrive(5_000);
    harness.advance(100);
    let start = harness.running[0].clone();
    assert_eq!(harness.target(&start), "b");
    harness.handle(|engine, cx| engine.hedge(cx, start.ticket));
    assert_eq!(harness.running.len(), 1, "the limited target has no permit left");
}

#[test]
fn a_retry_after_a_failure_needs_a_permit() {
    let mut harness = Harness::new(&["a"]);
    harness.name_limit("a", 0.5);
    harness.arrive(20_000);
    harness.advance(50);
    let start = harness.running.remove(0);
    assert!(harness.handle(|engine, cx| engine.begin_send(cx.now_ms, &life("a"), start.permit)));
    let failure = AttemptFailure::Call { cause: Cause::Broken, written: Written::Maybe };
    harness.handle(|engine, cx| engine.attempt_failed(cx, start.ticket, start.attempt, failure));
    harness.advance(1_000);
    assert!(harness.running.is_empty(), "one request in two seconds");
    harness.advance(1_500);
    assert_eq!(harness.running.len(), 1);
}

#[test]
fn a_stream_is_resumed_with_a_permit_alone() {
    let mut harness = Harness::new(&["a"]);
    harness.name_limit("a", 0.5);
    let life = life("a");
    assert!(!harness.handle(|engine, cx| engine.begin_resume(cx, &life)), "it is asked for first");
    harness.exchange();
    assert!(harness.handle(|engine, cx| engine.begin_resume(cx, &life)));
    harness.handle(|engine, _| engine.end_wait_to_resume(&life));
    harness.advance(500);
    assert!(!harness.handle(|engine, cx| engine.begin_resume(cx, &life)), "one in two seconds");
    harness.handle(|engine, _| engine.end_wait_to_resume(&life));
}

/// Guards against daemons that send as they like while their leader is replaced.
#[test]
fn without_a_leader_a_daemon_uses_a_part_of_its_share() {
    let mut harness = Harness::new(&["a"]);
    harness.name_limit("a", 6.0);
    harness.is_led = false;
    let mut sent = 0;
    for _ in 0..800 {
        harness.arrive(2_000);
        harness.advance(50);
        sent += harness.send_all().len();
    }
    // Half of a sixth of six a second, over 40 s.
    assert!((15..=24).contains(&sent), "{sent} of 20");
}

/// Guards against a request that is answered elsewhere and still counts on a permit, since a hedge of
/// it was looked for.
#[test]
fn a_running_request_asks_for_no_permit_because_of_its_hedge() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.name_limit("a", 0.5);
    harness.arrive(5_000);
    harness.advance(100);
    harness.send_all();
    harness.arrive(5_000);
    harness.advance(100);
    let start = harness.running[0].clone();
    assert_eq!(harness.target(&start), "b");
    harness.advance(2_000);
    harness.handle(|engine, cx| engine.hedge(cx, start.ticket));
    assert!(harness.engine.permit_asks(harness.now_ms).is_empty(), "nothing waits");
}
