//! What all requests of a router share.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::{Notify, oneshot, watch};

use super::budget::{self, Budget};
use super::fleet::{Choice, Fleet, Wish};
use super::pool::Pool;
use super::queue::{Queue, Ticket, Waiter};
use super::{Notice, Protocol, events};
use crate::clock::BootClock;
use crate::coordinator::{follow, loads};
use crate::ids::{Incarnation, ModelRef, TargetId, Zone};
use crate::membership::{feed, table};
use crate::placement::swap::demand;
use crate::routes::{self, index};
use crate::web;

/// Bodies of callers that are in memory at once, in bytes: a VM of a router is small.
const MAX_BODIES_BYTES: usize = 32 << 20;

/// Tells a request that waits of its seat, or why none can come.
type Offer = oneshot::Sender<Result<Seat, Choice>>;

/// The state of a router.
pub struct Shared {
    own: Weak<Shared>,
    /// The address that connections to targets come from.
    pub(super) own_ip: IpAddr,
    pub(super) clock: BootClock,
    pub(super) protocol: &'static dyn Protocol,
    index: watch::Sender<Option<Rc<index::Index>>>,
    pub(super) fleet: RefCell<Fleet>,
    pub(super) budget: RefCell<Budget>,
    pub(super) pool: RefCell<Pool>,
    /// Reads the bodies of callers.
    pub(super) intake: web::intake::Intake,
    queue: RefCell<Queue>,
    waiting: RefCell<Vec<(Ticket, Offer)>>,
    arrivals: RefCell<Vec<(ModelRef, u32)>>,
    heard_ms: Cell<Option<u64>>,
    /// The route table that targets are chosen from.
    table: Cell<feed::FeedCursor>,
    /// When this router began to learn of the targets from the leader that it follows.
    learning_since_ms: Cell<Option<u64>>,
    /// Told when something waits that placement should know of at once.
    pub(super) demand_wake: Notify,
    /// When the process ends, once that is known.
    stops_ms: watch::Sender<Option<u64>>,
    salt: Cell<u64>,
}

/// What a router is made of.
pub struct Builder {
    own_ip: IpAddr,
    zone: Zone,
    protocol: &'static dyn Protocol,
    clock: BootClock,
    budget: budget::Settings,
}

