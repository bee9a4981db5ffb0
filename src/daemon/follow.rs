//! How a daemon follows its leader: news come in, reports and demand go out.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::config;
use crate::control::outcomes;
use crate::control::outcomes::Promise;
use crate::daemon::core::{ASK_LIMIT, Core};
use crate::daemon::message::{FleetNews, News, Reply, Request, Watch};
use crate::ids::Term;
use crate::membership::daemons::Heartbeat;
use crate::membership::{feed, targets};

/// Time for which a leader holds a question without news.
pub const HOLD: Duration = Duration::from_millis(1_200);
/// Time within which an accepted change must be in force at a daemon.
const IN_FORCE_MS: u64 = 9_000;
/// Time for one question for news: the leader's hold and two ways.
const WATCH_LIMIT: Duration = Duration::from_millis(2_200);
/// Pause after a question without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Shortest time between two messages of demand, so that a burst makes one.
const DEMAND_PAUSE: Duration = Duration::from_millis(20);
/// Pause before permits are asked for, so that a burst of requests makes one message.
const PERMIT_PAUSE: Duration = Duration::from_millis(2);
/// Time for one question for permits: after this, requests do without one.
const PERMIT_LIMIT: Duration = Duration::from_millis(300);
/// Time between two looks at the watched targets.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Follows the leader until it is dropped.
pub async fn follow(core: Rc<Core>) {
    let mut last_term = Term(0);
    loop {
        let asked_ms = core.now_ms();
        let request = Request::Watch(Box::new(question(&core)));
        match core.ask_leader(request, WATCH_LIMIT).await {
            Ok(Reply::News(news)) => {
                if news.term > last_term {
                    last_term = news.term;
                    log::info!("following the leader of term {last_term}");
                    core.report_all();
                    core.parts.traffic.leader_changed();
                }
                if news.term == last_term {
                    take(&core, *news, asked_ms);
                }
            }
            _ => {
                metrics::counter!("fescuebay_news_missed_total").increment(1);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn question(core: &Core) -> Watch {
    Watch {
        heartbeat: Heartbeat {
            daemon: core.id().clone(),
            incarnation: core.parts.owner.incarnation,
            availability_zone: core.parts.availability_zone.clone(),
            revision: core.parts.published.fleet.load().revision(),
            target_address: core.parts.target_address,
            is_leaving: core.is_leaving.get(),
        },
        cursor: core.feed.borrow().cursor(),
        daemons: core.places.borrow().version,
        poison: core.parts.published.poison.load().revision(),
        rate_limits: core.rate_limits.get(),
    }
}

fn take(core: &Core, news: News, asked_ms: u64) {
    if let Some(places) = news.daemons {
        core.places.replace(places);
    }
    // Limits go before the targets that they are for: requests may wait for those.
    let told = news.rate_limits.map(|(version, told)| {
        core.rate_limits.set(version);
        told
    });
    let daemons = core.places.borrow().list.len() as u32;
    core.parts.traffic.rate_limits_told(daemons, &told.unwrap_or_default());
    take_batch(core, news.batch);
    if let Some(feed) = news.poison {
        let mirror = core.parts.published.poison.load().after(&feed);
        core.parts.published.poison.store(Arc::new(mirror));
    }
    take_fleet(core, news.fleet, asked_ms);
}

fn take_batch(core: &Core, batch: feed::FeedBatch) {
    let followed = core.feed.borrow_mut().apply(batch);
    match followed {
        feed::ApplyOutcome::Unchanged => {}
        feed::ApplyOutcome::Gap => {
            metrics::counter!("fescuebay_table_resyncs_total").increment(1);
            core.feed.replace(feed::TableFeed::default());
        }
        feed::ApplyOutcome::Applied => {
            let table = core.feed.borrow().table().clone();
            core.parts.published.table.store(Arc::new(table));
            core.parts.traffic.notify_table_changed();
        }
    }
}

/// Puts a newer configuration in force. A revision never falls.
fn take_fleet(core: &Core, news: FleetNews, asked_ms: u64) {
    let published = &core.parts.published;
    let mut fleet = config::Fleet::clone(&published.fleet.load());
    match news {
        FleetNews::Same => return published.confirm(asked_ms),
        FleetNews::Changes(changes) => {
            let now_ms = core.now_ms();
            changes.iter().for_each(|accepted| count_in_force(accepted, now_ms));
            let is_gap = |accepted| fleet.follow(accepted) == config::Followed::Gap;
            if changes.iter().any(is_gap) {
                metrics::counter!("fescuebay_fleet_gaps_total").increment(1);
                return;
            }
        }
        FleetNews::Whole(whole) if whole.revision() > fleet.revision() => fleet = *whole,
        FleetNews::Whole(_) => return,
    }
    log::info!("configuration revision {} is in force", fleet.revision());
    published.fleet.store(Arc::new(fleet));
    published.confirm(asked_ms);
}

/// Counts whether a change came into force here within its bound.
fn count_in_force(accepted: &config::Accepted, now_ms: u64) {
    let after_ms = now_ms.saturating_sub(accepted.at_ms);
    let is_in_time = after_ms <= IN_FORCE_MS;
    let late = || format!("revision {} came into force after {after_ms} ms", accepted.revision);
    outcomes::count(|tally| {
        let held = is_in_time.then_some(()).ok_or_else(late);
        tally.check(now_ms, Promise::ConfigurationInForce, held);
    });
}

/// Watches the targets whose home this daemon is, until it is dropped.
pub async fn look(core: Rc<Core>) {
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        core.watched(targets::TargetEvent::Tick);
    }
}

/// Passes on reports of watched targets until it is dropped. Reports that failed are sent again,
/// before later ones.
pub async fn report(core: Rc<Core>) {
    loop {
        core.report_wake.notified().await;
        while !core.reports.borrow().is_empty() {
            let reports = core.reports.borrow().clone();
            let count = reports.len();
            let term = core.feed_term();
            match core.ask_leader(Request::Reports(reports), ASK_LIMIT).await {
                Ok(Reply::Done) if core.feed_term() == term => {
                    let mut reports = core.reports.borrow_mut();
                    let sent = count.min(reports.len());
                    reports.drain(..sent);
                }
                // The list was made anew for another leader meanwhile.
                Ok(Reply::Done) => {}
                _ => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }
}

/// Passes on demand until it is dropped. Demand that failed is superseded by the next report.
pub async fn tell_demand(core: Rc<Core>) {
    loop {
        core.demand_wake.notified().await;
        let entries = core.demand.take();
        if entries.is_empty() {
            continue;
        }
        match core.ask_leader(Request::Demand(entries), ASK_LIMIT).await {
            Ok(Reply::Expected(expected)) => core.expect(expected),
            _ => metrics::counter!("fescuebay_demand_lost_total").increment(1),
        }
        tokio::time::sleep(DEMAND_PAUSE).await;
    }
}

/// Asks the leader for permits that the traffic wants, and tells it of rate limits, until it is
/// dropped.
pub async fn ask_permits(core: Rc<Core>) {
    loop {
        core.parts.traffic.permits_wanted().await;
        tokio::time::sleep(PERMIT_PAUSE).await;
        let asks = core.parts.traffic.permit_asks();
        if asks.is_empty() {
            continue;
        }
        let asked_ms = core.now_ms();
        let asked = core.ask_leader(Request::Permits(asks.clone()), PERMIT_LIMIT);
        match tokio::time::timeout(PERMIT_LIMIT, asked).await {
            Ok(Ok(Reply::Permits(grants))) => {
                core.parts.traffic.permits_granted(asked_ms, &asks, Some(&grants));
            }
            _ => {
                log::info!("no leader grants permits");
                metrics::counter!("fescuebay_permit_asks_lost_total").increment(1);
                core.parts.traffic.permits_granted(asked_ms, &asks, None);
            }
        }
    }
}
