//! A daemon that leases and runs jobs, against a fake that executes them.

mod control_fakes;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use control_fakes::{Fault, Group, answer, client, owner};
use fescuebay::control::commands::Command;
use fescuebay::control::jobs::{self, End, Grant, Reason, RunStatus, Status, Submission, shell};
use fescuebay::control::port;
use fescuebay::ids::Digest;
use futures::future::BoxFuture;
use tokio::sync::watch;

/// How the fake executes the runs of a job, in their order; the last holds for the rest.
#[derive(Clone, Copy, Debug)]
enum Act {
    Answer { after_ms: u64 },
    Die,
    Unreachable,
    Panic,
    Hang,
}

#[derive(Default)]
struct Executor {
    acts: Mutex<BTreeMap<String, Vec<Act>>>,
    executions: Arc<Mutex<BTreeMap<String, u32>>>,
    /// Runs that are under way.
    running: Arc<AtomicU64>,
}

/// Counts a run as under way until it ends or is dropped.
struct Running(Arc<AtomicU64>);

impl Running {
    fn new(running: &Arc<AtomicU64>) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(running))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Executor {
    fn next_act(&self, id: &str) -> Act {
        let mut acts = self.acts.lock().unwrap();
        let acts = acts.get_mut(id).unwrap();
        if acts.len() > 1 { acts.remove(0) } else { acts[0] }
    }

    fn executions(&self, id: &str) -> u32 {
        self.executions.lock().unwrap().get(id).copied().unwrap_or(0)
    }
}

impl shell::Execute for Executor {
    fn execute(&self, grant: Grant) -> BoxFuture<'static, shell::Run> {
        let id = grant.submission.id.to_string();
        let act = self.next_act(&id);
        if !matches!(act, Act::Unreachable) {
            *self.executions.lock().unwrap().entry(id.clone()).or_default() += 1;
        }
        let running = Running::new(&self.running);
        Box::pin(async move {
            let _running = running;
            match act {
                Act::Answer { after_ms } => {
                    tokio::time::sleep(Duration::from_millis(after_ms)).await;
                    shell::Run::Answered(answer(&id))
                }
                Act::Die => shell::Run::TargetDied,
                Act::Unreachable => shell::Run::NotRun,
                Act::Panic => panic!("the run panics"),
                Act::Hang => futures::future::pending().await,
            }
        })
    }
}

struct Daemon {
    leaving: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

/// Starts a daemon; its time is tokio's, which the group's clock follows.
fn start(group: &Arc<Group>, executor: &Arc<Executor>, daemon: u64) -> Daemon {
    let (leaving, left) = watch::channel(false);
    let clock_group = Arc::clone(group);
    let random = AtomicU64::new(daemon * 1_000);
    let parts = Arc::new(shell::Parts {
        log: Arc::clone(group) as Arc<dyn port::Log>,
        owner: owner(daemon, 1),
        execute: Arc::clone(executor) as Arc<dyn shell::Execute>,
        once: client(group, daemon, 1),
        slots: 2,
        clock: Arc::new(move || clock_group.now_ms()),
        random: Arc::new(move || random.fetch_add(1, Ordering::Relaxed)),
    });
    Daemon { leaving, task: tokio::spawn(shell::run(parts, left)) }
}

async fn pass(group: &Arc<Group>, seconds: u64) {
    for _ in 0..seconds * 2 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        group.pass(500);
    }
}

fn submit(group: &Group, executor: &Executor, id: &str, acts: Vec<Act>, is_idempotent: bool) {
    executor.acts.lock().unwrap().insert(id.to_owned(), acts);
    let submission = Submission {
        id: id.parse().unwrap(),
        tenant: "dorado".parse().unwrap(),
        class: "report".parse().unwrap(),
        rank: 0,
        deadline_ms: group.now_ms() + 300_000,
        min_run_ms: 1_000,
        max_answer_bytes: 1_000,
        digest: Digest::of(&[id.as_bytes()]),
        work: jobs::Work {
            method: "POST".to_owned(),
            path: "/services/orders/gold-leaf".to_owned(),
            content_type: "application/json".into(),
            body: Bytes::from_static(b"{}"),
            model: None,
            is_idempotent,
        },
    };
    group.commit(Command::Jobs(jobs::Command::Submit(Box::new(submission))));
}

fn status(group: &Group, id: &str) -> Status {
    let query = jobs::Query::Job("dorado".parse().unwrap(), id.parse().unwrap());
    match group.ask_jobs(query) {
        jobs::View::Job(Some(row)) => row.status,
        other => panic!("{id}: {other:?}"),
    }
}

fn refused(reason: Reason) -> Status {
    Status::Ended(End::Refused { reason, ran: RunStatus::Maybe })
}

