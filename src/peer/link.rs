//! Connection to one peer: opened on demand, monitored, and replaced when it stops responding.

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
use super::traffic::{ByteCounter, CountedStream, Traffic};
use super::{Error, Identity, Result, SILENCE_TIMEOUT_MS, handshake, server};
use crate::ids::{DaemonId, GroupId};

/// Timeout of a connection attempt, in milliseconds. An attempt to a VM that is down gets no
/// response and delays the next attempt, which may succeed because the VM is up again.
const CONNECT_TIMEOUT_MS: u64 = 350;
/// Shortest and longest backoff between connection attempts, in milliseconds.
const BACKOFF_MS: (u64, u64) = (50, 400);
/// Interval of the liveness check of a connection with pending calls, in milliseconds.
const LIVENESS_INTERVAL_MS: u64 = 250;
/// Time without a byte from the peer after which a ping is sent, in milliseconds.
const PING_AFTER_MS: u64 = 500;
/// Limit of the consensus messages queued for one peer, in bytes.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;

/// Identity and address of this daemon, and id and address of the peer.
pub(super) struct Endpoints {
    pub identity: Rc<Identity>,
    pub own_ip: IpAddr,
    pub peer: DaemonId,
    pub address: SocketAddr,
}

/// A queued or sent request whose reply is pending.
pub(super) struct PendingRequest {
    /// Whether the request was passed to a connection.
    pub is_sent: Rc<Cell<bool>>,
    /// Resolves to the reply.
    pub reply: oneshot::Receiver<Result<Vec<u8>>>,
}

enum Call {
    Consensus { group: GroupId, message: Vec<u8> },
    Ask(RequestCall),
}

struct RequestCall {
    request: Vec<u8>,
    deadline: Instant,
    is_sent: Rc<Cell<bool>>,
    reply: oneshot::Sender<Result<Vec<u8>>>,
}

/// State shared by the link and its task.
#[derive(Default)]
struct LinkState {
    is_connected: Cell<bool>,
    queued_bytes: Cell<usize>,
}

/// The link to one peer. Dropping it ends its task.
pub(super) struct Link {
    calls: mpsc::UnboundedSender<Call>,
    state: Rc<LinkState>,
    counter: ByteCounter,
    task: JoinHandle<()>,
}

impl Link {
    pub(super) fn start(endpoints: Endpoints) -> Self {
        let (calls, queue) = mpsc::unbounded_channel();
        let state = Rc::new(LinkState::default());
        let counter = ByteCounter::new(endpoints.peer.as_str());
        let worker = Worker { endpoints, queue, state: state.clone(), counter: counter.clone() };
        let task = tokio::task::spawn_local(worker.run());
        Self { calls, state, counter, task }
    }

    pub(super) fn is_connected(&self) -> bool {
        self.state.is_connected.get()
    }

    pub(super) fn traffic(&self) -> Traffic {
        self.counter.traffic()
    }

    pub(super) fn ask(&self, request: Vec<u8>, deadline: Instant) -> PendingRequest {
        let is_sent = Rc::new(Cell::new(false));
        let (sender, reply) = oneshot::channel();
        let call = RequestCall { request, deadline, is_sent: is_sent.clone(), reply: sender };
        // If the queue is closed, the sender is dropped, which the caller sees as an error.
        let _ = self.calls.send(Call::Ask(call));
        PendingRequest { is_sent, reply }
    }

