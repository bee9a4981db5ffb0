//! Durable jobs under random kills, leader changes, lost outcomes and late results: every job that
//! was acknowledged ends exactly once, and one that says "not run" was never executed.

mod control_fakes;

use std::collections::BTreeMap;

use bytes::Bytes;
use control_fakes::{Group, answer, owner};
use fescuebay::control::commands::{Command, Outcome};
use fescuebay::control::jobs::{self, End, Failure, RunStatus, Status, Submission, Submitted};
use fescuebay::ids::{Digest, JobId};
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::test_runner::{Config, RngSeed, TestRunner};

const JOBS: u8 = 4;

#[derive(Clone, Debug)]
enum Step {
    Submit(u8),
    Lease {
        daemon: u8,
        jobs: usize,
        is_outcome_lost: bool,
    },
    /// A run that was started executes, and tells its end or never does.
    End {
        run: usize,
        end: RunEnd,
    },
    Renew {
        run: usize,
    },
    Kill {
        daemon: u8,
    },
    Cancel(u8),
    Pass {
        ms: u64,
    },
    SetClock {
        ms: i64,
    },
    ChangeLeader,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    Answered,
    TargetDied,
    NotRun,
    Silent,
}

#[derive(Clone, Debug)]
struct Run {
    id: JobId,
    lease: u32,
    daemon: u8,
    incarnation: u64,
}

#[derive(Default)]
struct World {
    incarnations: BTreeMap<u8, u64>,
    nonce: u64,
    acknowledged: BTreeMap<String, u8>,
    executions: BTreeMap<String, u32>,
    ends: BTreeMap<String, End>,
    runs: Vec<Run>,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let end = prop_oneof![
        3 => proptest::strategy::Just(RunEnd::Answered),
        1 => proptest::strategy::Just(RunEnd::TargetDied),
        1 => proptest::strategy::Just(RunEnd::NotRun),
        1 => proptest::strategy::Just(RunEnd::Silent),
    ];
    let step = prop_oneof![
        3 => (0..JOBS).prop_map(Step::Submit),
        4 => (0..3_u8, 1..4_usize, any::<bool>())
            .prop_map(|(daemon, jobs, is_outcome_lost)| Step::Lease { daemon, jobs, is_outcome_lost }),
        5 => (0..8_usize, end).prop_map(|(run, end)| Step::End { run, end }),
        2 => (0..8_usize).prop_map(|run| Step::Renew { run }),
        1 => (0..3_u8).prop_map(|daemon| Step::Kill { daemon }),
        1 => (0..JOBS).prop_map(Step::Cancel),
        3 => (1_000..40_000_u64).prop_map(|ms| Step::Pass { ms }),
        1 => (-90_000..20_000_i64).prop_map(|ms| Step::SetClock { ms }),
        1 => proptest::strategy::Just(Step::ChangeLeader),
    ];
    proptest::collection::vec(step, 1..60)
}

fn name(job: u8) -> JobId {
    format!("job-{job}").parse().unwrap()
}

fn submission(job: u8, now_ms: u64) -> Submission {
    Submission {
        id: name(job),
        tenant: "dorado".parse().unwrap(),
        class: "report".parse().unwrap(),
        rank: job % 2,
        deadline_ms: now_ms + 200_000,
        min_run_ms: 1_000,
        max_answer_bytes: 100,
        digest: Digest::of(&[&[job]]),
        work: jobs::Work {
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            content_type: "application/json".into(),
            body: Bytes::from_static(b"{}"),
            model: None,
            is_idempotent: true,
        },
    }
}

