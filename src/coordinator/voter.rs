//! The voter itself: how its log is opened, how its group is formed or joined, and how it leads.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use error_stack::ResultExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use super::client::Client;
use super::leader::{self, Leader};
use super::members;
use super::message::{Joined, Put, Reply, Request, Status};
use super::takeover::{self, LastOrder, Step};
use super::{Engines, Error, Result, follow};
use crate::clock::BootClock;
use crate::consensus::entry::VoterId;
use crate::consensus::timing::Timing;
use crate::consensus::{formation, node};
use crate::control::{self, commands, orders};
use crate::ids::{DaemonId, GroupId, Incarnation, Term};
use crate::membership::targets;
use crate::peer;
use crate::placement::swap;
use crate::routes;
use crate::traffic::clock::Clock as WallClock;

/// Pause between two rounds of asking the first voters for a group.
const FORM_PAUSE: Duration = Duration::from_millis(100);
/// Time for a first voter to say what it knows.
const STATUS_MS: u64 = 400;
/// Pause between two looks whether this voter is still one of the group.
const JOIN_PAUSE: Duration = Duration::from_millis(500);
/// Time for the leader to answer a voter that wants to join.
const JOIN_MS: u64 = 800;
/// Pause before a log is opened again that could not be written.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);
/// Entries that a restart replays at most. Each may hold a whole document.
const SNAPSHOT_EVERY: u64 = 48;
/// Times of the log. Requests for models that nobody holds wait for a leader, so it is missed sooner
/// than where a log only keeps records.
const TIMING: Timing =
    Timing { heartbeat_ms: 350, election_ms: 1_200, election_jitter_ms: 300, lease_ms: 1_050 };
/// A reading that took longer than this may have been overtaken while the VM stood still.
const READ_LIMIT_MS: u64 = 700;

/// Time for the daemon that gave the last orders to tell of them, and how often it is asked.
const LAST_ORDER_MS: u64 = 300;
const LAST_ORDER_TRIES: u32 = 2;
/// Pause before it is tried again to record who gives orders.
const RECORD_PAUSE: Duration = Duration::from_millis(50);
/// Time for a chosen voter to win its election.
const TRANSFER_PAUSE: Duration = Duration::from_millis(400);

/// The group: one is enough for the document and the leader.
pub(super) const GROUP: GroupId = GroupId(1);

/// What a voter is started with.
pub(super) struct Parts {
    pub own: DaemonId,
    pub cluster: String,
    pub folder: PathBuf,
    /// Whether a group may be formed, and by whom.
    pub founders: Option<Vec<DaemonId>>,
    /// Voters that the group has at most.
    pub places: usize,
    pub clock: BootClock,
    pub decode: routes::Decode,
    pub engines: Rc<dyn Engines>,
    pub silence: targets::SilenceTimeouts,
    pub placement: swap::Settings,
    /// Time after another daemon's last order before this one may give any.
    pub takeover_ms: u64,
    /// Whether engines check fencing numbers.
    pub checks_fencing: bool,
}

/// A voter, while its log is open and while it is not.
pub(super) struct Voter {
    parts: Parts,
    client: Rc<Client>,
    following: Rc<follow::State>,
    node: RefCell<Option<node::Handle>>,
    machine: RefCell<Rc<RefCell<control::Machine>>>,
    leader: RefCell<Option<Rc<Leader>>>,
    led_since_ms: Cell<u64>,
    /// When this daemon gave its last order since its start.
    ordered_ms: Cell<Option<u64>>,
    unformed: RefCell<Option<VoterId>>,
    is_changing: Cell<bool>,
}

/// Carries messages of the log to other voters.
struct Transport {
    client: Rc<Client>,
}

impl node::Transport for Transport {
    fn send(&self, to: &DaemonId, message: Vec<u8>) {
        self.client.add(to);
        self.client.pool().send_consensus(to, GROUP, message);
    }
}

impl Voter {
    pub(super) fn new(parts: Parts, client: Rc<Client>, following: Rc<follow::State>) -> Rc<Self> {
        Rc::new(Self {
            parts,
            client,
            following,
            node: RefCell::default(),
            machine: RefCell::default(),
            leader: RefCell::default(),
            led_since_ms: Cell::new(0),
            ordered_ms: Cell::new(None),
            unformed: RefCell::default(),
            is_changing: Cell::new(false),
        })
    }

