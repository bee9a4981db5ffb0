//! Fakes at the interfaces of the control state: a log with scripted faults, and an application
//! runner that counts executions by key.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use error_stack::Report;
use fescuebay::consensus::Machine as _;
use fescuebay::control::answer::Answer;
use fescuebay::control::commands::{Command, Entry, Outcome};
use fescuebay::control::once::{Client, Request};
use fescuebay::control::owner::Owner;
use fescuebay::control::{Machine, jobs, port, queries, records};
use fescuebay::ids::{Digest, Incarnation, LogIndex};
use fescuebay::target::call::Written;
use futures::future::BoxFuture;

/// What happens to one proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is committed and its outcome comes back.
    None,
    /// It is refused at the door: no leader, or its disk is full.
    NotProposed,
    /// It is lost on the way, and nobody can tell.
    LostBefore,
    /// It is committed, and its outcome is lost.
    LostAfter,
    /// Its outcome is lost, and it is committed when [`Group::commit_late`] is called.
    Late,
}

#[derive(Default)]
struct Inner {
    machine: Machine,
    now_ms: u64,
    faults: VecDeque<Fault>,
    late: Vec<Command>,
    index: u64,
}

/// A control group in memory. Entries and snapshots pass through their encodings.
#[derive(Default)]
pub struct Group {
    inner: Mutex<Inner>,
}

impl Inner {
    fn commit(&mut self, command: Command) -> Outcome {
        self.index += 1;
        let entry = Entry { now_ms: self.now_ms, command }.encode();
        let outcome = self.machine.apply(LogIndex(self.index), &entry);
        Outcome::decode(&outcome).unwrap()
    }
}

impl Group {
    pub fn new() -> Arc<Self> {
        let group = Self::default();
        group.inner.lock().unwrap().now_ms = 1_000_000;
        Arc::new(group)
    }

    /// What happens to the next proposals, in their order; after that, nothing.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.inner.lock().unwrap().faults = faults.into_iter().collect();
    }

    pub fn commit(&self, command: Command) -> Outcome {
        self.inner.lock().unwrap().commit(command)
    }

    pub fn commit_late(&self) {
        let mut inner = self.inner.lock().unwrap();
        for command in std::mem::take(&mut inner.late) {
            inner.commit(command);
        }
    }

    /// Another voter leads: its state came by a snapshot.
    pub fn change_leader(&self) {
        let mut inner = self.inner.lock().unwrap();
        let mut machine = Machine::default();
        machine.restore(&inner.machine.snapshot()).unwrap();
        assert_eq!(machine.snapshot(), inner.machine.snapshot(), "a snapshot lost something");
        inner.machine = machine;
    }

    pub fn daemon_gone(&self, owner: &Owner) {
        self.commit(Command::DaemonGone(owner.clone()));
    }

    /// Sets the clock of the leader, also back.
    pub fn set_clock(&self, now_ms: u64) {
        self.inner.lock().unwrap().now_ms = now_ms;
    }

    pub fn now_ms(&self) -> u64 {
        self.inner.lock().unwrap().now_ms
    }

    /// Lets time pass, with a tick of the leader each second up to a minute and then one more.
    pub fn pass(&self, ms: u64) {
        let ticks = (ms / 1000).clamp(1, 60);
        for _ in 0..ticks {
            let mut inner = self.inner.lock().unwrap();
            inner.now_ms += ms / ticks;
            inner.commit(Command::Tick);
        }
    }

    pub fn ask(&self, query: queries::Query) -> queries::Answer {
        self.inner.lock().unwrap().machine.query(&query)
    }

    pub fn snapshot(&self) -> Vec<u8> {
        self.inner.lock().unwrap().machine.snapshot()
    }

    pub fn ask_jobs(&self, query: jobs::Query) -> jobs::View {
        match self.ask(queries::Query::Jobs(query)) {
            queries::Answer::Jobs(view) => view,
            other => panic!("not an answer about jobs: {other:?}"),
        }
    }

    pub fn ask_records(&self, query: records::Query) -> records::View {
        match self.ask(queries::Query::Records(query)) {
            queries::Answer::Records(view) => view,
            other => panic!("not an answer about records: {other:?}"),
        }
    }
}

fn error(outcome: port::ProposalOutcome) -> Report<port::Error> {
    Report::new(port::Error { step: "commit", peer: None, outcome })
}

impl port::Log for Group {
    fn propose(&self, command: Command) -> BoxFuture<'_, port::Result<Outcome>> {
        Box::pin(async move {
            tokio::task::yield_now().await;
            let mut inner = self.inner.lock().unwrap();
            let fault = inner.faults.pop_front().unwrap_or(Fault::None);
            match fault {
                Fault::None => Ok(inner.commit(command)),
                Fault::NotProposed => Err(error(port::ProposalOutcome::NotProposed)),
                Fault::LostBefore => Err(error(port::ProposalOutcome::Unknown)),
                Fault::LostAfter => {
                    inner.commit(command);
                    Err(error(port::ProposalOutcome::Unknown))
                }
                Fault::Late => {
                    inner.late.push(command);
                    Err(error(port::ProposalOutcome::Unknown))
                }
            }
        })
    }

    fn query(&self, query: queries::Query) -> BoxFuture<'_, port::Result<queries::Answer>> {
        Box::pin(async move { Ok(self.ask(query)) })
    }
}

/// How the fake application runner treats a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It runs it and answers.
    Answers,
    /// It can't be reached: no byte is written.
    Unreachable,
    /// It runs it and dies before the answer.
    DiesAfter,
    /// It dies before it runs it, when bytes were written already.
    DiesBefore,
}

/// Counts executions by key.
#[derive(Default)]
pub struct Application {
    executions: Mutex<BTreeMap<String, u32>>,
}

impl Application {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    pub fn executions(&self, key: &str) -> u32 {
        self.executions.lock().unwrap().get(key).copied().unwrap_or(0)
    }

    pub fn run(&self, key: &str, behaviour: Behaviour) -> Result<Answer, Written> {
        if matches!(behaviour, Behaviour::Answers | Behaviour::DiesAfter) {
            *self.executions.lock().unwrap().entry(key.to_owned()).or_default() += 1;
        }
        match behaviour {
            Behaviour::Answers => Ok(answer(key)),
            Behaviour::Unreachable => Err(Written::No),
            Behaviour::DiesAfter | Behaviour::DiesBefore => Err(Written::Maybe),
        }
    }
}

pub fn answer(text: &str) -> Answer {
    Answer::new(200, "text/plain", Bytes::from(format!("reserved {text}")))
}

pub fn owner(daemon: u64, incarnation: u64) -> Owner {
    let daemon = format!("daemon-{daemon}").parse().unwrap();
    Owner { daemon, incarnation: Incarnation(incarnation) }
}

pub fn client(group: &Arc<Group>, daemon: u64, incarnation: u64) -> Client {
    Client::new(Arc::clone(group) as Arc<dyn port::Log>, owner(daemon, incarnation), 1024)
}

pub fn request(key: &str) -> Request {
    Request {
        tenant: "santuario".parse().unwrap(),
        key: key.parse().unwrap(),
        digest: Digest::of(&[b"reserve", key.as_bytes()]),
    }
}
