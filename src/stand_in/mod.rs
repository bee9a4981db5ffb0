//! Small stand-in targets for the `dev` command and the tests.
//!
//! A stand-in speaks the whole protocol of a target: it announces itself, takes orders, tells its
//! state, streams answers that can be resumed, and offers plain services that count executions.

mod engine;
mod services;
mod streams;
mod web;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

use crate::ids::{Incarnation, ServiceName, TargetId, Zone};
use crate::target::order;
use crate::units;

pub use engine::Engine;

/// The step at which a stand-in failed to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The target that it stands in for.
    pub target: TargetId,
    /// The step that failed.
    pub step: &'static str,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "stand-in target {}: {} failed", self.target, self.step)
    }
}

impl std::error::Error for Error {}

/// The result of starting a stand-in.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// How a stand-in behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    target: TargetId,
    availability_zone: Zone,
    listen: SocketAddr,
    announce_to: Vec<SocketAddr>,
    token: String,
    incarnation: Incarnation,
    kind: order::Kind,
    memory_bytes: units::Bytes,
    slots: u32,
    load_ms: u64,
    token_ms: u64,
    services: Vec<ServiceName>,
    checks_fencing: bool,
    announce_every_ms: u64,
    crash_on: Option<String>,
}

impl Settings {
    /// A stand-in that listens at `listen` and announces itself to one of `announce_to`.
    pub fn new(target: TargetId, availability_zone: Zone, listen: SocketAddr) -> Self {
        Self {
            target,
            availability_zone,
            listen,
            announce_to: Vec::new(),
            token: String::new(),
            incarnation: Incarnation(1),
            kind: order::Kind::Assistant,
            memory_bytes: units::Bytes(24 * units::Bytes::GIB.0),
            slots: 8,
            load_ms: 400,
            token_ms: 10,
            services: Vec::new(),
            checks_fencing: true,
            announce_every_ms: 500,
            crash_on: None,
        }
    }

    /// Daemons that it announces itself to, and the bearer token for that.
    pub fn announce_to(mut self, daemons: Vec<SocketAddr>, token: &str) -> Self {
        self.announce_to = daemons;
        self.token = token.to_owned();
        self
    }

    /// Which life of the target this is.
    pub fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Makes it an application runner that offers `services`.
    pub fn services(mut self, services: Vec<ServiceName>) -> Self {
        self.kind = order::Kind::Application;
        self.memory_bytes = units::Bytes(0);
        self.services = services;
        self
    }

    /// Accelerator memory.
    pub fn memory_bytes(mut self, memory_bytes: units::Bytes) -> Self {
        self.memory_bytes = memory_bytes;
        self
    }

    /// Calls that run at once.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Time that a load of weights takes.
    pub fn load_ms(mut self, load_ms: u64) -> Self {
        self.load_ms = load_ms;
        self
    }

    /// Time between two tokens.
    pub fn token_ms(mut self, token_ms: u64) -> Self {
        self.token_ms = token_ms;
        self
    }

    /// Whether it refuses orders with an old fencing number.
    pub fn checks_fencing(mut self, checks_fencing: bool) -> Self {
        self.checks_fencing = checks_fencing;
        self
    }

    /// A request whose text contains `crash_on` ends it, as a crash of its engine would.
    pub fn crash_on(mut self, crash_on: &str) -> Self {
        self.crash_on = Some(crash_on.to_owned());
        self
    }

    /// Time between two announcements.
    pub fn announce_every_ms(mut self, announce_every_ms: u64) -> Self {
        self.announce_every_ms = announce_every_ms;
        self
    }
}

/// What the parts of a stand-in share.
struct Shared {
    settings: Settings,
    address: SocketAddr,
    engine: Mutex<Engine>,
    streams: Mutex<streams::Streams>,
    services: Mutex<services::Services>,
    slots: tokio::sync::Semaphore,
    has_changed: tokio::sync::Notify,
    crash: tokio::sync::Notify,
    has_crashed: AtomicBool,
    calls: Mutex<Calls>,
}

/// The calls that a stand-in got, and the limit that it names for them.
#[derive(Default)]
struct Calls {
    rate_limit: Option<units::PerSecond>,
    /// When the last ones came, at most [`MAX_CALLS`].
    times: VecDeque<Instant>,
}

/// Calls of which a stand-in keeps the time.
const MAX_CALLS: usize = 65_536;

