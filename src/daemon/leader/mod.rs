//! What the leader of the control group does beside the log: it keeps the directory of targets
//! and daemons, feeds the route table to all, and decides placement.

mod catalogue;
mod checks;
mod lives;
mod permits;
mod show;

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::config;
use crate::consensus;
use crate::control::commands;
use crate::control::machine::State;
use crate::daemon::core::Core;
use crate::daemon::follow;
use crate::daemon::message::{Expected, FleetNews, News, Places, Reply, Version, Watch};
use crate::daemon::ports::Ports;
use crate::ids::{DaemonId, ModelRef, Revision, TargetId, Term, Zone};
use crate::membership::daemons;
use crate::membership::daemons::DaemonRegistry;
use crate::membership::directory::{self, DirectoryEffect, TargetDirectory};
use crate::membership::feed::{FeedBatch, TableFeed};
use crate::membership::targets::TargetReport;
use crate::placement::planner::{Action, Event, Planner};
use crate::placement::{demand, driver, ledger, settings};
use crate::rate_limit::schedule::PermitSchedule;
use crate::target::{Target, order};

/// Time between two looks at the daemons and targets.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Looks between two ticks of the replicated state.
const LOOKS_PER_TICK: u64 = 10;
/// Looks until lives that a new leader has not heard of count as over: as long as a silent daemon
/// takes to count as gone.
const FIRST_SEARCH: u64 = daemons::GONE_MS / LOOK_PAUSE.as_millis() as u64;
/// Looks between two searches for such lives.
const LOOKS_PER_SEARCH: u64 = 600;
/// Time for one order or question to a target.
const ORDER_LIMIT: Duration = Duration::from_millis(2_000);

/// What a leader's placement works with.
#[derive(Clone)]
pub struct Parts {
    /// The address that orders come from.
    pub own_ip: IpAddr,
    /// The bearer token of orders.
    pub order_token: String,
    /// Which targets check fencing numbers.
    pub fencing: crate::settings::FencingChecks,
}

