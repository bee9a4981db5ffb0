//! What the leader of one term knows and does: targets, orders, and news for followers.

mod news;
mod orders;
mod targets;

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

pub use self::targets::Acknowledge;
use self::targets::Cause;
use super::Engines;
use super::loads::Loads;
use super::message;
use crate::clock::BootClock;
use crate::control::departures::{self, Departure};
use crate::ids::{DaemonId, Incarnation, ServiceName, TargetId, Term};
use crate::membership::directory::TargetDirectory;
use crate::membership::feed::TableFeed;
use crate::membership::table::TargetEntry;
use crate::membership::targets::{SilenceTimeouts, TargetEvent, TargetRegistry, TargetReport};
use crate::placement::swap;
use crate::routes;
use crate::traffic::clock::Clock as WallClock;

/// Time between two looks at silent targets and routers.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Time after which it is logged that an engine takes no new work.
const HELD_MS: u64 = 10_000;
/// A router that did not ask for news for this long does not count.
const ROUTER_GONE_MS: u64 = 4_000;

/// Reads what is on record of a life of a target.
pub type ReadDeparture = Rc<dyn Fn(&TargetId, Incarnation) -> Option<Departure>>;

/// What a leader works with.
pub struct Parts {
    /// The daemon that leads.
    pub own: DaemonId,
    /// Its clock.
    pub clock: BootClock,
    /// Unix time, by which lives of targets are numbered.
    pub wall_clock: WallClock,
    /// The port to model engines.
    pub engines: Rc<dyn Engines>,
    /// When a silent target is doubted and given up.
    pub silence: SilenceTimeouts,
    /// Limits and times of placement.
    pub placement: swap::Settings,
    /// Whether the lease is valid now.
    pub is_leased: Rc<dyn Fn() -> bool>,
    /// What is on record of targets that leave.
    pub departure: ReadDeparture,
    /// Has it recorded that a target leaves, in the background.
    pub record: Rc<dyn Fn(departures::Command)>,
}