    /// Runs the voter. A log that cannot be written is closed and opened again.
    pub(super) async fn run(self: Rc<Self>) {
        loop {
            if let Err(report) = self.run_once().await {
                log::error!("the voter pauses: {report:?}");
                metrics::counter!("fescuebay_voter_pauses_total").increment(1);
            }
            self.stop_leading();
            self.node.replace(None);
            tokio::time::sleep(REOPEN_PAUSE).await;
        }
    }

    async fn run_once(self: &Rc<Self>) -> Result<()> {
        let error = || Error { step: "open the log" };
        let settings = node::Settings::new(
            &self.parts.cluster,
            GROUP,
            self.parts.own.clone(),
            self.parts.folder.clone(),
        );
        let born_ms = WallClock::system().now_ms();
        let settings =
            settings.new_incarnation(Incarnation(born_ms)).snapshot_every(SNAPSHOT_EVERY);
        let settings = settings.timing(TIMING);
        let mut opened = settings.open().change_context_lazy(error)?;
        let own = opened.voter_id().clone();
        if !opened.is_formed() {
            self.unformed.replace(Some(own.clone()));
            if let Some(group) = self.find_group(&own).await {
                opened.form(group).change_context_lazy(error)?;
            }
        }
        let machine = Rc::new(RefCell::new(control::Machine::default()));
        let transport = Transport { client: Rc::clone(&self.client) };
        let started = opened.start(Rc::clone(&machine), transport, StdRng::from_os_rng());
        let node = started.change_context_lazy(error)?;
        log::info!("voter {own} runs");
        self.machine.replace(machine);
        self.node.replace(Some(node.clone()));
        self.unformed.replace(None);
        tokio::select! {
            failed = self.lead(&node) => failed,
            () = self.stay_member(&own) => Ok(()),
        }
    }

    /// Asks the founders until it is known whether to form a group. `None`: there is one that this
    /// voter has to be taken into.
    async fn find_group(&self, own: &VoterId) -> Option<Vec<VoterId>> {
        let founders = self.parts.founders.as_ref()?;
        if !founders.contains(&own.daemon) {
            return None;
        }
        loop {
            let mut seen = Vec::new();
            for founder in founders.iter().filter(|founder| **founder != own.daemon) {
                let asked = self.client.ask(founder, Request::Status, STATUS_MS).await;
                if let Ok(Reply::Status(status)) = asked {
                    seen.push(status.seen);
                }
            }
            match formation::decide(own, founders, &seen) {
                formation::Next::Form(group) => return Some(group),
                formation::Next::Join => return None,
                formation::Next::Wait => tokio::time::sleep(FORM_PAUSE).await,
            }
        }
    }

    /// Starts and stops the leader's work as leadership comes and goes.
    async fn lead(self: &Rc<Self>, node: &node::Handle) -> Result<()> {
        let mut leadership = node.subscribe();
        loop {
            let now = leadership.borrow_and_update().clone();
            self.stop_leading();
            self.client.set_leader(now.leader.as_ref().map(|leader| leader.daemon.clone()));
            if now.is_leader {
                // Entries of earlier terms are applied once an entry of this term is committed.
                let is_ready = node.read_barrier().await.is_ok();
                if is_ready && !leadership.has_changed().unwrap_or(true) {
                    self.start_leading(&now);
                }
            }
            if leadership.changed().await.is_err() || node.status().failure.is_some() {
                let failure = node.status().failure.unwrap_or_default();
                let error = Error { step: "write the log" };
                return Err(error_stack::Report::new(error).attach(failure));
            }
        }
    }

    fn start_leading(self: &Rc<Self>, now: &node::Leadership) {
        let entries = self.following.feed.borrow().table().entries().to_vec();
        let voter = Rc::downgrade(self);
        let machine = Rc::clone(&self.machine.borrow());
        let parts = leader::Parts {
            own: self.parts.own.clone(),
            clock: self.parts.clock,
            wall_clock: WallClock::system(),
            engines: Rc::clone(&self.parts.engines),
            silence: self.parts.silence,
            placement: self.parts.placement,
            is_leased: Rc::new(move || {
                voter.upgrade().and_then(|voter| voter.lease_left_ms()).is_some_and(|ms| ms > 0)
            }),
            record: {
                let voter = Rc::downgrade(self);
                Rc::new(move |command| {
                    let Some(voter) = voter.upgrade() else { return };
                    tokio::task::spawn_local(async move {
                        voter.record(commands::Command::Departures(command)).await;
                    });
                })
            },
            departure: Rc::new(move |target, life| {
                machine.borrow().state().departures.find(target, life)
            }),
        };
        let leader = Leader::start(now.term, parts, &entries);
        self.led_since_ms.set(self.parts.clock.now_ms());
        self.leader.replace(Some(Rc::clone(&leader)));
        self.publish_document();
        tokio::task::spawn_local(Rc::clone(self).allow_orders(leader));
    }

