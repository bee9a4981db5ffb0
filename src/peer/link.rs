//! The connection to one peer: made on demand, watched, and replaced when it goes silent.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use error_stack::{Report, ResultExt as _};
use rand::Rng as _;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, MissedTickBehavior};

use super::schema::peer_capnp::peer;
use super::traffic::{Counted, Counter, Traffic};
use super::{Error, Identity, Result, SILENCE_MS, handshake, server};
use crate::ids::{DaemonId, GroupId};

/// How long a connection attempt may take, in milliseconds: one to a VM that is down gets no answer,
/// and holds up the next one, which may find it up again.
const CONNECT_MS: u64 = 350;
/// The shortest and longest pause between attempts, in milliseconds.
const BACKOFF_MS: (u64, u64) = (50, 400);
/// How often a connection with waiting calls is looked at, in milliseconds.
const WATCH_MS: u64 = 250;
/// A ping is sent after this long without a byte from the peer, in milliseconds.
const PING_AFTER_MS: u64 = 500;
/// Most bytes of log messages that wait for one peer.
const MAX_WAITING_BYTES: usize = 16 * 1024 * 1024;

/// Where a link leads.
pub(super) struct Route {
    pub identity: Rc<Identity>,
    pub own_ip: IpAddr,
    pub peer: DaemonId,
    pub address: SocketAddr,
}

/// A request on its way.
pub(super) struct Ask {
    /// Whether the request was handed to a connection.
    pub is_sent: Rc<Cell<bool>>,
    /// Resolves to the reply.
    pub reply: oneshot::Receiver<Result<Vec<u8>>>,
}

enum Call {
    Consensus { group: GroupId, message: Vec<u8> },
    Ask(AskCall),
}

struct AskCall {
    request: Vec<u8>,
    due: Instant,
    is_sent: Rc<Cell<bool>>,
    reply: oneshot::Sender<Result<Vec<u8>>>,
}

/// State that the link and its task share.
#[derive(Default)]
struct Flags {
    is_connected: Cell<bool>,
    waiting_bytes: Cell<usize>,
}

/// One peer's link. Its task ends when it is dropped.
pub(super) struct Link {
    calls: mpsc::UnboundedSender<Call>,
    flags: Rc<Flags>,
    counter: Counter,
    task: JoinHandle<()>,
}

impl Link {
    pub(super) fn start(route: Route) -> Self {
        let (calls, queue) = mpsc::unbounded_channel();
        let flags = Rc::new(Flags::default());
        let counter = Counter::new(route.peer.as_str());
        let worker = Worker { route, queue, flags: flags.clone(), counter: counter.clone() };
        let task = tokio::task::spawn_local(worker.run());
        Self { calls, flags, counter, task }
    }

    pub(super) fn is_connected(&self) -> bool {
        self.flags.is_connected.get()
    }

    pub(super) fn traffic(&self) -> Traffic {
        self.counter.traffic()
    }

    pub(super) fn ask(&self, request: Vec<u8>, due: Instant) -> Ask {
        let is_sent = Rc::new(Cell::new(false));
        let (sender, reply) = oneshot::channel();
        let call = AskCall { request, due, is_sent: is_sent.clone(), reply: sender };
        // A closed queue drops the sender, which the caller sees.
        let _ = self.calls.send(Call::Ask(call));
        Ask { is_sent, reply }
    }

