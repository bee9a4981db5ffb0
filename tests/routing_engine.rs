//! The engine alone, in virtual time: limits, fairness, choice, and what must hold after any event.

use std::sync::Arc;

use fescuebay::ids::{Digest, Incarnation, Sequence};
use fescuebay::membership::table::{Replica, RouteTable, Standing, TargetEntry};
use fescuebay::routing::engine::{
    Action, Arrival, Context, Destination, Engine, Failure, Settings, Start, Ticket,
};
use fescuebay::routing::refusal::{Code, Ran};
use fescuebay::target::call::{Cause, Written};
use fescuebay::target::order::{Kind, Load};
use proptest::prelude::{Strategy, any, prop};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn entry(name: &str, slots: u32) -> TargetEntry {
    TargetEntry {
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

/// An engine with its time, its random numbers and what it decided.
struct Rig {
    engine: Engine,
    rng: SmallRng,
    now_ms: u64,
    running: Vec<Start>,
    refused: Vec<(Ticket, Code, Ran)>,
}

impl Rig {
    fn new(entries: Vec<TargetEntry>) -> Self {
        let engine = Engine::new(Settings::default());
        let rng = SmallRng::seed_from_u64(3);
        let mut rig = Self { engine, rng, now_ms: 1000, running: vec![], refused: vec![] };
        rig.publish(1, entries);
        rig
    }

    fn event<T>(&mut self, event: impl FnOnce(&mut Engine, &mut Context<'_>) -> T) -> T {
        let mut out = Vec::new();
        let mut cx = Context { now_ms: self.now_ms, rng: &mut self.rng, out: &mut out };
        let value = event(&mut self.engine, &mut cx);
        for action in out {
            match action {
                Action::Start(start) => self.running.push(start),
                Action::Refuse { ticket, refusal } => {
                    self.refused.push((ticket, refusal.code, refusal.ran));
                }
                Action::Demand(_) | Action::Died { .. } => {}
            }
        }
        value
    }

    fn publish(&mut self, sequence: u64, entries: Vec<TargetEntry>) {
        let table = Arc::new(RouteTable::new(Sequence(sequence), entries));
        self.event(|engine, cx| engine.set_table(cx, table));
    }

    fn arrive(&mut self, arrival: Arrival) -> Ticket {
        self.event(|engine, cx| engine.arrive(cx, arrival, |_| None))
    }

    fn tick(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        self.event(|engine, cx| engine.tick(cx, |_| None));
    }

    fn complete(&mut self, at: usize, load: Option<Load>) {
        let start = self.running.remove(at);
        self.event(|engine, cx| {
            engine.first_byte(cx, start.ticket, start.attempt, load);
            engine.complete(cx, start.ticket, start.attempt);
        });
    }

    /// Answers everything that runs, in `ms`.
    fn answer_all(&mut self, ms: u64) {
        self.now_ms += ms;
        while !self.running.is_empty() {
            self.complete(0, None);
        }
    }

    fn place_counts(&self, places: usize) -> Vec<usize> {
        let count = |place| self.running.iter().filter(|s| s.place as usize == place).count();
        (0..places).map(count).collect()
    }
}

#[test]
fn tenants_share_by_weight_and_a_flood_does_not_starve_the_other() {
    let mut rig = Rig::new(vec![entry("runner-1", 1)]);
    for _ in 0..60 {
        rig.arrive(arrival(1000, "flood", 1));
    }
    for _ in 0..10 {
        rig.arrive(arrival(1000, "quiet", 1));
    }
    let mut quiet_done_at = None;
    let mut quiet = 0;
    for served in 0..40 {
        rig.now_ms += 10;
        // Digests tell the tenants apart.
        let ticket = rig.running[0].ticket;
        quiet += usize::from(ticket.place >= 60);
        quiet_done_at = quiet_done_at.or((quiet == 10).then_some(served));
        rig.complete(0, None);
    }
    assert!(quiet_done_at.is_some_and(|at| at <= 22), "{quiet_done_at:?}: {quiet}");
}

#[test]
fn limits_refuse_at_the_door_with_a_time_to_come_back() {
    let mut rig = Rig::new(vec![entry("runner-1", 1)]);
    let limited = |max_waiting, max_in_flight| Arrival {
        max_waiting,
        max_in_flight,
        ..arrival(1000, "santuario", 1)
    };
    rig.arrive(limited(2, 100));
    for _ in 0..3 {
        rig.arrive(limited(2, 100));
    }
    assert_eq!(rig.refused.len(), 1);
    assert_eq!((rig.refused[0].1, rig.refused[0].2), (Code::TooManyWaiting, Ran::No));

    let mut rig = Rig::new(vec![entry("runner-1", 8)]);
    for _ in 0..8 {
        rig.arrive(limited(100, 2));
    }
    assert_eq!(rig.running.len(), 2, "the limit on work in flight holds while slots are free");
    rig.answer_all(10);
    assert_eq!(rig.engine.requests(), 0, "parked requests follow");
}

#[test]
fn what_cannot_be_in_time_is_refused_at_once_and_not_at_its_deadline() {
    let mut rig = Rig::new(vec![entry("runner-1", 1)]);
    for _ in 0..20 {
        rig.arrive(arrival(rig.now_ms, "santuario", 1));
        rig.answer_all(1000);
    }
    let now_ms = rig.now_ms;
    for _ in 0..10 {
        rig.arrive(arrival(now_ms, "santuario", 1));
    }
    let early = rig.refused.iter().filter(|(_, code, _)| *code == Code::NotInTime).count();
    assert!((4..=7).contains(&early), "{early} of 10 refused on arrival");
}

#[test]
fn a_target_slowed_for_a_moment_is_left_and_taken_back() {
    let entries = (1..=4).map(|n| entry(&format!("runner-{n}"), 8)).collect();
    let mut rig = Rig::new(entries);
    let mut slow_share = |slow: bool, rounds: usize| {
        let (mut at_slow, mut all) = (0, 0);
        for _ in 0..rounds {
            let now_ms = rig.now_ms;
            for _ in 0..8 {
                rig.arrive(arrival(now_ms, "santuario", 1));
            }
            at_slow += rig.place_counts(4)[0];
            all += 8;
            rig.now_ms += 20;
            while let Some(at) = rig.running.iter().position(|s| !slow || s.place != 0) {
                rig.complete(at, None);
            }
            rig.now_ms += if slow { 180 } else { 0 };
            while !rig.running.is_empty() {
                rig.complete(0, None);
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
    assert!(after > 0.15, "{after} of the work goes there 8 s after it is well");
}

#[test]
fn a_report_that_is_seconds_late_counts_for_little() {
    let entries = vec![entry("runner-1", 8), entry("runner-2", 8)];
    let mut rig = Rig::new(entries);
    rig.arrive(arrival(1000, "santuario", 1));
    let busy = rig.running[0].place as usize;
    rig.now_ms += 20;
    rig.complete(0, Some(Load { running: 8, waiting: 0, slots: 8 }));
    let mut share_of_busy = |wait_ms: u64| {
        rig.now_ms += wait_ms;
        let now_ms = rig.now_ms;
        let mut at_busy = 0;
        for _ in 0..200 {
            rig.arrive(arrival(now_ms, "santuario", 1));
            at_busy += usize::from(rig.running[0].place as usize == busy);
            let start = rig.running.remove(0);
            rig.event(|engine, cx| engine.leave(cx, start.ticket));
        }
        at_busy
    };
    assert_eq!(share_of_busy(0), 0, "a fresh report counts");
    assert!((60..=140).contains(&share_of_busy(5001)), "a report of five seconds ago does not");
}

#[test]
fn retries_stay_within_the_budget_when_everything_fails() {
    let entries = (1..=4).map(|n| entry(&format!("runner-{n}"), 8)).collect();
    let mut rig = Rig::new(entries);
    let mut attempts = 0;
    for _ in 0..1000 {
        let now_ms = rig.now_ms;
        rig.arrive(arrival(now_ms, "santuario", 1));
        for _ in 0..10 {
            rig.tick(25);
            while let Some(start) = rig.running.pop() {
                attempts += 1;
                let (cause, written) = (Cause::Connect, Written::No);
                let failure = Failure::Call { cause, written };
                rig.event(|engine, cx| engine.failed(cx, start.ticket, start.attempt, failure));
            }
        }
    }
    assert_eq!(rig.engine.requests(), 0);
    assert_eq!(rig.refused.len(), 1000);
    assert!(attempts <= 1104, "{attempts} attempts for 1000 requests");
    assert!(rig.refused.iter().all(|(_, _, ran)| *ran == Ran::No));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { tenant: u8, rank: u8, idempotent: bool, deadline_ms: u64 },
    Complete(usize),
    Fail(usize, bool),
    Hedge(usize),
    Leave(usize),
    Tick(u64),
    Publish(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let arrive = (0..3_u8, 0..9_u8, any::<bool>(), 1..3000_u64).prop_map(
        |(tenant, rank, idempotent, deadline_ms)| Step::Arrive {
            tenant,
            rank,
            idempotent,
            deadline_ms,
        },
    );
    let step = proptest::prop_oneof![
        6 => arrive,
        4 => any::<usize>().prop_map(Step::Complete),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(at, written)| Step::Fail(at, written)),
        1 => any::<usize>().prop_map(Step::Hedge),
        1 => any::<usize>().prop_map(Step::Leave),
        3 => (1..200_u64).prop_map(Step::Tick),
        1 => any::<u8>().prop_map(Step::Publish),
    ];
    prop::collection::vec(step, 1..120)
}

impl Rig {
    fn step(&mut self, step: Step, ended: &mut Vec<Ticket>) {
        let pick = |at: usize, len: usize| (len > 0).then(|| at % len);
        match step {
            Step::Arrive { tenant, rank, idempotent, deadline_ms } => {
                let mut arrival = arrival(self.now_ms, &format!("tenant-{tenant}"), rank);
                arrival.is_idempotent = idempotent;
                arrival.deadline_ms = self.now_ms + deadline_ms;
                (arrival.max_in_flight, arrival.max_waiting) = (6, 8);
                self.arrive(arrival);
            }
            Step::Complete(at) => {
                if let Some(at) = pick(at, self.running.len()) {
                    let ticket = self.running[at].ticket;
                    self.complete(at, None);
                    self.running.retain(|start| start.ticket != ticket);
                    ended.push(ticket);
                }
            }
            Step::Fail(at, written) => {
                if let Some(at) = pick(at, self.running.len()) {
                    let start = self.running.remove(at);
                    let written = if written { Written::Maybe } else { Written::No };
                    let failure = Failure::Call { cause: Cause::Broken, written };
                    self.event(|engine, cx| {
                        engine.failed(cx, start.ticket, start.attempt, failure);
                    });
                }
            }
            Step::Hedge(at) => {
                if let Some(at) = pick(at, self.running.len()) {
                    let ticket = self.running[at].ticket;
                    self.event(|engine, cx| engine.hedge(cx, ticket));
                }
            }
            Step::Leave(at) => {
                if let Some(at) = pick(at, self.running.len()) {
                    let ticket = self.running[at].ticket;
                    self.running.retain(|start| start.ticket != ticket);
                    self.event(|engine, cx| engine.leave(cx, ticket));
                    ended.push(ticket);
                }
            }
            Step::Tick(ms) => self.tick(ms),
            Step::Publish(mask) => {
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

    /// What holds after every event.
    fn check(&self) {
        let engine = &self.engine;
        let shares: Vec<_> = engine.shares().iter().map(|(_, _, share)| share).collect();
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
fn after_any_events_every_request_has_one_end_and_nothing_is_left() {
    let config = Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&steps(), |steps| {
        let mut rig = Rig::new((0..4).map(|n| entry(&format!("runner-{n}"), 2)).collect());
        let mut ended = Vec::new();
        let mut arrived = 0;
        for step in steps {
            arrived += usize::from(matches!(step, Step::Arrive { .. }));
            rig.step(step, &mut ended);
            rig.check();
        }
        // All targets go, so that what runs breaks and what waits meets its deadline.
        while let Some(start) = rig.running.pop() {
            let failure = Failure::Call { cause: Cause::Broken, written: Written::Maybe };
            rig.event(|engine, cx| engine.failed(cx, start.ticket, start.attempt, failure));
        }
        rig.publish(99, vec![]);
        (0..200).for_each(|_| rig.tick(20));
        ended.extend(rig.refused.iter().map(|(ticket, ..)| *ticket));
        let ends = ended.len();
        ended.sort_unstable();
        ended.dedup();
        assert_eq!(ended.len(), ends, "a request ended twice");
        assert_eq!(ends, arrived, "a request has no end");
        let engine = &rig.engine;
        let left = (engine.requests(), engine.flights(), engine.waiting_bytes());
        assert_eq!(left, (0, 0, 0));
        Ok(())
    });
    outcome.unwrap();
}
