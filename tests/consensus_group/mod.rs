//! A few cores with fake disks and a bag of messages, checked after every step.

#![allow(dead_code, reason = "each program of tests uses a part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use fescuebay::consensus::core::{
    Action, Config, Core, MembershipChange, RoleKind, Status, StoredState,
};
use fescuebay::consensus::entry::{
    Entry, HardState, Membership, Payload, Snapshot, SnapshotMeta, VoterId,
};
use fescuebay::consensus::message::{Body, Message};
use fescuebay::consensus::timing::Timing;
use fescuebay::ids::{DaemonId, GroupId, Incarnation, LogIndex, Term};
use fescuebay::storage::record::Record;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

pub const TIMING: Timing =
    Timing { heartbeat_ms: 50, election_ms: 200, election_jitter_ms: 100, lease_ms: 180 };
const SNAPSHOT_EVERY: u64 = 20;
const GROUP: GroupId = GroupId(1);

pub fn voter(at: usize, incarnation: u64) -> VoterId {
    let daemon: DaemonId = format!("d{at}").parse().unwrap();
    VoterId { daemon, incarnation: Incarnation(incarnation) }
}

/// Something that was handed to the disk and is not durable yet.
enum Write {
    Records { write: u64, records: Vec<Record> },
    Install { write: u64, snapshot: Snapshot, hard: HardState },
    Snapshot(Snapshot),
}

pub struct Member {
    pub id: VoterId,
    pub core: Option<Core>,
    pub commands: Vec<Bytes>,
    disk: StoredState,
    unsynced: VecDeque<Write>,
    offset_ms: u64,
    /// The speed of its clock in thousandths.
    rate: u64,
}

impl Member {
    fn now_ms(&self, now_ms: u64) -> u64 {
        self.offset_ms + now_ms * self.rate / 1000
    }

    /// Whether the disk durably holds the entry.
    fn holds(&self, index: LogIndex, term: Term) -> bool {
        let is_entry = |entry: &Entry| entry.index == index && entry.term == term;
        index <= self.disk.snapshot.meta.index || self.disk.entries.iter().any(is_entry)
    }

    fn make_durable(&mut self, write: Write) {
        match write {
            Write::Records { records, .. } => {
                for record in records {
                    match record {
                        Record::Hard(hard) => self.disk.hard = hard,
                        Record::Entry(entry) => {
                            self.disk.entries.retain(|held| held.index < entry.index);
                            self.disk.entries.push(entry);
                        }
                        Record::Reset { .. } => self.disk.entries.clear(),
                    }
                }
            }
            Write::Install { snapshot, hard, .. } => {
                self.disk = StoredState { hard, snapshot, entries: Vec::new() };
            }
            Write::Snapshot(snapshot) => {
                let index = snapshot.meta.index;
                self.disk.entries.retain(|entry| entry.index > index);
                self.disk.snapshot = snapshot;
            }
        }
    }
}

pub struct World {
    pub now_ms: u64,
    pub members: Vec<Member>,
    pub net: Vec<Message>,
    /// Pairs of daemons whose messages are lost, by sender and receiver.
    pub cut: BTreeSet<(usize, usize)>,
    /// What was applied first at each index.
    pub applied: BTreeMap<LogIndex, (Term, Payload)>,
    leaders: BTreeMap<Term, VoterId>,
    /// Reads that wait, with the index that they must see.
    reads: BTreeMap<(VoterId, u64), LogIndex>,
    pub reads_served: usize,
    pub repairs: usize,
    next_ticket: u64,
    next_command: u64,
    /// Members whose disks were lost and that were not replaced yet.
    lost: Vec<usize>,
    /// A member that is stopped without knowing it, as by SIGSTOP.
    pub frozen: Option<usize>,
    rng: StdRng,
}

impl World {
    pub fn new(seed: u64, count: usize) -> Self {
        let mut world = Self {
            now_ms: 0,
            members: Vec::new(),
            net: Vec::new(),
            cut: BTreeSet::new(),
            applied: BTreeMap::new(),
            leaders: BTreeMap::new(),
            reads: BTreeMap::new(),
            reads_served: 0,
            repairs: 0,
            next_ticket: 0,
            next_command: 0,
            lost: Vec::new(),
            frozen: None,
            rng: StdRng::seed_from_u64(seed),
        };
        let membership = Membership::of_voters((0..count).map(|at| voter(at, 1)).collect());
        for at in 0..count {
            let meta = SnapshotMeta { membership: membership.clone(), ..SnapshotMeta::default() };
            let snapshot = Snapshot { meta, ..Snapshot::default() };
            let offset_ms = world.rng.random_range(0..1_000_000);
            let rate = world.rng.random_range(955..=1045);
            world.members.push(Member {
                id: voter(at, 1),
                core: None,
                commands: Vec::new(),
                disk: StoredState { snapshot, ..StoredState::default() },
                unsynced: VecDeque::new(),
                offset_ms,
                rate,
            });
            world.restart(at);
        }
        world
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |member: &Member| member.core.as_ref().is_some_and(Core::is_leader);
        let term = |at: &usize| self.status(*at).map(|status| status.term);
        (0..self.members.len()).filter(|at| leads(&self.members[*at])).max_by_key(term)
    }