    /// Lets a new leader give orders once no other daemon does, and that is on record.
    async fn allow_orders(self: Rc<Self>, leader: Rc<Leader>) {
        let last = self.machine.borrow().borrow().state().orders.giver().cloned();
        match takeover::decide(&self.parts.own, leader.term(), last.as_ref()) {
            Step::Order => return leader.allow_orders(),
            Step::Record => {}
            Step::WaitAndRecord(giver) => {
                let last = self.last_order_of(giver.as_ref(), leader.term()).await;
                let Parts { takeover_ms, checks_fencing, .. } = self.parts;
                let wait_ms = takeover::wait_ms(takeover_ms, checks_fencing, last);
                log::info!("orders in {wait_ms} ms: the last ones of {giver:?}: {last:?}");
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            }
        }
        while !leader.is_stopped() {
            let giver = orders::Command { giver: self.parts.own.clone() };
            if self.record(commands::Command::Orders(giver)).await {
                return leader.allow_orders();
            }
            tokio::time::sleep(RECORD_PAUSE).await;
        }
    }

    /// Asks the daemon that gave the last orders for them.
    async fn last_order_of(&self, giver: Option<&DaemonId>, term: Term) -> LastOrder {
        let Some(giver) = giver else { return LastOrder::Unknown };
        for _ in 0..LAST_ORDER_TRIES {
            let asked = self.client.ask(giver, Request::LastOrder(term), LAST_ORDER_MS).await;
            if let Ok(Reply::LastOrder(last)) = asked {
                return last;
            }
        }
        LastOrder::Unknown
    }

    /// Tells a later leader of this daemon's last order. A leader of an earlier term ends here.
    fn last_order(&self, term: Term) -> LastOrder {
        let is_earlier = |leader: &Rc<Leader>| leader.term() < term;
        if self.leader.borrow().as_ref().is_some_and(is_earlier) {
            self.stop_leading();
        }
        let ago_ms = |at_ms| self.parts.clock.now_ms().saturating_sub(at_ms);
        self.ordered_ms.get().map_or(LastOrder::Unknown, |at_ms| LastOrder::Ago(ago_ms(at_ms)))
    }

    /// Has a command recorded that has no outcome. Returns whether that is certain.
    async fn record(&self, command: commands::Command) -> bool {
        let Some(node) = self.node.borrow().clone() else { return false };
        let entry = commands::Entry { now_ms: self.parts.clock.now_ms(), command };
        match node.propose(entry.encode()).await {
            Ok(_) => true,
            Err(report) => {
                log::warn!("not recorded: {:?}: {report}", entry.command);
                false
            }
        }
    }

    /// Acknowledges the word of a target, if need be once it is on record.
    async fn acknowledge(&self, when: leader::Acknowledge) -> Reply {
        let is_recorded = match when {
            leader::Acknowledge::Now => true,
            leader::Acknowledge::OnceRecorded(command) => {
                self.record(commands::Command::Departures(command)).await
            }
        };
        if is_recorded { Reply::Done } else { Reply::NotLeader(None) }
    }

    fn stop_leading(&self) {
        if let Some(leader) = self.leader.take() {
            leader.stop();
            self.ordered_ms.set(leader.ordered_ms().or(self.ordered_ms.get()));
        }
    }

    fn lease_left_ms(&self) -> Option<u64> {
        Some(self.node.borrow().as_ref()?.status().lease_left_ms)
    }

    /// Gives the leader the document that the log holds.
    fn publish_document(&self) {
        let Some(leader) = self.leader.borrow().clone() else { return };
        let machine = Rc::clone(&self.machine.borrow());
        let (version, text) = {
            let machine = machine.borrow();
            let routes = &machine.state().routes;
            (routes.version(), routes.text().clone())
        };
        leader.take_document(version, text, self.parts.decode);
    }

