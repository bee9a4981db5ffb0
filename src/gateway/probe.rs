//! Probes targets of a service while attempts at them fail, to learn whether all of them are out of reach.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt as _};
use http_body_util::Full;

use super::AttemptOptions;
use super::access::Identity;
use super::reach::{FIRST_PROBES, ProbeStep, ReachChange};
use super::state::RouterState;
use crate::ids::ServiceName;
use crate::membership::table::{Standing, TargetEntry};
use crate::rate_limit::TargetLife;
use crate::web::{self, client};

/// Timeout of one probe.
const PROBE_TIMEOUT_MS: u64 = 400;
/// Time without an answer to the first probes of a round after which the others are sent.
const FIRST_PROBES_WAIT: Duration = Duration::from_millis(PROBE_TIMEOUT_MS / 2);
/// Largest response to a probe, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

impl RouterState {
    /// Records that a target of the service has answered something.
    pub(super) fn note_reached(&self, service: &ServiceName) {
        let change = self.reach.borrow_mut().record_answer(self.now_ms(), service);
        self.apply_reach_change(service, change);
    }

    /// Records that an attempt at a target failed as if it were out of reach, and probes others.
    pub(super) fn note_unreached(self: &Rc<Self>, service: &ServiceName, target: TargetLife) {
        let mut reach = self.reach.borrow_mut();
        reach.record_failure(service, target);
        if reach.begin_probing(service) {
            drop(reach);
            tokio::task::spawn_local(probe_service(Rc::clone(self), service.clone()));
        }
    }

    fn apply_reach_change(&self, service: &ServiceName, change: ReachChange) {
        match change {
            ReachChange::Unchanged => return,
            ReachChange::Lost => log::warn!(
                service:% = service, table_age_ms:? = self.table_age_ms(),
                table:% = self.table_version.get();
                "no target of service {service} can be reached from here"
            ),
            ReachChange::Regained { after_ms } => log::info!(
                service:% = service, after_ms = after_ms, table_age_ms:? = self.table_age_ms();
                "targets of service {service} can be reached again"
            ),
        }
        let lost = self.reach.borrow().lost_services().len();
        metrics::gauge!("fescuebay_services_out_of_reach").set(lost as f64);
        // The leader names no router that reaches no target itself.
        self.demand_changed.notify_one();
        self.reach_changed.notify_waiters();
        self.dispatch_waiting();
    }
}

/// Probes targets of a service until there is no reason to any more.
async fn probe_service(router: Rc<RouterState>, service: ServiceName) {
    loop {
        let step = router.reach.borrow_mut().next_step(router.now_ms(), &service);
        match step {
            ProbeStep::Stop => return,
            ProbeStep::Wait { ms } => tokio::time::sleep(Duration::from_millis(ms)).await,
            ProbeStep::Probe { round } => run_round(&router, &service, round).await,
        }
    }
}

async fn run_round(router: &Rc<RouterState>, service: &ServiceName, round: usize) {
    let entries = probed_entries(router, service, round);
    if any_answers(router, service, &entries).await {
        return router.note_reached(service);
    }
    let probed = entries.iter().map(TargetEntry::life).collect();
    let change = router.reach.borrow_mut().end_round(router.now_ms(), service, probed);
    router.apply_reach_change(service, change);
}

/// Probes the first few targets, and the others as soon as these are known or likely not to answer.
async fn any_answers(router: &RouterState, service: &ServiceName, entries: &[TargetEntry]) -> bool {
    let (first, others) = entries.split_at(entries.len().min(FIRST_PROBES));
    let send = |entry| {
        metrics::counter!("fescuebay_probes_total").increment(1);
        probe(router, service, entry)
    };
    let mut probes: FuturesUnordered<_> = first.iter().map(send).collect();
    let first_answers = probes.by_ref().any(std::future::ready);
    if tokio::time::timeout(FIRST_PROBES_WAIT, first_answers).await == Ok(true) {
        return true;
    }
    probes.extend(others.iter().map(send));
    probes.any(std::future::ready).await
}

/// The entries of the targets that a round probes, in this order.
fn probed_entries(router: &RouterState, service: &ServiceName, round: usize) -> Vec<TargetEntry> {
    let balancer = router.balancer.borrow();
    let is_meant = |entry: &&TargetEntry| {
        entry.services.first() == Some(service) && entry.standing != Standing::Leaving
    };
    let entries: Vec<&TargetEntry> =
        balancer.targets().iter().map(|target| &target.entry).filter(is_meant).collect();
    let lives = entries.iter().map(|entry| entry.life()).collect();
    let chosen = router.reach.borrow_mut().choose_probed(service, round, lives);
    let find = |life: &TargetLife| entries.iter().find(|entry| entry.life() == *life);
    chosen.iter().filter_map(find).map(|entry| (*entry).clone()).collect()
}

/// Whether a target answers at all, be it with an error. One that limits what it takes only has to accept a
/// connection.
async fn probe(router: &RouterState, service: &ServiceName, entry: &TargetEntry) -> bool {
    let may_probe =
        router.balancer.borrow().may_probe(router.now_ms(), &entry.target, entry.incarnation);
    if !may_probe {
        let opened = client::Connection::open(router.own_ip, entry.address, PROBE_TIMEOUT_MS).await;
        return opened.is_ok();
    }
    let index = router.index();
    let health_path = index.as_ref().and_then(|index| {
        let service = index.document().service(service)?;
        service.health_path.parse::<http::Uri>().ok()
    });
    let mut request = http::Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = health_path.unwrap_or_else(|| http::Uri::from_static("/"));
    let options = AttemptOptions {
        target: &entry.target,
        address: entry.address,
        remaining_ms: PROBE_TIMEOUT_MS,
        rank: 0,
        last_event_id: None,
        identity: &Identity::Unchecked,
    };
    *request.headers_mut() = router.protocol.target_headers(&http::HeaderMap::new(), &options);
    request.headers_mut().insert(http::header::HOST, http::HeaderValue::from_static("probe"));
    let (ip, address) = (router.own_ip, entry.address);
    let answer = client::ask(ip, address, request, PROBE_TIMEOUT_MS, MAX_RESPONSE_BYTES).await;
    !matches!(answer, Err(web::Error::Connect | web::Error::Broken | web::Error::Timeout))
}
