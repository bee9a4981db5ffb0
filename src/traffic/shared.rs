//! What all traffic of a daemon shares: the engine, the ports, and the task that drives time.

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
use crate::traffic::limits::Limits;
use crate::traffic::once::{self, Once};
use crate::traffic::poison::{self, Poison};
use crate::traffic::policy::{self, Placement, Policy};

/// Finds the port to a target.
pub type Targets = Arc<dyn Fn(&TargetEntry) -> Arc<dyn Target> + Send + Sync>;

/// Time within which a waiting request must be looked at.
const WAIT_PERIOD_MS: u64 = 20;
/// Time within which demand must be reported.
const DEMAND_PERIOD_MS: u64 = 1000;

struct Decisions {
    engine: RoutingEngine,
    rng: SmallRng,
    actions: Vec<Action>,
    mailboxes: Vec<Option<(u32, oneshot::Sender<Verdict>)>>,
}

/// What the engine decided on a request.
#[derive(Debug)]
pub(super) enum Verdict {
    /// Send an attempt.
    Start(AttemptStart),
    /// Tell the caller no; the request has ended.
    Refuse(Refusal),
}

/// What follows an event of a request.
#[derive(Debug)]
pub(super) enum Next {
    /// It is decided.
    Now(Verdict),
    /// It waits.
    Wait(oneshot::Receiver<Verdict>),
}

/// The traffic of one daemon.
pub struct Shared {
    decisions: Mutex<Decisions>,
    pub(super) table: Arc<ArcSwap<RouteTable>>,
    pub(super) targets: Targets,
    pub(super) policy: Arc<dyn Policy>,
    pub(super) placement: Arc<dyn Placement>,
    pub(super) once: Arc<dyn Once>,
    pub(super) poison: Arc<dyn Poison>,
    pub(super) clock: Clock,
    pub(super) limits: Limits,
    pub(super) extra_routes: axum::Router,
    pub(super) metrics_text: Arc<dyn Fn() -> String + Send + Sync>,
    pub(super) balancer_notice_ms: u64,
    request_prefix: String,
    next_request: AtomicU64,
    is_draining: AtomicBool,
    pub(super) wake: Notify,
    pub(super) next_wake_ms: AtomicU64,
    pub(super) looks: AtomicU64,
    active: AtomicUsize,
    idle: Notify,
}

/// Builds [`Shared`]; the ports not set have plain stand-ins.
pub struct Builder {
    shared: Shared,
    zone: Option<Zone>,
    settings: engine::EngineSettings,
    seed: Option<u64>,
}

impl Shared {
    /// Starts with what every daemon needs.
    pub fn builder(
        table: Arc<ArcSwap<RouteTable>>,
        targets: Targets,
        policy: Arc<dyn Policy>,
    ) -> Builder {
        let decisions = Decisions {
            engine: RoutingEngine::default(),
            rng: SmallRng::seed_from_u64(0),
            actions: Vec::new(),
            mailboxes: Vec::new(),
        };
        let shared = Shared {
            decisions: Mutex::new(decisions),
            table,
            targets,
            policy,
            placement: Arc::new(policy::Fixed),
            once: Arc::new(once::Unavailable),
            poison: Arc::new(poison::Unshared),
            clock: Clock::system(),
            limits: Limits::default(),
            extra_routes: axum::Router::new(),
            metrics_text: Arc::new(String::new),
            balancer_notice_ms: 3000,
            request_prefix: format!("{:016x}", rand::random::<u64>()),
            next_request: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            wake: Notify::new(),
            next_wake_ms: AtomicU64::new(0),
            looks: AtomicU64::new(0),
            active: AtomicUsize::new(0),
            idle: Notify::new(),
        };
        Builder { shared, zone: None, settings: engine::EngineSettings::default(), seed: None }
    }

    fn lock(&self) -> MutexGuard<'_, Decisions> {
        self.decisions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the state of the engine.
    pub fn inspect<T>(&self, read: impl FnOnce(&RoutingEngine) -> T) -> T {
        read(&self.lock().engine)
    }

    /// The time, as Unix time.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// How often the driver has looked at what depends on time.
    pub fn looks(&self) -> u64 {
        self.looks.load(Ordering::Relaxed)
    }

    /// Whether the daemon is about to stop.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Turns readiness off for good.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Tells that the route table was replaced, so that waiting requests are served at once.
    pub fn table_changed(&self) {
        self.wake.notify_one();
    }

    /// An id that no other request of any daemon has.
    pub(super) fn next_request(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{number:x}", self.request_prefix);
        text.parse().expect("hexadecimal digits make a request id")
    }

    /// Counts work that must be finished before the daemon may stop.
    pub(super) fn active(self: &Arc<Self>) -> Active {
        self.active.fetch_add(1, Ordering::Relaxed);
        Active { shared: self.clone() }
    }

