//! The control state of one daemon, on its control thread.
//!
//! Every daemon watches targets, follows the leader's news and passes on what is meant for the
//! leader. A voter also runs a replica of the log; while it leads, it has a [`leader::Leader`].

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use tokio::sync::Notify;

use crate::config;
use crate::consensus::node;
use crate::control;
use crate::control::departures::Departure;
use crate::control::{commands, departures, machine, owner, port, queries};
use crate::daemon::homes;
use crate::daemon::leader;
use crate::daemon::message::{self, Reply, Request};
use crate::daemon::peers::{Failure, Peers};
use crate::daemon::published::Published;
use crate::ids::{DaemonId, Incarnation, TargetId, TenantId, Term, Zone};
use crate::membership::targets::{AnnouncementOutcome, TargetRegistry, TargetReport};
use crate::membership::{feed, targets};
use crate::placement::demand;
use crate::traffic::TrafficState;
use crate::traffic::clock::Clock;

/// Time for one question to another daemon.
pub const ASK_LIMIT: Duration = Duration::from_millis(1_500);
/// Time within which the leader is looked for before a request is given up.
const FIND_LEADER_MS: u64 = 4_000;
/// Pause between two rounds of looking for the leader.
const FIND_LEADER_PAUSE: Duration = Duration::from_millis(100);
/// Models whose demand may wait to be sent.
const MAX_DEMAND: usize = 65_536;

/// A replica of the log and the state that it drives.
pub struct Group {
    /// The voter.
    pub node: node::Handle,
    /// The replicated state.
    pub machine: Rc<RefCell<control::Machine>>,
}

/// Who a daemon is, and what it works with.
pub struct Parts {
    /// This life of this daemon.
    pub owner: owner::Owner,
    /// Where it runs.
    pub availability_zone: Zone,
    /// Where targets announce themselves to it.
    pub target_address: SocketAddr,
    /// The time of all its threads.
    pub clock: Clock,
    /// What the traffic threads read.
    pub published: Arc<Published>,
    /// The other daemons.
    pub peers: Rc<dyn Peers>,
    /// Daemons that are asked who leads.
    pub voters: Vec<DaemonId>,
    /// All daemons that the settings name, this one among them, with their zones.
    pub daemons: Vec<(DaemonId, Zone)>,
    /// All tenants that the settings name.
    pub tenants: Vec<TenantId>,
    /// When a silent target is doubted and given up.
    pub silence: targets::SilenceTimeouts,
    /// What a leader's placement works with.
    pub placement: leader::Parts,
    /// The traffic of this daemon.
    pub traffic: Arc<TrafficState>,
}

/// The control state of one daemon.
pub struct Core {
    pub(super) parts: Parts,
    pub(super) group: RefCell<Option<Group>>,
    /// What a voter tells of itself before it knows a group.
    pub(super) unformed: RefCell<Option<message::Status>>,
    pub(super) leader: RefCell<Option<Rc<leader::Leader>>>,
    pub(super) feed: RefCell<feed::TableFeed>,
    pub(super) places: RefCell<message::Places>,
    /// The version of the rate limits that the leader told of.
    pub(super) rate_limits: Cell<message::Version>,
    pub(super) known_leader: RefCell<Option<DaemonId>>,
    pub(super) is_leaving: Cell<bool>,
    registry: RefCell<TargetRegistry>,
    pub(super) reports: RefCell<Vec<TargetReport>>,
    pub(super) report_wake: Notify,
    pub(super) demand: RefCell<Vec<demand::DemandEntry>>,
    pub(super) demand_wake: Notify,
    pub(super) relayed: RefCell<Vec<homes::Relayed>>,
    /// What this daemon has had recorded of the targets that it watches.
    pub(super) recorded: RefCell<departures::State>,
}