    pub(super) fn send_consensus(&self, group: GroupId, message: Vec<u8>) {
        let waiting_bytes = self.flags.waiting_bytes.get() + message.len();
        if waiting_bytes > MAX_WAITING_BYTES {
            metrics::counter!("peer_messages_dropped_total").increment(1);
            return;
        }
        self.flags.waiting_bytes.set(waiting_bytes);
        let _ = self.calls.send(Call::Consensus { group, message });
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Worker {
    route: Route,
    queue: mpsc::UnboundedReceiver<Call>,
    flags: Rc<Flags>,
    counter: Counter,
}

/// Why a connection ended.
enum End {
    Closed,
    Silent,
    Dropped,
}

impl Worker {
    async fn run(mut self) {
        let mut failures = 0;
        loop {
            let Some(first) = self.next_live().await else { return };
            match self.connect().await {
                Ok(connection) => {
                    failures = 0;
                    self.note_connected();
                    let end = connection.serve(&mut self, first).await;
                    self.flags.is_connected.set(false);
                    match end {
                        End::Dropped => return,
                        End::Silent => {
                            metrics::counter!("peer_connections_silent_total").increment(1);
                            log::warn!("{}: the connection went silent", self.route.peer);
                        }
                        End::Closed => log::info!("{}: the connection closed", self.route.peer),
                    }
                }
                Err(error) => {
                    metrics::counter!("peer_connects_failed_total").increment(1);
                    if failures == 0 {
                        log::warn!("{}: not connected: {error}", self.route.peer);
                    }
                    failures += 1;
                    self.put_back(first);
                    tokio::time::sleep(backoff(failures)).await;
                }
            }
        }
    }

    fn note_connected(&self) {
        self.flags.is_connected.set(true);
        metrics::counter!("peer_connections_total").increment(1);
        log::info!("{}: connected", self.route.peer);
    }

    /// The next call that someone still waits for. Messages of the log that queued up while there
    /// was no connection are old, and only the last matters to wake the peer.
    async fn next_live(&mut self) -> Option<Call> {
        loop {
            match self.queue.recv().await? {
                Call::Ask(ask) if ask.reply.is_closed() => {}
                Call::Consensus { group, message } => {
                    self.release(message.len());
                    if self.queue.is_empty() {
                        return Some(Call::Consensus { group, message });
                    }
                }
                call => return Some(call),
            }
        }
    }

    fn put_back(&self, call: Call) {
        if let Call::Ask(ask) = call {
            // Fails at once, so that the caller may try another daemon.
            let error = Report::new(Error::NotSent(self.route.peer.clone()));
            let _ = ask.reply.send(Err(error));
        }
    }

    fn release(&self, bytes: usize) {
        self.flags.waiting_bytes.set(self.flags.waiting_bytes.get().saturating_sub(bytes));
    }

    async fn connect(&self) -> Result<Connection> {
        let limit = Duration::from_millis(CONNECT_MS);
        let step = || Error::Handshake("connect");
        let stream = tokio::time::timeout(limit, self.dial()).await.change_context_lazy(step)??;
        let _ = stream.set_nodelay(true);
        let mut stream = Counted::new(stream, self.counter.clone());
        let limit = Duration::from_millis(handshake::HANDSHAKE_MS);
        let shaking = handshake::connect(&mut stream, &self.route.identity, &self.route.peer);
        tokio::time::timeout(limit, shaking).await.change_context_lazy(step)??;
        Ok(Connection::new(stream, self.counter.clone()))
    }

    async fn dial(&self) -> Result<TcpStream> {
        let step = || Error::Handshake("connect");
        let socket = match self.route.address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let socket = socket.change_context_lazy(step)?;
        socket.bind(SocketAddr::new(self.route.own_ip, 0)).change_context_lazy(step)?;
        socket.connect(self.route.address).await.change_context_lazy(step)
    }
}

/// A pause that doubles with each failure, between half and all of it at random.
fn backoff(failures: u32) -> Duration {
    let (shortest_ms, longest_ms) = BACKOFF_MS;
    let full_ms = (shortest_ms << failures.min(16)).min(longest_ms);
    Duration::from_millis(rand::rng().random_range(full_ms / 2..=full_ms))
}

/// An open connection.
struct Connection {
    client: peer::Client,
    rpc: JoinHandle<()>,
    counter: Counter,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the socket, and with it fails every call that waits.
        self.rpc.abort();
    }
}

/// What a finished call frees.
struct Done {
    freed_bytes: usize,
    is_broken: bool,
}

impl Connection {
    fn new(stream: Counted, counter: Counter) -> Self {
        let mut rpc =
            capnp_rpc::RpcSystem::new(Box::new(server::network(stream, Side::Client)), None);
        let client = rpc.bootstrap(Side::Server);
        let rpc = tokio::task::spawn_local(async move {
            // An error here is a connection that ended.
            let _ = rpc.await;
        });
        Self { client, rpc, counter }
    }

