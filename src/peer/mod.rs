//! Calls between daemons, by capnp-rpc on the control thread.
//!
//! Both ends first prove that they hold the shared key ([`handshake`]). Every call has a timeout.
//! A connection that stops responding is detected within [`SILENCE_TIMEOUT_MS`] and replaced.

pub mod client;
pub mod handshake;
mod link;
pub mod schema;
pub mod server;
mod traffic;

use std::fmt;

use error_stack::Report;

use crate::ids::{DaemonId, GroupId, Incarnation};

pub use handshake::Key;
pub use traffic::Traffic;

/// Time without a byte from the peer after which a connection with pending calls is closed, in
/// milliseconds.
pub const SILENCE_TIMEOUT_MS: u64 = 1500;

/// Largest accepted message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Identity of this daemon, as proven to its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name of the cluster.
    pub cluster: String,
    /// The daemon.
    pub daemon: DaemonId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The key that all daemons of the cluster share.
    pub key: Key,
}

/// An authenticated peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerId {
    /// The daemon.
    pub daemon: DaemonId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

/// Handles calls from peers.
pub trait Handler: 'static {
    /// Processes a message of the consensus protocol.
    fn consensus(&self, from: &DaemonId, group: GroupId, message: &[u8]);

    /// Answers a request. `Err` is passed to the caller as text.
    fn ask(
        &self,
        from: PeerId,
        request: Vec<u8>,
    ) -> impl Future<Output = std::result::Result<Vec<u8>, String>>;
}

/// Why a call or a connection failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The address cannot be bound or listened on.
    Listen(std::net::SocketAddr),
    /// No address of the peer is known.
    UnknownPeer(DaemonId),
    /// The request was not sent to the peer in time, so it did not run there.
    NotSent(DaemonId),
    /// The request was sent, and no reply came in time: it may have run.
    Unanswered(DaemonId),
    /// The peer answered with an error.
    Refused {
        /// The peer.
        peer: DaemonId,
        /// The reason that the peer gave.
        reason: String,
    },
    /// The connection ended during a step of the handshake.
    Handshake(&'static str),
    /// The peer does not hold the shared key.
    WrongKey,
    /// The peer belongs to another cluster.
    OtherCluster {
        /// This daemon's cluster.
        own: String,
        /// The peer's cluster.
        peer: String,
    },
    /// Another daemon responds at the peer's address.
    OtherDaemon {
        /// The daemon that was called.
        expected: DaemonId,
        /// The daemon that answered.
        found: DaemonId,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address) => write!(f, "cannot listen for peers on {address}"),
            Self::UnknownPeer(peer) => write!(f, "no address of {peer} is known"),
            Self::NotSent(peer) => write!(f, "{peer} was not reached in time"),
            Self::Unanswered(peer) => write!(f, "{peer} did not answer in time"),
            Self::Refused { peer, reason } => write!(f, "{peer} answered: {reason}"),
            Self::Handshake(step) => write!(f, "the handshake ended early: {step}"),
            Self::WrongKey => f.write_str("the peer does not hold the shared key"),
            Self::OtherCluster { own, peer } => {
                write!(f, "the peer is of cluster {peer}, this daemon of {own}")
            }
            Self::OtherDaemon { expected, found } => {
                write!(f, "{found} answers at the address of {expected}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// The result of a call.
pub type Result<T> = std::result::Result<T, Report<Error>>;
