//! The leader of one term: tracks targets, sends orders to engines and updates followers.

mod leases;
mod orders;
mod permits;
mod quota;
mod routers;
mod software;
mod speeds;
mod suspects;
mod targets;
mod updates;

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

pub use self::orders::OrderRoute;
pub use self::software::SoftwareRecord;
use self::software::SoftwareState;
pub use self::targets::AckCondition;
use self::targets::Cause;
use super::EngineClient;
use super::loads::LoadAggregator;
use super::message;
use super::routers::RouterContact;
use super::speeds::SpeedBoard;
use crate::clock::BootClock;
use crate::control::departures::{self, Departure};
use crate::ids::{DaemonId, Incarnation, ServiceName, TargetId, Term};
use crate::membership::directory::TargetDirectory;
use crate::membership::feed::{FeedCursor, TableFeed};
use crate::membership::table::TargetEntry;
use crate::membership::targets::{SilenceTimeouts, TargetEvent, TargetRegistry, TargetReport};
use crate::placement::swap;
use crate::placement::swap::order_slots::ClosedSlots;
use crate::poison::registry::Registry;
use crate::quota::Bounds;
use crate::quota::ledger::Ledger;
use crate::rate_limit::schedule::PermitSchedule;
use crate::routes;
use crate::slot_lease::ledger::SlotLedger;
use crate::traffic::clock::Clock as WallClock;

/// Interval between two checks for silent targets and routers.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an engine that accepts no new work is logged.
const BLOCKED_LOG_MS: u64 = 10_000;
/// Time without a poll after which a router is no longer counted.
const ROUTER_TIMEOUT_MS: u64 = 4_000;

/// Looks up the recorded departure of one incarnation of a target.
pub type DepartureLookup = Rc<dyn Fn(&TargetId, Incarnation) -> Option<Departure>>;

/// The dependencies and settings of a leader.
pub struct LeaderContext {
    /// The daemon that leads.
    pub own_id: DaemonId,
    /// Its clock.
    pub clock: BootClock,
    /// Unix time, from which incarnations of targets are numbered.
    pub wall_clock: WallClock,
    /// The transport to model engines.
    pub engines: Rc<dyn EngineClient>,
    /// Timeouts after which a silent target is suspected and declared gone.
    pub silence_timeouts: SilenceTimeouts,
    /// Limits and times of placement.
    pub placement: swap::Settings,
    /// Whether the lease is valid now.
    pub is_leased: Rc<dyn Fn() -> bool>,
    /// Looks up recorded departures of targets.
    pub find_departure: DepartureLookup,
    /// Records the departure of a target in the background.
    pub record_departure: Rc<dyn Fn(departures::Command)>,
    /// The software versions on record.
    pub software: Rc<dyn SoftwareRecord>,
}

/// The leader of one term.
pub struct Leader {
    term: Term,
    context: LeaderContext,
    registry: RefCell<TargetRegistry>,
    directory: RefCell<TargetDirectory>,
    feed: RefCell<TableFeed>,
    /// Placement by service, sorted.
    planners: RefCell<Vec<(ServiceName, swap::Planner)>>,
    loads: RefCell<LoadAggregator>,
    /// Permits for limited targets, and the number of changes of limits.
    permits: RefCell<PermitSchedule>,
    rate_limits_cursor: Cell<FeedCursor>,
    /// Slots of brittle targets, and the number of changes of which are.
    slots: RefCell<SlotLedger>,
    brittle_cursor: Cell<FeedCursor>,
    /// What may crash targets, and the number of changes of it.
    suspects: RefCell<Registry>,
    suspects_cursor: Cell<FeedCursor>,
    software: RefCell<SoftwareState>,
    /// Speeds of targets.
    speeds: RefCell<SpeedBoard>,
    /// The routers that poll, sorted.
    routers: RefCell<Vec<RouterContact>>,
    /// The document in force, encoded for routers.
    document: RefCell<Option<(routes::Version, bytes::Bytes)>>,
    update_count: watch::Sender<u64>,
    /// When followers were last notified, and whether a notification is scheduled.
    last_notified_ms: Cell<u64>,
    is_notify_pending: Cell<bool>,
    wake: Notify,
    own: Weak<Leader>,
    leading_since_ms: u64,
    is_stopped: Cell<bool>,
    /// Whether orders may be sent: no other daemon sends any.
    is_order_allowed: Cell<bool>,
    /// When the last order was sent.
    last_order_ms: Cell<Option<u64>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    /// Credit of the quotas of workspaces.
    quotas: RefCell<Ledger>,
    /// Sends orders in place of this daemon, if delegates do.
    order_route: RefCell<Option<Rc<dyn OrderRoute>>>,
    closed_slots: Cell<ClosedSlots>,
}