    /// Whether a member takes itself for the leader.
    pub fn is_leader(&self, at: usize) -> bool {
        self.members[at].core.as_ref().is_some_and(Core::is_leader)
    }

    pub fn status(&self, at: usize) -> Option<Status> {
        let member = &self.members[at];
        member.core.as_ref().map(|core| core.status(member.now_ms(self.now_ms)))
    }

    /// How long a member may act as the leader, by its own clock.
    pub fn lease_left_ms(&self, at: usize) -> u64 {
        let now_ms = self.members[at].now_ms(self.now_ms);
        let until_ms = self.status(at).and_then(|status| status.lease_valid_until_ms);
        until_ms.map_or(0, |until_ms| until_ms.saturating_sub(now_ms))
    }

    /// Lets a core do something and carries out what follows.
    pub fn with<R>(&mut self, at: usize, act: impl FnOnce(&mut Core, u64) -> R) -> Option<R> {
        let now_ms = self.members[at].now_ms(self.now_ms);
        let core = self.members[at].core.as_mut()?;
        let before = core.status(now_ms);
        let result = act(core, now_ms);
        let actions = core.take_actions(now_ms);
        for action in actions {
            self.carry_out(at, action);
        }
        self.check(at);
        self.check_commit(at, &before);
        Some(result)
    }

    fn carry_out(&mut self, at: usize, action: Action) {
        let member = &mut self.members[at];
        match action {
            Action::Persist { write, records } => {
                member.unsynced.push_back(Write::Records { write, records });
            }
            Action::Install { write, snapshot, hard } => {
                self.restore(at, &snapshot);
                let install = Write::Install { write, snapshot, hard };
                self.members[at].unsynced.push_back(install);
            }
            Action::Send(message) => self.net.push(message),
            Action::Apply(entries) => entries.into_iter().for_each(|entry| self.apply(at, entry)),
            Action::TakeSnapshot(meta) => {
                let data = postcard::to_stdvec(&member.commands).unwrap().into();
                member.unsynced.push_back(Write::Snapshot(Snapshot { meta, data }));
            }
            Action::ReadReady(ticket) => {
                let key = (member.id.clone(), ticket);
                let must_see = self.reads.remove(&key).expect("a read that was asked for");
                let applied = self.status(at).unwrap().applied;
                assert!(applied >= must_see, "a stale read: {applied} before {must_see}");
                self.reads_served += 1;
            }
            Action::ReadFailed(ticket) => {
                self.reads.remove(&(member.id.clone(), ticket));
            }
        }
    }

    fn apply(&mut self, at: usize, entry: Entry) {
        if let Payload::Command(command) = &entry.payload {
            self.members[at].commands.push(command.clone());
        }
        let (index, term) = (entry.index, entry.term);
        let content = (term, entry.payload);
        match self.applied.get(&index) {
            Some(first) => assert_eq!(*first, content, "two entries applied at {index}"),
            None => {
                let core = self.members[at].core.as_ref().unwrap();
                let membership = core.log().membership_at(index).clone();
                let holds = |id: &&VoterId| {
                    self.members.iter().any(|other| other.id == **id && other.holds(index, term))
                };
                let copies = membership.voters.iter().filter(holds).count();
                // A voter whose disk is gone still counted when the entry was committed.
                let copies = copies + self.lost.len();
                assert!(copies >= membership.quorum(), "{index} applied on {copies} copies");
                self.applied.insert(index, content);
            }
        }
    }

    fn restore(&mut self, at: usize, snapshot: &Snapshot) {
        let commands: Vec<Bytes> = match snapshot.meta.index {
            LogIndex(0) => Vec::new(),
            _ => postcard::from_bytes(&snapshot.data).unwrap(),
        };
        let is_command = |(_, payload): &(Term, Payload)| match payload {
            Payload::Command(command) => Some(command.clone()),
            _ => None,
        };
        let upto = self.applied.range(..=snapshot.meta.index).map(|(_, content)| content);
        let expected: Vec<Bytes> = upto.filter_map(is_command).collect();
        assert_eq!(commands, expected, "a snapshot of another history");
        self.members[at].commands = commands;
    }

