//! The state that all requests of a daemon share: the routing engine and the interfaces to other
//! modules.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{Notify, oneshot};

use crate::ids::{Digest, RequestId, TargetId, Zone};
use crate::membership::table::{RouteTable, TargetEntry};
use crate::routing::demand::ModelDemand;
use crate::routing::engine::{self, Action, AttemptStart, EventContext, RoutingEngine, Ticket};
use crate::routing::refusal::Refusal;
use crate::target::Target;
use crate::traffic::clock::Clock;
use crate::traffic::idempotency::{self, IdempotencyRecords};
use crate::traffic::limits::CallerLimits;
use crate::traffic::poison::{self, PoisonRecords};
use crate::traffic::policy::{self, Placement, Policy};

/// Resolves a table entry to the client of its target.
pub type TargetResolver = Arc<dyn Fn(&TargetEntry) -> Arc<dyn Target> + Send + Sync>;

/// Longest time between two checks of the queue while requests wait.
const QUEUE_CHECK_INTERVAL_MS: u64 = 20;
/// Longest time until demand is reported.
const DEMAND_INTERVAL_MS: u64 = 1000;

struct EngineState {
    engine: RoutingEngine,
    rng: SmallRng,
    actions: Vec<Action>,
    waiters: Vec<Option<(u32, oneshot::Sender<Decision>)>>,
}

/// The engine's decision on a request.
#[derive(Debug)]
pub(super) enum Decision {
    /// Send an attempt.
    Start(AttemptStart),
    /// Refuse the request, which has ended.
    Refuse(Refusal),
}

/// The state of a request after an event.
#[derive(Debug)]
pub(super) enum Progress {
    /// The engine has decided.
    Decided(Decision),
    /// The request waits for a decision.
    Waiting(oneshot::Receiver<Decision>),
}

/// The state of the traffic of one daemon.
pub struct TrafficState {
    engine_state: Mutex<EngineState>,
    pub(super) table: Arc<ArcSwap<RouteTable>>,
    pub(super) targets: TargetResolver,
    pub(super) policy: Arc<dyn Policy>,
    pub(super) placement: Arc<dyn Placement>,
    pub(super) idempotency_records: Arc<dyn IdempotencyRecords>,
    pub(super) poison: Arc<dyn PoisonRecords>,
    pub(super) clock: Clock,
    pub(super) limits: CallerLimits,
    pub(super) extra_routes: axum::Router,
    pub(super) metrics_text: Arc<dyn Fn() -> String + Send + Sync>,
    pub(super) balancer_notice_ms: u64,
    request_prefix: String,
    next_request_number: AtomicU64,
    is_draining: AtomicBool,
    pub(super) wake: Notify,
    /// Notified when the leader should be asked for permits, or told of a rate limit.
    pub(super) permit_asks_due: Notify,
    pub(super) next_wake_ms: AtomicU64,
    pub(super) driver_passes: AtomicU64,
    active: AtomicUsize,
    idle: Notify,
}

/// Builds [`TrafficState`]; interfaces that are not set get a stand-in.
pub struct TrafficStateBuilder {
    shared: TrafficState,
    zone: Option<Zone>,
    settings: engine::EngineSettings,
    seed: Option<u64>,
}

