//! What the leader of one term knows and does: targets, orders, and news for followers.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use super::Engines;
use super::loads::{self, Loads};
use super::message::{self, News, Watch};
use crate::clock::BootClock;
use crate::ids::{DaemonId, Incarnation, ServiceName, TargetId, Term};
use crate::membership::directory::{Directory, Effect};
use crate::membership::feed::Feed;
use crate::membership::table::{Change, Entry, Replica};
use crate::membership::targets::{self, Registry};
use crate::placement::swap::{self, demand};
use crate::routes;
use crate::target::order;

/// Time between two looks at silent targets and routers.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// A router that did not ask for news for this long does not count.
const ROUTER_GONE_MS: u64 = 4_000;
/// Followers are woken at most once in a time that grows with the routers: a millisecond for each of
/// these.
const ROUTERS_PER_MS: u64 = 2;
/// The longest time between two wakes.
const MAX_GAP_MS: u64 = 100;
/// The version of weights, where engines keep but the newest.
const ONLY_VERSION: &str = "newest";

/// What a leader works with.
pub struct Parts {
    /// The daemon that leads.
    pub own: DaemonId,
    /// Its clock.
    pub clock: BootClock,
    /// The port to model engines.
    pub engines: Rc<dyn Engines>,
    /// When a silent target is doubted and given up.
    pub silence: targets::Settings,
    /// Limits and times of placement.
    pub placement: swap::Settings,
    /// Whether the lease is valid now.
    pub is_leased: Rc<dyn Fn() -> bool>,
}

/// The leader of one term.
pub struct Leader {
    term: Term,
    parts: Parts,
    registry: RefCell<Registry>,
    directory: RefCell<Directory>,
    feed: RefCell<Feed>,
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
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Leader {
    /// Begins to lead in `term`, from the route table that this daemon has.
    pub fn start(term: Term, parts: Parts, entries: &[Entry]) -> Rc<Self> {
        let now_ms = parts.clock.now_ms();
        let leader = Rc::new_cyclic(|own| Self {
            term,
            own: Weak::clone(own),
            registry: RefCell::new(Registry::new(parts.silence)),
            directory: RefCell::new(Directory::adopt(now_ms, entries)),
            feed: RefCell::new(Feed::new(term, entries.to_vec())),
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
            tasks: RefCell::default(),
            parts,
        });
        let looking = tokio::task::spawn_local(look(Rc::clone(&leader)));
        let planning = tokio::task::spawn_local(plan(Rc::clone(&leader)));
        leader.tasks.borrow_mut().extend([looking, planning]);
        log::info!("leading in term {term}, from {} known targets", entries.len());
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
            planners[at].1.on(now_ms, swap::Event::Engine(engine.clone()));
        }
        drop(planners);
        for report in self.registry.borrow().all() {
            if let targets::Report::State(state, _) = report {
                self.plan_on(&state.clone(), swap::Event::State(state));
            }
        }
    }

    fn new_planner(&self, now_ms: u64) -> swap::Planner {
        let mut planner = swap::Planner::new(self.term, self.parts.placement, now_ms);
        if self.is_order_allowed.get() {
            planner.on(now_ms, swap::Event::OrdersAllowed);
        }
        planner
    }

    /// Takes an announcement of a target.
    pub fn announced(self: &Rc<Self>, state: order::State) {
        self.watched(targets::Event::Announced(state));
    }

    /// Takes the word of a target that it is gone.
    pub fn left(self: &Rc<Self>, target: &TargetId, incarnation: Option<Incarnation>) {
        let known = self.feed.borrow().table().find(target).map(|entry| entry.incarnation);
        let Some(incarnation) = incarnation.or(known) else {
            return log::info!("target {target} left, which is not known");
        };
        log::info!("target {target} of life {incarnation} left");
        self.watched(targets::Event::Left(target.clone(), incarnation));
        // A target that only an earlier leader has heard of is in the table alone.
        let report = targets::Report::Gone(target.clone(), incarnation);
        let effects = self.directory.borrow_mut().report(&self.parts.own, report);
        self.apply(effects);
    }

    fn watched(self: &Rc<Self>, event: targets::Event) {
        let (_, reports) = self.registry.borrow_mut().on(self.parts.clock.now_ms(), event);
        for report in reports {
            let effects = self.directory.borrow_mut().report(&self.parts.own, report);
            self.apply(effects);
        }
    }