/// The leader of one term.
pub struct Leader {
    term: Term,
    parts: Parts,
    registry: RefCell<TargetRegistry>,
    directory: RefCell<TargetDirectory>,
    feed: RefCell<TableFeed>,
    /// Placement by service, sorted.
    planners: RefCell<Vec<(ServiceName, swap::Planner)>>,
    loads: RefCell<Loads>,
    /// Routers and when they last asked for news, sorted.
    routers: RefCell<Vec<(DaemonId, u64)>>,
    /// The document in force as routers are told it.
    document: RefCell<Option<(routes::Version, bytes::Bytes)>>,
    news: watch::Sender<u64>,
    /// When followers were last woken, and whether they are about to be.
    told_ms: Cell<u64>,
    is_telling: Cell<bool>,
    wake: Notify,
    own: Weak<Leader>,
    is_stopped: Cell<bool>,
    /// Whether no other daemon gives orders any more.
    is_order_allowed: Cell<bool>,
    /// When it gave its last order.
    ordered_ms: Cell<Option<u64>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Leader {
    /// Begins to lead in `term`, from the route table that this daemon has, which may be older than
    /// what is on record of the targets.
    pub fn start(term: Term, parts: Parts, entries: &[TargetEntry]) -> Rc<Self> {
        let now_ms = parts.clock.now_ms();
        let directory = TargetDirectory::from_entries(now_ms, entries, &*parts.departure);
        let entries = directory.entries();
        let leader = Rc::new_cyclic(|own| Self {
            term,
            own: Weak::clone(own),
            registry: RefCell::new(TargetRegistry::new(parts.silence)),
            directory: RefCell::new(directory),
            feed: RefCell::new(TableFeed::new(term, entries)),
            planners: RefCell::default(),
            loads: RefCell::new(Loads::new(term)),
            routers: RefCell::default(),
            document: RefCell::default(),
            news: watch::Sender::new(0),
            told_ms: Cell::new(0),
            is_telling: Cell::new(false),
            wake: Notify::new(),
            is_stopped: Cell::new(false),
            is_order_allowed: Cell::new(false),
            ordered_ms: Cell::new(None),
            tasks: RefCell::default(),
            parts,
        });
        let looking = tokio::task::spawn_local(look(Rc::clone(&leader)));
        let planning = tokio::task::spawn_local(plan(Rc::clone(&leader)));
        leader.tasks.borrow_mut().extend([looking, planning]);
        let targets = leader.feed.borrow().table().entries().len();
        log::info!("leading in term {term}, from {targets} known targets");
        leader
    }

    /// Ends its work. Orders that are on their way are fenced off.
    pub fn stop(&self) {
        self.is_stopped.set(true);
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        self.tell();
        log::info!("no longer leading in term {}", self.term);
    }

    /// Lets it give orders to engines: no other daemon does any more.
    pub fn allow_orders(&self) {
        if self.is_stopped.get() {
            return;
        }
        log::info!("term {} gives orders from now on", self.term);
        self.is_order_allowed.set(true);
        self.take_event(&swap::Event::OrdersAllowed);
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// When it gave its last order, by its clock.
    pub fn ordered_ms(&self) -> Option<u64> {
        self.ordered_ms.get()
    }

    /// Whether it has stopped.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.get()
    }

    /// Puts a document in force.
    pub fn take_document(
        &self,
        version: routes::Version,
        text: bytes::Bytes,
        decode: routes::Decode,
    ) {
        if text.is_empty() || Some(version) <= self.version() {
            return;
        }
        let document = match decode(&text) {
            Ok(document) => document,
            Err(report) => {
                return log::error!(
                    "document {version} stays as it was: it cannot be read: {report}"
                );
            }
        };
        self.take_services(&document);
        let told = message::encode(&document.without_models());
        let (bytes, told_bytes) = (text.len(), told.len());
        log::info!("document {version} is in force: {bytes} bytes, {told_bytes} for routers");
        self.document.replace(Some((version, told.into())));
        self.tell();
    }

    /// The version of the document in force, if there is one.
    fn version(&self) -> Option<routes::Version> {
        self.document.borrow().as_ref().map(|(version, _)| *version)
    }

    fn take_services(&self, document: &routes::Document) {
        let now_ms = self.parts.clock.now_ms();
        let mut actions = Vec::new();
        let mut planners = self.planners.borrow_mut();
        for service in &document.services {
            let Some(engine) = &service.engine else { continue };
            let at = match planners.binary_search_by(|(name, _)| name.cmp(&service.name)) {
                Ok(at) => at,
                Err(at) => {
                    planners.insert(at, (service.name.clone(), self.new_planner(now_ms)));
                    at
                }
            };
            // It acts on what follows: engines that announced themselves before the document came
            // are told when they announce themselves next.
            actions.extend(planners[at].1.on(now_ms, swap::Event::Engine(engine.clone())));
        }
        drop(planners);
        self.carry_out(actions);
        for report in self.registry.borrow().current_reports() {
            if let TargetReport::State(state, _) = report {
                self.plan_on(&state.clone(), swap::Event::State(state));
            }
        }
    }

    fn new_planner(&self, now_ms: u64) -> swap::Planner {
        let mut planner = swap::Planner::new(self.term, self.parts.placement, now_ms);
        if self.is_order_allowed.get() {
            // It knows no engines yet, so there is nothing to do.
            let _ = planner.on(now_ms, swap::Event::OrdersAllowed);
        }
        planner
    }
}

/// Looks at silent targets and routers until it is aborted.
async fn look(leader: Rc<Leader>) {
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        leader.watched(TargetEvent::Tick, Cause::Silence);
        let now_ms = leader.parts.clock.now_ms();
        let effects = leader.directory.borrow_mut().tick(now_ms);
        leader.apply(effects, Cause::Silence);
        leader.loads.borrow_mut().forget_silent(now_ms);
        for (_, planner) in leader.planners.borrow_mut().iter_mut() {
            for (target, what) in planner.take_held(HELD_MS) {
                log::warn!("engine {target} takes no new work: {what}");
            }
        }
        let is_there = |heard_ms: u64| now_ms.saturating_sub(heard_ms) < ROUTER_GONE_MS;
        leader.routers.borrow_mut().retain(|(_, heard_ms)| is_there(*heard_ms));
    }
}

/// Wakes the planners when something is due, until it is aborted.
async fn plan(leader: Rc<Leader>) {
    loop {
        let now_ms = leader.parts.clock.now_ms();
        let wakes = leader.planners.borrow().iter().map(|(_, planner)| planner.wake_ms()).min();
        let wait_ms = wakes.unwrap_or(u64::MAX).saturating_sub(now_ms).clamp(1, 1_000);
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {
                leader.take_event(&swap::Event::Tick);
            }
            () = leader.wake.notified() => {}
        }
    }
}