impl Core {
    /// The control state of a daemon that has just started.
    pub fn new(parts: Parts) -> Rc<Self> {
        let registry = TargetRegistry::new(parts.silence);
        Rc::new(Self {
            parts,
            group: RefCell::default(),
            unformed: RefCell::default(),
            leader: RefCell::default(),
            feed: RefCell::default(),
            places: RefCell::default(),
            rate_limits: Cell::default(),
            known_leader: RefCell::default(),
            is_leaving: Cell::new(false),
            registry: RefCell::new(registry),
            reports: RefCell::default(),
            report_wake: Notify::new(),
            demand: RefCell::default(),
            demand_wake: Notify::new(),
            relayed: RefCell::default(),
            recorded: RefCell::default(),
        })
    }

    /// This daemon.
    pub fn id(&self) -> &DaemonId {
        &self.parts.owner.daemon
    }

    /// The availability zone of a daemon that the settings name.
    pub(super) fn zone_of(&self, daemon: &DaemonId) -> Option<Zone> {
        let known = self.parts.daemons.iter().find(|(id, _)| id == daemon);
        known.map(|(_, zone)| zone.clone())
    }

    /// The time, as Unix time.
    pub fn now_ms(&self) -> u64 {
        self.parts.clock.now_ms()
    }

    /// Answers a request of `from`, which may be this daemon itself.
    pub async fn serve(self: &Rc<Self>, from: &DaemonId, request: Request) -> Reply {
        match request {
            Request::Announced(state) => {
                self.take_word(targets::TargetEvent::Announced(*state)).await
            }
            Request::Alive(target, life, sequence) => {
                Reply::Taken(self.watched(targets::TargetEvent::Heartbeat(target, life, sequence)))
            }
            Request::Left(target, life) => {
                self.take_word(targets::TargetEvent::Left(target, life)).await
            }
            Request::Propose(command) => self.propose_here(*command).await,
            Request::Query(query) => self.query_here(query).await,
            Request::Status => self.status(),
            Request::Watch(watch) => match self.leading() {
                Some(leader) => leader.watch(self, *watch).await,
                None => self.not_leader(),
            },
            Request::Reports(reports) => match self.leading() {
                Some(leader) => leader.reports(self, from, reports),
                None => self.not_leader(),
            },
            Request::Demand(entries) => match self.leading() {
                Some(leader) => leader.demand(self.now_ms(), from, entries),
                None => self.not_leader(),
            },
            Request::Permits(asks) => match self.leading() {
                Some(leader) => leader.permits(self, from, &asks),
                None => self.not_leader(),
            },
            Request::Show(show) => match self.leading() {
                Some(leader) => leader.show(self, show),
                None => self.not_leader(),
            },
            Request::ReplaceVoter(old, new) => self.replace_voter(&old, &new).await,
        }
    }

    /// The leader's work, while this daemon leads.
    pub(super) fn leading(&self) -> Option<Rc<leader::Leader>> {
        self.leader.borrow().clone()
    }

    pub(super) fn not_leader(&self) -> Reply {
        Reply::NotLeader(self.node().and_then(|node| node.status().core.leader).map(|l| l.daemon))
    }

    pub(super) fn node(&self) -> Option<node::Handle> {
        self.group.borrow().as_ref().map(|group| group.node.clone())
    }

    pub(super) fn machine(&self) -> Option<Rc<RefCell<control::Machine>>> {
        self.group.borrow().as_ref().map(|group| Rc::clone(&group.machine))
    }

    /// Reads the replicated state of a voter.
    pub(super) fn with_state<T>(&self, read: impl FnOnce(&machine::State) -> T) -> Option<T> {
        let machine = self.machine()?;
        let machine = machine.borrow();
        Some(read(machine.state()))
    }

    /// What is on record of a life of a target, as far as this voter has applied the log.
    pub(super) fn departure(&self, target: &TargetId, life: Incarnation) -> Option<Departure> {
        self.with_state(|state| state.departures.find(target, life)).flatten()
    }

    async fn take_word(self: &Rc<Self>, event: targets::TargetEvent) -> Reply {
        match self.heard(event).await {
            Some(taken) => Reply::Taken(taken),
            None => Reply::Failed(
                port::ProposalOutcome::Unknown,
                "record that a target leaves".to_owned(),
            ),
        }
    }