    fn apply(&self, effects: Vec<Effect>) {
        let mut changes = Vec::new();
        for effect in effects {
            match effect {
                Effect::Table(Change::Put(entry)) => {
                    self.note(&entry);
                    changes.push(Change::Put(entry));
                }
                Effect::Table(change) => {
                    if let Change::Remove(target) = &change {
                        log::info!("target {target} is gone");
                    }
                    changes.push(change);
                }
                Effect::State(state) => self.plan_on(&state.clone(), swap::Event::State(state)),
                Effect::Gone(target, incarnation) => {
                    self.take_event(&swap::Event::Gone(target, incarnation));
                }
            }
        }
        let planned = changes.into_iter().map(|change| self.with_replicas(change)).collect();
        self.push(planned);
    }

    /// Logs a target that is new or whose standing differs.
    fn note(&self, entry: &Entry) {
        let feed = self.feed.borrow();
        let known = feed.table().find(&entry.target);
        let is_same = |known: &Entry| {
            known.standing == entry.standing && known.incarnation == entry.incarnation
        };
        if !known.is_some_and(is_same) {
            log::info!(
                "target {} of {:?} is {:?} in {}, life {}",
                entry.target,
                entry.services.first().map(ServiceName::as_str),
                entry.standing,
                entry.availability_zone,
                entry.incarnation
            );
        }
    }

    /// Gives an event of one target to the planner of its service.
    fn plan_on(&self, state: &order::State, event: swap::Event) {
        let Some(service) = state.services.first() else { return };
        let now_ms = self.parts.clock.now_ms();
        let mut planners = self.planners.borrow_mut();
        if let Ok(at) = planners.binary_search_by(|(name, _)| name.cmp(service)) {
            let actions = planners[at].1.on(now_ms, event);
            drop(planners);
            self.carry_out(actions);
        }
    }

    /// Shows the replicas that placement lets routers use.
    fn with_replicas(&self, change: Change) -> Change {
        let Change::Put(mut entry) = change else { return change };
        let planners = self.planners.borrow();
        let planned = planners.iter().find_map(|(_, planner)| planner.replicas(&entry.target));
        if let Some(planned) = planned {
            let version: crate::ids::Version = ONLY_VERSION.parse().expect("a constant name");
            let replica = |model| Replica { model, version: version.clone() };
            entry.replicas = planned.into_iter().map(replica).collect();
        }
        Change::Put(entry)
    }

    /// Adds changes to the feed, but for those that change nothing.
    fn push(&self, changes: Vec<Change>) {
        let mut feed = self.feed.borrow_mut();
        let is_new = |change: &Change| match change {
            Change::Put(entry) => feed.table().find(&entry.target) != Some(entry),
            Change::Remove(target) => feed.table().find(target).is_some(),
            Change::Replicas { .. } => true,
        };
        let changes: Vec<Change> = changes.into_iter().filter(is_new).collect();
        if changes.is_empty() {
            return;
        }
        feed.push(changes);
        let (cursor, targets) = (feed.cursor(), feed.table().entries().len());
        drop(feed);
        log::debug!("route table {}.{}: {targets} targets", cursor.term, cursor.sequence);
        self.tell();
    }

