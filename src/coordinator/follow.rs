//! Follows the leader's news: the route table and the document of routes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use super::client::Client;
use super::loads;
use super::message::{self, News, Reply, Request, Watch};
use crate::clock::BootClock;
use crate::ids::{DaemonId, Term};
use crate::membership::feed;
use crate::placement::swap::demand;
use crate::routes;

/// Time for which a leader holds a question without news.
pub const HOLD: Duration = Duration::from_millis(400);
/// Time for one question: the leader's hold and the ways.
const WATCH_LIMIT_MS: u64 = 1_100;
/// Time after which a question that nobody answered is asked anew.
const GIVE_UP_MS: u64 = 2_000;
/// Pause after a question without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What a follower does with news.
pub trait Follower {
    /// What it has waiting and running now.
    fn usage(&self) -> demand::Usage;

    /// Takes a document that is higher than all before.
    fn take_document(&self, document: routes::Document);

    /// The route table has changed.
    fn table_changed(&self, feed: &feed::TableFeed);

    /// Another leader tells news from now on: it may not have heard of all targets yet.
    fn leader_changed(&self);

    /// Takes how many routers there are, and what changed in what they have running together.
    fn take_load(&self, routers: u32, changes: &loads::Changes);
}

/// How far a daemon follows.
pub struct State {
    /// The route table.
    pub feed: RefCell<feed::TableFeed>,
    clock: BootClock,
    term: RefCell<Term>,
    loads: RefCell<feed::FeedCursor>,
    version: RefCell<Option<routes::Version>>,
    heard_ms: RefCell<Option<u64>>,
}

impl State {
    /// Nothing is known yet.
    pub fn new(clock: BootClock) -> Rc<Self> {
        Rc::new(Self {
            feed: RefCell::default(),
            clock,
            term: RefCell::default(),
            loads: RefCell::default(),
            version: RefCell::default(),
            heard_ms: RefCell::default(),
        })
    }

    /// How long ago a leader answered; `None` if none ever has.
    pub fn silent_ms(&self) -> Option<u64> {
        let heard_ms = (*self.heard_ms.borrow())?;
        Some(self.clock.now_ms().saturating_sub(heard_ms))
    }
}

/// Follows the leader until it is dropped.
pub async fn follow(
    client: Rc<Client>,
    state: Rc<State>,
    follower: Rc<dyn Follower>,
    is_router: bool,
) {
    loop {
        let watch = Watch {
            is_router,
            cursor: state.feed.borrow().cursor(),
            loads: *state.loads.borrow(),
            routes: *state.version.borrow(),
            usage: follower.usage(),
        };
        let request = Request::Watch(Box::new(watch));
        match client.ask_leader(&request, WATCH_LIMIT_MS, GIVE_UP_MS).await {
            Ok(Reply::News(news)) => take(&client, &state, &*follower, *news),
            other => {
                metrics::counter!("fescuebay_news_missed_total").increment(1);
                log::debug!("no news of a leader: {:?}", other.err());
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn take(client: &Client, state: &State, follower: &dyn Follower, news: News) {
    let known = *state.term.borrow();
    if news.term < known {
        log::warn!("news of the old term {} are dropped; {known} is known", news.term);
        return;
    }
    if news.term > known {
        state.term.replace(news.term);
        let leader = client.leader().map(|leader: DaemonId| leader.to_string());
        log::info!("following the leader {leader:?} of term {}", news.term);
        follower.leader_changed();
    }
    state.heard_ms.replace(Some(state.clock.now_ms()));
    client.learn(&news.voters);
    if let Some((version, bytes)) = news.document
        && Some(version) > *state.version.borrow()
    {
        // One that cannot be read is not asked for again and again.
        state.version.replace(Some(version));
        match message::decode(&bytes) {
            Ok(document) => follower.take_document(document),
            Err(error) => log::error!("document {version} cannot be read: {error}"),
        }
    }
    state.loads.replace(news.loads.cursor);
    follower.take_load(news.routers, &news.loads);
    let followed = state.feed.borrow_mut().apply(news.batch);
    match followed {
        feed::ApplyOutcome::Unchanged => {}
        feed::ApplyOutcome::Applied => follower.table_changed(&state.feed.borrow()),
        feed::ApplyOutcome::Gap => {
            metrics::counter!("fescuebay_table_resyncs_total").increment(1);
            state.feed.replace(feed::TableFeed::default());
        }
    }
}