    /// Asks to be taken in for as long as the group does not name this voter. Ends when its log
    /// cannot be written.
    async fn stay_member(&self, own: &VoterId) {
        loop {
            tokio::time::sleep(JOIN_PAUSE).await;
            let failure = self.node.borrow().as_ref().and_then(|n| n.status().failure);
            if let Some(failure) = failure {
                return log::error!("the voter cannot write: {failure}");
            }
            let membership = self.node.borrow().as_ref().map(|n| n.status().core.membership);
            let is_voter = membership.is_some_and(|membership| membership.is_voter(own));
            let is_told = self.client.voters().binary_search(&own.daemon).is_ok();
            if is_voter && (is_told || self.following.silent_ms().is_none()) {
                continue;
            }
            let request = Request::Join(own.clone());
            match self.client.ask_leader(&request, JOIN_MS, JOIN_MS).await {
                Ok(Reply::Joined(joined)) => log::info!("joining as {own}: {joined:?}"),
                other => log::debug!("joining as {own}: no answer: {:?}", other.err()),
            }
        }
    }

    /// Answers a request of `from`, which may be this daemon itself.
    pub(super) async fn answer(self: &Rc<Self>, from: &DaemonId, request: Request) -> Reply {
        let leader = self.leader.borrow().clone().filter(|leader| !leader.is_stopped());
        let Some(leader) = leader else {
            return match request {
                Request::Status => self.status(),
                Request::LastOrder(term) => Reply::LastOrder(self.last_order(term)),
                _ => self.not_leader(),
            };
        };
        match request {
            Request::Status => self.status(),
            Request::LastOrder(term) => Reply::LastOrder(self.last_order(term)),
            Request::Join(voter) => {
                self.client.add(&voter.daemon);
                Reply::Joined(self.join(&voter))
            }
            // A leader that others have replaced must not vouch for what they do not hear of.
            Request::Announced(_) | Request::Left(..) if self.lease_left_ms() == Some(0) => {
                Reply::NotLeader(None)
            }
            Request::Announced(state) => self.acknowledge(leader.announced(*state)).await,
            Request::Left(target, incarnation) => {
                self.acknowledge(leader.left(&target, incarnation)).await
            }
            Request::PutRoutes(command) => self.put_routes(command).await,
            Request::GetRoutes => self.get_routes().await,
            Request::Usage(usage) => {
                leader.usage(from, *usage);
                Reply::Done
            }
            Request::Watch(watch) => match leader.watch(from, *watch, self.voters()).await {
                Some(news) => Reply::News(Box::new(news)),
                None => Reply::NotLeader(None),
            },
        }
    }

    fn not_leader(&self) -> Reply {
        let known = self.node.borrow().as_ref().and_then(|node| node.status().core.leader);
        let other = known.map(|leader| leader.daemon).filter(|leader| *leader != self.parts.own);
        Reply::NotLeader(other)
    }

    fn status(&self) -> Reply {
        if let Some(node) = &*self.node.borrow() {
            let status = node.status();
            let leader = status.core.leader.map(|leader| leader.daemon);
            let (voter, seen) = (status.id, node.seen());
            return Reply::Status(Box::new(Status { voter, seen, leader }));
        }
        match self.unformed.borrow().clone() {
            Some(voter) => {
                let seen = formation::Seen::Empty(voter.clone());
                Reply::Status(Box::new(Status { voter, seen, leader: None }))
            }
            None => Reply::NotLeader(None),
        }
    }

    fn voters(&self) -> Vec<DaemonId> {
        let membership = self.node.borrow().as_ref().map(|node| node.status().core.membership);
        let voters = membership.map(|membership| membership.voters).unwrap_or_default();
        voters.into_iter().map(|id| id.daemon).collect()
    }