impl Leader {
    /// Starts to lead in `term` with the route table of this daemon, which may be older than the
    /// recorded departures.
    pub fn start(term: Term, context: LeaderContext, entries: &[TargetEntry]) -> Rc<Self> {
        let now_ms = context.clock.now_ms();
        let directory = TargetDirectory::from_entries(now_ms, entries, &*context.find_departure);
        let entries = directory.entries();
        let leader = Rc::new_cyclic(|own| Self {
            term,
            own: Weak::clone(own),
            leading_since_ms: now_ms,
            registry: RefCell::new(TargetRegistry::new(context.silence_timeouts)),
            directory: RefCell::new(directory),
            feed: RefCell::new(TableFeed::new(term, entries)),
            planners: RefCell::default(),
            loads: RefCell::new(LoadAggregator::new(term)),
            permits: RefCell::new(PermitSchedule::new(now_ms)),
            rate_limits_cursor: Cell::new(FeedCursor { term, ..FeedCursor::default() }),
            slots: RefCell::new(SlotLedger::new(now_ms)),
            brittle_cursor: Cell::new(FeedCursor { term, ..FeedCursor::default() }),
            suspects: RefCell::default(),
            suspects_cursor: Cell::new(FeedCursor { term, ..FeedCursor::default() }),
            software: RefCell::new(SoftwareState::new(FeedCursor {
                term,
                ..FeedCursor::default()
            })),
            speeds: RefCell::new(SpeedBoard::new(term)),
            routers: RefCell::default(),
            document: RefCell::default(),
            update_count: watch::Sender::new(0),
            last_notified_ms: Cell::new(0),
            is_notify_pending: Cell::new(false),
            wake: Notify::new(),
            is_stopped: Cell::new(false),
            is_order_allowed: Cell::new(false),
            last_order_ms: Cell::new(None),
            tasks: RefCell::default(),
            quotas: RefCell::new(Ledger::new(now_ms, Bounds::default())),
            order_route: RefCell::default(),
            closed_slots: Cell::default(),
            context,
        });
        leader.handle_software_change();
        let checking = tokio::task::spawn_local(check_silence(Rc::clone(&leader)));
        let planning = tokio::task::spawn_local(run_planners(Rc::clone(&leader)));
        leader.tasks.borrow_mut().extend([checking, planning]);
        let targets = leader.feed.borrow().table().entries().len();
        log::info!(
            term = term.0, known_targets = targets;
            "leading in term {term}, from {targets} known targets"
        );
        leader
    }

    /// Stops all tasks. Orders in transit are rejected by their fencing numbers.
    pub fn stop(&self) {
        self.is_stopped.set(true);
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        self.notify_followers();
        log::info!("no longer leading in term {}", self.term);
    }

    /// Allows orders to engines, once no other daemon sends any.
    pub fn allow_orders(&self) {
        if self.is_stopped.get() {
            return;
        }
        log::info!("term {} gives orders from now on", self.term);
        self.is_order_allowed.set(true);
        self.broadcast_event(&swap::Event::OrdersAllowed);
    }

    /// Has all orders sent over `route` from now on.
    pub fn route_orders(&self, route: Rc<dyn OrderRoute>) {
        self.order_route.replace(Some(route));
    }

    /// Tells the planners for which slots no daemon may send orders now.
    pub fn close_slots(&self, closed: ClosedSlots) {
        if !self.is_stopped.get() && self.closed_slots.replace(closed) != closed {
            self.broadcast_event(&swap::Event::OrdersClosed(closed));
        }
    }

