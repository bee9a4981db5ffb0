//! Starts and stops a router process.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt as _};
use http::StatusCode;
use tokio::sync::watch;

use super::access::RevocationSettings;
use super::proxy::RequestSource;
use super::state::RouterState;
use super::{
    Error, RequestProtocol, Result, forward, leases, origins, overload, poison, proxy, quota,
    retry_budget,
};
use crate::clock::BootClock;
use crate::coordinator::client::VoterClient;
use crate::coordinator::message::{Reply, Request};
use crate::coordinator::{daemon_at, follow};
use crate::peer;
use crate::settings::vm;
use crate::stop;
use crate::web::held::MemoryBounds;
use crate::web::server::{self, Phase};
use crate::web::{self, socket};

/// Time after the stop signal during which connections are still accepted: the upstream load
/// balancer checks readiness once a second, and stops sending requests after two failed checks.
const LINGER_TIME: Duration = Duration::from_millis(2_800);
/// Part of the shutdown time that is reserved for the exit of the process.
const STOP_MARGIN_MS: u64 = 600;
/// Longest time between two readiness requests on one connection.
const READINESS_IDLE_MS: u64 = 60_000;
/// Pause after a demand report, so that a burst of requests causes one message.
const DEMAND_PAUSE: Duration = Duration::from_millis(8);
/// Timeout of a demand report to the leader.
const DEMAND_TIMEOUT_MS: u64 = 600;
/// Pause before permits are asked for, so that a burst of requests causes one message.
const PERMIT_PAUSE: Duration = Duration::from_millis(2);
/// Timeout of asking the leader for permits: after this, requests do without one.
const PERMIT_TIMEOUT_MS: u64 = 300;
/// Interval at which idle connections and the queue are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Dependencies of a router other than its settings.
pub struct Dependencies {
    /// Reads requests and writes the headers of attempts.
    pub protocol: &'static dyn RequestProtocol,
}

/// Runs a router on the current `LocalSet` until `stop` is signalled.
///
/// # Errors
/// An address is missing from the settings or cannot be listened on.
pub async fn run(
    settings: &vm::Settings,
    client: Rc<VoterClient>,
    dependencies: Dependencies,
    mut stop: stop::Signal,
) -> Result<()> {
    let missing = |step| move || Report::new(Error { step });
    let callers = settings.vm.callers.ok_or_else(missing("read the address for callers"))?;
    let ready = settings.vm.readiness.ok_or_else(missing("read the address for readiness"))?;
    let clock = BootClock::system();
    let zone = settings.vm.availability_zone.clone();
    let memory = MemoryBounds::of_memory(settings.vm.memory_mb);
    let router = RouterState::builder(settings.vm.ip, zone.clone(), dependencies.protocol)
        .clock(clock)
        .forward_port(settings.vm.peer_port)
        .revocation(RevocationSettings {
            fail_closed: settings.workspaces.fail_closed,
            max_age_ms: settings.workspaces.revoke_ms.0,
        })
        .budget(retry_budget::RetryBudgetSettings {
            ratio: settings.retries.ratio,
            slack: settings.retries.slack,
            window_ms: settings.retries.window_ms.0,
        })
        .memory(memory)
        .build();
    let callers = server::listen(callers).change_context(Error { step: "listen for callers" })?;
    let forwarded = SocketAddr::new(settings.vm.ip, settings.vm.peer_listen_port);
    let forwarded = server::listen(forwarded)
        .change_context(Error { step: "listen for requests of other routers" })?;
    if let Some(bytes) = memory.send_buffer_bytes {
        socket::limit_send_buffer(&callers, bytes);
        socket::limit_send_buffer(&forwarded, bytes);
    }
    let ready =
        server::listen(ready).change_context(Error { step: "listen for readiness checks" })?;
    let (phase, phases) = watch::channel(Phase::Open);

    let follower: Rc<dyn follow::Follower> = Rc::clone(&router) as _;
    let following = follow::FollowerState::new(clock);
    let follow = follow::follow_leader(Rc::clone(&client), following, follower, Some(zone.clone()));
    tokio::task::spawn_local(follow);
    tokio::task::spawn_local(report_demand(Rc::clone(&client), Rc::clone(&router)));
    tokio::task::spawn_local(ask_permits(Rc::clone(&client), Rc::clone(&router)));
    tokio::task::spawn_local(serve_permits(Rc::clone(&router)));
    tokio::task::spawn_local(leases::ask_slots(Rc::clone(&client), Rc::clone(&router)));
    tokio::task::spawn_local(quota::ask_quota(Rc::clone(&client), Rc::clone(&router)));
    tokio::task::spawn_local(origins::ask_origins(Rc::clone(&client), Rc::clone(&router)));
    tokio::task::spawn_local(origins::report_streams(Rc::clone(&client), Rc::clone(&router)));
    router.voters.replace(Some(client));
    tokio::task::spawn_local(poison::report_observations(Rc::clone(&router)));
    tokio::task::spawn_local(sweep(Rc::clone(&router)));
    if settings.vm.memory_mb.is_some() {
        tokio::task::spawn_local(overload::watch(Rc::clone(&router)));
    }
    serve_readiness(ready, &router, phases.clone());
    let serving = tokio::task::spawn_local(futures::future::join(
        serve_requests(
            forwarded,
            Rc::clone(&router),
            forwarded_handler(Rc::clone(&router)),
            phases.clone(),
        ),
        serve_requests(callers, Rc::clone(&router), handler(Rc::clone(&router)), phases),
    ));
    log::info!("router {} serves callers", daemon_at(settings.vm.ip));

    stop.wait().await;
    log::info!("router {} is draining", daemon_at(settings.vm.ip));
    let remaining_ms = settings.stop_limit_ms.0.saturating_sub(STOP_MARGIN_MS);
    router.plan_exit(clock.now_ms() + remaining_ms);
    let _ = phase.send(Phase::Lingering);
    tokio::time::sleep(LINGER_TIME).await;
    let _ = phase.send(Phase::Closing);
    let left = Duration::from_millis(remaining_ms).saturating_sub(LINGER_TIME);
    if tokio::time::timeout(left, serving).await.is_err() {
        log::warn!("shutdown timeout expired before all requests had ended");
    }
    Ok(())
}

