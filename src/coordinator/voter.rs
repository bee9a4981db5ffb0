//! A voter: opens its log, forms or joins its group, and runs the leader while it has leadership.

mod membership;
mod orders;
mod origins;

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use error_stack::ResultExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use super::client::VoterClient;
use super::leader::{self, Leader};
use super::members;
use super::message::{PutRoutesOutcome, Reply, Request, Status};
use super::{EngineClient, Error, Result, follow};
use crate::clock::BootClock;
use crate::consensus::entry::VoterId;
use crate::consensus::timing::Timing;
use crate::consensus::{formation, node};
use crate::control::{self, commands};
use crate::ids::{DaemonId, GroupId, Incarnation};
use crate::membership::targets;
use crate::origins::message::BegunStreams;
use crate::origins::store::OriginStore;
use crate::peer;
use crate::placement::swap;
use crate::routes;
use crate::traffic::clock::Clock as WallClock;

/// Interval between two rounds of querying the founders for a group.
const FORM_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a status request to a founder.
const STATUS_TIMEOUT_MS: u64 = 400;
/// Pause before a log is reopened after a write failure.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);
/// Log entries between two snapshots, the most that a restart replays. Each may hold a document.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 48;
/// Consensus timeouts. They are shorter than in a group that only stores records, because requests
/// for models that no engine holds wait until a lost leader is replaced.
const TIMING: Timing =
    Timing { heartbeat_ms: 350, election_ms: 1_200, election_jitter_ms: 300, lease_ms: 1_050 };
/// Timeout of a read. During a longer one the VM may have been paused and the value replaced.
const READ_TIMEOUT_MS: u64 = 700;

/// Time for the new leader to win its election after a leadership transfer.
const TRANSFER_PAUSE: Duration = Duration::from_millis(400);

/// The only consensus group, which stores the route document and elects the leader.
pub(super) const GROUP: GroupId = GroupId(1);

/// The configuration and dependencies of a voter.
pub(super) struct VoterConfig {
    pub own_id: DaemonId,
    pub cluster: String,
    pub folder: PathBuf,
    /// The voters that may form a group. `None` if no group may be formed.
    pub founders: Option<Vec<DaemonId>>,
    /// Maximum number of voters in the group.
    pub max_voters: usize,
    pub clock: BootClock,
    pub decode: routes::Decode,
    pub engines: Rc<dyn EngineClient>,
    pub silence_timeouts: targets::SilenceTimeouts,
    pub placement: swap::Settings,
    /// Time after another daemon's last order before this one may send any.
    pub takeover_ms: u64,
    /// Whether engines check fencing numbers.
    pub checks_fencing: bool,
}

/// A voter. Its log may be open or closed.
pub(super) struct Voter {
    config: VoterConfig,
    client: Rc<VoterClient>,
    following: Rc<follow::FollowerState>,
    node: RefCell<Option<node::Handle>>,
    machine: RefCell<Rc<RefCell<control::Machine>>>,
    leader: RefCell<Option<Rc<Leader>>>,
    led_since_ms: Cell<u64>,
    /// When this daemon sent its last order since its start.
    last_order_ms: Cell<Option<u64>>,
    unformed: RefCell<Option<VoterId>>,
    is_membership_changing: Cell<bool>,
    membership_requests: RefCell<members::Requests>,
    /// Streams that began, and those that are not passed on to the other voters yet.
    origins: RefCell<OriginStore>,
    copies: RefCell<Vec<BegunStreams>>,
    /// The losses of voters that the group bore when this voter last told so as the leader.
    tolerated_losses: Cell<Option<usize>>,
}

/// Sends consensus messages to other voters.
struct Transport {
    client: Rc<VoterClient>,
}

impl node::Transport for Transport {
    fn send(&self, to: &DaemonId, message: Vec<u8>) {
        self.client.add_voter(to);
        self.client.pool().send_consensus(to, GROUP, message);
    }
}