    async fn put_routes(&self, command: routes::state::Command) -> Reply {
        let Some(node) = self.node.borrow().clone() else { return Reply::Put(Put::NotDone) };
        let now_ms = self.parts.clock.now_ms();
        let entry = commands::Entry { now_ms, command: commands::Command::Routes(command) };
        let outcome = match node.propose(entry.encode()).await {
            Ok(bytes) => commands::Outcome::decode(&bytes),
            Err(report) => {
                log::warn!("a document was not stored: {report}");
                return match report.current_context() {
                    node::Error::NotLeader(hint) => Reply::NotLeader(hint.clone()),
                    node::Error::Unknown => Reply::Put(Put::Unknown),
                    node::Error::Unavailable(_) | node::Error::Start(_) => Reply::Put(Put::NotDone),
                };
            }
        };
        self.publish_document();
        match outcome {
            Ok(commands::Outcome::Routes(outcome)) => Reply::Put(Put::Acknowledged(outcome)),
            Ok(other) => {
                log::error!("a document led to {other:?}");
                Reply::Put(Put::Unknown)
            }
            Err(error) => {
                log::error!("the outcome of a document cannot be read: {error}");
                Reply::Put(Put::Unknown)
            }
        }
    }

    /// Reads the document in force. What took so long that a later leader may have changed it is
    /// not answered.
    async fn get_routes(&self) -> Reply {
        let Some(node) = self.node.borrow().clone() else { return Reply::NotLeader(None) };
        let begin_ms = self.parts.clock.now_ms();
        if let Err(report) = node.read_barrier().await {
            log::info!("a reading is not answered: {report}");
            return Reply::NotLeader(None);
        }
        let machine = Rc::clone(&self.machine.borrow());
        let text = machine.borrow().state().routes.text().clone();
        match self.parts.clock.now_ms() < begin_ms + READ_LIMIT_MS {
            true => Reply::Routes(text),
            false => Reply::NotLeader(None),
        }
    }

    /// Takes a voter into the group, in the background.
    fn join(self: &Rc<Self>, joining: &VoterId) -> Joined {
        let Some(node) = self.node.borrow().clone() else { return Joined::Full };
        if self.is_changing.get() {
            return Joined::Started;
        }
        let membership = node.status().core.membership;
        // Nobody has answered a leader that has just begun.
        let led_ms = self.parts.clock.now_ms().saturating_sub(self.led_since_ms.get());
        let silent_ms = |id: &VoterId| node.silent_ms(id).map(|silent_ms| silent_ms.min(led_ms));
        let step = members::decide(&membership, joining, self.parts.places, silent_ms);
        let (voter, joining) = (Rc::clone(self), joining.clone());
        match step {
            members::Step::Member => return Joined::Member,
            members::Step::Full => return Joined::Full,
            members::Step::Add | members::Step::Replace(_) => {}
        }
        self.is_changing.set(true);
        tokio::task::spawn_local(async move {
            let changed = match &step {
                members::Step::Replace(old) => node.replace(old.clone(), joining.clone()).await,
                members::Step::Add | members::Step::Member | members::Step::Full => {
                    node.add(joining.clone()).await
                }
            };
            voter.is_changing.set(false);
            match changed {
                Ok(()) => log::info!("voter {joining} was taken in: {step:?}"),
                Err(report) => log::warn!("voter {joining} was not taken in: {report}"),
            }
        });
        Joined::Started
    }

    /// Hands leadership on, if this voter has it, so that a planned stop leaves no gap.
    pub(super) async fn retire(&self) {
        let Some(node) = self.node.borrow().clone() else { return };
        let status = node.status();
        let is_leader = self.leader.borrow().is_some();
        let others = status.core.membership.voters.iter().filter(|id| **id != status.id);
        let next = others.min_by_key(|id| node.silent_ms(id).unwrap_or(u64::MAX)).cloned();
        if let Some(next) = next.filter(|_| is_leader) {
            log::info!("handing leadership to {next}");
            match node.transfer(next) {
                Ok(()) => tokio::time::sleep(TRANSFER_PAUSE).await,
                Err(report) => log::warn!("leadership was not handed on: {report}"),
            }
        }
        self.stop_leading();
        node.stop().await;
    }
}

impl peer::Handler for Answers {
    fn consensus(&self, from: &DaemonId, group: GroupId, message: &[u8]) {
        let node = self.voter.node.borrow().clone();
        if let Some(node) = node.filter(|_| group == GROUP) {
            node.receive(from, message);
        }
    }

    async fn ask(
        &self,
        from: peer::PeerId,
        request: Vec<u8>,
    ) -> std::result::Result<Vec<u8>, String> {
        let request = super::message::decode(&request).map_err(|error| error.to_string())?;
        let reply = self.voter.answer(&from.daemon, request).await;
        Ok(super::message::encode(&reply))
    }
}

/// Answers other daemons.
pub(super) struct Answers {
    pub voter: Rc<Voter>,
}
