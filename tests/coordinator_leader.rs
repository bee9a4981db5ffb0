//! The leader's work on targets, with engines in memory and paused time.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescuebay::clock::BootClock;
use fescuebay::control::{departures, software};
use fescuebay::coordinator::leader::{AckCondition, Leader, LeaderContext, SoftwareRecord};
use fescuebay::coordinator::message::{self, WatchRequest};
use fescuebay::coordinator::software::MAX_PREPARATION_MS;
use fescuebay::coordinator::{EngineClient, daemon_at};
use fescuebay::ids::{
    DaemonId, Incarnation, ModelRef, ServiceName, SoftwareVersion, TargetId, Term,
};
use fescuebay::membership::feed::{FeedCursor, TableFeed};
use fescuebay::membership::table::{Standing, TargetEntry};
use fescuebay::membership::targets;
use fescuebay::placement::swap::demand::{RouterDemand, WaitingRequests};
use fescuebay::placement::swap::{EngineReport, Order, OrderReply, Settings};
use fescuebay::platform;
use fescuebay::rate_limit::TargetLife;
use fescuebay::rate_limit::statements::{StatedAt, Statements};
use fescuebay::routes::{Document, Version};
use fescuebay::target::order::{Cached, Held, Kind, Load, Phase, State, Tier};
use fescuebay::traffic::clock::Clock;
use fescuebay::units::Bytes;
use fescuebay::units::PerSecond;
use futures::future::LocalBoxFuture;
use tokio::task::LocalSet;

thread_local! {
    /// The time of the leader's clock.
    static NOW_MS: Cell<u64> = const { Cell::new(0) };
    /// What the voters have on record, whichever of them leads.
    static RECORDED: RefCell<departures::State> = RefCell::default();
    static SOFTWARE: RefCell<software::State> = RefCell::default();
    /// Changes of the software versions that are not on record yet.
    static SOFTWARE_CHANGES: RefCell<Vec<software::Command>> = RefCell::default();
}

/// The software versions that the voters have on record.
struct RecordedSoftware;

impl SoftwareRecord for RecordedSoftware {
    fn versions(&self, service: &ServiceName) -> Vec<SoftwareVersion> {
        SOFTWARE.with_borrow(|known| known.versions(service).to_vec())
    }

    fn mixed(&self) -> Vec<(ServiceName, Vec<SoftwareVersion>)> {
        SOFTWARE.with_borrow(|known| {
            let mixed = known.mixed();
            mixed.map(|(service, versions)| (service.clone(), versions.to_vec())).collect()
        })
    }

    /// A test applies it when it is due.
    fn record(&self, command: software::Command) {
        SOFTWARE_CHANGES.with_borrow_mut(|changes| changes.push(command));
    }
}

/// Engines that take every order and tell that they have taken none.
#[derive(Default)]
struct AcceptingEngines {
    orders: Rc<Cell<u32>>,
}

impl EngineClient for AcceptingEngines {
    fn send_order(&self, _holder: DaemonId, _order: Order) -> LocalBoxFuture<'static, OrderReply> {
        self.orders.set(self.orders.get() + 1);
        Box::pin(std::future::ready(OrderReply::Accepted))
    }

    fn read_state(
        &self,
        _target: TargetId,
        incarnation: Incarnation,
        _address: SocketAddr,
    ) -> LocalBoxFuture<'static, Option<EngineReport>> {
        let reading = EngineReport { incarnation: Some(incarnation), ..EngineReport::default() };
        Box::pin(std::future::ready(Some(reading)))
    }
}

const DOCUMENT: &str = r#"{"version":3,"routes":[],"services":[{"name":"engines","engine":
  {"slots":8,"weightsMb":230,"adapterSlots":2,"loadsPerS":3,"models":[
  {"name":"m0","weightsMb":200,"loadS":6,"warmS":0.6,"diskS":0.8},
  {"name":"m1","weightsMb":200,"loadS":6,"warmS":0.6,"diskS":0.8}]}}]}"#;

/// Unix time at the start of a test.
const UNIX_MS: u64 = 1_000_000;