/// The leader of one term.
pub struct Leader {
    term: Term,
    parts: Parts,
    directory: RefCell<TargetDirectory>,
    feed: RefCell<TableFeed>,
    daemons: RefCell<DaemonRegistry>,
    places: RefCell<Places>,
    planner: Rc<RefCell<Planner>>,
    events: mpsc::UnboundedSender<Event>,
    expected: RefCell<Vec<(ModelRef, u64)>>,
    catalogue: RefCell<catalogue::Sent>,
    news: watch::Sender<u64>,
    revision: Cell<Revision>,
    cold: checks::Cold,
    /// Permits for limited targets, and the version of their limits.
    permits: RefCell<PermitSchedule>,
    rate_limits: Cell<Version>,
    now_ms: Cell<u64>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Leader {
    /// Begins to lead in `term`, from the route table that this daemon has.
    pub fn start(core: &Rc<Core>, term: Term) -> Rc<Self> {
        let now_ms = core.now_ms();
        let directory = {
            let feed = core.feed.borrow();
            TargetDirectory::from_entries(now_ms, feed.table().entries(), &|target, life| {
                core.departure(target, life)
            })
        };
        let entries = directory.entries();
        let planner = Rc::new(RefCell::new(Planner::new(term, placement_settings(core, term))));
        let ports = Rc::new(Ports::new(
            core.parts.placement.own_ip,
            core.parts.placement.order_token.clone(),
        ));
        let sink: Rc<RefCell<Option<std::rc::Weak<Leader>>>> = Rc::default();
        let driver_ports = driver::DriverPorts {
            lookup: lookup(&sink, ports),
            sink: take_actions(&sink),
            state_sink: Rc::new(|_| ()),
            now_ms: {
                let clock = core.parts.clock;
                Rc::new(move || clock.now_ms())
            },
            call_timeout: ORDER_LIMIT,
        };
        let (driver, events) = driver::Driver::new(Rc::clone(&planner), driver_ports);
        let leader = Rc::new(Self {
            term,
            parts: core.parts.placement.clone(),
            directory: RefCell::new(directory),
            feed: RefCell::new(TableFeed::new(term, entries)),
            daemons: RefCell::default(),
            places: RefCell::new(Places {
                version: Version { term, number: 1 },
                list: core.places.borrow().list.clone(),
            }),
            planner,
            events,
            expected: RefCell::default(),
            catalogue: RefCell::default(),
            news: watch::Sender::new(0),
            revision: Cell::new(Revision(0)),
            cold: checks::Cold::default(),
            permits: RefCell::new(permits::inherited(core, now_ms)),
            rate_limits: Cell::new(Version { term, number: 1 }),
            now_ms: Cell::new(now_ms),
            tasks: RefCell::default(),
        });
        sink.replace(Some(Rc::downgrade(&leader)));
        // Their states are waited for before the first order: a replica that this leader does not
        // know of would not be counted.
        let runners = leader.feed.borrow().table().entries().to_vec();
        let runners = runners.into_iter().filter(|entry| entry.kind == order::Kind::Assistant);
        let known = runners.map(|entry| entry.target).collect();
        let _ = leader.events.send(Event::KnownTargets(known));
        leader.take_fleet(core);
        let driving = tokio::task::spawn_local(driver.run());
        let looking = tokio::task::spawn_local(look(Rc::clone(core), Rc::clone(&leader)));
        leader.tasks.borrow_mut().extend([driving, looking]);
        log::info!("leading in term {term}");
        leader
    }

    /// Ends its work. Orders that are on their way expire or are fenced off.
    pub fn stop(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        log::info!("no longer leading in term {}", self.term);
    }

    /// Takes a heartbeat, and answers it with news or after a while.
    ///
    /// Only a leader whose lease is valid answers, so that nobody takes old news for new.
    pub async fn watch(self: &Rc<Self>, core: &Rc<Core>, watch: Watch) -> Reply {
        let changes =
            self.daemons.borrow_mut().handle_heartbeat(core.now_ms(), watch.heartbeat.clone());
        self.daemons_changed(core, changes);
        self.resume_life(core, &watch.heartbeat);
        let mut news = self.news.subscribe();
        let held = tokio::time::sleep(follow::HOLD);
        tokio::pin!(held);
        loop {
            news.borrow_and_update();
            let found = self.news_for(core, &watch);
            if found.as_ref().is_some_and(is_news) {
                break;
            }
            tokio::select! {
                () = &mut held => break,
                _ = news.changed() => {}
            }
        }
        let is_leased = core.node().is_some_and(|node| node.status().lease_left_ms > 0);
        let still_leads = core.leader.borrow().as_ref().is_some_and(|now| Rc::ptr_eq(now, self));
        match self.news_for(core, &watch) {
            Some(news) if is_leased && still_leads => Reply::News(Box::new(news)),
            _ => Reply::NotLeader(None),
        }
    }

    fn news_for(&self, core: &Core, watch: &Watch) -> Option<News> {
        let revision = watch.heartbeat.revision;
        let poison_revision = watch.poison;
        let (fleet, poison) = core.with_state(|state| {
            let fleet = FleetNews::since(&state.config, revision);
            let query = crate::control::poison::Query::Since(poison_revision);
            (fleet, crate::control::poison::answer(&state.poison, query))
        })?;
        let poison = match poison {
            crate::control::poison::Answer::Feed(feed) if feed.revision != poison_revision => {
                Some(feed)
            }
            _ => None,
        };
        let places = self.places.borrow();
        Some(News {
            term: self.term,
            batch: self.feed.borrow().since(watch.cursor),
            fleet,
            daemons: (places.version != watch.daemons).then(|| places.clone()),
            poison,
            rate_limits: self.rate_limits_for(core.now_ms(), watch),
        })
    }

    /// Takes the reports of a home daemon.
    pub fn reports(&self, core: &Core, from: &DaemonId, reports: Vec<TargetReport>) -> Reply {
        let recorded = |target: &TargetId, life| core.departure(target, life);
        let mut effects = Vec::new();
        for report in
            reports.into_iter().filter_map(|report| directory::apply_departure(report, &recorded))
        {
            let place = match &report {
                TargetReport::State(state, _) => {
                    Some((state.target.clone(), state.availability_zone.clone()))
                }
                TargetReport::Gone(..) => None,
            };
            effects.extend(self.directory.borrow_mut().report(from, report));
            // One that is new was not there when the operators' drains were looked at.
            if let Some((target, zone)) = place {
                let is_drained = self.is_drained(core, &target, &zone);
                effects.extend(self.directory.borrow_mut().set_target_drained(&target, is_drained));
            }
        }
        self.apply(effects);
        Reply::Done
    }

    /// Takes the demand of a router, and tells when replicas are expected.
    pub fn demand(&self, now_ms: u64, from: &DaemonId, entries: Vec<demand::DemandEntry>) -> Reply {
        let models: Vec<ModelRef> = entries.iter().map(|entry| entry.model.clone()).collect();
        self.cold.note(now_ms, self.feed.borrow().table(), &entries);
        let report = demand::DemandReport { daemon: from.clone(), entries };
        let _ = self.events.send(Event::DemandReported(report));
        let expected = self.expected.borrow();
        let known = models.into_iter().filter_map(|model| {
            let at = expected.binary_search_by(|(known, _)| known.cmp(&model)).ok()?;
            let in_ms = expected[at].1.checked_sub(now_ms)?;
            Some(Expected { model, in_ms })
        });
        Reply::Expected(known.collect())
    }

    /// A command was committed: those who wait for news may have some.
    pub fn committed(&self, core: &Core, outcome: &commands::Outcome) {
        match outcome {
            commands::Outcome::Config(_) => self.take_fleet(core),
            commands::Outcome::Poison(_) => self.tell(),
            _ => {}
        }
    }

    /// What changes of the configuration are checked against.
    pub fn facts(&self, core: &Core) -> config::Facts {
        let planner = self.planner.borrow();
        let memory = |account: &ledger::TargetAccount| {
            let zone = account.availability_zone.clone();
            (account.target.clone(), zone, account.capacity_bytes)
        };
        let targets: Vec<_> = planner.ledger().accounts().iter().map(memory).collect();
        let zones = core.parts.daemons.iter().map(|(_, zone)| zone.clone()).collect();
        config::Facts::new(targets, zones, core.parts.tenants.clone())
    }

    /// Those who wait look again for news.
    fn tell(&self) {
        self.news.send_modify(|number| *number += 1);
    }

    /// Takes a newer configuration to placement and to drains.
    fn take_fleet(&self, core: &Core) {
        let found = core.with_state(|state| state.config.fleet().clone());
        let Some(fleet) = found else { return };
        self.revision.set(fleet.revision());
        let events = self.catalogue.borrow_mut().update(&fleet, core.now_ms());
        events.into_iter().for_each(|event| drop(self.events.send(event)));
        self.look_at_drains(core);
        self.tell();
    }

    /// Shows which targets operators have taken out by now: a drain may have ended by itself.
    fn look_at_drains(&self, core: &Core) {
        let effects = self
            .directory
            .borrow_mut()
            .set_drained(|entry| self.is_drained(core, &entry.target, &entry.availability_zone));
        self.apply(effects);
    }

    fn is_drained(&self, core: &Core, target: &TargetId, zone: &Zone) -> bool {
        let now_ms = core.now_ms();
        let is_drained =
            |state: &State| catalogue::is_drained(state.config.fleet(), target, zone, now_ms);
        core.with_state(is_drained).unwrap_or_default()
    }

    fn apply(&self, effects: Vec<DirectoryEffect>) {
        let mut changes = Vec::new();
        for effect in effects {
            match effect {
                DirectoryEffect::Table(change) => {
                    self.cold.end(self.now_ms.get(), &change);
                    changes.push(change);
                }
                DirectoryEffect::State(mut state) => {
                    checks::check_memory(&state, self.now_ms.get());
                    let announced = state.checks_fencing;
                    state.checks_fencing =
                        self.parts.fencing.is_checked_by(&state.target, announced);
                    let _ = self.events.send(Event::TargetAnnounced(*state));
                }
                DirectoryEffect::Gone(target, incarnation) => {
                    log::info!("target {target} is gone");
                    let _ = self.events.send(Event::TargetGone { target, incarnation });
                }
            }
        }
        if !changes.is_empty() {
            self.feed.borrow_mut().push(changes);
            self.tell();
        }
    }

    fn look(&self, core: &Rc<Core>) {
        let now_ms = core.now_ms();
        let elapsed_ms = now_ms.saturating_sub(self.now_ms.replace(now_ms));
        checks::check_replicas(&self.planner.borrow(), now_ms, elapsed_ms);
        let changes = self.daemons.borrow_mut().tick(now_ms);
        self.daemons_changed(core, changes);
        let effects = self.directory.borrow_mut().tick(now_ms);
        self.apply(effects);
    }

    fn take_action(&self, action: &Action) {
        match action {
            Action::ExpectReady { model, ready_at_ms } => {
                let mut expected = self.expected.borrow_mut();
                match expected.binary_search_by(|(known, _)| known.cmp(model)) {
                    Ok(at) => expected[at].1 = *ready_at_ms,
                    Err(at) => expected.insert(at, (model.clone(), *ready_at_ms)),
                }
            }
            Action::ReplicasDecided { weights, count } => {
                metrics::counter!("fescuebay_placement_decisions_total").increment(1);
                log::info!("model {}: {count} replicas decided", weights.model);
            }
            Action::CannotLoad { model, reason } => {
                metrics::counter!("fescuebay_placement_given_up_total").increment(1);
                log::warn!("model {model} cannot be loaded now: {reason:?}");
            }
            Action::SendOrder { .. } | Action::ReadState { .. } => {}
        }
    }

    fn port_of(&self, target: &TargetId, ports: &Ports) -> Option<Arc<dyn Target>> {
        self.feed.borrow().table().find(target).map(|entry| ports.get(entry))
    }
}

/// Whether a watcher should be answered at once.
fn is_news(news: &News) -> bool {
    let is_same_fleet = matches!(news.fleet, FleetNews::Same);
    news.batch != FeedBatch::Empty
        || !is_same_fleet
        || news.daemons.is_some()
        || news.poison.is_some()
        || news.rate_limits.is_some()
}

/// Looks after daemons, targets and the time of the replicated state until it is aborted.
async fn look(core: Rc<Core>, leader: Rc<Leader>) {
    let mut looks: u64 = 0;
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        leader.look(&core);
        looks += 1;
        if looks % LOOKS_PER_SEARCH == FIRST_SEARCH {
            leader.end_unknown_lives(&core);
        }
        if looks.is_multiple_of(LOOKS_PER_TICK) {
            leader.look_at_drains(&core);
            let core = Rc::clone(&core);
            tokio::task::spawn_local(async move {
                let _ = core.propose(commands::Command::Tick).await;
            });
        }
    }
}