    /// Waits until no work is left.
    pub(super) async fn until_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.active.load(Ordering::Acquire) == 0 {
                return;
            }
            idle.await;
        }
    }

    /// Tells the engine of an event, and carries out what it decides.
    pub(super) fn step<T>(
        &self,
        event: impl FnOnce(&mut RoutingEngine, &mut EventContext<'_>) -> T,
    ) -> T {
        let (value, is_pending) = self.decide(|engine, cx| {
            let value = event(engine, cx);
            (value, engine.has_waiting())
        });
        self.wake_within(if is_pending { WAIT_PERIOD_MS } else { DEMAND_PERIOD_MS });
        value
    }

    /// Tells the engine of an event and carries out what it decides, without waking the driver.
    pub(super) fn decide<T>(
        &self,
        event: impl FnOnce(&mut RoutingEngine, &mut EventContext<'_>) -> T,
    ) -> T {
        let mut guard = self.lock();
        let decisions = &mut *guard;
        let value = self.apply(decisions, event);
        let told = decisions.carry_out(None).1;
        drop(guard);
        self.tell(told);
        value
    }

    /// Tells the engine of an event of one request, and returns what follows for that request.
    pub(super) fn step_for(
        &self,
        event: impl FnOnce(&mut RoutingEngine, &mut EventContext<'_>) -> Ticket,
    ) -> (Ticket, Next) {
        let mut guard = self.lock();
        let decisions = &mut *guard;
        let ticket = self.apply(decisions, event);
        let (own, told) = decisions.carry_out(Some(ticket));
        let next = match own {
            Some(verdict) => Next::Now(verdict),
            None => Next::Wait(decisions.mailbox(ticket)),
        };
        drop(guard);
        let is_waiting = matches!(next, Next::Wait(_));
        self.wake_within(if is_waiting { WAIT_PERIOD_MS } else { DEMAND_PERIOD_MS });
        self.tell(told);
        (ticket, next)
    }

    fn apply<T>(
        &self,
        decisions: &mut Decisions,
        event: impl FnOnce(&mut RoutingEngine, &mut EventContext<'_>) -> T,
    ) -> T {
        // The time is read under the lock, so that the engine never sees it go back.
        let now_ms = self.clock.now_ms();
        let Decisions { engine, rng, actions, .. } = decisions;
        let mut cx = EventContext { now_ms, rng, out: actions };
        let table = self.table.load();
        if !Arc::ptr_eq(&table, engine.table()) {
            engine.set_table(&mut cx, Arc::clone(&table));
        }
        event(engine, &mut cx)
    }

    fn tell(&self, told: Vec<Told>) {
        for told in told {
            match told {
                Told::Demand(demand) => self.placement.demand(demand),
                Told::Died(target, digests) => self.poison.died(&target, &digests),
            }
        }
    }
}

/// What others are told once the lock is free.
enum Told {
    Demand(ModelDemand),
    Died(TargetId, Vec<Digest>),
}

impl Decisions {
    /// Hands verdicts to the requests that wait for them, and returns that of `own`.
    fn carry_out(&mut self, own: Option<Ticket>) -> (Option<Verdict>, Vec<Told>) {
        let mut verdict = None;
        let mut told = Vec::new();
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::StartAttempt(start) if Some(start.ticket) == own => {
                    verdict = Some(Verdict::Start(start));
                }
                Action::Refuse { ticket, refusal } if Some(ticket) == own => {
                    verdict = Some(Verdict::Refuse(refusal));
                }
                Action::StartAttempt(start) => self.deliver(start.ticket, Verdict::Start(start)),
                Action::Refuse { ticket, refusal } => {
                    self.deliver(ticket, Verdict::Refuse(refusal));
                }
                Action::ReportDemand(demand) => told.push(Told::Demand(demand)),
                Action::TargetDied { target, digests } => told.push(Told::Died(target, digests)),
            }
        }
        self.actions = actions;
        (verdict, told)
    }

    fn deliver(&mut self, ticket: Ticket, verdict: Verdict) {
        let place = ticket.index as usize;
        let Some(mailbox) = self.mailboxes.get_mut(place) else { return };
        let mailbox = mailbox.take_if(|(generation, _)| *generation == ticket.generation);
        if let Some((_, sender)) = mailbox {
            // A caller that has just left ends its request itself.
            let _ = sender.send(verdict);
        }
    }

    fn mailbox(&mut self, ticket: Ticket) -> oneshot::Receiver<Verdict> {
        let place = ticket.index as usize;
        if self.mailboxes.len() <= place {
            self.mailboxes.resize_with(place + 1, || None);
        }
        let (sender, receiver) = oneshot::channel();
        self.mailboxes[place] = Some((ticket.generation, sender));
        receiver
    }
}

/// Work that must be finished before the daemon may stop.
pub struct Active {
    shared: Arc<Shared>,
}

impl Drop for Active {
    fn drop(&mut self) {
        if self.shared.active.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.shared.idle.notify_waiters();
        }
    }
}

impl Builder {
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

    /// Sets placement.
    pub fn placement(mut self, placement: Arc<dyn Placement>) -> Self {
        self.shared.placement = placement;
        self
    }

    /// Sets the idempotency records.
    pub fn once(mut self, once: Arc<dyn Once>) -> Self {
        self.shared.once = once;
        self
    }

    /// Sets the records of poison requests.
    pub fn poison(mut self, poison: Arc<dyn Poison>) -> Self {
        self.shared.poison = poison;
        self
    }

    /// Sets the limits at the edge.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.shared.limits = limits;
        self
    }

    /// Sets further routes, such as those of jobs.
    pub fn extra_routes(mut self, routes: axum::Router) -> Self {
        self.shared.extra_routes = routes;
        self
    }

    /// Sets what `/metrics` answers.
    pub fn metrics_text(mut self, render: Arc<dyn Fn() -> String + Send + Sync>) -> Self {
        self.shared.metrics_text = render;
        self
    }

    /// Sets for how long connections are accepted after readiness was turned off.
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

    /// The traffic of a daemon.
    pub fn build(self) -> Arc<Shared> {
        let mut shared = self.shared;
        let settings = match self.zone {
            Some(zone) => self.settings.zone(zone),
            None => self.settings,
        };
        let decisions = shared.decisions.get_mut().unwrap_or_else(PoisonError::into_inner);
        decisions.engine = RoutingEngine::new(settings);
        decisions.rng = SmallRng::seed_from_u64(self.seed.unwrap_or_else(rand::random));
        Arc::new(shared)
    }
}