fn router() -> DaemonId {
    daemon_at([10, 0, 0, 9].into())
}

fn model(name: &str) -> ModelRef {
    name.parse().unwrap()
}

/// An engine that holds m0 and has m1 on its disk.
fn state(target: &str, sequence: u64) -> State {
    State {
        software: None,
        target: target.parse().unwrap(),
        incarnation: Incarnation(7),
        sequence,
        kind: Kind::Assistant,
        availability_zone: "z".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        memory_bytes: Bytes(0),
        accelerators: 1,
        holds: vec![Held {
            model: model("m0"),
            version: "1".parse().unwrap(),
            phase: Phase::Loaded,
            memory_bytes: Bytes(0),
        }],
        cached: vec![Cached {
            model: model("m1"),
            version: "any".parse().unwrap(),
            tier: Tier::Disk,
        }],
        services: vec!["engines".parse().unwrap()],
        checks_fencing: true,
        load: Load { running: 0, waiting: 0, slots: 8 },
        leaving: false,
    }
}

fn context() -> LeaderContext {
    LeaderContext {
        own_id: daemon_at([10, 0, 0, 1].into()),
        clock: BootClock::with(|| NOW_MS.get()),
        engines: Rc::new(AcceptingEngines::default()),
        silence_timeouts: targets::SilenceTimeouts { suspect_ms: 3_600, dead_ms: 6_000 },
        placement: Settings::default(),
        is_leased: Rc::new(|| true),
        wall_clock: Clock::starting_at(UNIX_MS),
        record_departure: Rc::new(|command| {
            RECORDED.with_borrow_mut(|record| record.apply(command));
        }),
        find_departure: Rc::new(|target, life| {
            RECORDED.with_borrow(|known| known.find(target, life))
        }),
        software: Rc::new(RecordedSoftware),
    }
}

/// What a voter does before it acknowledges the word of a target.
fn acknowledge(when: AckCondition) {
    if let AckCondition::AfterRecord(command) = when {
        RECORDED.with_borrow_mut(|record| record.apply(command));
    }
}

fn announce(leader: &Rc<Leader>, state: State) {
    acknowledge(leader.handle_announcement(state));
}

/// The target "a" says that it is gone.
fn leave(leader: &Rc<Leader>, life: Option<Incarnation>) {
    acknowledge(leader.handle_departure(&"a".parse().unwrap(), life));
}

/// A leader that may not give orders yet.
fn leader() -> Rc<Leader> {
    let leader = Leader::start(Term(1), context(), &[]);
    leader.apply_document(Version(3), DOCUMENT.into(), platform::document::decode);
    leader
}

fn watch_request(cursor: FeedCursor) -> WatchRequest {
    let routes = Some(Version(3));
    let loads = FeedCursor::default();
    let (rate_limits, brittle, suspects, mixed_services) = (loads, loads, loads, loads);
    let usage = RouterDemand::default();
    WatchRequest {
        is_router: true,
        zone: Some("z".parse().unwrap()),
        cursor,
        loads,
        rate_limits,
        brittle,
        suspects,
        mixed_services,
        streams_told: mixed_services,
        routes,
        usage,
    }
}

async fn follow(leader: &Leader, feed: &mut TableFeed) {
    let news =
        leader.answer_watch(&router(), watch_request(feed.cursor()), Vec::new()).await.unwrap();
    feed.apply(news.batch);
}

