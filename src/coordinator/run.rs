//! Starts and stops the role of a voter.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use error_stack::ResultExt as _;
use tokio::sync::watch;

use super::client::Client;
use super::voter::{self, Answers, Voter};
use super::{Engines, Error, Result, api, daemon_at, follow, loads};
use crate::clock::BootClock;
use crate::membership::{feed, targets};
use crate::peer;
use crate::placement::swap::{self, demand};
use crate::settings::vm;
use crate::web;
use crate::web::server::{self, Phase};
use crate::{routes, stop};

/// Longest time for the head of a call, the time between two calls included.
const HEAD_TIMEOUT_MS: u64 = 60_000;
/// Largest head of a call, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Time that calls under way have at a planned stop.
const STOP_LIMIT: Duration = Duration::from_millis(2_000);

/// What a voter needs beside its settings.
pub struct Parts {
    /// How calls are read and answered.
    pub protocol: &'static dyn api::Protocol,
    /// How documents are read.
    pub decode: routes::Decode,
    /// The port to model engines.
    pub engines: Rc<dyn Engines>,
}

/// A voter follows the leader too, so that it knows the targets when it comes to lead.
struct Quiet;

impl follow::Follower for Quiet {
    fn usage(&self) -> demand::Usage {
        demand::Usage::default()
    }

    fn take_document(&self, _document: routes::Document) {}

    fn table_changed(&self, _feed: &feed::TableFeed) {}

    fn leader_changed(&self) {}

    fn take_load(&self, _routers: u32, _changes: &loads::Changes) {}
}

/// Runs a voter on the current `LocalSet` until `stop` says so.
///
/// # Errors
/// An address cannot be listened on.
pub async fn run(
    settings: &vm::Settings,
    client: Rc<Client>,
    parts: Parts,
    mut stop: stop::Signal,
) -> Result<()> {
    let own = daemon_at(settings.vm.ip);
    let control: SocketAddr = settings.control_address().ok_or_else(no_address)?;
    let folder = settings.group.data_folder.clone().ok_or_else(no_folder)?;
    let identity = settings.identity();
    let first: Vec<_> = settings.group.first.iter().map(|ip| daemon_at(*ip)).collect();
    let founders = settings.group.may_form.then_some(first);
    let clock = BootClock::system();
    let following = follow::State::new(clock);
    let voter_parts = voter::Parts {
        own: own.clone(),
        cluster: settings.group.cluster.to_string(),
        folder,
        founders,
        places: settings.group.places(),
        clock,
        decode: parts.decode,
        engines: parts.engines,
        silence: targets::SilenceTimeouts {
            suspect_ms: settings.targets.suspect_ms.0,
            dead_ms: settings.targets.dead_ms.0,
        },
        placement: swap::Settings::default(),
        takeover_ms: settings.targets.takeover_ms.0,
        checks_fencing: settings.targets.checks_fencing,
    };
    let voter = Voter::new(voter_parts, Rc::clone(&client), Rc::clone(&following));
    let answering = Rc::clone(&voter);
    let own_id = own.clone();
    client.set_local(Box::new(move |request| {
        let (voter, own) = (Rc::clone(&answering), own_id.clone());
        Box::pin(async move { voter.answer(&own, request).await })
    }));
    let peers = SocketAddr::new(settings.vm.ip, settings.vm.peer_port);
    let answers = Rc::new(Answers { voter: Rc::clone(&voter) });
    let listening = peer::server::serve(peers, identity, answers).await;
    let _server = listening.change_context(Error { step: "listen for other daemons" })?;
    let listener = server::listen(control).change_context(Error { step: "listen for calls" })?;

    let voting = tokio::task::spawn_local(Rc::clone(&voter).run());
    let quiet: Rc<dyn follow::Follower> = Rc::new(Quiet);
    let following = follow::follow(Rc::clone(&client), following, quiet, false);
    let following = tokio::task::spawn_local(following);
    let api = Rc::new(api::Api {
        client,
        protocol: parts.protocol,
        decode: parts.decode,
        port: control.port(),
        intake: web::intake::Intake::new(api::MAX_BODIES_BYTES),
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
    voter.retire().await;
    voting.abort();
    following.abort();
    let _ = phase.send(Phase::Closing);
    if tokio::time::timeout(STOP_LIMIT, serving).await.is_err() {
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