    pub(super) fn send_consensus(&self, group: GroupId, message: Vec<u8>) {
        let queued_bytes = self.state.queued_bytes.get() + message.len();
        if queued_bytes > MAX_QUEUED_BYTES {
            metrics::counter!("peer_messages_dropped_total").increment(1);
            return;
        }
        self.state.queued_bytes.set(queued_bytes);
        let _ = self.calls.send(Call::Consensus { group, message });
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Worker {
    endpoints: Endpoints,
    queue: mpsc::UnboundedReceiver<Call>,
    state: Rc<LinkState>,
    counter: ByteCounter,
}

/// Reason for the end of a connection.
enum ConnectionEnd {
    Closed,
    Silent,
    Dropped,
}

impl Worker {
    async fn run(mut self) {
        let mut failures = 0;
        loop {
            let Some(first) = self.next_pending_call().await else { return };
            match self.connect().await {
                Ok(connection) => {
                    failures = 0;
                    self.record_connected();
                    let end = connection.serve(&mut self, first).await;
                    self.state.is_connected.set(false);
                    match end {
                        ConnectionEnd::Dropped => return,
                        ConnectionEnd::Silent => {
                            metrics::counter!("peer_connections_silent_total").increment(1);
                            log::warn!(
                                "{}: no response on the connection; closing it",
                                self.endpoints.peer
                            );
                        }
                        ConnectionEnd::Closed => {
                            log::info!("{}: connection closed", self.endpoints.peer);
                        }
                    }
                }
                Err(error) => {
                    metrics::counter!("peer_connects_failed_total").increment(1);
                    if failures == 0 {
                        log::warn!("{}: cannot connect: {error}", self.endpoints.peer);
                    }
                    failures += 1;
                    self.fail_call(first);
                    tokio::time::sleep(backoff(failures)).await;
                }
            }
        }
    }

    fn record_connected(&self) {
        self.state.is_connected.set(true);
        metrics::counter!("peer_connections_total").increment(1);
        log::info!("{}: connected", self.endpoints.peer);
    }

    /// Returns the next call whose caller still waits. Consensus messages queued while there was no
    /// connection are outdated; only the last one is sent, to notify the peer.
    async fn next_pending_call(&mut self) -> Option<Call> {
        loop {
            match self.queue.recv().await? {
                Call::Ask(ask) if ask.reply.is_closed() => {}
                Call::Consensus { group, message } => {
                    self.release_queued_bytes(message.len());
                    if self.queue.is_empty() {
                        return Some(Call::Consensus { group, message });
                    }
                }
                call => return Some(call),
            }
        }
    }

    fn fail_call(&self, call: Call) {
        if let Call::Ask(ask) = call {
            // Fail immediately, which lets the caller try another daemon.
            let error = Report::new(Error::NotSent(self.endpoints.peer.clone()));
            let _ = ask.reply.send(Err(error));
        }
    }

    fn release_queued_bytes(&self, bytes: usize) {
        self.state.queued_bytes.set(self.state.queued_bytes.get().saturating_sub(bytes));
    }

    async fn connect(&self) -> Result<Connection> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let step = || Error::Handshake("connect");
        let stream = tokio::time::timeout(limit, self.dial()).await.change_context_lazy(step)??;
        let _ = stream.set_nodelay(true);
        let mut stream = CountedStream::new(stream, self.counter.clone());
        let limit = Duration::from_millis(handshake::HANDSHAKE_TIMEOUT_MS);
        let handshake =
            handshake::connect(&mut stream, &self.endpoints.identity, &self.endpoints.peer);
        tokio::time::timeout(limit, handshake).await.change_context_lazy(step)??;
        Ok(Connection::new(stream, self.counter.clone()))
    }

    async fn dial(&self) -> Result<TcpStream> {
        let step = || Error::Handshake("connect");
        let socket = match self.endpoints.address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let socket = socket.change_context_lazy(step)?;
        socket.bind(SocketAddr::new(self.endpoints.own_ip, 0)).change_context_lazy(step)?;
        socket.connect(self.endpoints.address).await.change_context_lazy(step)
    }
}

/// Exponential backoff with jitter: the delay doubles with each failure, and a random value between
/// half of the delay and the full delay is used.
fn backoff(failures: u32) -> Duration {
    let (shortest_ms, longest_ms) = BACKOFF_MS;
    let full_ms = (shortest_ms << failures.min(16)).min(longest_ms);
    Duration::from_millis(rand::rng().random_range(full_ms / 2..=full_ms))
}

/// An open connection.
struct Connection {
    client: peer::Client,
    rpc: JoinHandle<()>,
    counter: ByteCounter,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the socket, which fails every pending call.
        self.rpc.abort();
    }
}

/// Outcome of a finished call.
struct FinishedCall {
    freed_bytes: usize,
    is_broken: bool,
}

impl Connection {
    fn new(stream: CountedStream, counter: ByteCounter) -> Self {
        let mut rpc =
            capnp_rpc::RpcSystem::new(Box::new(server::network(stream, Side::Client)), None);
        let client = rpc.bootstrap(Side::Server);
        let rpc = tokio::task::spawn_local(async move {
            // An error means that the connection ended.
            let _ = rpc.await;
        });
        Self { client, rpc, counter }
    }