#[tokio::test(start_paused = true)]
async fn a_target_that_left_is_taken_from_routers_while_placement_is_at_work() {
    LocalSet::new()
        .run_until(async {
            let leader = leader();
            announce(&leader, state("a", 1));
            announce(&leader, state("b", 1));
            let mut feed = TableFeed::default();
            follow(&leader, &mut feed).await;
            assert_eq!(feed.table().entries().len(), 2);
            tokio::time::sleep(Duration::from_millis(20)).await;
            // Placement may not order yet, so this waits for the next event.
            let waiting = vec![WaitingRequests {
                model: model("m1"),
                software: None,
                count: 1,
                slack_ms: 500,
            }];
            leader.record_usage(&router(), RouterDemand { waiting, ..RouterDemand::default() });
            tokio::time::sleep(Duration::from_millis(90)).await;
            leave(&leader, Some(Incarnation(7)));
            follow(&leader, &mut feed).await;
            let left: Vec<String> =
                feed.table().entries().iter().map(|entry| entry.target.to_string()).collect();
            assert_eq!(left, ["b"]);
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_late_announcement_does_not_bring_back_a_target_that_left() {
    LocalSet::new()
        .run_until(async {
            let leader = leader();
            leader.allow_orders();
            announce(&leader, state("a", 5));
            leave(&leader, None);
            announce(&leader, state("a", 4));
            announce(&leader, state("a", 6));
            let mut feed = TableFeed::default();
            follow(&leader, &mut feed).await;
            assert!(feed.table().entries().is_empty());
        })
        .await;
}

/// Version 0 is a version like any other.
#[tokio::test(start_paused = true)]
async fn a_first_document_of_version_0_reaches_followers() {
    LocalSet::new()
        .run_until(async {
            let leader = Leader::start(Term(1), context(), &[]);
            let text = DOCUMENT.replace(r#""version":3"#, r#""version":0"#);
            leader.apply_document(Version(0), text.into(), platform::document::decode);
            let asked = WatchRequest { routes: None, ..watch_request(FeedCursor::default()) };
            let news = leader.answer_watch(&router(), asked, Vec::new()).await.unwrap();
            assert_eq!(news.document.map(|(version, _)| version), Some(Version(0)));
        })
        .await;
}

/// The load: leadership is lost while it is being recorded who gives orders.
#[tokio::test(start_paused = true)]
async fn a_leader_that_has_stopped_gives_no_orders_when_it_is_allowed_to() {
    LocalSet::new()
        .run_until(async {
            for is_stopped in [false, true] {
                let orders = Rc::new(Cell::new(0));
                let engines = Rc::new(AcceptingEngines { orders: Rc::clone(&orders) });
                let leader = Leader::start(Term(1), LeaderContext { engines, ..context() }, &[]);
                leader.apply_document(Version(3), DOCUMENT.into(), platform::document::decode);
                // It is empty, so the first order is a load, at once.
                announce(&leader, State { holds: Vec::new(), ..state("a", 1) });
                tokio::time::sleep(Duration::from_millis(20)).await;
                let waiting = vec![WaitingRequests {
                    model: model("m1"),
                    software: None,
                    count: 1,
                    slack_ms: 500,
                }];
                leader.record_usage(&router(), RouterDemand { waiting, ..RouterDemand::default() });
                if is_stopped {
                    leader.stop();
                }
                NOW_MS.set(NOW_MS.get() + 100);
                leader.allow_orders();
                tokio::time::sleep(Duration::from_millis(200)).await;
                assert_eq!(orders.get() == 0, is_stopped, "{} orders", orders.get());
                assert_eq!(
                    leader.last_order_ms().is_none(),
                    is_stopped,
                    "a successor is told when"
                );
            }
        })
        .await;
}

/// The load: hundreds of routers, a thousand models, and documents in quick succession.
#[tokio::test(start_paused = true)]
async fn routers_are_told_a_document_without_its_models_and_voters_none() {
    LocalSet::new()
        .run_until(async {
            let told_bytes = |models: usize| async move {
                let leader = Leader::start(Term(1), context(), &[]);
                let model = |at| format!(r#"{{"name":"m{at}","weightsMb":50,"loadS":6}}"#);
                let models: Vec<String> = (0..models).map(model).collect();
                let (first, rest) = DOCUMENT.split_once(r#""models":["#).unwrap();
                let (_, last) = rest.split_once(']').unwrap();
                let text = format!(r#"{first}"models":[{}]{last}"#, models.join(","));
                leader.apply_document(Version(3), text.into(), platform::document::decode);
                let asked = WatchRequest { routes: None, ..watch_request(FeedCursor::default()) };
                let voter = WatchRequest { is_router: false, ..asked.clone() };
                let news = leader.answer_watch(&router(), voter, Vec::new()).await.unwrap();
                assert_eq!(news.document, None, "a voter has it in its log");
                let news = leader.answer_watch(&router(), asked, Vec::new()).await.unwrap();
                let (_, bytes) = news.document.unwrap();
                let document: Document = message::decode(&bytes).unwrap();
                assert_eq!(document.version, Version(3));
                assert!(document.services.iter().any(|service| service.engine.is_some()));
                bytes.len()
            };
            assert_eq!(told_bytes(1).await, told_bytes(1_000).await);
        })
        .await;
}

/// The load: an announcement that a cut held up, of a life that is over, at the address of another.
#[tokio::test(start_paused = true)]
async fn a_late_announcement_of_an_earlier_life_changes_nothing() {
    LocalSet::new()
        .run_until(async {
            let leader = leader();
            leader.allow_orders();
            let born = |life, sequence, port: u16| State {
                incarnation: Incarnation(life),
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                ..state("a", sequence)
            };
            announce(&leader, born(7, 40, 1));
            announce(&leader, born(9, 1, 2));
            announce(&leader, born(7, 41, 1));
            let mut feed = TableFeed::default();
            follow(&leader, &mut feed).await;
            let shown = |feed: &TableFeed| -> Vec<(u64, u16)> {
                let entries = feed.table().entries().iter();
                entries.map(|entry| (entry.incarnation.0, entry.address.port())).collect()
            };
            assert_eq!(shown(&feed), [(9, 2)]);
            // Its word that it is gone comes later still.
            leave(&leader, Some(Incarnation(7)));
            tokio::time::sleep(Duration::from_millis(300)).await;
            let mut feed = TableFeed::default();
            follow(&leader, &mut feed).await;
            assert_eq!(shown(&feed), [(9, 2)]);
        })
        .await;
}

/// The load: a target crashes, and another one of another service starts at its address.
#[tokio::test(start_paused = true)]
async fn an_address_given_to_another_service_is_shown_for_what_it_is_now() {
    LocalSet::new()
        .run_until(async {
            let leader = leader();
            leader.allow_orders();
            announce(&leader, state("old", 3));
            let services = vec!["desk".parse().unwrap()];
            let kind = Kind::Application;
            let holds = Vec::new();
            announce(&leader, State { services, kind, holds, ..state("new", 1) });
            let mut feed = TableFeed::default();
            follow(&leader, &mut feed).await;
            let shown: Vec<(String, String)> = feed
                .table()
                .entries()
                .iter()
                .map(|entry| (entry.target.to_string(), entry.services[0].to_string()))
                .collect();
            let expected = [("new", "desk"), ("old", "engines")];
            let expected = expected.map(|(id, service)| (id.to_owned(), service.to_owned()));
            // The old one is doubted only by its silence; calls name the target that they mean.
            assert_eq!(shown, expected);
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_leader_without_a_lease_tells_no_news() {
    LocalSet::new()
        .run_until(async {
            let leader = leader();
            leader.allow_orders();
            announce(&leader, state("a", 1));
            leader.stop();
            let asked = watch_request(FeedCursor::default());
            assert!(leader.answer_watch(&router(), asked, Vec::new()).await.is_none());
        })
        .await;
}

/// What a follower of `leader` has, from which another daemon starts to lead.
async fn followed_entries(leader: &Leader) -> Vec<TargetEntry> {
    let mut feed = TableFeed::default();
    follow(leader, &mut feed).await;
    feed.table().entries().to_vec()
}

/// The standing of each target that routers are shown.
async fn standings(leader: &Leader) -> Vec<Standing> {
    followed_entries(leader).await.iter().map(|entry| entry.standing).collect()
}

/// The load: the leader changes between a target's word that it leaves and an older announcement,
/// which a partition held up.
#[tokio::test(start_paused = true)]
async fn a_late_announcement_does_not_bring_back_a_target_that_told_another_leader_that_it_leaves()
{
    LocalSet::new()
        .run_until(async {
            let first = Leader::start(Term(1), context(), &[]);
            announce(&first, state("a", 4));
            announce(&first, State { leaving: true, ..state("a", 9) });
            let entries = followed_entries(&first).await;
            let second = Leader::start(Term(2), context(), &entries);
            announce(&second, state("a", 5));
            assert_eq!(standings(&second).await, [Standing::Leaving]);
        })
        .await;
}

/// The load: the same, for a target that says at once that it is gone.
#[tokio::test(start_paused = true)]
async fn a_late_announcement_does_not_bring_back_a_target_that_left_under_a_new_leader() {
    LocalSet::new()
        .run_until(async {
            let first = Leader::start(Term(1), context(), &[]);
            announce(&first, state("a", 4));
            let entries = followed_entries(&first).await;
            let second = Leader::start(Term(2), context(), &entries);
            leave(&second, Some(Incarnation(7)));
            announce(&second, state("a", 5));
            assert_eq!(standings(&second).await, []);
        })
        .await;
}

/// The load: all voters have started again, and the first word of a target is that it is gone.
#[tokio::test(start_paused = true)]
async fn a_late_announcement_does_not_bring_in_a_target_that_left_unheard_of() {
    LocalSet::new()
        .run_until(async {
            let leader = Leader::start(Term(1), context(), &[]);
            leave(&leader, Some(Incarnation(7)));
            announce(&leader, state("a", 5));
            assert_eq!(standings(&leader).await, []);
        })
        .await;
}

/// The load: the leader has recorded a word and is lost before its followers hear of the change.
#[tokio::test(start_paused = true)]
async fn a_leader_that_inherits_an_older_table_shows_who_has_left_since() {
    LocalSet::new()
        .run_until(async {
            let first = Leader::start(Term(1), context(), &[]);
            announce(&first, state("a", 4));
            announce(&first, state("b", 4));
            let entries = followed_entries(&first).await;
            announce(&first, State { leaving: true, ..state("b", 9) });
            leave(&first, Some(Incarnation(7)));
            let second = Leader::start(Term(2), context(), &entries);
            assert_eq!(standings(&second).await, [Standing::Leaving]);
        })
        .await;
}

/// The load: all voters have lost power, and a target that nobody has heard of leaves without saying
/// which life of it does.
#[tokio::test(start_paused = true)]
async fn a_target_that_left_without_naming_its_life_comes_back_in_a_later_one_alone() {
    LocalSet::new()
        .run_until(async {
            let leader = Leader::start(Term(1), context(), &[]);
            leave(&leader, None);
            let born = |life| State { incarnation: Incarnation(life), ..state("a", 5) };
            announce(&leader, born(UNIX_MS / 2));
            assert_eq!(standings(&leader).await, []);
            announce(&leader, born(UNIX_MS + 1));
            assert_eq!(standings(&leader).await, [Standing::Up]);
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn only_a_word_that_is_not_on_record_yet_has_to_wait_for_it() {
    LocalSet::new()
        .run_until(async {
            let leader = leader();
            let leaving = |sequence| State { leaving: true, ..state("a", sequence) };
            assert_eq!(leader.handle_announcement(state("a", 1)), AckCondition::Immediate);
            let first = leader.handle_announcement(leaving(2));
            assert!(matches!(first, AckCondition::AfterRecord(_)), "it relies on it");
            let again = leader.handle_announcement(leaving(2));
            assert_eq!(again, first, "nothing is on record yet, whatever this leader shows");
            acknowledge(first);
            assert_eq!(leader.handle_announcement(leaving(3)), AckCondition::Immediate);
            let gone = leader.handle_departure(&"a".parse().unwrap(), None);
            assert!(matches!(gone, AckCondition::AfterRecord(_)));
            acknowledge(gone);
            assert_eq!(
                leader.handle_departure(&"a".parse().unwrap(), Some(Incarnation(7))),
                AckCondition::Immediate
            );
        })
        .await;
}

/// The load: a target said to a router alone that it leaves, and goes on to announce itself as before.
#[tokio::test(start_paused = true)]
async fn what_a_target_said_to_one_router_reaches_the_others_and_stays() {
    LocalSet::new()
        .run_until(async {
            let leader = leader();
            announce(&leader, state("a", 4));
            announce(&leader, state("b", 4));
            let leaving = |life| vec![("a".parse().unwrap(), Incarnation(life))];
            leader.record_usage(
                &router(),
                RouterDemand { leaving: leaving(6), ..RouterDemand::default() },
            );
            assert_eq!(standings(&leader).await, [Standing::Up, Standing::Up], "an earlier life");
            leader.record_usage(
                &router(),
                RouterDemand { leaving: leaving(7), ..RouterDemand::default() },
            );
            assert_eq!(standings(&leader).await, [Standing::Leaving, Standing::Up]);
            announce(&leader, state("a", 5));
            assert_eq!(standings(&leader).await, [Standing::Leaving, Standing::Up]);
            let entries = followed_entries(&leader).await;
            let next = Leader::start(Term(2), context(), &entries);
            announce(&next, state("a", 6));
            assert_eq!(standings(&next).await, [Standing::Leaving, Standing::Up]);
        })
        .await;
}

/// The load: documents in quick succession while requests wait for models.
#[tokio::test(start_paused = true)]
async fn an_order_that_is_due_when_a_document_comes_is_sent() {
    LocalSet::new()
        .run_until(async {
            let orders = Rc::new(Cell::new(0));
            let engines = Rc::new(AcceptingEngines { orders: Rc::clone(&orders) });
            let leader = Leader::start(Term(1), LeaderContext { engines, ..context() }, &[]);
            leader.allow_orders();
            leader.apply_document(Version(3), DOCUMENT.into(), platform::document::decode);
            announce(&leader, State { holds: Vec::new(), ..state("a", 1) });
            tokio::time::sleep(Duration::from_millis(20)).await;
            // Two reports at one moment: the round after the second is not due yet.
            leader.record_usage(&router(), RouterDemand::default());
            let waiting = vec![WaitingRequests {
                model: model("m1"),
                software: None,
                count: 1,
                slack_ms: 500,
            }];
            leader.record_usage(&router(), RouterDemand { waiting, ..RouterDemand::default() });
            assert_eq!(orders.get(), 0);
            NOW_MS.set(NOW_MS.get() + 50);
            let text = DOCUMENT.replace(r#""version":3"#, r#""version":4"#);
            leader.apply_document(Version(4), text.into(), platform::document::decode);
            tokio::time::sleep(Duration::from_millis(200)).await;
            assert_eq!(orders.get(), 1, "the engine is taken for at work, and was told nothing");
        })
        .await;
}

/// Guards against a router that starts under a new leader, is told of a target and not of its limit,
/// and sends all that waits.
#[tokio::test(start_paused = true)]
async fn a_new_leader_tells_the_limits_that_were_named_under_the_one_before() {
    LocalSet::new()
        .run_until(async {
            let life = TargetLife { target: "a".parse().unwrap(), incarnation: Incarnation(7) };
            let mut known = Statements::default();
            let at = StatedAt { sent_ms: NOW_MS.get(), read_ms: NOW_MS.get() };
            known.record_limit(&life, Some(PerSecond(2.0)), at);
            let next = Leader::start(Term(2), context(), &[]);
            next.inherit_rate_limits(&known);
            next.apply_document(Version(3), DOCUMENT.into(), platform::document::decode);
            let asked = watch_request(FeedCursor::default());
            let news = next.answer_watch(&router(), asked, Vec::new()).await.unwrap();
            let (_, told) = news.rate_limits.expect("it has another position");
            let told: Vec<_> = told.iter().map(|told| (&told.life, told.limit)).collect();
            assert_eq!(told, [(&life, Some(PerSecond(2.0)))]);
        })
        .await;
}

/// Waits until a further software version may be put on record, and applies the changes as a voter does.
async fn record_software(leader: &Leader) {
    tokio::time::sleep(Duration::from_millis(MAX_PREPARATION_MS + 300)).await;
    let changes = SOFTWARE_CHANGES.take();
    for change in changes {
        SOFTWARE.with_borrow_mut(|known| known.apply(change));
    }
    leader.handle_software_change();
}

fn of_version(state: State, software: &str) -> State {
    State { software: Some(software.parse().unwrap()), ..state }
}

fn shown(feed: &TableFeed) -> Vec<String> {
    feed.table().entries().iter().map(|entry| entry.target.to_string()).collect()
}

/// Whoever takes up a stream relies on the record: a version that is not on it has begun none.
#[tokio::test(start_paused = true)]
async fn a_target_of_a_new_software_version_is_shown_once_the_version_is_on_record() {
    LocalSet::new()
        .run_until(async {
            let leader = leader();
            let mut feed = TableFeed::default();
            announce(&leader, of_version(state("a", 1), "v1"));
            follow(&leader, &mut feed).await;
            assert!(shown(&feed).is_empty(), "no version is on record");
            record_software(&leader).await;
            announce(&leader, of_version(state("b", 1), "v2"));
            announce(&leader, of_version(state("c", 1), "v2"));
            follow(&leader, &mut feed).await;
            assert_eq!(shown(&feed), ["a"]);
            record_software(&leader).await;
            let watch = watch_request(feed.cursor());
            let news = leader.answer_watch(&router(), watch, Vec::new()).await.unwrap();
            feed.apply(news.batch);
            assert_eq!(shown(&feed), ["a", "b", "c"]);
            let (_, mixed) = news.mixed_services.unwrap();
            assert_eq!(mixed, ["engines".parse().unwrap()], "told with the targets at the latest");
        })
        .await;
}

/// A target that starts again under its id with a version that is not on record is not shown as it was.
#[tokio::test(start_paused = true)]
async fn a_target_that_returns_with_a_new_software_version_is_not_shown_with_the_old_one() {
    LocalSet::new()
        .run_until(async {
            let leader = leader();
            let mut feed = TableFeed::default();
            announce(&leader, of_version(state("a", 1), "v1"));
            record_software(&leader).await;
            follow(&leader, &mut feed).await;
            assert_eq!(shown(&feed), ["a"]);
            let again = State { incarnation: Incarnation(8), ..state("a", 1) };
            announce(&leader, of_version(again, "v2"));
            follow(&leader, &mut feed).await;
            assert!(shown(&feed).is_empty());
            record_software(&leader).await;
            follow(&leader, &mut feed).await;
            let entry = feed.table().entries()[0].clone();
            assert_eq!(entry.software, Some("v2".parse().unwrap()));
        })
        .await;
}

/// A change of the record that failed is tried again, and a version without targets is taken off it late.
#[tokio::test(start_paused = true)]
async fn a_software_version_leaves_the_record_long_after_its_last_target() {
    LocalSet::new()
        .run_until(async {
            let leader = leader();
            announce(&leader, of_version(state("a", 1), "v1"));
            SOFTWARE_CHANGES.take();
            leader.handle_software_change();
            assert_eq!(SOFTWARE_CHANGES.with_borrow(Vec::len), 1, "tried again");
            record_software(&leader).await;
            announce(&leader, of_version(state("b", 1), "v2"));
            record_software(&leader).await;
            let versions =
                || SOFTWARE.with_borrow(|known| known.versions(&"engines".parse().unwrap()).len());
            assert_eq!(versions(), 2);
            let wait = async |sequence: u64, ms: u64| {
                for step in 0..ms / 1_000 {
                    announce(&leader, of_version(state("b", sequence + step), "v2"));
                    tokio::time::sleep(Duration::from_millis(1_000)).await;
                }
            };
            leave(&leader, Some(Incarnation(7)));
            wait(2, 590_000).await;
            assert_eq!(SOFTWARE_CHANGES.with_borrow(Vec::clone), []);
            wait(600, 20_000).await;
            record_software(&leader).await;
            assert_eq!(versions(), 1);
        })
        .await;
}