impl Voter {
    pub(super) fn new(
        config: VoterConfig,
        client: Rc<VoterClient>,
        following: Rc<follow::FollowerState>,
    ) -> Rc<Self> {
        Rc::new(Self {
            config,
            client,
            following,
            node: RefCell::default(),
            machine: RefCell::default(),
            leader: RefCell::default(),
            led_since_ms: Cell::new(0),
            last_order_ms: Cell::new(None),
            unformed: RefCell::default(),
            is_membership_changing: Cell::new(false),
            membership_requests: RefCell::default(),
            origins: RefCell::default(),
            copies: RefCell::default(),
            tolerated_losses: Cell::new(None),
        })
    }

    /// Runs the voter. After a write failure the log is closed and reopened.
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
            &self.config.cluster,
            GROUP,
            self.config.own_id.clone(),
            self.config.folder.clone(),
        );
        let born_ms = WallClock::system().now_ms();
        let settings = settings
            .new_incarnation(Incarnation(born_ms))
            .snapshot_every(SNAPSHOT_INTERVAL_ENTRIES);
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
            failed = self.follow_leadership(&node) => failed,
            () = self.maintain_membership(&own) => Ok(()),
        }
    }

    /// Queries the founders until it is known whether to form a group. `None` if there is one
    /// already that this voter has to join.
    async fn find_group(&self, own: &VoterId) -> Option<Vec<VoterId>> {
        let founders = self.config.founders.as_ref()?;
        if !founders.contains(&own.daemon) {
            return None;
        }
        loop {
            let mut seen = Vec::new();
            for founder in founders.iter().filter(|founder| **founder != own.daemon) {
                let asked = self.client.ask(founder, Request::Status, STATUS_TIMEOUT_MS).await;
                if let Ok(Reply::Status(status)) = asked {
                    seen.push(status.seen);
                }
            }
            match formation::decide(own, founders, &seen) {
                formation::FormationStep::Form(group) => return Some(group),
                formation::FormationStep::Join => return None,
                formation::FormationStep::Wait => tokio::time::sleep(FORM_INTERVAL).await,
            }
        }
    }

    /// Starts the leader when this voter gains leadership and stops it when leadership is lost.
    async fn follow_leadership(self: &Rc<Self>, node: &node::Handle) -> Result<()> {
        let mut leadership = node.subscribe();
        loop {
            let now = leadership.borrow_and_update().clone();
            self.stop_leading();
            self.client.set_leader(now.leader.as_ref().map(|leader| leader.daemon.clone()));
            if now.is_leader {
                // Entries of earlier terms are applied only after an entry of this term is committed.
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
        let context = leader::LeaderContext {
            own_id: self.config.own_id.clone(),
            clock: self.config.clock,
            wall_clock: WallClock::system(),
            engines: Rc::clone(&self.config.engines),
            silence_timeouts: self.config.silence_timeouts,
            placement: self.config.placement,
            is_leased: Rc::new(move || {
                voter.upgrade().and_then(|voter| voter.lease_left_ms()).is_some_and(|ms| ms > 0)
            }),
            record_departure: {
                let voter = Rc::downgrade(self);
                Rc::new(move |command| {
                    let Some(voter) = voter.upgrade() else { return };
                    tokio::task::spawn_local(async move {
                        voter.record(commands::Command::Departures(command)).await;
                    });
                })
            },
            find_departure: Rc::new(move |target, life| {
                machine.borrow().state().departures.find(target, life)
            }),
            software: Rc::new(origins::LoggedSoftware { voter: Rc::downgrade(self) }),
        };
        let leader = Leader::start(now.term, context, &entries);
        leader.inherit_rate_limits(&self.following.rate_limits.borrow());
        leader.inherit_brittle(&self.following.brittle.borrow());
        leader.inherit_suspects(&self.following.suspects.borrow());
        self.led_since_ms.set(self.config.clock.now_ms());
        self.membership_requests.borrow_mut().clear();
        self.tolerated_losses.set(None);
        self.leader.replace(Some(Rc::clone(&leader)));
        self.publish_document();
        tokio::task::spawn_local(Rc::clone(self).allow_orders(leader));
    }

    /// Records a command without an outcome. Returns whether it was certainly recorded.
    async fn record(&self, command: commands::Command) -> bool {
        let Some(node) = self.node.borrow().clone() else { return false };
        let entry = commands::Entry { now_ms: self.config.clock.now_ms(), command };
        match node.propose(entry.encode()).await {
            Ok(_) => true,
            Err(report) => {
                log::warn!("not recorded: {:?}: {report}", entry.command);
                false
            }
        }
    }

    /// Acknowledges an announcement or departure of a target, after recording it if required.
    async fn acknowledge(&self, when: leader::AckCondition) -> Reply {
        let is_recorded = match when {
            leader::AckCondition::Immediate => true,
            leader::AckCondition::AfterRecord(command) => {
                self.record(commands::Command::Departures(command)).await
            }
        };
        if is_recorded { Reply::Done } else { Reply::NotLeader(None) }
    }

    fn stop_leading(&self) {
        if let Some(leader) = self.leader.take() {
            leader.stop();
            self.last_order_ms.set(leader.last_order_ms().or(self.last_order_ms.get()));
        }
    }

    fn lease_left_ms(&self) -> Option<u64> {
        Some(self.node.borrow().as_ref()?.status().lease_left_ms)
    }

    /// Passes the route document in the log to the leader.
    fn publish_document(&self) {
        let Some(leader) = self.leader.borrow().clone() else { return };
        let machine = Rc::clone(&self.machine.borrow());
        let (version, text) = {
            let machine = machine.borrow();
            let routes = &machine.state().routes;
            (routes.version(), routes.text().clone())
        };
        leader.apply_document(version, text, self.config.decode);
    }

    /// Handles a request of `from`, which may be this daemon.
    pub(super) async fn answer(self: &Rc<Self>, from: &DaemonId, request: Request) -> Reply {
        let leader = self.leader.borrow().clone().filter(|leader| !leader.is_stopped());
        let Some(leader) = leader else {
            return match request {
                Request::Status => self.status(),
                Request::LastOrder(term) => Reply::LastOrder(self.last_order(term)),
                Request::CopyStreams(begun) => self.answer_copy(&begun),
                Request::RecallStreams(streams) => self.answer_recall(&streams),
                _ => self.not_leader(),
            };
        };
        match request {
            Request::Status => self.status(),
            Request::LastOrder(term) => Reply::LastOrder(self.last_order(term)),
            Request::Join(voter) => {
                self.client.add_voter(&voter.daemon);
                Reply::Joined(self.join(&voter))
            }
            Request::Retire(voter) => {
                self.retire(&voter).await;
                Reply::Done
            }
            // A leader without a lease may have been replaced, and its successor would not learn of
            // what it acknowledges.
            Request::Announce(_) | Request::Leave(..) if self.lease_left_ms() == Some(0) => {
                Reply::NotLeader(None)
            }
            Request::Announce(state) => self.acknowledge(leader.handle_announcement(*state)).await,
            Request::Leave(target, incarnation) => {
                self.acknowledge(leader.handle_departure(&target, incarnation)).await
            }
            Request::PutRoutes(command) => self.put_routes(command).await,
            Request::GetRoutes => self.get_routes().await,
            Request::Usage(usage) => {
                leader.record_usage(from, *usage);
                Reply::Done
            }
            Request::LeaseSlots(request) => match leader.answer_leases(from, &request) {
                Some(grants) => Reply::LeasedSlots(grants),
                None => Reply::NotLeader(None),
            },
            Request::Permits(asks) => match leader.answer_permits(from, &asks) {
                Some(grants) => Reply::Permits(grants),
                None => Reply::NotLeader(None),
            },
            Request::Poison(report) => match leader.answer_poison(from, &report) {
                Some(permission) => Reply::Poison(permission),
                None => Reply::NotLeader(None),
            },
            Request::RecordStreams(report) => {
                self.record_streams(report.begun);
                leader.note_streams_told(from, report.streams_told);
                Reply::Done
            }
            Request::CopyStreams(begun) => self.answer_copy(&begun),
            Request::RecallStreams(streams) => self.answer_recall(&streams),
            Request::FindHelpers(query) => Reply::Helpers(leader.find_helpers(from, &query)),
            Request::FindStreams(queries) => self.find_streams(&queries).await,
            Request::Watch(watch) => match leader.answer_watch(from, *watch, self.voters()).await {
                Some(news) => Reply::Watch(Box::new(news)),
                None => Reply::NotLeader(None),
            },
        }
    }

    fn not_leader(&self) -> Reply {
        let known = self.node.borrow().as_ref().and_then(|node| node.status().core.leader);
        let other =
            known.map(|leader| leader.daemon).filter(|leader| *leader != self.config.own_id);
        Reply::NotLeader(other)
    }

    fn status(&self) -> Reply {
        if let Some(node) = &*self.node.borrow() {
            let status = node.status();
            let leader = status.core.leader.map(|leader| leader.daemon);
            let (voter, seen) = (status.id, node.folder_state());
            return Reply::Status(Box::new(Status { voter, seen, leader }));
        }
        match self.unformed.borrow().clone() {
            Some(voter) => {
                let seen = formation::FolderState::Empty(voter.clone());
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
        let Some(node) = self.node.borrow().clone() else {
            return Reply::PutRoutes(PutRoutesOutcome::NotDone);
        };
        let now_ms = self.config.clock.now_ms();
        let entry = commands::Entry { now_ms, command: commands::Command::Routes(command) };
        let outcome = match node.propose(entry.encode()).await {
            Ok(bytes) => commands::Outcome::decode(&bytes),
            Err(report) => {
                log::warn!("a document was not stored: {report}");
                return match report.current_context() {
                    node::Error::NotLeader(hint) => Reply::NotLeader(hint.clone()),
                    node::Error::Unknown => Reply::PutRoutes(PutRoutesOutcome::Unknown),
                    node::Error::Unavailable(_) | node::Error::Start(_) => {
                        Reply::PutRoutes(PutRoutesOutcome::NotDone)
                    }
                };
            }
        };
        self.publish_document();
        match outcome {
            Ok(commands::Outcome::Routes(outcome)) => {
                Reply::PutRoutes(PutRoutesOutcome::Acknowledged(outcome))
            }
            Ok(other) => {
                log::error!("unexpected outcome of storing a document: {other:?}");
                Reply::PutRoutes(PutRoutesOutcome::Unknown)
            }
            Err(error) => {
                log::error!("the outcome of a document cannot be read: {error}");
                Reply::PutRoutes(PutRoutesOutcome::Unknown)
            }
        }
    }

    /// Reads the document in force. A read that takes so long that a later leader may have replaced
    /// the document is not answered.
    async fn get_routes(&self) -> Reply {
        let Some(node) = self.node.borrow().clone() else { return Reply::NotLeader(None) };
        let begin_ms = self.config.clock.now_ms();
        if let Err(report) = node.read_barrier().await {
            log::info!("a reading is not answered: {report}");
            return Reply::NotLeader(None);
        }
        let machine = Rc::clone(&self.machine.borrow());
        let text = machine.borrow().state().routes.text().clone();
        match self.config.clock.now_ms() < begin_ms + READ_TIMEOUT_MS {
            true => Reply::Routes(text),
            false => Reply::NotLeader(None),
        }
    }

    /// Stops the voter. A leader transfers its leadership first, so that a planned shutdown leaves
    /// no time without a leader. Its place goes to a voter that waits for one.
    pub(super) async fn shut_down(&self) {
        let Some(node) = self.node.borrow().clone() else { return };
        let status = node.status();
        let is_leader = self.leader.borrow().is_some();
        let others = status.core.membership.voters.iter().filter(|id| **id != status.id);
        let next = others.min_by_key(|id| node.silent_ms(id).unwrap_or(u64::MAX)).cloned();
        if let Some(next) = next.filter(|_| is_leader) {
            log::info!("transferring leadership to {next}");
            match node.transfer(next) {
                Ok(()) => tokio::time::sleep(TRANSFER_PAUSE).await,
                Err(report) => log::warn!("leadership transfer failed: {report}"),
            }
        }
        self.stop_leading();
        self.hand_over_place(status.id).await;
        node.stop().await;
    }
}

impl peer::Handler for PeerHandler {
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

/// Handles messages and requests of other daemons.
pub(super) struct PeerHandler {
    pub voter: Rc<Voter>,
}