/// Creates a client of the voters for a router with these settings.
pub fn client(settings: &vm::Settings) -> Rc<VoterClient> {
    let first = settings.group.first.iter().map(|ip| daemon_at(*ip)).collect();
    let pool = peer::client::Pool::new(settings.identity(), settings.vm.ip);
    VoterClient::new(pool, daemon_at(settings.vm.ip), settings.vm.peer_port, first)
}

async fn serve_requests(
    listener: tokio::net::TcpListener,
    router: Rc<RouterState>,
    handler: server::Handler,
    phases: watch::Receiver<Phase>,
) {
    let head = move || {
        let index = router.index();
        let limits = index.as_ref().map(|index| index.document().limits).unwrap_or_default();
        server::Settings {
            head_timeout_ms: limits.idle_timeout_ms.max(limits.head_timeout_ms),
            max_head_bytes: limits.max_head_bytes,
        }
    };
    server::serve(listener, head, handler, phases).await;
}

/// The handler of requests of callers.
pub fn handler(router: Rc<RouterState>) -> server::Handler {
    Rc::new(move |request| {
        let router = Rc::clone(&router);
        Box::pin(proxy::handle_request(router, request, RequestSource::Caller))
    })
}

/// The handler of requests that other routers forward.
pub fn forwarded_handler(router: Rc<RouterState>) -> server::Handler {
    Rc::new(move |request| Box::pin(forward::handle_forwarded(Rc::clone(&router), request)))
}

fn serve_readiness(
    listener: tokio::net::TcpListener,
    router: &Rc<RouterState>,
    phases: watch::Receiver<Phase>,
) {
    let router = Rc::clone(router);
    let handler = server::handler(move |_| {
        let is_ready = router.is_ready();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        std::future::ready(Ok::<_, Infallible>(web::empty(status)))
    });
    let head = || server::Settings { head_timeout_ms: READINESS_IDLE_MS, max_head_bytes: 16 << 10 };
    tokio::task::spawn_local(server::serve(listener, head, handler, phases));
}

/// Reports demand to the leader at once, such as a request for a model that no target has loaded.
async fn report_demand(client: Rc<VoterClient>, router: Rc<RouterState>) {
    loop {
        router.demand_changed.notified().await;
        let usage = Request::Usage(Box::new(router.take_usage()));
        if client.ask_leader(&usage, DEMAND_TIMEOUT_MS, DEMAND_TIMEOUT_MS).await.is_err() {
            metrics::counter!("fescuebay_demand_lost_total").increment(1);
        }
        tokio::time::sleep(DEMAND_PAUSE).await;
    }
}

/// Asks the leader for permits when requests wait for some, and tells it of rate limits.
async fn ask_permits(client: Rc<VoterClient>, router: Rc<RouterState>) {
    loop {
        router.permits_wanted.notified().await;
        tokio::time::sleep(PERMIT_PAUSE).await;
        let asks = router.take_permit_asks();
        if asks.is_empty() {
            continue;
        }
        let asked_ms = router.now_ms();
        let request = Request::Permits(asks.clone());
        match client.ask_leader(&request, PERMIT_TIMEOUT_MS, PERMIT_TIMEOUT_MS).await {
            Ok(Reply::Permits(grants)) => router.apply_grants(asked_ms, &asks, Some(&grants)),
            other => {
                log::info!("no leader grants permits: {:?}", other.err());
                metrics::counter!("fescuebay_permit_asks_lost_total").increment(1);
                router.apply_grants(asked_ms, &asks, None);
            }
        }
    }
}

/// Serves waiting requests when a permit starts or may be asked for.
async fn serve_permits(router: Rc<RouterState>) {
    loop {
        let changed = router.permits_changed.notified();
        match router.next_permit_change_ms() {
            Some(at_ms) => {
                let wait_ms = at_ms.saturating_sub(router.now_ms()).max(1);
                tokio::select! {
                    () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {
                        router.dispatch_waiting();
                    }
                    () = changed => {}
                }
            }
            None => changed.await,
        }
    }
}

/// Closes expired idle connections, and retries the assignment of waiting requests: the time for
/// which a target is avoided ends without an event.
async fn sweep(router: Rc<RouterState>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now_ms = router.now_ms();
        router.pool.borrow_mut().close_expired(now_ms);
        router.dispatch_waiting();
        metrics::gauge!("fescuebay_held_bytes").set(router.held.held_bytes() as f64);
    }
}
