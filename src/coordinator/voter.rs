//! A voter: opens its log, forms or joins its group, and runs the leader while it has leadership.

mod answers;
mod delegates;
mod documents;
mod leading;
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
use super::delegates::sender::Sender;
use super::leader::Leader;
use super::members;
use super::message::{Reply, Request};
use super::{EngineClient, Error, Result, follow};
use crate::clock::BootClock;
use crate::consensus::entry::VoterId;
use crate::consensus::timing::Timing;
use crate::consensus::{formation, node};
use crate::control::{self, commands};
use crate::ids::{DaemonId, GroupId, Incarnation};
use crate::membership::table::TargetEntry;
use crate::membership::targets;
use crate::origins::message::BegunStreams;
use crate::origins::store::OriginStore;
use crate::placement::swap;
use crate::quota::Bounds;
use crate::routes;
use crate::traffic::clock::Clock as WallClock;

pub(super) use answers::PeerHandler;

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
    /// The targets that were known before this daemon started, if it keeps them.
    pub cached_targets: Option<Vec<TargetEntry>>,
    /// How closely quotas are kept.
    pub quotas: Bounds,
    /// Whether voters send orders as delegates of the leader.
    pub delegate_orders: bool,
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
    /// This daemon as a delegate.
    sender: RefCell<Sender>,
    /// The senders of orders, while this daemon leads and delegates send them.
    delegated: RefCell<Option<Rc<delegates::DelegatedOrders>>>,
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
            sender: RefCell::new(Sender::new(rand::random())),
            delegated: RefCell::default(),
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

    fn lease_left_ms(&self) -> Option<u64> {
        Some(self.node.borrow().as_ref()?.status().lease_left_ms)
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
            self.drain_orders().await;
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