    async fn propose_here(&self, command: commands::Command) -> Reply {
        let Some(node) = self.node() else { return self.not_leader() };
        if let Some(outcome) = self.known_outcome(&command) {
            return Reply::Outcome(Box::new(outcome));
        }
        let entry = commands::Entry { now_ms: self.now_ms(), command };
        match node.propose(entry.encode()).await {
            Ok(bytes) => match commands::Outcome::decode(&bytes) {
                Ok(outcome) => {
                    if let Some(leader) = self.leading() {
                        leader.committed(self, &outcome);
                    }
                    Reply::Outcome(Box::new(outcome))
                }
                Err(_) => {
                    Reply::Failed(port::ProposalOutcome::Unknown, "decode the outcome".to_owned())
                }
            },
            Err(report) => self.node_failure(report.current_context()),
        }
    }

    /// The outcome of a change that needs no commit, such as a refusal by what only the leader
    /// knows of the targets.
    fn known_outcome(&self, command: &commands::Command) -> Option<commands::Outcome> {
        let commands::Command::Config(command) = command else { return None };
        let config::Command::Change(change) = &**command;
        let facts = self.leading()?.facts(self);
        let outcome =
            self.with_state(|state| state.config.check(change, &facts, self.now_ms()))??;
        Some(commands::Outcome::Config(Box::new(outcome)))
    }

    fn node_failure(&self, error: &node::Error) -> Reply {
        match error {
            node::Error::NotLeader(leader) => Reply::NotLeader(leader.clone()),
            node::Error::Unknown => {
                Reply::Failed(port::ProposalOutcome::Unknown, error.to_string())
            }
            node::Error::Unavailable(_) | node::Error::Start(_) => {
                Reply::Failed(port::ProposalOutcome::NotProposed, error.to_string())
            }
        }
    }

    async fn query_here(&self, query: queries::Query) -> Reply {
        let Some(node) = self.node() else { return self.not_leader() };
        if let Err(report) = node.read_barrier().await {
            return self.node_failure(report.current_context());
        }
        match self.with_state(|state| queries::answer(state, &query)) {
            Some(answer) => Reply::Answer(Box::new(answer)),
            None => self.not_leader(),
        }
    }

    fn status(&self) -> Reply {
        let Some(node) = self.node() else {
            let unformed = self.unformed.borrow().clone();
            return unformed
                .map_or(Reply::NotLeader(None), |status| Reply::Status(Box::new(status)));
        };
        let status = node.status();
        Reply::Status(Box::new(message::Status {
            voter: status.id,
            seen: node.folder_state(),
            leader: status.core.leader.map(|leader| leader.daemon),
            term: status.core.term,
            commit: status.core.commit,
            last: status.core.last,
        }))
    }

    /// Sends a request to one daemon, or answers it here if that is this one.
    pub async fn ask(
        self: &Rc<Self>,
        to: &DaemonId,
        request: Request,
        limit: Duration,
    ) -> Result<Reply, Failure> {
        if to == self.id() {
            // Boxed, because a request that is served here may ask the leader in turn.
            let served: LocalBoxFuture<'_, Reply> = Box::pin(self.serve(to, request));
            return Ok(served.await);
        }
        let bytes = self.parts.peers.ask(to, message::encode(&request), limit).await?;
        message::decode(&bytes).map_err(|_| Failure::Unknown)
    }

    /// Sends a request to the leader, wherever it is.
    ///
    /// A request that may have reached a leader is sent again: what changes state tells a repeat
    /// from a new one by its own ids.
    pub async fn ask_leader(
        self: &Rc<Self>,
        request: Request,
        limit: Duration,
    ) -> Result<Reply, Failure> {
        let give_up_ms = self.now_ms() + FIND_LEADER_MS;
        let mut failure = Failure::NotSent;
        let mut turn = 0;
        loop {
            let candidate = self.leader_candidate(turn);
            let Some(to) = candidate else { return Err(failure) };
            match self.ask(&to, request.clone(), limit).await {
                Ok(Reply::NotLeader(hint)) => {
                    let is_news = hint.is_some() && hint.as_ref() != Some(&to);
                    self.known_leader.replace(hint.filter(|_| is_news));
                    if is_news {
                        continue;
                    }
                }
                Ok(Reply::Failed(port::ProposalOutcome::Unknown, _)) => failure = Failure::Unknown,
                Ok(Reply::Failed(port::ProposalOutcome::NotProposed, _)) => {}
                Ok(reply) => {
                    self.known_leader.replace(Some(to));
                    return Ok(reply);
                }
                Err(failed) => {
                    if failed == Failure::Unknown {
                        failure = failed;
                    }
                    self.known_leader.replace(None);
                }
            }
            turn += 1;
            if self.now_ms() >= give_up_ms {
                return Err(failure);
            }
            if turn % self.parts.voters.len().max(1) == 0 {
                tokio::time::sleep(FIND_LEADER_PAUSE).await;
            }
        }
    }

