//! What all traffic of a daemon shares: the engine, the ports, and the task that drives time.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{Notify, oneshot};

use crate::ids::{Digest, ModelRef, RequestId, TargetId, Zone};
use crate::membership::table::{Entry, Table};
use crate::routing::demand::Demand;
use crate::routing::engine::{self, Action, Context, Engine, Start, Ticket};
use crate::routing::refusal::Refusal;
use crate::target::Target;
use crate::traffic::clock::Clock;
use crate::traffic::once::{self, Once};
use crate::traffic::poison::{self, Poison};
use crate::traffic::policy::{self, Placement, Policy};

/// Finds the port to a target.
pub type Targets = Arc<dyn Fn(&Entry) -> Arc<dyn Target> + Send + Sync>;

/// Time between two looks at the route table while requests are in flight.
const TABLE_PERIOD_MS: u64 = 250;
/// Time within which a waiting request must be looked at.
const WAIT_PERIOD_MS: u64 = 20;
/// Time within which demand must be reported.
const DEMAND_PERIOD_MS: u64 = 1000;

/// Limits at the edge.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head of a request.
    pub head_bytes: usize,
    /// Longest time in which the head of a request must arrive.
    pub head_timeout_ms: u64,
    /// Largest body of any request.
    pub body_bytes: usize,
    /// Longest time in which a body must arrive.
    pub body_timeout_ms: u64,
    /// Deepest nesting of JSON.
    pub json_depth: u32,
    /// Longest time for which a caller may leave a stream unread.
    pub stalled_reader_ms: u64,
    /// Largest plain answer that is held back until it is whole.
    pub held_answer_bytes: usize,
    /// Longest deadline that a caller may ask for.
    pub deadline_ms: u64,
    /// Connections at once.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 32 << 10,
            head_timeout_ms: 10_000,
            body_bytes: 8 << 20,
            body_timeout_ms: 15_000,
            json_depth: 64,
            stalled_reader_ms: 60_000,
            held_answer_bytes: 1 << 20,
            deadline_ms: 24 * 3_600_000,
            connections: 20_000,
        }
    }
}

struct Decisions {
    engine: Engine,
    rng: SmallRng,
    actions: Vec<Action>,
    mailboxes: Vec<Option<(u32, oneshot::Sender<Verdict>)>>,
}

/// What the engine decided on a request.
#[derive(Debug)]
pub(super) enum Verdict {
    /// Send an attempt.
    Start(Start),
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
    pub(super) table: Arc<ArcSwap<Table>>,
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
    wake: Notify,
    next_wake_ms: AtomicU64,
    looks: AtomicU64,
    active: AtomicUsize,
    idle: Notify,
}

/// Builds [`Shared`]; the ports not set have plain stand-ins.
pub struct Builder {
    shared: Shared,
    zone: Option<Zone>,
    settings: engine::Settings,
    seed: Option<u64>,
}

impl Shared {
    /// Starts with what every daemon needs.
    pub fn builder(
        table: Arc<ArcSwap<Table>>,
        targets: Targets,
        policy: Arc<dyn Policy>,
    ) -> Builder {
        let decisions = Decisions {
            engine: Engine::default(),
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
        Builder { shared, zone: None, settings: engine::Settings::default(), seed: None }
    }

    fn lock(&self) -> MutexGuard<'_, Decisions> {
        self.decisions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the state of the engine.
    pub fn inspect<T>(&self, read: impl FnOnce(&Engine) -> T) -> T {
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
    pub(super) fn step<T>(&self, event: impl FnOnce(&mut Engine, &mut Context<'_>) -> T) -> T {
        let (value, is_pending) = self.decide(|engine, cx| {
            let value = event(engine, cx);
            (value, engine.waiting() > 0)
        });
        self.wake_within(if is_pending { WAIT_PERIOD_MS } else { DEMAND_PERIOD_MS });
        value
    }

    /// Tells the engine of an event and carries out what it decides, without waking the driver.
    fn decide<T>(&self, event: impl FnOnce(&mut Engine, &mut Context<'_>) -> T) -> T {
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
        event: impl FnOnce(&mut Engine, &mut Context<'_>) -> Ticket,
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
        event: impl FnOnce(&mut Engine, &mut Context<'_>) -> T,
    ) -> T {
        // The time is read under the lock, so that the engine never sees it go back.
        let now_ms = self.clock.now_ms();
        let Decisions { engine, rng, actions, .. } = decisions;
        let mut cx = Context { now_ms, rng, out: actions };
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

    /// Makes sure that the driver looks again within `period_ms`.
    fn wake_within(&self, period_ms: u64) {
        if self.next_wake_ms.load(Ordering::Relaxed) > self.now_ms() + period_ms {
            self.wake.notify_one();
        }
    }

    /// Drives what depends on time, until it is dropped.
    pub async fn drive(&self) {
        loop {
            // While it is awake it needs no waking.
            self.next_wake_ms.store(0, Ordering::Relaxed);
            let ready_at = |model: &ModelRef| self.placement.ready_at_ms(model);
            let next_ms = self.decide(|engine, cx| {
                engine.tick(cx, ready_at);
                let look_ms = (engine.requests() > 0).then_some(cx.now_ms + TABLE_PERIOD_MS);
                let tick_ms = engine.next_tick_ms(cx.now_ms);
                let next_ms = [look_ms, tick_ms].into_iter().flatten().min();
                // Stored under the lock: an event that comes later finds it and wakes the driver.
                self.next_wake_ms.store(next_ms.unwrap_or(u64::MAX), Ordering::Relaxed);
                next_ms
            });
            self.looks.fetch_add(1, Ordering::Relaxed);
            let sleep = async {
                match next_ms {
                    Some(at_ms) => tokio::time::sleep_until(self.clock.instant(at_ms)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = sleep => {}
                () = self.wake.notified() => {}
            }
        }
    }
}

/// What others are told once the lock is free.
enum Told {
    Demand(Demand),
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
                Action::Start(start) if Some(start.ticket) == own => {
                    verdict = Some(Verdict::Start(start));
                }
                Action::Refuse { ticket, refusal } if Some(ticket) == own => {
                    verdict = Some(Verdict::Refuse(refusal));
                }
                Action::Start(start) => self.deliver(start.ticket, Verdict::Start(start)),
                Action::Refuse { ticket, refusal } => {
                    self.deliver(ticket, Verdict::Refuse(refusal));
                }
                Action::Demand(demand) => told.push(Told::Demand(demand)),
                Action::Died { target, digests } => told.push(Told::Died(target, digests)),
            }
        }
        self.actions = actions;
        (verdict, told)
    }

    fn deliver(&mut self, ticket: Ticket, verdict: Verdict) {
        let place = ticket.place as usize;
        let Some(mailbox) = self.mailboxes.get_mut(place) else { return };
        let mailbox = mailbox.take_if(|(generation, _)| *generation == ticket.generation);
        if let Some((_, sender)) = mailbox {
            // A caller that has just left ends its request itself.
            let _ = sender.send(verdict);
        }
    }

    fn mailbox(&mut self, ticket: Ticket) -> oneshot::Receiver<Verdict> {
        let place = ticket.place as usize;
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
    pub fn engine(mut self, settings: engine::Settings) -> Self {
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
        decisions.engine = Engine::new(settings);
        decisions.rng = SmallRng::seed_from_u64(self.seed.unwrap_or_else(rand::random));
        Arc::new(shared)
    }
}