    /// Those who wait look again for news, soon: changes that come close together make one answer
    /// to each follower.
    fn tell(&self) {
        if self.is_stopped.get() {
            return self.news.send_modify(|number| *number += 1);
        }
        if self.is_telling.replace(true) {
            return;
        }
        let gap_ms = (self.routers.borrow().len() as u64 / ROUTERS_PER_MS).clamp(1, MAX_GAP_MS);
        let due_ms = self.told_ms.get() + gap_ms;
        let wait_ms = due_ms.saturating_sub(self.parts.clock.now_ms());
        let own = Weak::clone(&self.own);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            if let Some(leader) = own.upgrade() {
                leader.is_telling.set(false);
                leader.told_ms.set(leader.parts.clock.now_ms());
                leader.news.send_modify(|number| *number += 1);
            }
        });
    }

    /// Takes what a router has waiting and running.
    pub fn usage(&self, from: &DaemonId, usage: demand::Usage) {
        let now_ms = self.parts.clock.now_ms();
        self.loads.borrow_mut().take(now_ms, from, &usage.running);
        let mut actions = Vec::new();
        for (_, planner) in self.planners.borrow_mut().iter_mut() {
            actions.extend(planner.on(now_ms, swap::Event::Usage(from.clone(), usage.clone())));
        }
        self.carry_out(actions);
    }

    /// Answers a follower, at once if there is news, else after a while. `None` if this leader
    /// cannot be sure that it still leads.
    pub async fn watch(
        &self,
        from: &DaemonId,
        watch: Watch,
        voters: Vec<DaemonId>,
    ) -> Option<News> {
        if watch.is_router {
            self.count_router(from);
            self.usage(from, watch.usage.clone());
        }
        let mut news = self.news.subscribe();
        let held = tokio::time::sleep(super::follow::HOLD);
        tokio::pin!(held);
        loop {
            news.borrow_and_update();
            if self.is_stopped.get() || self.has_news(&watch) {
                break;
            }
            tokio::select! {
                () = &mut held => break,
                _ = news.changed() => {}
            }
        }
        let news = self.news_for(from, &watch, voters);
        let is_sure = !self.is_stopped.get() && (self.parts.is_leased)();
        is_sure.then_some(news)
    }

    fn has_news(&self, watch: &Watch) -> bool {
        self.feed.borrow().cursor() != watch.cursor || self.has_document_for(watch)
    }

    /// Whether there is a document that a router lacks. Voters have it in their log.
    fn has_document_for(&self, watch: &Watch) -> bool {
        watch.is_router && self.version() > watch.routes
    }

    /// What a router is told of requests at targets; voters need none of it.
    fn loads_for(&self, from: &DaemonId, watch: &Watch) -> loads::Changes {
        if !watch.is_router {
            return loads::Changes::none(watch.loads);
        }
        let (now_ms, routers) = (self.parts.clock.now_ms(), self.routers.borrow().len());
        self.loads.borrow_mut().tell(now_ms, from, watch.loads, routers)
    }

    fn news_for(&self, from: &DaemonId, watch: &Watch, voters: Vec<DaemonId>) -> News {
        let is_newer = self.has_document_for(watch);
        News {
            term: self.term,
            batch: self.feed.borrow().since(watch.cursor),
            document: self.document.borrow().clone().filter(|_| is_newer),
            routers: self.routers.borrow().len().max(1) as u32,
            loads: self.loads_for(from, watch),
            voters,
        }
    }

    fn count_router(&self, router: &DaemonId) {
        let now_ms = self.parts.clock.now_ms();
        let mut routers = self.routers.borrow_mut();
        match routers.binary_search_by(|(known, _)| known.cmp(router)) {
            Ok(at) => routers[at].1 = now_ms,
            Err(at) => routers.insert(at, (router.clone(), now_ms)),
        }
    }

    fn carry_out(&self, actions: Vec<swap::Action>) {
        let mut changes = Vec::new();
        for action in actions {
            match action {
                swap::Action::Changed(target) => {
                    let entry = self.feed.borrow().table().find(&target).cloned();
                    changes.extend(entry.map(Change::Put));
                }
                swap::Action::Send(order) => self.send(order),
                swap::Action::Read { target, incarnation, address } => {
                    self.read(target, incarnation, address);
                }
            }
        }
        if !changes.is_empty() {
            let shown = changes.into_iter().map(|change| self.with_replicas(change)).collect();
            self.push(shown);
        }
        self.wake.notify_one();
    }

    fn send(&self, order: swap::Order) {
        // The lease is looked at right before, because a leader that was frozen wakes as one.
        if !(self.parts.is_leased)() {
            log::warn!("order {} of term {} is held back: no lease", order.ticket, self.term);
            let (target, ticket) = (order.target, order.ticket);
            self.later(swap::Event::Answered { target, ticket, reply: swap::Reply::Lost });
            return;
        }
        let own = self.parts.own.clone();
        let (target, ticket) = (order.target.clone(), order.ticket);
        let line = format!("{:?} {} at {target}", order.operation, order.model);
        let answered = self.parts.engines.order(own, order);
        self.spawn(async move {
            let reply = answered.await;
            log::info!("order {ticket}: {line}: {reply:?}");
            swap::Event::Answered { target, ticket, reply }
        });
    }

    fn read(&self, target: TargetId, incarnation: Incarnation, address: std::net::SocketAddr) {
        let asked = self.parts.engines.read(target.clone(), incarnation, address);
        self.spawn(async move { swap::Event::Read { target, reading: asked.await } });
    }

    fn later(&self, event: swap::Event) {
        self.spawn(async move { event });
    }

    fn spawn(&self, event: impl Future<Output = swap::Event> + 'static) {
        let own = Weak::clone(&self.own);
        let task = tokio::task::spawn_local(async move {
            let event = event.await;
            if let Some(leader) = own.upgrade() {
                leader.take_event(&event);
            }
        });
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }
}

impl Leader {
    /// Takes an event of placement: only the planner that knows its target heeds it.
    fn take_event(&self, event: &swap::Event) {
        let now_ms = self.parts.clock.now_ms();
        let mut actions = Vec::new();
        for (_, planner) in self.planners.borrow_mut().iter_mut() {
            actions.extend(planner.on(now_ms, event.clone()));
        }
        self.carry_out(actions);
    }
}

/// Looks at silent targets and routers until it is aborted.
async fn look(leader: Rc<Leader>) {
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        leader.watched(targets::Event::Tick);
        let now_ms = leader.parts.clock.now_ms();
        let effects = leader.directory.borrow_mut().tick(now_ms);
        leader.apply(effects);
        leader.loads.borrow_mut().forget_silent(now_ms);
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