impl Shared {
    /// A builder of the state of a router in `zone`, which connects from `own_ip`.
    pub fn builder(own_ip: IpAddr, zone: Zone, protocol: &'static dyn Protocol) -> Builder {
        let budget = budget::Settings { ratio: 0.1, slack: 10.0, window_ms: 10_000 };
        Builder { own_ip, zone, protocol, clock: BootClock::system(), budget }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Whether it can serve requests: it has a document and is not about to stop.
    pub fn is_ready(&self) -> bool {
        self.index().is_some() && self.stops_ms.borrow().is_none()
    }

    /// The document in force, arranged for lookups.
    pub(super) fn index(&self) -> Option<Rc<index::Index>> {
        self.index.borrow().clone()
    }

    /// The document in force, or the first one if it comes within `limit_ms`.
    pub(super) async fn document_within(&self, limit_ms: u64) -> Option<Rc<index::Index>> {
        if let Some(index) = self.index() {
            return Some(index);
        }
        let mut documents = self.index.subscribe();
        let limit = Duration::from_millis(limit_ms);
        let known = tokio::time::timeout(limit, documents.wait_for(Option::is_some)).await;
        known.ok()?.ok()?.clone()
    }

    /// Time since this router began to learn of the targets.
    pub(super) fn learning_ms(&self) -> Option<u64> {
        Some(self.now_ms().saturating_sub(self.learning_since_ms.get()?))
    }

    /// Notes that the process ends at this time: the balancer is told not to send more.
    pub(super) fn stop_at(&self, stops_ms: u64) {
        self.stops_ms.send_replace(Some(stops_ms));
    }

    /// Waits until the planned end of the process is so near; for ever while none is planned.
    pub(super) async fn before_end(&self, margin_ms: u64) {
        let mut stops = self.stops_ms.subscribe();
        let stops_ms = match stops.wait_for(Option::is_some).await {
            Ok(stops_ms) => stops_ms.unwrap_or_default(),
            // The sender is this router's own: it is there for as long as anybody waits.
            Err(_) => return std::future::pending().await,
        };
        let left_ms = stops_ms.saturating_sub(margin_ms).saturating_sub(self.now_ms());
        tokio::time::sleep(Duration::from_millis(left_ms)).await;
    }

    /// How long ago a leader told of the targets.
    pub(super) fn table_age_ms(&self) -> Option<u64> {
        Some(self.now_ms().saturating_sub(self.heard_ms.get()?))
    }

    /// Counts a request for a model.
    pub(super) fn arrived(&self, model: &ModelRef) {
        let mut arrivals = self.arrivals.borrow_mut();
        match arrivals.binary_search_by(|(known, _)| known.cmp(model)) {
            Ok(at) => arrivals[at].1 += 1,
            Err(at) => arrivals.insert(at, (model.clone(), 1)),
        }
    }

    /// Takes a seat at the best target, if one has room now.
    pub(super) fn try_seat(&self, wish: &Wish<'_>, tokens: u64) -> Result<Seat, Choice> {
        let choice = self.fleet.borrow().choose(self.now_ms(), wish);
        match choice {
            Choice::Target(place) => Ok(self.seat(place, wish.model, tokens)),
            other => Err(other),
        }
    }

    fn seat(&self, place: usize, model: Option<&ModelRef>, tokens: u64) -> Seat {
        let begun_ms = self.now_ms();
        let mut fleet = self.fleet.borrow_mut();
        fleet.begin(begun_ms, place, model, tokens);
        let target = fleet.target(place);
        Seat {
            shared: Weak::clone(&self.own),
            target: target.entry.target.clone(),
            life: target.entry.incarnation,
            address: target.entry.address,
            in_flight: target.in_flight(),
            table: self.table.get(),
            model: model.cloned(),
            unread_tokens: tokens,
            begun_ms,
            is_answered: false,
        }
    }

    /// Waits for a seat. Dropping the future leaves the queue.
    ///
    /// # Errors
    /// Why none can come while the request may wait.
    pub(super) async fn wait(
        &self,
        id: &str,
        mut waiter: Waiter,
        why: Choice,
    ) -> Result<Seat, Choice> {
        let ticket = self.queue.borrow_mut().next_ticket();
        waiter.ticket = ticket;
        let closed = self.fleet.borrow().closed(self.now_ms(), &waiter.service);
        let is_new_demand = matches!(why, Choice::NoReplica);
        self.queue.borrow_mut().insert(waiter);
        let (sender, seat) = oneshot::channel();
        self.waiting.borrow_mut().push((ticket, sender));
        let leave = Leave { shared: self, ticket };
        let waiting = self.queue.borrow().len();
        events::emit(id, &events::Event::Queued { why: reason(why), waiting, closed });
        if is_new_demand {
            self.demand_wake.notify_one();
        }
        let seat = seat.await;
        drop(leave);
        // The sender is kept for as long as the request waits.
        seat.unwrap_or(Err(why))
    }

    /// Gives free targets to those who wait.
    pub(super) fn pump(&self) {
        if self.queue.borrow().is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let served = self.queue.borrow_mut().serve(|waiter| {
            let wish = Wish {
                service: &waiter.service,
                model: waiter.model.as_ref(),
                prompt: waiter.prompt,
                avoid: &waiter.avoid,
                salt: self.salt.get(),
            };
            let choice = self.fleet.borrow().choose(now_ms, &wish);
            match choice {
                Choice::Target(place) => {
                    Some(Ok(self.seat(place, waiter.model.as_ref(), waiter.tokens)))
                }
                Choice::Paused { .. } => Some(Err(choice)),
                Choice::Full | Choice::NoReplica | Choice::NoTarget => None,
            }
        });
        for (waiter, seat) in served {
            let mut waiting = self.waiting.borrow_mut();
            let Some(at) = waiting.iter().position(|(ticket, _)| *ticket == waiter.ticket) else {
                continue;
            };
            let (_, sender) = waiting.swap_remove(at);
            drop(waiting);
            // One who has just left gives the seat back by dropping it.
            let _ = sender.send(seat);
        }
    }

    /// Takes what a target says of itself in an answer.
    pub(super) fn take_notice(&self, target: &TargetId, life: Incarnation, notice: Notice) {
        if notice.is_leaving && self.fleet.borrow_mut().leaves(target, life) {
            log::info!("target {target} of life {life} says in an answer that it leaves");
            metrics::counter!("fescuebay_targets_leaving_total").increment(1);
            // The leader may not know it.
            self.demand_wake.notify_one();
        }
        if notice.is_leaving {
            self.pool.borrow_mut().forget(target, life);
        }
        let Some(pause_ms) = notice.pause_ms.filter(|pause_ms| *pause_ms > 0) else { return };
        let (now_ms, salt) = (self.now_ms(), self.next_salt());
        if self.fleet.borrow_mut().pauses(now_ms, target, life, pause_ms, salt) {
            log::info!("target {target} of life {life} asks to be left alone for {pause_ms} ms");
            metrics::counter!("fescuebay_target_pauses_total").increment(1);
            // Those who wait for it are told at once.
            self.pump();
        }
    }

    /// A new number for the next choice among targets.
    pub(super) fn next_salt(&self) -> u64 {
        self.salt.set(self.salt.get().wrapping_add(1));
        self.salt.get()
    }

    /// What waits and runs here, and what arrived since this was last asked.
    pub(super) fn take_usage(&self) -> demand::RouterDemand {
        demand::RouterDemand {
            arrivals: self.arrivals.take(),
            waiting: self.queue.borrow().waiting(self.now_ms()),
            running: self.fleet.borrow().running(),
            leaving: self.fleet.borrow().unshown_leaving(),
        }
    }
}

/// Why a request waits, for its log line.
fn reason(choice: Choice) -> &'static str {
    match choice {
        Choice::Target(_) => "a target is free",
        Choice::Full => "all targets are full",
        Choice::Paused { .. } => "all targets ask to be left alone",
        Choice::NoReplica => "no target holds the model",
        Choice::NoTarget => "the service has no targets",
    }
}