    /// Whether nine of ten known targets have announced themselves to this leader. Before that, its planners know
    /// too few engines to choose well.
    pub fn has_heard_most(&self) -> bool {
        let known = self.feed.borrow().table().entries().len();
        self.registry.borrow().len() * 10 >= known * 9
    }

    /// The term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// When the last order was sent, by the leader's clock.
    pub fn last_order_ms(&self) -> Option<u64> {
        self.last_order_ms.get()
    }

    /// Whether the leader has stopped.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.get()
    }

    /// Puts a document in force.
    pub fn apply_document(
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
        self.apply_services(&document);
        self.apply_quotas(&document);
        let told = message::encode(&document.without_models());
        let (bytes, told_bytes) = (text.len(), told.len());
        log::info!(
            document = version.0, term = self.term.0, bytes = bytes, told_bytes = told_bytes;
            "document {version} is in force: {bytes} bytes, {told_bytes} for routers"
        );
        self.document.replace(Some((version, told.into())));
        self.notify_followers();
    }

    /// The version of the document in force, if there is one.
    fn version(&self) -> Option<routes::Version> {
        self.document.borrow().as_ref().map(|(version, _)| *version)
    }

    fn apply_services(&self, document: &routes::Document) {
        let now_ms = self.context.clock.now_ms();
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
            // Engines that announced themselves before the document was stored are passed to the
            // planners below.
            actions.extend(
                planners[at].1.handle_event(now_ms, swap::Event::EngineSpec(engine.clone())),
            );
        }
        drop(planners);
        self.execute_actions(actions);
        for report in self.registry.borrow().current_reports() {
            if let TargetReport::State(state, _) = report {
                self.send_to_planner(&state.clone(), swap::Event::Announced(state));
            }
        }
    }

    fn new_planner(&self, now_ms: u64) -> swap::Planner {
        let mut planner = swap::Planner::new(self.term, self.context.placement, now_ms);
        // It knows no engines yet, so it returns no actions.
        let _ = planner.handle_event(now_ms, self.rate_limits_event());
        let _ = planner.handle_event(now_ms, swap::Event::OrdersClosed(self.closed_slots.get()));
        if self.is_order_allowed.get() {
            let _ = planner.handle_event(now_ms, swap::Event::OrdersAllowed);
        }
        planner
    }
}

/// Checks for silent targets and routers until it is aborted.
async fn check_silence(leader: Rc<Leader>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        leader.handle_event(TargetEvent::Tick, Cause::Silence);
        let now_ms = leader.context.clock.now_ms();
        let effects = leader.directory.borrow_mut().tick(now_ms);
        leader.apply_effects(effects, Cause::Silence);
        leader.loads.borrow_mut().remove_silent_routers(now_ms);
        leader.remove_absent_software(now_ms);
        leader.report_placement();
        leader.speeds.borrow_mut().forget_unmeasured(now_ms);
        for (_, planner) in leader.planners.borrow_mut().iter_mut() {
            for (target, what) in planner.take_blocked_engines(BLOCKED_LOG_MS) {
                log::warn!("engine {target} takes no new work: {what}");
            }
        }
        let is_active = |heard_ms: u64| now_ms.saturating_sub(heard_ms) < ROUTER_TIMEOUT_MS;
        leader.routers.borrow_mut().retain(|contact| is_active(contact.heard_ms));
        leader.finish_preparations(now_ms);
    }
}

/// Sends a tick to the planners when one of their timers is due, until it is aborted.
async fn run_planners(leader: Rc<Leader>) {
    loop {
        let now_ms = leader.context.clock.now_ms();
        let wakes = leader.planners.borrow().iter().map(|(_, planner)| planner.wake_ms()).min();
        let wait_ms = wakes.unwrap_or(u64::MAX).saturating_sub(now_ms).clamp(1, 1_000);
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {
                leader.broadcast_event(&swap::Event::Tick);
            }
            () = leader.wake.notified() => {}
        }
    }
}
