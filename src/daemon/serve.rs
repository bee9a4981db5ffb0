//! Starts the threads and listeners of a daemon, and stops them in order.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use error_stack::{Report, ResultExt as _};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinSet, LocalSet};

use crate::admin;
use crate::config;
use crate::consensus::node;
use crate::control::jobs::shell;
use crate::control::{once, outcomes, owner, port};
use crate::daemon::core::{self, Core};
use crate::daemon::peers::{Answers, Peers, Pooled};
use crate::daemon::published::Published;
use crate::daemon::{Error, Result, announce, backend, bridge, follow, group, leader, policy};
use crate::daemon::{once as records, poison, ports};
use crate::ids::{DaemonId, Incarnation, Zone};
use crate::membership::targets;
use crate::peer;
use crate::peer::client;
use crate::settings::Settings;
use crate::traffic;
use crate::traffic::clock::Clock;

/// Largest answer that is kept with an idempotency record, in bytes.
const MAX_KEPT_ANSWER_BYTES: u64 = 64 << 10;
/// Durable jobs that a daemon runs at once.
const JOB_SLOTS: usize = 16;
/// Time for another voter to take over when the leader stops.
const HAND_OVER: Duration = Duration::from_secs(2);

/// Where a daemon listens, with the ports that were free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub traffic: SocketAddr,
    /// For targets.
    pub targets: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// A daemon that runs.
pub struct Daemon {
    /// Where it listens.
    pub addresses: Addresses,
    stop: watch::Sender<bool>,
    control: thread::JoinHandle<Result<()>>,
    tasks: JoinSet<Result<()>>,
    traffic: tokio::task::JoinHandle<std::io::Result<()>>,
    jobs: tokio::task::JoinHandle<()>,
    counts: tokio::task::JoinHandle<()>,
    counts_stop: watch::Sender<bool>,
    bridge: bridge::Bridge,
    control_stop: oneshot::Sender<()>,
}

impl Daemon {
    /// Stops gracefully: readiness goes off, what is in flight is finished, leadership is handed
    /// over.
    ///
    /// # Errors
    /// When a part had failed.
    pub async fn stop(mut self) -> Result<()> {
        log::info!("stopping: no request in flight is cut off");
        self.stop.send_replace(true);
        self.bridge.run(|core| Box::pin(async move { core.is_leaving.set(true) })).await;
        let finished = self.traffic.await;
        // Jobs that run are finished, others go to another daemon.
        let _ = self.jobs.await;
        count_stop(&finished);
        self.counts_stop.send_replace(true);
        let _ = self.counts.await;
        self.tasks.shutdown().await;
        self.bridge.run(|core| Box::pin(hand_over(core))).await;
        let _ = self.control_stop.send(());
        let control = tokio::task::spawn_blocking(move || self.control.join()).await;
        let failed = |step| Report::new(Error { step });
        match control {
            Ok(Ok(result)) => result?,
            _ => return Err(failed("join the control thread")),
        }
        match finished {
            Ok(Ok(())) => Ok(()),
            _ => Err(failed("finish the traffic")),
        }
    }

    /// Whether the control thread has ended, as it does when the voter cannot write.
    pub fn has_failed(&self) -> bool {
        self.control.is_finished()
    }
}

/// Counts whether all that was in flight could be finished.
fn count_stop(finished: &std::result::Result<std::io::Result<()>, tokio::task::JoinError>) {
    let held = match finished {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(format!("the listener failed: {error}")),
        Err(error) => Err(format!("the traffic ended early: {error}")),
    };
    let now_ms = Clock::system().now_ms();
    outcomes::count(|tally| tally.check(now_ms, outcomes::Promise::GracefulStop, held));
}

/// Hands leadership to another voter, if this daemon leads and there is one.
async fn hand_over(core: Rc<Core>) {
    let Some(node) = core.node() else { return };
    let status = node.status();
    let others = status.core.membership.voters.iter().filter(|id| **id != status.id);
    let best = others.max_by_key(|id| node.matched(id));
    if let Some(to) = best.filter(|_| core.leader.borrow().is_some()) {
        let mut leadership = node.subscribe();
        if node.transfer(to.clone()).is_ok() {
            let handed_over = leadership.wait_for(|now| !now.is_leader);
            let _ = tokio::time::timeout(HAND_OVER, handed_over).await;
        }
    }
    if let Some(leader) = core.leader.borrow_mut().take() {
        leader.stop();
    }
    node.stop().await;
}