/// Leaves the queue when it is dropped.
struct Leave<'a> {
    shared: &'a Shared,
    ticket: Ticket,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        self.shared.queue.borrow_mut().remove(self.ticket);
        self.shared.waiting.borrow_mut().retain(|(ticket, _)| *ticket != self.ticket);
    }
}

/// A request's place at a target. Dropping it gives the place to whoever waits.
pub(super) struct Seat {
    shared: Weak<Shared>,
    pub target: TargetId,
    pub life: Incarnation,
    pub address: std::net::SocketAddr,
    /// Requests in flight there, this one included.
    pub in_flight: u32,
    /// The route table that it was chosen from.
    pub table: feed::FeedCursor,
    model: Option<ModelRef>,
    unread_tokens: u64,
    begun_ms: u64,
    is_answered: bool,
}

impl Seat {
    /// The target has begun to answer.
    pub fn note_answered(&mut self) {
        if let Some(shared) = self.shared.upgrade().filter(|_| !self.is_answered) {
            shared.fleet.borrow_mut().answered(self.begun_ms, &self.target, self.life);
        }
        self.is_answered = true;
    }

    /// The target has read the prompt: its first event came.
    pub(super) fn note_read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        if let Some(shared) = self.shared.upgrade().filter(|_| tokens > 0) {
            shared.fleet.borrow_mut().read(&self.target, self.life, tokens);
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.note_read();
        let Some(shared) = self.shared.upgrade() else { return };
        let mut fleet = shared.fleet.borrow_mut();
        fleet.end(&self.target, self.life, self.model.as_ref());
        if !self.is_answered {
            fleet.unanswered(self.begun_ms, &self.target, self.life);
        }
        drop(fleet);
        shared.pump();
    }
}

impl follow::Follower for Shared {
    fn usage(&self) -> demand::RouterDemand {
        self.take_usage()
    }

    fn apply_document(&self, document: routes::Document) {
        log::info!("document {} is in force", document.version);
        self.index.send_replace(Some(Rc::new(index::Index::new(document))));
    }

    fn handle_table_change(&self, feed: &feed::TableFeed) {
        let entries: &[table::TargetEntry] = feed.table().entries();
        self.fleet.borrow_mut().set_entries(entries);
        self.table.set(feed.cursor());
        self.pump();
    }

    fn handle_leader_change(&self) {
        self.learning_since_ms.set(Some(self.now_ms()));
    }

    fn apply_loads(&self, routers: u32, changes: &loads::LoadChanges) {
        self.heard_ms.set(Some(self.now_ms()));
        self.budget.borrow_mut().set_routers(routers);
        self.fleet.borrow_mut().take_totals(changes);
        self.pump();
    }
}

impl Builder {
    /// Sets the clock.
    pub fn clock(mut self, clock: BootClock) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the budget for repeats.
    pub fn budget(mut self, budget: budget::Settings) -> Self {
        self.budget = budget;
        self
    }

    /// The state of a router.
    pub fn build(self) -> Rc<Shared> {
        Rc::new_cyclic(|own| Shared {
            own: Weak::clone(own),
            own_ip: self.own_ip,
            clock: self.clock,
            protocol: self.protocol,
            index: watch::Sender::new(None),
            fleet: RefCell::new(Fleet::new(self.zone)),
            budget: RefCell::new(Budget::new(self.budget)),
            pool: RefCell::default(),
            intake: web::intake::Intake::new(MAX_BODIES_BYTES),
            queue: RefCell::default(),
            waiting: RefCell::default(),
            arrivals: RefCell::default(),
            heard_ms: Cell::new(None),
            table: Cell::default(),
            learning_since_ms: Cell::new(None),
            demand_wake: Notify::new(),
            stops_ms: watch::Sender::new(None),
            salt: Cell::new(rand::random()),
        })
    }
}