impl World {
    fn apply(&mut self, group: &Group, step: Step) {
        match step {
            Step::Submit(job) => {
                let command = jobs::Command::Submit(Box::new(submission(job, group.now_ms())));
                if let jobs::Outcome::Submitted(Submitted::Accepted) = commit(group, command) {
                    self.acknowledged.insert(name(job).to_string(), job);
                }
            }
            Step::Lease { daemon, jobs, is_outcome_lost } => {
                self.nonce += 1;
                let incarnation = self.incarnation(daemon);
                let owner = owner(daemon.into(), incarnation);
                let command = jobs::Command::Lease { owner, max_jobs: jobs, nonce: self.nonce };
                let outcome = commit(group, command.clone());
                let outcome = if is_outcome_lost { commit(group, command) } else { outcome };
                let jobs::Outcome::Leased(grants) = outcome else { panic!("{outcome:?}") };
                self.runs.extend(grants.into_iter().map(|grant| Run {
                    id: grant.submission.id,
                    lease: grant.lease,
                    daemon,
                    incarnation,
                }));
            }
            Step::End { run, end } => self.end(group, run, end),
            Step::Renew { run } => {
                let Some(run) = self.runs.get(run) else { return };
                let owner = owner(run.daemon.into(), run.incarnation);
                let leases = vec![(run.id.clone(), run.lease)];
                commit(group, jobs::Command::Renew { owner, leases });
            }
            Step::Kill { daemon } => {
                let incarnation = self.incarnation(daemon);
                self.incarnations.insert(daemon, incarnation + 1);
                group.daemon_gone(&owner(daemon.into(), incarnation));
            }
            Step::Cancel(job) => {
                let tenant = "dorado".parse().unwrap();
                commit(group, jobs::Command::Cancel { tenant, id: name(job) });
            }
            Step::Pass { ms } => group.pass(ms),
            Step::SetClock { ms } => group.set_clock(group.now_ms().saturating_add_signed(ms)),
            Step::ChangeLeader => group.change_leader(),
        }
    }

    /// A run may end long after its lease or its daemon did: a result that was on its way.
    fn end(&mut self, group: &Group, run: usize, end: RunEnd) {
        if run >= self.runs.len() {
            return;
        }
        let Run { id, lease, .. } = self.runs.remove(run);
        if end != RunEnd::NotRun {
            *self.executions.entry(id.to_string()).or_default() += 1;
        }
        let command = match end {
            RunEnd::Answered => {
                jobs::Command::Complete { answer: answer(&format!("{id} {lease}")), id, lease }
            }
            RunEnd::TargetDied => jobs::Command::Fail { id, lease, failure: Failure::TargetDied },
            RunEnd::NotRun => jobs::Command::Fail { id, lease, failure: Failure::NotRun },
            RunEnd::Silent => return,
        };
        commit(group, command);
    }

    fn incarnation(&self, daemon: u8) -> u64 {
        self.incarnations.get(&daemon).copied().unwrap_or(1)
    }

    /// An end never changes, and "not run" is true.
    fn check(&mut self, group: &Group) {
        for (id, job) in &self.acknowledged {
            let query = jobs::Query::Job("dorado".parse().unwrap(), name(*job));
            let jobs::View::Job(Some(row)) = group.ask_jobs(query) else {
                panic!("{id} has vanished");
            };
            let Status::Ended(end) = row.status else {
                assert!(!self.ends.contains_key(id), "{id} has come back to life");
                continue;
            };
            if let End::Refused { ran: RunStatus::No, .. } | End::Cancelled { ran: RunStatus::No } =
                end
            {
                assert_eq!(self.executions.get(id), None, "{id} says that it was not run");
            }
            let first = self.ends.entry(id.clone()).or_insert_with(|| end.clone());
            assert_eq!(*first, end, "{id} ended twice");
        }
    }
}

fn commit(group: &Group, command: jobs::Command) -> jobs::Outcome {
    match group.commit(Command::Jobs(command)) {
        Outcome::Jobs(outcome) => outcome,
        other => panic!("not an outcome of jobs: {other:?}"),
    }
}

#[test]
fn every_acknowledged_job_ends_exactly_once() {
    let config = Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&steps(), |steps| {
        let group = Group::new();
        let mut world = World::default();
        for step in steps {
            world.apply(&group, step);
            world.check(&group);
        }
        group.set_clock(group.now_ms().max(2_000_000));
        group.pass(400_000);
        world.check(&group);
        assert_eq!(world.ends.len(), world.acknowledged.len(), "a job has no end");
        Ok(())
    });
    outcome.unwrap();
}