/// Starts a daemon on the current multi-thread runtime.
///
/// `first_change` is made if the cluster has no configuration yet.
///
/// # Errors
/// When a listener, the folder or a thread cannot be opened.
pub async fn serve(
    settings: Settings,
    first_change: Option<config::Change>,
    metrics_text: Arc<dyn Fn() -> String + Send + Sync>,
) -> Result<Daemon> {
    let clock = Clock::system();
    let incarnation = settings.daemon.incarnation.incarnation(clock.now_ms());
    let owner = owner::Owner { daemon: settings.daemon.id.clone(), incarnation };
    let published = Arc::new(Published::default());
    let (bridge, receiver) = bridge::new();

    let callers = listen(settings.daemon.traffic_address(), "listen for callers").await?;
    let announcements = listen(settings.daemon.target_address(), "listen for targets").await?;
    let operators = listen(settings.daemon.admin_address(), "listen for operators").await?;
    let addresses = Addresses {
        traffic: local(&callers)?,
        targets: local(&announcements)?,
        admin: local(&operators)?,
    };

    let log: Arc<dyn port::Log> = Arc::new(policy::Log { bridge: bridge.clone() });
    let shared = traffic_shared(&settings, &published, &bridge, &log, &owner, clock, metrics_text);
    let (control_stop, control_stopped) = oneshot::channel();
    let job_parts = job_parts(&shared, &log, &owner, clock);
    let control = start_control(
        ControlParts {
            settings: settings.clone(),
            owner: owner.clone(),
            clock,
            published: published.clone(),
            target_address: addresses.targets,
        },
        Arc::clone(&shared),
        receiver,
        first_change,
        control_stopped,
    )?;

    let (stop, stopped) = watch::channel(false);
    let jobs = tokio::spawn(shell::run(job_parts, stopped.clone()));
    let (counts_stop, counts_stopped) = watch::channel(false);
    let collector = outcomes::collector();
    let counts = outcomes::commit::run(Arc::clone(&log), owner.clone(), collector, counts_stopped);
    let counts = tokio::spawn(counts);
    let mut tasks = JoinSet::new();
    let announce = announce::Shared { bridge: bridge.clone(), tokens: settings.tokens.clone() };
    tasks.spawn(serve_http(announcements, announce::router(Arc::new(announce))));
    let backend = backend::Backend { bridge: bridge.clone(), published, clock };
    let admin = admin::server::router(Arc::new(backend), settings.tokens.clone());
    tasks.spawn(serve_http(operators, admin));
    let until_stopped = async move {
        let mut stopped = stopped;
        let _ = stopped.wait_for(|is_stopped| *is_stopped).await;
    };
    let traffic = tokio::spawn(traffic::serve(callers, shared, until_stopped));
    log::info!("daemon {} serves callers at {}", settings.daemon.id, addresses.traffic);
    Ok(Daemon {
        addresses,
        stop,
        control,
        tasks,
        traffic,
        jobs,
        counts,
        counts_stop,
        bridge,
        control_stop,
    })
}

async fn listen(address: SocketAddr, step: &'static str) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.change_context(Error { step }).attach_with(|| address)
}

fn local(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().change_context(Error { step: "read an own address" })
}

async fn serve_http(listener: TcpListener, router: axum::Router) -> Result<()> {
    axum::serve(listener, router).await.change_context(Error { step: "accept connections" })
}

fn traffic_shared(
    settings: &Settings,
    published: &Arc<Published>,
    bridge: &bridge::Bridge,
    log: &Arc<dyn port::Log>,
    owner: &owner::Owner,
    clock: Clock,
    metrics_text: Arc<dyn Fn() -> String + Send + Sync>,
) -> Arc<traffic::TrafficState> {
    let own_ip = settings.daemon.ip;
    let ports = Arc::new(ports::Ports::new(own_ip, order_token(settings)));
    let policy = policy::Policy::new(
        Arc::clone(published),
        settings.tokens.clone(),
        settings.traffic.anonymous_tenant.clone(),
        clock,
    );
    let placement = policy::Placement { bridge: bridge.clone(), published: Arc::clone(published) };
    let client = once::Client::new(Arc::clone(log), owner.clone(), MAX_KEPT_ANSWER_BYTES);
    let poison = poison::List::new(Arc::clone(published), Arc::clone(log), owner.clone(), clock);
    let targets = Arc::new(move |entry: &_| ports.get(entry));
    let jobs = traffic::jobs::Jobs::new(Arc::clone(log));
    let shared =
        traffic::TrafficState::builder(Arc::clone(&published.table), targets, Arc::new(policy))
            .zone(settings.daemon.availability_zone.clone())
            .placement(Arc::new(placement))
            .idempotency_records(Arc::new(records::Records::new(client)))
            .poison(Arc::new(poison))
            .metrics_text(metrics_text)
            .extra_routes(jobs.routes())
            .balancer_notice_ms(settings.traffic.linger_ms.0)
            .clock(clock)
            .build();
    jobs.attach(&shared);
    shared
}

/// What the daemon's runs of durable jobs work with.
fn job_parts(
    shared: &Arc<traffic::TrafficState>,
    log: &Arc<dyn port::Log>,
    owner: &owner::Owner,
    clock: Clock,
) -> Arc<shell::Parts> {
    Arc::new(shell::Parts {
        log: Arc::clone(log),
        owner: owner.clone(),
        execute: Arc::new(traffic::jobs::Executor::new(Arc::clone(shared))),
        once: once::Client::new(Arc::clone(log), owner.clone(), MAX_KEPT_ANSWER_BYTES),
        slots: JOB_SLOTS,
        clock: Arc::new(move || clock.now_ms()),
        random: Arc::new(rand::random),
    })
}