impl Shared {
    fn engine(&self) -> std::sync::MutexGuard<'_, Engine> {
        self.engine.lock().expect("no holder of the engine panics")
    }

    fn streams(&self) -> std::sync::MutexGuard<'_, streams::Streams> {
        self.streams.lock().expect("no holder of the streams panics")
    }

    fn calls(&self) -> std::sync::MutexGuard<'_, Calls> {
        self.calls.lock().expect("no holder of the calls panics")
    }

    /// Counts a call, and returns the limit to name in its response.
    fn count_call(&self) -> Option<units::PerSecond> {
        let mut calls = self.calls();
        calls.times.push_back(Instant::now());
        if calls.times.len() > MAX_CALLS {
            calls.times.pop_front();
        }
        calls.rate_limit
    }

    fn services(&self) -> std::sync::MutexGuard<'_, services::Services> {
        self.services.lock().expect("no holder of the services panics")
    }

    /// The state as it is told to daemons.
    fn state(&self, next: bool) -> order::State {
        let running = self.settings.slots.saturating_sub(self.slots.available_permits() as u32);
        let load = order::Load { running, waiting: 0, slots: self.settings.slots };
        let mut engine = self.engine();
        if next {
            engine.count_announcement();
        }
        engine.state(&self.settings, self.address, load)
    }
}

/// A stand-in that runs. Dropping it ends it at once, as a crash would.
pub struct Handle {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl Handle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// How often `key` was executed by its services.
    pub fn executions(&self, key: &str) -> u32 {
        self.shared.services().executions(key)
    }

    /// All keys that its services executed, with their counts.
    pub fn all_executions(&self) -> Vec<(String, u32)> {
        self.shared.services().all_executions()
    }

    /// The largest sum of replica memory that it ever held.
    pub fn peak_memory_bytes(&self) -> units::Bytes {
        self.shared.engine().peak_memory_bytes()
    }

    /// Whether a request crashed it.
    pub fn has_crashed(&self) -> bool {
        self.shared.has_crashed.load(Ordering::Relaxed)
    }

    /// Its state, as it would announce it now.
    pub fn state(&self) -> order::State {
        self.shared.state(false)
    }

    /// Names a rate limit in all responses to calls from now on, or none.
    pub fn name_rate_limit(&self, rate_limit: Option<units::PerSecond>) {
        self.shared.calls().rate_limit = rate_limit;
    }

    /// When calls reached it, in order.
    pub fn call_times(&self) -> Vec<Instant> {
        self.shared.calls().times.iter().copied().collect()
    }

    /// Tells its daemons that it is about to stop.
    pub fn leave(&self) {
        self.shared.engine().leave();
        self.shared.has_changed.notify_one();
    }

    /// Ends it at once, as a crash would, and waits until its sockets are closed. Returns all keys
    /// that its services executed, with their counts.
    pub async fn kill(mut self) -> Vec<(String, u32)> {
        self.tasks.shutdown().await;
        self.all_executions()
    }
}

/// Starts a stand-in on the current runtime.
///
/// # Errors
/// When it cannot listen at its address.
pub async fn start(settings: Settings) -> Result<Handle> {
    let error = |step| Error { target: settings.target.clone(), step };
    let listener =
        TcpListener::bind(settings.listen).await.change_context_lazy(|| error("listen"))?;
    let address = listener.local_addr().change_context_lazy(|| error("read own address"))?;
    let shared = Arc::new(Shared {
        address,
        engine: Mutex::new(Engine::new(settings.memory_bytes, settings.checks_fencing)),
        streams: Mutex::default(),
        services: Mutex::default(),
        slots: tokio::sync::Semaphore::new(settings.slots as usize),
        has_changed: tokio::sync::Notify::new(),
        crash: tokio::sync::Notify::new(),
        has_crashed: AtomicBool::new(false),
        calls: Mutex::default(),
        settings,
    });
    let mut tasks = JoinSet::new();
    let mut running = vec![tasks.spawn(web::serve(listener, Arc::clone(&shared)))];
    if !shared.settings.announce_to.is_empty() {
        running.push(tasks.spawn(announce(Arc::clone(&shared))));
    }
    let watched = Arc::clone(&shared);
    tasks.spawn(async move {
        watched.crash.notified().await;
        watched.has_crashed.store(true, Ordering::Relaxed);
        running.iter().for_each(AbortHandle::abort);
    });
    Ok(Handle { shared, tasks })
}

/// Announces the state again and again, and at once when it changes.
async fn announce(shared: Arc<Shared>) {
    let client = web::client(shared.address.ip());
    let pause = Duration::from_millis(shared.settings.announce_every_ms);
    let mut at = 0;
    let mut home = None;
    loop {
        let daemons = &shared.settings.announce_to;
        let daemon = home.unwrap_or(daemons[at % daemons.len()]);
        let state = shared.state(true);
        let sent = web::announce(&client, daemon, &shared.settings.token, &state);
        match tokio::time::timeout(pause, sent).await {
            Ok(web::Announced::Taken(named)) => home = named,
            Ok(web::Announced::Lost) | Err(_) => {
                home = None;
                at += 1;
            }
        }
        let _ = tokio::time::timeout(pause, shared.has_changed.notified()).await;
    }
}