    /// Makes calls until the connection ends.
    async fn serve(mut self, worker: &mut Worker, first: Call) -> End {
        let mut calls = JoinSet::new();
        let mut watch = Watch::new(self.counter.traffic().received_bytes);
        let mut ticks = tokio::time::interval(Duration::from_millis(WATCH_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.start(&mut calls, worker, first);
        loop {
            tokio::select! {
                call = worker.queue.recv() => {
                    let Some(call) = call else { return End::Dropped };
                    if calls.is_empty() {
                        watch = Watch::new(self.counter.traffic().received_bytes);
                    }
                    self.start(&mut calls, worker, call);
                }
                Some(done) = calls.join_next(), if !calls.is_empty() => {
                    let Ok(done) = done else { continue };
                    worker.release(done.freed_bytes);
                    if done.is_broken {
                        return End::Closed;
                    }
                }
                _ = ticks.tick(), if !calls.is_empty() => {
                    match watch.look(self.counter.traffic().received_bytes) {
                        Look::Heard => {}
                        Look::Ping => {
                            calls.spawn_local(ping(self.client.clone()));
                        }
                        Look::Silent => return End::Silent,
                    }
                }
                _ = &mut self.rpc => return End::Closed,
            }
        }
    }

    fn start(&self, calls: &mut JoinSet<Done>, worker: &Worker, call: Call) {
        match call {
            Call::Consensus { group, message } => {
                calls.spawn_local(send(self.client.clone(), group, message));
            }
            Call::Ask(ask) if ask.reply.is_closed() => {}
            Call::Ask(ask) => {
                calls.spawn_local(exchange(self.client.clone(), worker.route.peer.clone(), ask));
            }
        }
    }
}

enum Look {
    Heard,
    Ping,
    Silent,
}

/// Watches whether bytes come while calls wait.
struct Watch {
    received_bytes: u64,
    heard: Instant,
    is_pinged: bool,
}

impl Watch {
    fn new(received_bytes: u64) -> Self {
        Self { received_bytes, heard: Instant::now(), is_pinged: false }
    }

    fn look(&mut self, received_bytes: u64) -> Look {
        if received_bytes != self.received_bytes {
            *self = Self::new(received_bytes);
            return Look::Heard;
        }
        let silent = self.heard.elapsed();
        if silent >= Duration::from_millis(SILENCE_MS) {
            return Look::Silent;
        }
        if silent >= Duration::from_millis(PING_AFTER_MS) && !self.is_pinged {
            self.is_pinged = true;
            return Look::Ping;
        }
        Look::Heard
    }
}

async fn send(client: peer::Client, group: GroupId, message: Vec<u8>) -> Done {
    let mut call = client.consensus_request();
    call.get().set_group(group.0);
    call.get().set_message(&message);
    let is_broken = call.send().promise.await.is_err();
    Done { freed_bytes: message.len(), is_broken }
}

async fn ping(client: peer::Client) -> Done {
    let is_broken = client.ping_request().send().promise.await.is_err();
    Done { freed_bytes: 0, is_broken }
}

async fn exchange(client: peer::Client, callee: DaemonId, ask: AskCall) -> Done {
    let AskCall { request, due, is_sent, mut reply } = ask;
    let mut call = client.ask_request();
    call.get().set_request(&request);
    is_sent.set(true);
    let answered = tokio::select! {
        answered = read_reply(call, &callee) => answered,
        // Nobody waits any more, which cancels the call.
        () = reply.closed() => return Done { freed_bytes: 0, is_broken: false },
        () = tokio::time::sleep_until(due) => return Done { freed_bytes: 0, is_broken: false },
    };
    let is_broken = answered
        .as_ref()
        .is_err_and(|error| matches!(error.current_context(), Error::Unanswered(_)));
    let _ = reply.send(answered);
    Done { freed_bytes: 0, is_broken }
}

async fn read_reply(
    call: capnp::capability::Request<peer::ask_params::Owned, peer::ask_results::Owned>,
    callee: &DaemonId,
) -> Result<Vec<u8>> {
    let unanswered = || Error::Unanswered(callee.clone());
    let response = call.send().promise.await.change_context_lazy(unanswered)?;
    let results = response.get().change_context_lazy(unanswered)?;
    let reason = results.get_error().change_context_lazy(unanswered)?;
    if !reason.is_empty() {
        let reason = reason.to_string().unwrap_or_default();
        return Err(Report::new(Error::Refused { peer: callee.clone(), reason }));
    }
    Ok(results.get_reply().change_context_lazy(unanswered)?.to_vec())
}