impl TrafficState {
    /// Starts a builder from what every daemon needs.
    pub fn builder(
        table: Arc<ArcSwap<RouteTable>>,
        targets: TargetResolver,
        policy: Arc<dyn Policy>,
    ) -> TrafficStateBuilder {
        let engine_state = EngineState {
            engine: RoutingEngine::default(),
            rng: SmallRng::seed_from_u64(0),
            actions: Vec::new(),
            waiters: Vec::new(),
        };
        let shared = TrafficState {
            engine_state: Mutex::new(engine_state),
            table,
            targets,
            policy,
            placement: Arc::new(policy::FixedPlacement),
            idempotency_records: Arc::new(idempotency::UnavailableRecords),
            poison: Arc::new(poison::UnsharedRecords),
            clock: Clock::system(),
            limits: CallerLimits::default(),
            extra_routes: axum::Router::new(),
            metrics_text: Arc::new(String::new),
            balancer_notice_ms: 3000,
            request_prefix: format!("{:016x}", rand::random::<u64>()),
            next_request_number: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            wake: Notify::new(),
            permit_asks_due: Notify::new(),
            next_wake_ms: AtomicU64::new(0),
            driver_passes: AtomicU64::new(0),
            active: AtomicUsize::new(0),
            idle: Notify::new(),
        };
        TrafficStateBuilder {
            shared,
            zone: None,
            settings: engine::EngineSettings::default(),
            seed: None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.engine_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the state of the engine.
    pub fn inspect<T>(&self, read: impl FnOnce(&RoutingEngine) -> T) -> T {
        read(&self.lock().engine)
    }

    /// The current Unix time.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// How many passes the driver has made.
    pub fn driver_passes(&self) -> u64 {
        self.driver_passes.load(Ordering::Relaxed)
    }

    /// Whether the daemon is shutting down.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Makes the readiness check fail from now on.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Wakes the driver after the route table was replaced, so that waiting requests are served at
    /// once.
    pub fn notify_table_changed(&self) {
        self.wake.notify_one();
    }

    /// Returns an id that is unique among the requests of all daemons.
    pub(super) fn next_request_id(&self) -> RequestId {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{number:x}", self.request_prefix);
        text.parse().expect("hexadecimal digits make a request id")
    }

    /// Registers work that must be finished before the daemon may stop.
    pub(super) fn track_active_work(self: &Arc<Self>) -> ActiveWork {
        self.active.fetch_add(1, Ordering::Relaxed);
        ActiveWork { shared: self.clone() }
    }

    /// Waits until no registered work is left.
    pub(super) async fn wait_until_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.active.load(Ordering::Acquire) == 0 {
                return;
            }
            idle.await;
        }
    }