    fn leader_candidate(&self, turn: usize) -> Option<DaemonId> {
        if self.leader.borrow().is_some() {
            return Some(self.id().clone());
        }
        let known = self.known_leader.borrow().clone();
        let own = self.node().and_then(|node| node.status().core.leader).map(|l| l.daemon);
        let voters = &self.parts.voters;
        let next = || voters.get(turn % voters.len().max(1)).cloned();
        known.or(own.filter(|_| turn == 0)).or_else(next)
    }

    /// Replicates a command through the leader.
    pub async fn propose(
        self: &Rc<Self>,
        command: commands::Command,
    ) -> Result<commands::Outcome, port::ProposalOutcome> {
        let request = Request::Propose(Box::new(command));
        match self.ask_leader(request, ASK_LIMIT).await {
            Ok(Reply::Outcome(outcome)) => Ok(*outcome),
            Ok(Reply::Failed(outcome, _)) => Err(outcome),
            Ok(_) | Err(Failure::Unknown) => Err(port::ProposalOutcome::Unknown),
            Err(Failure::NotSent) => Err(port::ProposalOutcome::NotProposed),
        }
    }

    /// Reads the replicated state at the leader.
    pub async fn query(
        self: &Rc<Self>,
        query: queries::Query,
    ) -> Result<queries::Answer, port::ProposalOutcome> {
        match self.ask_leader(Request::Query(query), ASK_LIMIT).await {
            Ok(Reply::Answer(answer)) => Ok(*answer),
            _ => Err(port::ProposalOutcome::NotProposed),
        }
    }

    /// Tells the registry of watched targets what happened.
    pub(super) fn watched(&self, event: targets::TargetEvent) -> AnnouncementOutcome {
        let (taken, reports) = self.registry.borrow_mut().handle_event(self.now_ms(), event);
        if !reports.is_empty() {
            self.reports.borrow_mut().extend(reports);
            self.report_wake.notify_one();
        }
        taken
    }

    /// A leader of another term needs the state of every watched target.
    pub(super) fn report_all(&self) {
        *self.reports.borrow_mut() = self.registry.borrow().current_reports();
        self.report_wake.notify_one();
    }

    /// Takes in demand of this daemon's traffic, to be sent soon.
    pub fn take_demand(&self, entry: demand::DemandEntry) {
        let mut demand = self.demand.borrow_mut();
        match demand.binary_search_by(|known| known.model.cmp(&entry.model)) {
            Ok(at) => {
                let arrivals = demand[at].arrivals + entry.arrivals;
                demand[at] = demand::DemandEntry { arrivals, ..entry };
            }
            Err(at) if demand.len() < MAX_DEMAND => demand.insert(at, entry),
            Err(_) => metrics::counter!("fescuebay_demand_dropped_total").increment(1),
        }
        self.demand_wake.notify_one();
    }

    /// Notes when replicas are expected.
    pub(super) fn expect(&self, expected: Vec<message::Expected>) {
        let now_ms = self.now_ms();
        for message::Expected { model, in_ms } in expected {
            self.parts.published.expect(model, now_ms + in_ms, now_ms);
        }
    }

    /// The newest term that this daemon heard of in the feed.
    pub(super) fn feed_term(&self) -> Term {
        self.feed.borrow().cursor().term
    }
}
