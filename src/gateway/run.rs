//! Starts and stops the role of a router.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt as _};
use http::StatusCode;
use tokio::sync::watch;

use super::shared::Shared;
use super::{Error, Protocol, Result, budget, exchange};
use crate::clock::BootClock;
use crate::coordinator::client::VoterClient;
use crate::coordinator::message::Request;
use crate::coordinator::{daemon_at, follow};
use crate::peer;
use crate::settings::vm;
use crate::stop;
use crate::web;
use crate::web::server::{self, Phase};

/// Time after the signal to stop in which connections are still accepted: the balancer asks once a
/// second, and sends nothing more after two misses.
const LINGER: Duration = Duration::from_millis(2_800);
/// Part of the time for a stop that is kept for the end of the process.
const STOP_MARGIN_MS: u64 = 600;
/// Time between two requests of the balancer.
const READINESS_HEAD_MS: u64 = 60_000;
/// Pause after demand was told, so that a wave makes one message.
const DEMAND_PAUSE: Duration = Duration::from_millis(8);
/// Time for the leader to take demand.
const DEMAND_MS: u64 = 600;
/// Time between two looks at connections that wait and at requests that may be served now.
const SWEEP_PAUSE: Duration = Duration::from_millis(250);

/// What a router needs beside its settings.
pub struct Parts {
    /// How requests are read and passed on.
    pub protocol: &'static dyn Protocol,
}

/// Runs a router on the current `LocalSet` until `stop` says so.
///
/// # Errors
/// An address cannot be listened on.
pub async fn run(
    settings: &vm::Settings,
    client: Rc<VoterClient>,
    parts: Parts,
    mut stop: stop::Signal,
) -> Result<()> {
    let missing = |step| move || Report::new(Error { step });
    let callers = settings.vm.callers.ok_or_else(missing("read the address for callers"))?;
    let ready = settings.vm.readiness.ok_or_else(missing("read the address for readiness"))?;
    let clock = BootClock::system();
    let zone = settings.vm.availability_zone.clone();
    let shared = Shared::builder(settings.vm.ip, zone, parts.protocol)
        .clock(clock)
        .budget(budget::Settings {
            ratio: settings.retries.ratio,
            slack: settings.retries.slack,
            window_ms: settings.retries.window_ms.0,
        })
        .build();
    let callers = server::listen(callers).change_context(Error { step: "listen for callers" })?;
    let ready = server::listen(ready).change_context(Error { step: "listen for the balancer" })?;
    let (phase, phases) = watch::channel(Phase::Open);

    let follower: Rc<dyn follow::Follower> = Rc::clone(&shared) as _;
    let following = follow::FollowerState::new(clock);
    tokio::task::spawn_local(follow::follow_leader(Rc::clone(&client), following, follower, true));
    tokio::task::spawn_local(tell_demand(Rc::clone(&client), Rc::clone(&shared)));
    tokio::task::spawn_local(sweep(Rc::clone(&shared)));
    serve_readiness(ready, &shared, phases.clone());
    let serving = tokio::task::spawn_local(serve_callers(callers, Rc::clone(&shared), phases));
    log::info!("router {} serves callers", daemon_at(settings.vm.ip));

    stop.wait().await;
    log::info!("router {} drains", daemon_at(settings.vm.ip));
    let left_ms = settings.stop_limit_ms.0.saturating_sub(STOP_MARGIN_MS);
    shared.stop_at(clock.now_ms() + left_ms);
    let _ = phase.send(Phase::Lingering);
    tokio::time::sleep(LINGER).await;
    let _ = phase.send(Phase::Closing);
    let left = Duration::from_millis(left_ms).saturating_sub(LINGER);
    if tokio::time::timeout(left, serving).await.is_err() {
        log::warn!("some requests did not end before the limit of the stop");
    }
    Ok(())
}

/// A client of the voters for a router with these settings.
pub fn client(settings: &vm::Settings) -> Rc<VoterClient> {
    let first = settings.group.first.iter().map(|ip| daemon_at(*ip)).collect();
    let pool = peer::client::Pool::new(settings.identity(), settings.vm.ip);
    VoterClient::new(pool, daemon_at(settings.vm.ip), settings.vm.peer_port, first)
}

async fn serve_callers(
    listener: tokio::net::TcpListener,
    shared: Rc<Shared>,
    phases: watch::Receiver<Phase>,
) {
    let limits = Rc::clone(&shared);
    let head = move || {
        let index = limits.index();
        let limits = index.as_ref().map(|index| index.document().limits).unwrap_or_default();
        server::Settings {
            head_timeout_ms: limits.idle_timeout_ms.max(limits.head_timeout_ms),
            max_head_bytes: limits.max_head_bytes,
        }
    };
    server::serve(listener, head, handler(shared), phases).await;
}

/// Answers the requests of callers.
pub fn handler(shared: Rc<Shared>) -> server::Handler {
    Rc::new(move |request| Box::pin(exchange::serve(Rc::clone(&shared), request)))
}

fn serve_readiness(
    listener: tokio::net::TcpListener,
    shared: &Rc<Shared>,
    phases: watch::Receiver<Phase>,
) {
    let shared = Rc::clone(shared);
    let handler = server::handler(move |_| {
        let is_ready = shared.is_ready();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        std::future::ready(Ok::<_, Infallible>(web::empty(status)))
    });
    let head = || server::Settings { head_timeout_ms: READINESS_HEAD_MS, max_head_bytes: 16 << 10 };
    tokio::task::spawn_local(server::serve(listener, head, handler, phases));
}

/// Tells the leader at once of requests that wait for a model which no target holds.
async fn tell_demand(client: Rc<VoterClient>, shared: Rc<Shared>) {
    loop {
        shared.demand_wake.notified().await;
        let usage = Request::Usage(Box::new(shared.take_usage()));
        if client.ask_leader(&usage, DEMAND_MS, DEMAND_MS).await.is_err() {
            metrics::counter!("fescuebay_demand_lost_total").increment(1);
        }
        tokio::time::sleep(DEMAND_PAUSE).await;
    }
}

/// Closes connections that waited too long, and looks again at what waits: a target that was
/// avoided may be used again without any other news.
async fn sweep(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_PAUSE).await;
        let now_ms = shared.now_ms();
        shared.pool.borrow_mut().sweep(now_ms);
        shared.pump();
    }
}