    /// Applies an event to the engine and carries out its decisions.
    pub(super) fn apply_event<T>(
        &self,
        event: impl FnOnce(&mut RoutingEngine, &mut EventContext<'_>) -> T,
    ) -> T {
        let (value, is_pending) = self.apply_event_without_wake(|engine, cx| {
            let value = event(engine, cx);
            (value, engine.has_waiting())
        });
        self.wake_within(if is_pending { QUEUE_CHECK_INTERVAL_MS } else { DEMAND_INTERVAL_MS });
        value
    }

    /// Applies an event to the engine and carries out its decisions, without waking the driver.
    pub(super) fn apply_event_without_wake<T>(
        &self,
        event: impl FnOnce(&mut RoutingEngine, &mut EventContext<'_>) -> T,
    ) -> T {
        let mut guard = self.lock();
        let engine_state = &mut *guard;
        let value = self.apply(engine_state, event);
        let notifications = engine_state.dispatch_actions(None).1;
        drop(guard);
        self.notify_observers(notifications);
        value
    }

    /// Applies an event of one request, and returns the state of that request.
    pub(super) fn apply_request_event(
        &self,
        event: impl FnOnce(&mut RoutingEngine, &mut EventContext<'_>) -> Ticket,
    ) -> (Ticket, Progress) {
        let mut guard = self.lock();
        let engine_state = &mut *guard;
        let ticket = self.apply(engine_state, event);
        let (own, notifications) = engine_state.dispatch_actions(Some(ticket));
        let next = match own {
            Some(decision) => Progress::Decided(decision),
            None => Progress::Waiting(engine_state.register_waiter(ticket)),
        };
        drop(guard);
        let is_waiting = matches!(next, Progress::Waiting(_));
        self.wake_within(if is_waiting { QUEUE_CHECK_INTERVAL_MS } else { DEMAND_INTERVAL_MS });
        self.notify_observers(notifications);
        (ticket, next)
    }

    fn apply<T>(
        &self,
        engine_state: &mut EngineState,
        event: impl FnOnce(&mut RoutingEngine, &mut EventContext<'_>) -> T,
    ) -> T {
        // The time is read under the lock, so that it never decreases for the engine.
        let now_ms = self.clock.now_ms();
        let EngineState { engine, rng, actions, .. } = engine_state;
        let mut cx = EventContext { now_ms, rng, out: actions };
        let table = self.table.load();
        if !Arc::ptr_eq(&table, engine.table()) {
            engine.set_table(&mut cx, Arc::clone(&table));
        }
        event(engine, &mut cx)
    }

    fn notify_observers(&self, notifications: Vec<Notification>) {
        for notification in notifications {
            match notification {
                Notification::Demand(demand) => self.placement.report_demand(demand),
                Notification::PermitsWanted => self.permit_asks_due.notify_one(),
                Notification::TargetDied(target, digests) => {
                    self.poison.record_target_death(&target, &digests);
                }
            }
        }
    }
}

/// A notification for another module, sent after the lock is released.
enum Notification {
    Demand(ModelDemand),
    PermitsWanted,
    TargetDied(TargetId, Vec<Digest>),
}

impl EngineState {
    /// Delivers decisions to the requests that wait for them, and returns the decision on `own`.
    fn dispatch_actions(&mut self, own: Option<Ticket>) -> (Option<Decision>, Vec<Notification>) {
        let mut decision = None;
        let mut notifications = Vec::new();
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::StartAttempt(start) if Some(start.ticket) == own => {
                    decision = Some(Decision::Start(start));
                }
                Action::Refuse { ticket, refusal } if Some(ticket) == own => {
                    decision = Some(Decision::Refuse(refusal));
                }
                Action::StartAttempt(start) => {
                    self.deliver_decision(start.ticket, Decision::Start(start));
                }
                Action::Refuse { ticket, refusal } => {
                    self.deliver_decision(ticket, Decision::Refuse(refusal));
                }
                Action::ReportDemand(demand) => notifications.push(Notification::Demand(demand)),
                Action::AskPermits => notifications.push(Notification::PermitsWanted),
                Action::TargetDied { target, digests } => {
                    notifications.push(Notification::TargetDied(target, digests));
                }
            }
        }
        self.actions = actions;
        (decision, notifications)
    }

    fn deliver_decision(&mut self, ticket: Ticket, decision: Decision) {
        let index = ticket.index as usize;
        let Some(waiter) = self.waiters.get_mut(index) else { return };
        let waiter = waiter.take_if(|(generation, _)| *generation == ticket.generation);
        if let Some((_, sender)) = waiter {
            // Sending fails if the caller has just disconnected; its guard then ends the request.
            let _ = sender.send(decision);
        }
    }

    fn register_waiter(&mut self, ticket: Ticket) -> oneshot::Receiver<Decision> {
        let index = ticket.index as usize;
        if self.waiters.len() <= index {
            self.waiters.resize_with(index + 1, || None);
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters[index] = Some((ticket.generation, sender));
        receiver
    }
}

/// Registered work that must be finished before the daemon may stop; ends on drop.
pub struct ActiveWork {
    shared: Arc<TrafficState>,
}

impl Drop for ActiveWork {
    fn drop(&mut self) {
        if self.shared.active.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.shared.idle.notify_waiters();
        }
    }
}

impl TrafficStateBuilder {
    /// Sets the availability zone of this daemon.
    pub fn zone(mut self, zone: Zone) -> Self {
        self.zone = Some(zone);
        self
    }

    /// Sets the settings of the engine.
    pub fn engine(mut self, settings: engine::EngineSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Sets the interface to placement.
    pub fn placement(mut self, placement: Arc<dyn Placement>) -> Self {
        self.shared.placement = placement;
        self
    }

    /// Sets the idempotency records.
    pub fn idempotency_records(mut self, records: Arc<dyn IdempotencyRecords>) -> Self {
        self.shared.idempotency_records = records;
        self
    }

    /// Sets the records of poison requests.
    pub fn poison(mut self, poison: Arc<dyn PoisonRecords>) -> Self {
        self.shared.poison = poison;
        self
    }

    /// Sets the limits on callers.
    pub fn limits(mut self, limits: CallerLimits) -> Self {
        self.shared.limits = limits;
        self
    }

    /// Sets further routes, such as those of jobs.
    pub fn extra_routes(mut self, routes: axum::Router) -> Self {
        self.shared.extra_routes = routes;
        self
    }

    /// Sets the function that renders the response of `/metrics`.
    pub fn metrics_text(mut self, render: Arc<dyn Fn() -> String + Send + Sync>) -> Self {
        self.shared.metrics_text = render;
        self
    }

    /// Sets for how long connections are accepted after the readiness check starts to fail.
    pub fn balancer_notice_ms(mut self, notice_ms: u64) -> Self {
        self.shared.balancer_notice_ms = notice_ms;
        self
    }

    /// Sets the clock.
    pub fn clock(mut self, clock: Clock) -> Self {
        self.shared.clock = clock;
        self
    }

    /// Sets the seed of random choices, for tests.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Builds the state.
    pub fn build(self) -> Arc<TrafficState> {
        let mut shared = self.shared;
        let settings = match self.zone {
            Some(zone) => self.settings.zone(zone),
            None => self.settings,
        };
        let engine_state = shared.engine_state.get_mut().unwrap_or_else(PoisonError::into_inner);
        engine_state.engine = RoutingEngine::new(settings);
        engine_state.rng = SmallRng::seed_from_u64(self.seed.unwrap_or_else(rand::random));
        Arc::new(shared)
    }
}