    /// Election safety, leader completeness and log matching (Raft paper, figure 3).
    fn check(&mut self, at: usize) {
        let status = self.status(at).unwrap();
        let core = self.members[at].core.as_ref().unwrap();
        if status.role == RoleKind::Leader {
            let leader = self.leaders.entry(status.term).or_insert_with(|| core.id().clone());
            assert_eq!(leader, core.id(), "two leaders in term {}", status.term);
            // An older leader that does not know of its successor need not hold what that committed.
            let is_newest = self.leaders.keys().last() == Some(&status.term);
            let newest = if is_newest { &self.applied } else { &BTreeMap::new() };
            for (index, (term, _)) in newest.range(core.log().base().index..) {
                assert_eq!(core.log().term_at(*index), Some(*term), "{index} lost by a leader");
            }
        }
        for other in self.members.iter().filter_map(|member| member.core.as_ref()) {
            let end = core.log().last().index.min(other.log().last().index);
            let begin = core.log().base().index.max(other.log().base().index);
            let is_same = |index: &u64| {
                core.log().get(LogIndex(*index)) == other.log().get(LogIndex(*index))
                    && core.log().term_at(LogIndex(*index)) == other.log().term_at(LogIndex(*index))
            };
            let same_term = |index: &u64| {
                core.log().term_at(LogIndex(*index)) == other.log().term_at(LogIndex(*index))
            };
            let mut common = (begin.0 + 1..=end.0).rev().skip_while(|index| !same_term(index));
            assert!(common.all(|index| is_same(&index)), "logs differ before a common entry");
        }
    }

    /// A leader counts copies only of entries of its own term (Raft paper, 5.4.2).
    fn check_commit(&self, at: usize, before: &Status) {
        let core = self.members[at].core.as_ref().unwrap();
        let after = self.status(at).unwrap();
        let is_same_leader = before.role == RoleKind::Leader && after.term == before.term;
        if is_same_leader && after.commit > before.commit {
            assert_eq!(core.log().term_at(after.commit), Some(after.term), "an older entry");
        }
    }

    pub fn tick(&mut self, at: usize) {
        self.with(at, |core, now_ms| {
            if now_ms >= core.next_tick_ms() {
                core.tick(now_ms);
            }
        });
    }

    pub fn sync(&mut self, at: usize, count: usize) {
        for _ in 0..count {
            let Some(write) = self.members[at].unsynced.pop_front() else { return };
            let report = match &write {
                Write::Records { write, .. } | Write::Install { write, .. } => Ok(*write),
                Write::Snapshot(snapshot) => Err(snapshot.clone()),
            };
            self.members[at].make_durable(write);
            self.with(at, |core, now_ms| match report {
                Ok(write) => core.synced(now_ms, write),
                Err(snapshot) => core.snapshot_saved(now_ms, snapshot),
            });
        }
    }

    /// Stops a member; of what was not synced, the first `kept` writes happen to survive.
    pub fn crash(&mut self, at: usize, kept: usize) {
        let member = &mut self.members[at];
        member.core = None;
        for write in std::mem::take(&mut member.unsynced).into_iter().take(kept) {
            member.make_durable(write);
        }
        let id = member.id.clone();
        self.reads.retain(|(reader, _), _| *reader != id);
    }

    pub fn restart(&mut self, at: usize) {
        if self.members[at].core.is_some() {
            return;
        }
        let stored = self.members[at].disk.clone();
        self.restore(at, &stored.snapshot);
        let member = &mut self.members[at];
        let config = Config {
            group: GROUP,
            id: member.id.clone(),
            timing: TIMING,
            snapshot_every: SNAPSHOT_EVERY,
        };
        let rng = Box::new(StdRng::seed_from_u64(self.rng.random()));
        member.core = Some(Core::new(config, stored, member.now_ms(self.now_ms), rng));
    }

    /// Destroys a disk. The daemon comes back with a new identity. One at a time.
    pub fn lose_disk(&mut self, at: usize) {
        let is_whole = |member: &Member| member.core.is_some();
        if !self.lost.is_empty() || !self.members.iter().all(is_whole) {
            return;
        }
        self.destroy_disk(at);
        self.restart(at);
    }