fn order_token(settings: &Settings) -> String {
    let token = settings.targets.order_token.as_ref();
    token.map(|token| token.reveal().to_owned()).unwrap_or_default()
}

/// What the control thread is started with.
struct ControlParts {
    settings: Settings,
    owner: owner::Owner,
    clock: Clock,
    published: Arc<Published>,
    target_address: SocketAddr,
}

fn start_control(
    parts: ControlParts,
    shared: Arc<traffic::TrafficState>,
    receiver: bridge::Receiver,
    first_change: Option<config::Change>,
    stopped: oneshot::Receiver<()>,
) -> Result<thread::JoinHandle<Result<()>>> {
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context(Error { step: "start the control runtime" })?;
        let control = control(parts, shared, receiver, first_change, stopped);
        let result = LocalSet::new().block_on(&runtime, control);
        if let Err(report) = &result {
            log::error!("the control thread ends: {report:?}");
        }
        result
    };
    let spawned = thread::Builder::new().name("control".to_owned()).spawn(run);
    spawned.change_context(Error { step: "start the control thread" })
}

/// The control thread's work, until `stopped`.
async fn control(
    parts: ControlParts,
    shared: Arc<traffic::TrafficState>,
    receiver: bridge::Receiver,
    first_change: Option<config::Change>,
    stopped: oneshot::Receiver<()>,
) -> Result<()> {
    let settings = &parts.settings;
    let cluster = &settings.cluster;
    let identity = peer::Identity {
        cluster: cluster.id.to_string(),
        daemon: parts.owner.daemon.clone(),
        incarnation: parts.owner.incarnation,
        key: peer::Key::new(cluster.key.reveal().to_vec()),
    };
    let pool = client::Pool::new(identity.clone(), settings.daemon.ip);
    pool.set_peers(cluster.peers.iter().map(|peer| (peer.id.clone(), peer.address)).collect());
    let peers: Rc<dyn Peers> = Rc::new(Pooled { pool, group: cluster.group });
    let core = Core::new(core::Parts {
        owner: parts.owner.clone(),
        availability_zone: settings.daemon.availability_zone.clone(),
        target_address: parts.target_address,
        clock: parts.clock,
        published: Arc::clone(&parts.published),
        peers,
        voters: voters(settings),
        daemons: daemons(settings),
        tenants: settings.tokens.tenants(),
        silence: targets::SilenceTimeouts {
            suspect_ms: settings.targets.suspect_ms.0,
            dead_ms: settings.targets.dead_ms.0,
        },
        placement: leader::Parts {
            own_ip: settings.daemon.ip,
            order_token: order_token(settings),
            fencing: settings.targets.fencing.clone(),
        },
        traffic: shared,
    });
    let answers = Answers { core: Rc::clone(&core), group: cluster.group };
    let listen = settings.daemon.peer_address();
    let listening = peer::server::serve(listen, identity, Rc::new(answers)).await;
    let _server = listening.change_context(Error { step: "listen for other daemons" })?;
    tokio::task::spawn_local(receiver.serve(Rc::clone(&core)));
    tokio::task::spawn_local(follow::follow(Rc::clone(&core)));
    tokio::task::spawn_local(follow::look(Rc::clone(&core)));
    tokio::task::spawn_local(follow::report(Rc::clone(&core)));
    tokio::task::spawn_local(follow::tell_demand(Rc::clone(&core)));
    tokio::task::spawn_local(follow::ask_permits(Rc::clone(&core)));
    let voting = vote(Rc::clone(&core), settings, first_change);
    tokio::select! {
        failed = voting => failed,
        _ = stopped => Ok(()),
    }
}

/// Runs the voter, if this daemon is one.
async fn vote(
    core: Rc<Core>,
    settings: &Settings,
    first_change: Option<config::Change>,
) -> Result<()> {
    let Some(folder) = settings.daemon.data_folder.clone() else {
        return std::future::pending().await;
    };
    let cluster = &settings.cluster;
    let node =
        node::Settings::new(cluster.id.as_str(), cluster.group, settings.daemon.id.clone(), folder)
            .new_incarnation(Incarnation(core.now_ms()));
    let parts = group::Parts { settings: node, voters: voters(settings), first_change };
    group::run(core, parts).await
}

/// All daemons that the settings name, this one among them, with their zones.
fn daemons(settings: &Settings) -> Vec<(DaemonId, Zone)> {
    let own = (settings.daemon.id.clone(), settings.daemon.availability_zone.clone());
    let peers = settings.cluster.peers.iter();
    peers.map(|peer| (peer.id.clone(), peer.availability_zone.clone())).chain([own]).collect()
}

/// All voters that the settings name, this daemon among them if it is one; sorted.
fn voters(settings: &Settings) -> Vec<DaemonId> {
    let mut voters: Vec<DaemonId> = settings.cluster.voters().map(|peer| peer.id.clone()).collect();
    if settings.is_voter() {
        voters.push(settings.daemon.id.clone());
    }
    voters.sort_unstable();
    voters
}
