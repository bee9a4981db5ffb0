//! Follows the leader by long polling: replicates the route table and the route document.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use super::client::VoterClient;
use super::loads;
use super::message::{self, Reply, Request, WatchRequest, WatchResponse};
use super::speeds::SpeedChanges;
use crate::clock::BootClock;
use crate::ids::{DaemonId, ServiceName, Term, Zone};
use crate::membership::feed;
use crate::placement::swap::demand;
use crate::placement::swap::expected::ExpectedLoad;
use crate::poison::message::Statement;
use crate::poison::registry::Registry;
use crate::rate_limit::message::TargetStatement;
use crate::rate_limit::statements::{Limit, Statements};
use crate::routes;
use crate::slot_lease::MaxRejections;
use crate::slot_lease::message::BrittleNews;

/// Time for which a leader holds a long poll without updates.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of one attempt: the leader's hold and the round trip.
const WATCH_ATTEMPT_TIMEOUT_MS: u64 = 1_100;
/// Timeout of a watch request over all attempts.
const WATCH_TIMEOUT_MS: u64 = 2_000;
/// Pause after a watch request without a response.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Handles the updates of a leader.
pub trait Follower {
    /// The requests waiting and running at this follower.
    fn usage(&self) -> demand::RouterDemand;

    /// Applies a document with a higher version than all before.
    fn apply_document(&self, document: routes::Document);

    /// Handles a change of the route table.
    fn handle_table_change(&self, feed: &feed::TableFeed);

    /// Applies what targets said of their rate limits to any router.
    fn apply_rate_limits(&self, told: &[TargetStatement]);

    /// Applies what brittle targets said to any router.
    fn apply_brittle(&self, told: &[BrittleNews]);

    /// Applies what is known of requests that may crash targets.
    fn apply_suspects(&self, told: &[Statement]);

    /// Applies which services have targets of more than one software version, before the route table that
    /// shows them.
    fn apply_mixed_services(&self, cursor: feed::FeedCursor, services: &[ServiceName]);

    /// The last of these changes after which the leader was told of all streams.
    fn streams_told(&self) -> feed::FeedCursor;

    /// Handles a change of the leader. The new one may not know all targets yet.
    fn handle_leader_change(&self);

    /// Applies when the models that requests wait for here are expected to be loaded.
    fn apply_expected_loads(&self, told: &[ExpectedLoad]);

    /// Applies the number of routers and the changes of their running requests in total.
    fn apply_loads(&self, routers: u32, changes: &loads::LoadChanges);

    /// Applies changes of the speeds of targets.
    fn apply_speeds(&self, _changes: &SpeedChanges) {}
}

/// The replicated state of a follower.
pub struct FollowerState {
    /// The route table.
    pub feed: RefCell<feed::TableFeed>,
    clock: BootClock,
    term: RefCell<Term>,
    loads: RefCell<feed::FeedCursor>,
    rate_limits_cursor: RefCell<feed::FeedCursor>,
    /// What targets last said of their rate limits.
    pub rate_limits: RefCell<Statements>,
    brittle_cursor: RefCell<feed::FeedCursor>,
    /// What targets last said that are brittle or were.
    pub brittle: RefCell<Statements<MaxRejections>>,
    suspects_cursor: RefCell<feed::FeedCursor>,
    mixed_services_cursor: RefCell<feed::FeedCursor>,
    /// What the leader said last of requests that may crash targets.
    pub suspects: RefCell<Registry>,
    version: RefCell<Option<routes::Version>>,
    heard_ms: RefCell<Option<u64>>,
    /// The voters of the group, as the leader said last.
    voters: RefCell<Option<Vec<DaemonId>>>,
}

impl FollowerState {
    /// Creates an empty state.
    pub fn new(clock: BootClock) -> Rc<Self> {
        Rc::new(Self {
            feed: RefCell::default(),
            clock,
            term: RefCell::default(),
            loads: RefCell::default(),
            rate_limits_cursor: RefCell::default(),
            rate_limits: RefCell::default(),
            brittle_cursor: RefCell::default(),
            brittle: RefCell::default(),
            suspects_cursor: RefCell::default(),
            mixed_services_cursor: RefCell::default(),
            suspects: RefCell::default(),
            version: RefCell::default(),
            heard_ms: RefCell::default(),
            voters: RefCell::default(),
        })
    }

    /// Whether the leader counts a daemon among the voters. `None` if no leader has responded yet.
    pub fn is_voter(&self, daemon: &DaemonId) -> Option<bool> {
        self.voters.borrow().as_ref().map(|voters| voters.contains(daemon))
    }