    /// Destroys a disk together with the VM, whatever else is lost.
    pub fn destroy_disk(&mut self, at: usize) {
        self.crash(at, 0);
        self.lost.push(at);
        let member = &mut self.members[at];
        member.id.incarnation = member.id.incarnation.next();
        member.disk = StoredState::default();
    }

    /// Adds a member at an address of its own, with an empty disk, that is to take the place of
    /// one that stays away.
    pub fn add_member(&mut self) -> usize {
        let at = self.members.len();
        let offset_ms = self.rng.random_range(0..1_000_000);
        self.members.push(Member {
            id: voter(at, 1),
            core: None,
            commands: Vec::new(),
            disk: StoredState::default(),
            unsynced: VecDeque::new(),
            offset_ms,
            rate: self.rng.random_range(955..=1045),
        });
        self.restart(at);
        at
    }

    /// Takes the next step to replace a lost voter, at the leader.
    pub fn repair(&mut self) {
        let (Some(lost), Some(leader)) = (self.lost.first().copied(), self.leader()) else {
            return;
        };
        let new = self.members[lost].id.clone();
        let status = self.status(leader).unwrap();
        let old = status.membership.all().find(|id| id.daemon == new.daemon && **id != new);
        let change = if status.membership.is_voter(&new) {
            match old {
                Some(old) => MembershipChange::Remove(old.clone()),
                None if status.commit >= status.last => {
                    self.lost.remove(0);
                    self.repairs += 1;
                    return;
                }
                None => return,
            }
        } else if status.membership.is_learner(&new) {
            MembershipChange::Promote(new)
        } else {
            MembershipChange::AddLearner(new)
        };
        let _ = self.with(leader, |core, _| core.change(&change));
    }

    pub fn is_repaired(&self) -> bool {
        self.lost.is_empty()
    }

    pub fn deliver(&mut self, at: usize, is_kept: bool) {
        if self.net.is_empty() {
            return;
        }
        let at = at % self.net.len();
        let message = if is_kept { self.net[at].clone() } else { self.net.swap_remove(at) };
        self.hand_over(message);
    }

    fn hand_over(&mut self, message: Message) {
        let place = |id: &VoterId| {
            self.members.iter().position(|member| member.id.daemon == id.daemon).unwrap()
        };
        let (from, to) = (place(&message.from), place(&message.to));
        if !self.cut.contains(&(from, to)) && self.frozen != Some(to) {
            self.with(to, |core, now_ms| core.receive(now_ms, message));
        }
    }

    pub fn propose(&mut self, at: usize) -> bool {
        self.next_command += 1;
        let command = Bytes::copy_from_slice(&self.next_command.to_le_bytes());
        self.with(at, |core, _| core.propose(command).is_ok()).unwrap_or(false)
    }

    pub fn read(&mut self, at: usize) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let must_see = self.applied.keys().last().copied().unwrap_or_default();
        let key = (self.members[at].id.clone(), ticket);
        self.reads.insert(key.clone(), must_see);
        let asked = self.with(at, |core, now_ms| core.read(now_ms, ticket).is_ok());
        if asked != Some(true) {
            self.reads.remove(&key);
        }
    }

    /// Lets everything go its way: syncs, delivers in order, ticks.
    pub fn run(&mut self, total_ms: u64) {
        const STEP_MS: u64 = 10;
        for _ in 0..total_ms / STEP_MS {
            self.now_ms += STEP_MS;
            let awake: Vec<usize> =
                (0..self.members.len()).filter(|at| self.frozen != Some(*at)).collect();
            for at in &awake {
                self.tick(*at);
                self.sync(*at, usize::MAX);
            }
            for message in std::mem::take(&mut self.net) {
                self.hand_over(message);
            }
            for at in awake {
                self.sync(at, usize::MAX);
            }
        }
    }

    /// Mends every fault, and checks that the group gets together and nothing was lost.
    pub fn converge(&mut self) {
        self.cut.clear();
        self.frozen = None;
        for at in 0..self.members.len() {
            self.restart(at);
        }
        for _ in 0..40 {
            self.run(100);
            self.repair();
        }
        let leader = self.leader().expect("a leader once all faults are mended");
        assert!(self.is_repaired(), "the lost voter was not replaced");
        assert!(self.propose(leader), "the leader takes proposals");
        self.run(500);
        let last = *self.applied.keys().last().unwrap();
        for at in 0..self.members.len() {
            assert_eq!(self.status(at).unwrap().applied, last, "member {at} lags");
        }
    }
}

/// Whether a message carries entries.
pub fn is_append(message: &Message) -> bool {
    matches!(&message.body, Body::Append { entries, .. } if !entries.is_empty())
}