    /// Sends calls until the connection ends.
    async fn serve(mut self, worker: &mut Worker, first: Call) -> ConnectionEnd {
        let mut calls = JoinSet::new();
        let mut liveness = LivenessMonitor::new(self.counter.traffic().received_bytes);
        let mut ticks = tokio::time::interval(Duration::from_millis(LIVENESS_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.start(&mut calls, worker, first);
        loop {
            tokio::select! {
                call = worker.queue.recv() => {
                    let Some(call) = call else { return ConnectionEnd::Dropped };
                    if calls.is_empty() {
                        liveness = LivenessMonitor::new(self.counter.traffic().received_bytes);
                    }
                    self.start(&mut calls, worker, call);
                }
                Some(done) = calls.join_next(), if !calls.is_empty() => {
                    let Ok(done) = done else { continue };
                    worker.release_queued_bytes(done.freed_bytes);
                    if done.is_broken {
                        return ConnectionEnd::Closed;
                    }
                }
                _ = ticks.tick(), if !calls.is_empty() => {
                    match liveness.check(self.counter.traffic().received_bytes) {
                        Liveness::Alive => {}
                        Liveness::Ping => {
                            calls.spawn_local(ping(self.client.clone()));
                        }
                        Liveness::Silent => return ConnectionEnd::Silent,
                    }
                }
                _ = &mut self.rpc => return ConnectionEnd::Closed,
            }
        }
    }

    fn start(&self, calls: &mut JoinSet<FinishedCall>, worker: &Worker, call: Call) {
        match call {
            Call::Consensus { group, message } => {
                calls.spawn_local(send(self.client.clone(), group, message));
            }
            Call::Ask(ask) if ask.reply.is_closed() => {}
            Call::Ask(ask) => {
                calls.spawn_local(exchange(
                    self.client.clone(),
                    worker.endpoints.peer.clone(),
                    ask,
                ));
            }
        }
    }
}

enum Liveness {
    Alive,
    Ping,
    Silent,
}

/// Detects a connection on which no bytes arrive while calls are pending.
struct LivenessMonitor {
    received_bytes: u64,
    last_received: Instant,
    is_pinged: bool,
}

impl LivenessMonitor {
    fn new(received_bytes: u64) -> Self {
        Self { received_bytes, last_received: Instant::now(), is_pinged: false }
    }

    fn check(&mut self, received_bytes: u64) -> Liveness {
        if received_bytes != self.received_bytes {
            *self = Self::new(received_bytes);
            return Liveness::Alive;
        }
        let silent = self.last_received.elapsed();
        if silent >= Duration::from_millis(SILENCE_TIMEOUT_MS) {
            return Liveness::Silent;
        }
        if silent >= Duration::from_millis(PING_AFTER_MS) && !self.is_pinged {
            self.is_pinged = true;
            return Liveness::Ping;
        }
        Liveness::Alive
    }
}

async fn send(client: peer::Client, group: GroupId, message: Vec<u8>) -> FinishedCall {
    let mut call = client.consensus_request();
    call.get().set_group(group.0);
    call.get().set_message(&message);
    let is_broken = call.send().promise.await.is_err();
    FinishedCall { freed_bytes: message.len(), is_broken }
}

async fn ping(client: peer::Client) -> FinishedCall {
    let is_broken = client.ping_request().send().promise.await.is_err();
    FinishedCall { freed_bytes: 0, is_broken }
}

async fn exchange(client: peer::Client, callee: DaemonId, ask: RequestCall) -> FinishedCall {
    let RequestCall { request, deadline, is_sent, mut reply } = ask;
    let mut call = client.ask_request();
    call.get().set_request(&request);
    is_sent.set(true);
    let answered = tokio::select! {
        answered = read_reply(call, &callee) => answered,
        // The caller no longer waits; returning cancels the call.
        () = reply.closed() => return FinishedCall { freed_bytes: 0, is_broken: false },
        () = tokio::time::sleep_until(deadline) => {
            return FinishedCall { freed_bytes: 0, is_broken: false };
        }
    };
    let is_broken = answered
        .as_ref()
        .is_err_and(|error| matches!(error.current_context(), Error::Unanswered(_)));
    let _ = reply.send(answered);
    FinishedCall { freed_bytes: 0, is_broken }
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