#[tokio::test(start_paused = true)]
async fn runs_end_as_their_targets_treat_them() {
    let quick = Act::Answer { after_ms: 100 };
    let answered = || Status::Ended(End::Answered(answer("tower")));
    let may_have_run = "it may have run, and must not run again".to_owned();
    let cases = [
        ("answers", vec![quick], true, answered(), 1),
        ("runs longer than its lease", vec![Act::Answer { after_ms: 90_000 }], true, answered(), 1),
        ("dies, then answers", vec![Act::Die, quick], true, answered(), 2),
        ("dies twice", vec![Act::Die], true, refused(Reason::TargetsDied), 2),
        ("panics, then answers", vec![Act::Panic, quick], true, answered(), 2),
        ("can't be reached, then answers", vec![Act::Unreachable, quick], true, answered(), 1),
        ("once: answers", vec![quick], false, answered(), 1),
        ("once: dies", vec![Act::Die], false, refused(Reason::Refused(may_have_run.clone())), 1),
        ("once: panics", vec![Act::Panic], false, refused(Reason::Refused(may_have_run)), 1),
        ("once: not reached", vec![Act::Unreachable, quick], false, answered(), 1),
    ];
    for (name, acts, is_idempotent, expected, executions) in cases {
        let (group, executor) = (Group::new(), Arc::new(Executor::default()));
        submit(&group, &executor, "tower", acts, is_idempotent);
        let daemon = start(&group, &executor, 1);
        pass(&group, 120).await;
        assert_eq!(status(&group, "tower"), expected, "{name}");
        assert_eq!(executor.executions("tower"), executions, "{name}");
        daemon.task.abort();
    }
}

#[tokio::test(start_paused = true)]
async fn a_killed_daemon_loses_no_job_and_repeats_none_that_must_not_run_again() {
    let acts = || vec![Act::Hang, Act::Answer { after_ms: 100 }];
    for (is_idempotent, executions) in [(true, 2), (false, 1)] {
        let (group, executor) = (Group::new(), Arc::new(Executor::default()));
        submit(&group, &executor, "tower", acts(), is_idempotent);
        let first = start(&group, &executor, 1);
        pass(&group, 3).await;
        assert_eq!(executor.executions("tower"), 1);
        first.task.abort();
        group.daemon_gone(&owner(1, 1));
        group.change_leader();
        let second = start(&group, &executor, 2);
        pass(&group, 60).await;
        let expected = if is_idempotent {
            Status::Ended(End::Answered(answer("tower")))
        } else {
            refused(Reason::Refused("it may have run, and must not run again".to_owned()))
        };
        assert_eq!(status(&group, "tower"), expected);
        assert_eq!(executor.executions("tower"), executions);
        second.task.abort();
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_router_that_loses_its_lease_does_not_make_work_repeat() {
    let (group, executor) = (Group::new(), Arc::new(Executor::default()));
    submit(&group, &executor, "tower", vec![Act::Answer { after_ms: 50_000 }], false);
    let first = start(&group, &executor, 1);
    pass(&group, 3).await;
    // From now on the first daemon is cut off: all that it proposes is lost.
    group.script([Fault::LostBefore; 30]);
    pass(&group, 28).await;
    group.script([]);
    let second = start(&group, &executor, 2);
    pass(&group, 60).await;
    assert_eq!(status(&group, "tower"), Status::Ended(End::Answered(answer("tower"))));
    assert_eq!(executor.executions("tower"), 1);
    first.task.abort();
    second.task.abort();
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_job_stops_running() {
    let (group, executor) = (Group::new(), Arc::new(Executor::default()));
    submit(&group, &executor, "tower", vec![Act::Hang], true);
    submit(&group, &executor, "next", vec![Act::Hang], true);
    submit(&group, &executor, "third", vec![Act::Answer { after_ms: 100 }], true);
    let daemon = start(&group, &executor, 1);
    pass(&group, 3).await;
    assert_eq!(executor.executions("third"), 0, "both slots are taken");
    let (tenant, id) = ("dorado".parse().unwrap(), "tower".parse().unwrap());
    group.commit(Command::Jobs(jobs::Command::Cancel { tenant, id }));
    pass(&group, 15).await;
    assert_eq!(status(&group, "third"), Status::Ended(End::Answered(answer("third"))));
    assert_eq!(executor.running.load(Ordering::Relaxed), 1, "only the job `next` still runs");
    daemon.task.abort();
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_leaves_finishes_its_runs_and_takes_no_more() {
    let (group, executor) = (Group::new(), Arc::new(Executor::default()));
    submit(&group, &executor, "tower", vec![Act::Answer { after_ms: 60_000 }], true);
    let daemon = start(&group, &executor, 1);
    pass(&group, 3).await;
    daemon.leaving.send(true).unwrap();
    submit(&group, &executor, "next", vec![Act::Answer { after_ms: 100 }], true);
    pass(&group, 70).await;
    assert!(daemon.task.is_finished());
    assert_eq!(status(&group, "tower"), Status::Ended(End::Answered(answer("tower"))));
    assert_eq!((status(&group, "next"), executor.executions("next")), (Status::Waiting, 0));
}
