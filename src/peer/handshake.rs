//! The proof of the shared key, before anything else is read.
//!
//! Challenge and response over frames of fixed size: each end sends a hello with a fresh nonce,
//! and proves the key by HMAC-SHA256 (RFC 2104) over its role and both hellos. The hellos hold the
//! names, so they are proven too. What follows the handshake is neither encrypted nor
//! authenticated: the network between the daemons is trusted not to take over connections.

use std::fmt;

use error_stack::{Report, ResultExt as _, bail, ensure};
use hmac::Mac as _;
use rand::RngCore as _;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};

use super::{Error, Identity, PeerId, Result};
use crate::ids::{DaemonId, Incarnation, MAX_NAME_BYTES};

/// How long a handshake may take, in milliseconds.
pub const HANDSHAKE_MS: u64 = 1000;

const MAGIC: &[u8; 8] = b"fescue01";
const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
/// A name with its length before it and zeros after it.
const NAME_BYTES: usize = 1 + MAX_NAME_BYTES;
const HELLO_BYTES: usize = MAGIC.len() + 2 * NAME_BYTES + 8 + NONCE_BYTES;

type Hmac = hmac::Hmac<sha2::Sha256>;
type Hello = [u8; HELLO_BYTES];
type Proof = [u8; PROOF_BYTES];

/// The key that all daemons of a cluster share. It never reaches a log.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// A key of these bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    fn mac(&self, role: &[u8], client: &Hello, server: &Hello) -> Hmac {
        // HMAC takes a key of any length.
        let mut mac = Hmac::new_from_slice(&self.0).unwrap_or_else(|_| unreachable!());
        mac.update(role);
        mac.update(client);
        mac.update(server);
        mac
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

const CLIENT_ROLE: &[u8] = b"client";
const SERVER_ROLE: &[u8] = b"server";

fn put_name(hello: &mut Vec<u8>, name: &str) {
    let name = &name.as_bytes()[..name.len().min(MAX_NAME_BYTES)];
    hello.push(name.len() as u8);
    hello.extend_from_slice(name);
    hello.resize(hello.len() + MAX_NAME_BYTES - name.len(), 0);
}

fn take_name(field: &[u8]) -> Option<String> {
    let (length, name) = field.split_first()?;
    let name = name.get(..usize::from(*length))?;
    String::from_utf8(name.to_vec()).ok()
}

fn hello_of(identity: &Identity) -> Hello {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    let mut bytes = Vec::with_capacity(HELLO_BYTES);
    bytes.extend_from_slice(MAGIC);
    put_name(&mut bytes, &identity.cluster);
    put_name(&mut bytes, identity.daemon.as_str());
    bytes.extend_from_slice(&identity.incarnation.0.to_le_bytes());
    bytes.extend_from_slice(&nonce);
    let mut hello = [0; HELLO_BYTES];
    hello.copy_from_slice(&bytes);
    hello
}

/// Reads a hello whose sender has proven the key.
fn read_hello(hello: &Hello, identity: &Identity) -> Result<PeerId> {
    let (cluster, rest) = hello[MAGIC.len()..].split_at(NAME_BYTES);
    let (daemon, rest) = rest.split_at(NAME_BYTES);
    let mut incarnation = [0; 8];
    incarnation.copy_from_slice(&rest[..8]);
    let unreadable = Error::Handshake("a name in the hello cannot be read");
    let Some(cluster) = take_name(cluster) else { bail!(unreadable) };
    let own = identity.cluster.clone();
    ensure!(cluster == own, Error::OtherCluster { own, peer: cluster });
    let daemon: Option<DaemonId> = take_name(daemon).and_then(|name| name.parse().ok());
    let Some(daemon) = daemon else { bail!(unreadable) };
    Ok(PeerId { daemon, incarnation: Incarnation(u64::from_le_bytes(incarnation)) })
}

/// The connecting end. `expected` is the daemon that is to answer.
///
/// # Errors
/// The peer does not prove the key, is of another cluster or another daemon, or ends early.
pub async fn connect<S>(stream: &mut S, identity: &Identity, expected: &DaemonId) -> Result<PeerId>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let client = hello_of(identity);
    send(stream, &client, "send the hello").await?;
    let server: Hello = receive(stream, "read the hello").await?;
    let proof: Proof = receive(stream, "read the proof").await?;
    verify(identity, SERVER_ROLE, (&client, &server), &proof)?;
    let own = identity.key.mac(CLIENT_ROLE, &client, &server).finalize().into_bytes();
    send(stream, &own, "send the proof").await?;
    let peer = read_hello(&server, identity)?;
    let (expected, found) = (expected.clone(), peer.daemon.clone());
    ensure!(expected == found, Error::OtherDaemon { expected, found });
    Ok(peer)
}

/// The accepting end.
///
/// # Errors
/// As for [`connect`].
pub async fn accept<S>(stream: &mut S, identity: &Identity) -> Result<PeerId>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let client: Hello = receive(stream, "read the hello").await?;
    ensure!(client.starts_with(MAGIC), Error::Handshake("the hello is of another protocol"));
    let server = hello_of(identity);
    send(stream, &server, "send the hello").await?;
    let own = identity.key.mac(SERVER_ROLE, &client, &server).finalize().into_bytes();
    send(stream, &own, "send the proof").await?;
    let proof: Proof = receive(stream, "read the proof").await?;
    verify(identity, CLIENT_ROLE, (&client, &server), &proof)?;
    read_hello(&client, identity)
}

/// Compares in constant time.
fn verify(identity: &Identity, role: &[u8], hellos: (&Hello, &Hello), proof: &Proof) -> Result<()> {
    let mac = identity.key.mac(role, hellos.0, hellos.1);
    mac.verify_slice(proof).map_err(|_| Report::new(Error::WrongKey))
}

async fn send<S: AsyncWrite + Unpin>(
    stream: &mut S,
    bytes: &[u8],
    step: &'static str,
) -> Result<()> {
    stream.write_all(bytes).await.change_context(Error::Handshake(step))
}

async fn receive<S: AsyncRead + Unpin, const N: usize>(
    stream: &mut S,
    step: &'static str,
) -> Result<[u8; N]> {
    let mut bytes = [0; N];
    stream.read_exact(&mut bytes).await.change_context(Error::Handshake(step))?;
    Ok(bytes)
}
