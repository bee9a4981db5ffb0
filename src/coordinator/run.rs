//! Starts and stops the voter role.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use error_stack::ResultExt as _;
use tokio::sync::watch;

use super::client::VoterClient;
use super::voter::{self, PeerHandler, Voter};
use super::{EngineClient, Error, Result, api, daemon_at, follow, loads, target_cache};
use crate::clock::BootClock;
use crate::ids::ServiceName;
use crate::membership::{feed, targets};
use crate::peer;
use crate::placement::swap::expected::ExpectedLoad;
use crate::placement::swap::{self, demand};
use crate::poison::message::Statement;
use crate::rate_limit::message::TargetStatement;
use crate::settings::vm;
use crate::slot_lease::message::BrittleNews;
use crate::web;
use crate::web::server::{self, Phase};
use crate::{routes, stop};

/// Timeout for receiving the head of a request, the idle time between two requests included.
const HEAD_TIMEOUT_MS: u64 = 60_000;
/// Maximum size of the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Time that running requests have to finish at a planned shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The dependencies of a voter besides its settings.
pub struct Dependencies {
    /// Parses requests of operators and targets and encodes the responses.
    pub protocol: &'static dyn api::Protocol,
    /// The decoder of route documents.
    pub decode: routes::Decode,
    /// The transport to model engines.
    pub engines: Rc<dyn EngineClient>,
}

/// Ignores updates except for the route table, which a voter replicates so that it knows the targets
/// when it becomes the leader.
struct NoopFollower;

impl follow::Follower for NoopFollower {
    fn usage(&self) -> demand::RouterDemand {
        demand::RouterDemand::default()
    }

    fn apply_document(&self, _document: routes::Document) {}

    fn handle_table_change(&self, _feed: &feed::TableFeed) {}

    fn apply_rate_limits(&self, _told: &[TargetStatement]) {}

    fn apply_brittle(&self, _told: &[BrittleNews]) {}

    fn apply_suspects(&self, _told: &[Statement]) {}

    fn apply_mixed_services(&self, _cursor: feed::FeedCursor, _services: &[ServiceName]) {}

    fn streams_told(&self) -> feed::FeedCursor {
        feed::FeedCursor::default()
    }

    fn handle_leader_change(&self) {}

    fn apply_expected_loads(&self, _told: &[ExpectedLoad]) {}

    fn apply_loads(&self, _routers: u32, _changes: &loads::LoadChanges) {}
}

/// Runs a voter on the current `LocalSet` until `stop` is signalled.
///
/// # Errors
/// A listener cannot be opened, or a setting is missing.
pub async fn run(
    settings: &vm::Settings,
    client: Rc<VoterClient>,
    dependencies: Dependencies,
    mut stop: stop::Signal,
) -> Result<()> {
    let own = daemon_at(settings.vm.ip);
    let control: SocketAddr = settings.control_address().ok_or_else(no_address)?;
    let folder = settings.group.data_folder.clone().ok_or_else(no_folder)?;
    let identity = settings.identity();
    let first: Vec<_> = settings.group.first.iter().map(|ip| daemon_at(*ip)).collect();
    let founders = settings.group.may_form.then_some(first);
    let clock = BootClock::system();
    let following = follow::FollowerState::new(clock);
    let voter_config = voter::VoterConfig {
        own_id: own.clone(),
        cluster: settings.group.cluster.to_string(),
        folder,
        founders,
        max_voters: settings.group.places(),
        clock,
        decode: dependencies.decode,
        engines: dependencies.engines,
        silence_timeouts: targets::SilenceTimeouts {
            suspect_ms: settings.targets.suspect_ms.0,
            dead_ms: settings.targets.dead_ms.0,
        },
        placement: swap::Settings::default(),
        takeover_ms: settings.targets.takeover_ms.0,
        checks_fencing: settings.targets.checks_fencing,
        cached_targets: settings.group.cache_folder.as_deref().map(target_cache::load),
        quotas: settings.quotas.bounds(),
        delegate_orders: settings.targets.delegate_orders,
    };
    let voter = Voter::new(voter_config, Rc::clone(&client), Rc::clone(&following));
    let answering = Rc::clone(&voter);
    let own_id = own.clone();
    client.set_local(Box::new(move |request| {
        let (voter, own) = (Rc::clone(&answering), own_id.clone());
        Box::pin(async move { voter.answer(&own, request).await })
    }));
    let peers = SocketAddr::new(settings.vm.ip, settings.vm.peer_listen_port);
    let answers = Rc::new(PeerHandler { voter: Rc::clone(&voter) });
    let listening = peer::server::serve(peers, identity, answers).await;
    let _server = listening.change_context(Error { step: "listen for other daemons" })?;
    let listener = server::listen(control).change_context(Error { step: "listen for calls" })?;

    let voting = tokio::task::spawn_local(Rc::clone(&voter).run());
    if let Some(folder) = settings.group.cache_folder.clone() {
        tokio::task::spawn_local(target_cache::keep(Rc::clone(&following), folder));
    }
    let follower: Rc<dyn follow::Follower> = Rc::new(NoopFollower);
    let following = follow::follow_leader(Rc::clone(&client), following, follower, None);
    let following = tokio::task::spawn_local(following);
    let api = Rc::new(api::Api {
        client,
        protocol: dependencies.protocol,
        decode: dependencies.decode,
        port: control.port(),
        intake: web::intake::Intake::new(api::MAX_BUFFERED_BODY_BYTES),
    });
    let handler = server::handler(move |request| {
        let api = Rc::clone(&api);
        async move { Ok::<_, Infallible>(api.serve(request).await) }
    });
    let (phase, phases) = watch::channel(Phase::Open);
    let head =
        || server::Settings { head_timeout_ms: HEAD_TIMEOUT_MS, max_head_bytes: MAX_HEAD_BYTES };
    let serving = tokio::task::spawn_local(server::serve(listener, head, handler, phases));
    log::info!("voter {own} serves calls at {control}");

    stop.wait().await;
    log::info!("voter {own} stops");
    voter.shut_down().await;
    voting.abort();
    following.abort();
    let _ = phase.send(Phase::Closing);
    if tokio::time::timeout(SHUTDOWN_TIMEOUT, serving).await.is_err() {
        log::warn!("some calls did not end in time");
    }
    Ok(())
}

fn no_address() -> error_stack::Report<Error> {
    error_stack::Report::new(Error { step: "read the address for calls" })
}

fn no_folder() -> error_stack::Report<Error> {
    error_stack::Report::new(Error { step: "read the data folder" })
}
