//! Server side of calls between daemons.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use error_stack::ResultExt as _;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::compat::{TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};

use super::schema::peer_capnp::peer;
use super::traffic::{ByteCounter, CountedStream};
use super::{Error, Handler, Identity, MAX_MESSAGE_BYTES, PeerId, Result, Traffic, handshake};
use crate::ids::GroupId;

/// Limit of concurrent handshakes; further connections are closed immediately.
const MAX_HANDSHAKES: usize = 256;
/// Length of the queue of connections that are not yet accepted.
const BACKLOG: u32 = 1024;
/// Sent for an error without text, because an empty text on the wire means success.
const UNNAMED_ERROR: &str = "an error without a reason";
/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 50;

/// A listener that runs until it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    counter: ByteCounter,
    task: JoinHandle<()>,
}

impl Server {
    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes sent and received by all connections of the server.
    pub fn traffic(&self) -> Traffic {
        self.counter.traffic()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens for peers on the current `LocalSet`.
///
/// # Errors
/// The address cannot be bound.
pub async fn serve<H: Handler>(
    listen: SocketAddr,
    identity: Identity,
    handler: Rc<H>,
) -> Result<Server> {
    let listener = bind_listener(listen).change_context(Error::Listen(listen))?;
    let address = listener.local_addr().change_context(Error::Listen(listen))?;
    let counter = ByteCounter::new("accepted");
    let task =
        tokio::task::spawn_local(accept_connections(listener, identity, handler, counter.clone()));
    Ok(Server { address, counter, task })
}

/// Creates a listener whose connections use TCP keepalive. Without keepalive, connections of peers
/// that vanished without closing them would accumulate.
fn bind_listener(listen: SocketAddr) -> io::Result<TcpListener> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_keepalive(true)?;
    socket.bind(listen)?;
    socket.listen(BACKLOG)
}

async fn accept_connections<H: Handler>(
    listener: TcpListener,
    identity: Identity,
    handler: Rc<H>,
    counter: ByteCounter,
) {
    let handshakes = Rc::new(Cell::new(0));
    // Dropping the set closes all connections together with the listener.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        if handshakes.get() >= MAX_HANDSHAKES {
            metrics::counter!("peer_handshakes_refused_total").increment(1);
            continue;
        }
        let connection = Connection {
            identity: identity.clone(),
            handler: handler.clone(),
            counter: counter.clone(),
            handshakes: handshakes.clone(),
        };
        connections.spawn_local(connection.run(stream));
    }
}

struct Connection<H> {
    identity: Identity,
    handler: Rc<H>,
    counter: ByteCounter,
    handshakes: Rc<Cell<usize>>,
}

impl<H: Handler> Connection<H> {
    async fn run(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = CountedStream::new(stream, self.counter.clone());
        self.handshakes.set(self.handshakes.get() + 1);
        let limit = Duration::from_millis(handshake::HANDSHAKE_TIMEOUT_MS);
        let outcome =
            tokio::time::timeout(limit, handshake::accept(&mut stream, &self.identity)).await;
        self.handshakes.set(self.handshakes.get() - 1);
        match outcome {
            Ok(Ok(peer)) => self.serve(stream, peer).await,
            Ok(Err(error)) => {
                metrics::counter!("peer_handshakes_failed_total").increment(1);
                log::debug!("handshake with a peer failed: {error:?}");
            }
            Err(_) => metrics::counter!("peer_handshakes_failed_total").increment(1),
        }
    }

    async fn serve(self, stream: CountedStream, peer: PeerId) {
        let service = Service { handler: self.handler, peer };
        let client: peer::Client = capnp_rpc::new_client(service);
        let network = network(stream, Side::Server);
        let rpc = capnp_rpc::RpcSystem::new(Box::new(network), Some(client.client));
        // An error means that the connection ended.
        let _ = rpc.await;
    }
}

/// Creates the capnp-rpc network of one connection.
pub(super) fn network(
    stream: CountedStream,
    side: Side,
) -> capnp_rpc::twoparty::VatNetwork<Reader> {
    const WORD_BYTES: usize = 8;
    let (read, write) = tokio::io::split(stream);
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / WORD_BYTES));
    capnp_rpc::twoparty::VatNetwork::new(read.compat(), write.compat_write(), side, options)
}

type Reader = tokio_util::compat::Compat<tokio::io::ReadHalf<CountedStream>>;

struct Service<H> {
    handler: Rc<H>,
    peer: PeerId,
}

impl<H: Handler> peer::Server for Service<H> {
    async fn consensus(
        self: Rc<Self>,
        params: peer::ConsensusParams,
        _results: peer::ConsensusResults,
    ) -> std::result::Result<(), capnp::Error> {
        let params = params.get()?;
        let group = GroupId(params.get_group());
        self.handler.consensus(&self.peer.daemon, group, params.get_message()?);
        Ok(())
    }

    async fn ask(
        self: Rc<Self>,
        params: peer::AskParams,
        mut results: peer::AskResults,
    ) -> std::result::Result<(), capnp::Error> {
        let request = params.get()?.get_request()?.to_vec();
        match self.handler.ask(self.peer.clone(), request).await {
            Ok(reply) => results.get().set_reply(&reply),
            Err(reason) if reason.is_empty() => results.get().set_error(UNNAMED_ERROR),
            Err(reason) => results.get().set_error(reason.as_str()),
        }
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _params: peer::PingParams,
        _results: peer::PingResults,
    ) -> std::result::Result<(), capnp::Error> {
        Ok(())
    }
}
