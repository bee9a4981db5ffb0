//! Calls under a key with random kills, leader changes, resends, lost and late commits: at most one
//! execution a key, and a call that says "not run" never executed.

mod control_fakes;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use control_fakes::{Application, Behaviour, Fault, Group, client, owner, request};
use fescuebay::control::once::{Begin, Call, Dispatched};
use fescuebay::control::records::{Begun, Nonce};
use proptest::prelude::{Strategy, prop_oneof};
use proptest::strategy::Just;
use proptest::test_runner::{Config, RngSeed, TestRunner};

#[derive(Clone, Debug)]
enum Step {
    /// A caller sends the key through a daemon.
    Send {
        key: u8,
        daemon: u8,
        faults: Vec<Fault>,
        then: Then,
    },
    /// A dispatched call ends, perhaps after its daemon was declared gone.
    End {
        call: usize,
        behaviour: Behaviour,
        faults: Vec<Fault>,
    },
    Kill {
        daemon: u8,
    },
    CommitLate,
    ChangeLeader,
    Pass {
        ms: u64,
    },
    SetClock {
        ms: i64,
    },
}

/// What a daemon does with a call that it may dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Then {
    Release,
    Dispatch,
    Die,
}

/// A call on its way, with its key and whether it has been executed.
struct Open {
    key: u8,
    nonce: u64,
    call: Call<Dispatched>,
}

#[derive(Default)]
struct World {
    nonce: u64,
    incarnations: BTreeMap<u8, u64>,
    open: Vec<Open>,
    /// Executions by attempt.
    executed: BTreeMap<u64, u32>,
    /// Attempts whose callers were told "not run".
    not_run: BTreeSet<u64>,
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let fault = prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::NotProposed),
        1 => Just(Fault::LostBefore),
        1 => Just(Fault::LostAfter),
        1 => Just(Fault::Late),
    ];
    proptest::collection::vec(fault, 0..4)
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let then =
        prop_oneof![1 => Just(Then::Release), 5 => Just(Then::Dispatch), 1 => Just(Then::Die)];
    let behaviour = prop_oneof![
        4 => Just(Behaviour::Answers),
        1 => Just(Behaviour::Unreachable),
        1 => Just(Behaviour::DiesAfter),
        1 => Just(Behaviour::DiesBefore),
    ];
    let step = prop_oneof![
        6 => (0..2_u8, 0..3_u8, faults(), then)
            .prop_map(|(key, daemon, faults, then)| Step::Send { key, daemon, faults, then }),
        4 => (0..4_usize, behaviour, faults())
            .prop_map(|(call, behaviour, faults)| Step::End { call, behaviour, faults }),
        1 => (0..3_u8).prop_map(|daemon| Step::Kill { daemon }),
        1 => Just(Step::CommitLate),
        1 => Just(Step::ChangeLeader),
        1 => (1_000..5_000_000_u64).prop_map(|ms| Step::Pass { ms }),
        1 => (-9_000_000..9_000_000_i64).prop_map(|ms| Step::SetClock { ms }),
    ];
    proptest::collection::vec(step, 1..40)
}

impl World {
    async fn apply(&mut self, group: &Arc<Group>, application: &Application, step: Step) {
        match step {
            Step::Send { key, daemon, faults, then } => {
                group.script(faults);
                self.send(group, key, daemon, then).await;
            }
            Step::End { call, behaviour, faults } if call < self.open.len() => {
                group.script(faults);
                let open = self.open.swap_remove(call);
                self.end(application, open, behaviour).await;
            }
            Step::End { .. } => {}
            Step::Kill { daemon } => {
                let incarnation = self.incarnation(daemon);
                self.incarnations.insert(daemon, incarnation + 1);
                group.daemon_gone(&owner(daemon.into(), incarnation));
            }
            Step::CommitLate => group.commit_late(),
            Step::ChangeLeader => group.change_leader(),
            Step::Pass { ms } => group.pass(ms),
            Step::SetClock { ms } => group.set_clock(group.now_ms().saturating_add_signed(ms)),
        }
        // Releases that go on in the background end here.
        tokio::time::sleep(Duration::from_secs(60)).await;
    }

    async fn send(&mut self, group: &Arc<Group>, key: u8, daemon: u8, then: Then) {
        self.nonce += 1;
        let nonce = self.nonce;
        let client = client(group, daemon.into(), self.incarnation(daemon));
        let name = format!("donkey-{key}");
        let call = match client.begin(request(&name), Nonce(nonce)).await {
            Begin::Go(call) => call,
            Begin::Refused(_) | Begin::Known(Begun::OwnerGone) => {
                self.not_run.insert(nonce);
                return;
            }
            Begin::Known(known) => {
                assert_ne!(known, Begun::Recorded);
                return;
            }
        };
        match then {
            Then::Release => {
                let _ = call.release().await;
                self.not_run.insert(nonce);
            }
            Then::Dispatch => self.open.push(Open { key, nonce, call: call.dispatch() }),
            Then::Die => drop(call),
        }
    }

    async fn end(&mut self, application: &Application, open: Open, behaviour: Behaviour) {
        let key = format!("donkey-{}", open.key);
        if matches!(behaviour, Behaviour::Answers | Behaviour::DiesAfter) {
            *self.executed.entry(open.nonce).or_default() += 1;
        }
        match application.run(&key, behaviour) {
            Ok(answer) => drop(open.call.answered(&answer).await),
            Err(fescuebay::target::call::Written::No) => {
                drop(open.call.not_written().await);
                self.not_run.insert(open.nonce);
            }
            Err(fescuebay::target::call::Written::Maybe) => drop(open.call.lost().await),
        }
    }

    fn incarnation(&self, daemon: u8) -> u64 {
        self.incarnations.get(&daemon).copied().unwrap_or(1)
    }

    fn check(&self, application: &Application) {
        for key in ["donkey-0", "donkey-1"] {
            assert!(application.executions(key) <= 1, "{key} ran twice");
        }
        for nonce in &self.not_run {
            assert_eq!(self.executed.get(nonce), None, "attempt {nonce} was told as not run");
        }
    }
}

#[test]
fn a_key_runs_at_most_once_and_not_run_is_true() {
    let config = Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    let outcome = TestRunner::new(config).run(&steps(), |steps| {
        runtime.block_on(async {
            let (group, application) = (Group::new(), Application::new());
            let mut world = World::default();
            for step in steps {
                world.apply(&group, &application, step).await;
                world.check(&application);
            }
        });
        Ok(())
    });
    outcome.unwrap();
}