    /// Time since the last response of a leader. `None` if there has been none.
    pub fn silent_ms(&self) -> Option<u64> {
        let heard_ms = (*self.heard_ms.borrow())?;
        Some(self.clock.now_ms().saturating_sub(heard_ms))
    }
}

/// Follows the leader until it is dropped; as a router if a zone is given.
pub async fn follow_leader(
    client: Rc<VoterClient>,
    state: Rc<FollowerState>,
    follower: Rc<dyn Follower>,
    zone: Option<Zone>,
) {
    loop {
        let watch = WatchRequest {
            is_router: zone.is_some(),
            zone: zone.clone(),
            cursor: state.feed.borrow().cursor(),
            loads: *state.loads.borrow(),
            rate_limits: *state.rate_limits_cursor.borrow(),
            brittle: *state.brittle_cursor.borrow(),
            suspects: *state.suspects_cursor.borrow(),
            mixed_services: *state.mixed_services_cursor.borrow(),
            streams_told: follower.streams_told(),
            routes: *state.version.borrow(),
            usage: follower.usage(),
        };
        let request = Request::Watch(Box::new(watch));
        match client.ask_leader(&request, WATCH_ATTEMPT_TIMEOUT_MS, WATCH_TIMEOUT_MS).await {
            Ok(Reply::Watch(response)) => apply_response(&client, &state, &*follower, *response),
            other => {
                metrics::counter!("fescuebay_news_missed_total").increment(1);
                log::debug!("no updates from a leader: {:?}", other.err());
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn apply_response(
    client: &VoterClient,
    state: &FollowerState,
    follower: &dyn Follower,
    response: WatchResponse,
) {
    let known = *state.term.borrow();
    if response.term < known {
        log::warn!(
            term = response.term.0, known_term = known.0;
            "dropping updates of term {}: term {known} is known", response.term
        );
        return;
    }
    if response.term > known {
        state.term.replace(response.term);
        let leader = client.leader().map(|leader: DaemonId| leader.to_string());
        log::info!(
            leader:? = leader, term = response.term.0, term_before = known.0,
            leader_silent_ms:? = state.silent_ms();
            "following the leader {leader:?} of term {}", response.term
        );
        follower.handle_leader_change();
    }
    state.heard_ms.replace(Some(state.clock.now_ms()));
    client.set_voters(&response.voters);
    state.voters.replace(Some(response.voters));
    if let Some((version, bytes)) = response.document
        && Some(version) > *state.version.borrow()
    {
        // The version is set first, so that an unreadable document is not requested repeatedly.
        state.version.replace(Some(version));
        match message::decode(&bytes) {
            Ok(document) => follower.apply_document(document),
            Err(error) => log::error!("document {version} cannot be read: {error}"),
        }
    }
    let now_ms = state.clock.now_ms();
    if let Some((cursor, told)) = &response.rate_limits {
        state.rate_limits_cursor.replace(*cursor);
        record_all(now_ms, &mut state.rate_limits.borrow_mut(), told.iter());
        follower.apply_rate_limits(told);
    }
    if let Some((cursor, told)) = &response.brittle {
        state.brittle_cursor.replace(*cursor);
        let statements = told.iter().map(|news| &news.statement);
        record_all(now_ms, &mut state.brittle.borrow_mut(), statements);
        follower.apply_brittle(told);
    }
    if let Some((cursor, told)) = &response.suspects {
        state.suspects_cursor.replace(*cursor);
        state.suspects.replace(Registry::from_statements(state.clock.now_ms(), told));
        follower.apply_suspects(told);
    }
    if let Some((cursor, services)) = &response.mixed_services {
        state.mixed_services_cursor.replace(*cursor);
        follower.apply_mixed_services(*cursor, services);
    }
    follower.apply_expected_loads(&response.expected_loads);
    state.loads.replace(response.loads.cursor);
    follower.apply_loads(response.routers, &response.loads);
    if let Some(changes) = &response.speeds {
        follower.apply_speeds(changes);
    }
    let followed = state.feed.borrow_mut().apply(response.batch);
    match followed {
        feed::ApplyOutcome::Unchanged => {}
        feed::ApplyOutcome::Applied => follower.handle_table_change(&state.feed.borrow()),
        feed::ApplyOutcome::Gap => {
            metrics::counter!("fescuebay_table_resyncs_total").increment(1);
            state.feed.replace(feed::TableFeed::default());
        }
    }
}

/// Keeps what targets said, for when this daemon leads.
fn record_all<'a, L: Limit + 'a>(
    now_ms: u64,
    known: &mut Statements<L>,
    told: impl Iterator<Item = &'a TargetStatement<L>>,
) {
    for statement in told {
        known.record_limit(&statement.life, statement.limit, statement.stated_at(now_ms));
    }
}