type Slot = Rc<RefCell<Option<std::rc::Weak<Leader>>>>;

fn leader_in(slot: &Slot) -> Option<Rc<Leader>> {
    slot.borrow().as_ref().and_then(std::rc::Weak::upgrade)
}

fn lookup(slot: &Slot, ports: Rc<Ports>) -> driver::TargetLookup {
    let slot = Rc::clone(slot);
    Rc::new(move |target| leader_in(&slot)?.port_of(target, &ports))
}

fn take_actions(slot: &Slot) -> driver::ActionSink {
    let slot = Rc::clone(slot);
    Box::new(move |action| {
        if let Some(leader) = leader_in(&slot) {
            leader.take_action(action);
        }
    })
}

fn placement_settings(core: &Core, term: Term) -> settings::Settings {
    let base = core.with_state(|state| state.config.fleet().base().clone()).unwrap_or_default();
    let starts_per_s = base.store_starts_per_s.0.ceil().max(1.0) as usize;
    let settings = settings::Settings::new()
        .store_limits(starts_per_s, base.store_at_once)
        .adapters_in_transit(base.adapters_in_transit)
        .lease_ms(consensus::timing::Timing::default().lease_ms)
        .order_limit_ms(ORDER_LIMIT.as_millis() as u64);
    // The only voter in the first term of its group follows no other leader.
    let is_first = core.parts.voters.len() == 1 && term == Term(1);
    if is_first { settings.takeover_ms(0) } else { settings }
}
