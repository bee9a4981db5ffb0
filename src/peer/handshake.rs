//! Mutual authentication by the shared key, before any other bytes are read.
//!
//! Challenge-response over frames of fixed size: each side sends a hello with a fresh nonce, and
//! proves that it holds the key by HMAC-SHA256 (RFC 2104) over its role and both hellos. The hellos
//! contain the cluster and daemon names, which the HMAC therefore authenticates too. Traffic after
//! the handshake is neither encrypted nor authenticated: the network between the daemons is trusted
//! not to hijack connections.

use std::fmt;

use error_stack::{Report, ResultExt as _, bail, ensure};
use hmac::Mac as _;
use rand::RngCore as _;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};

use super::{Error, Identity, PeerId, Result};
use crate::ids::{DaemonId, Incarnation, MAX_NAME_BYTES};

/// Timeout of a handshake, in milliseconds.
pub const HANDSHAKE_TIMEOUT_MS: u64 = 1000;

const MAGIC: &[u8; 8] = b"fescue01";
const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
/// Size of a name field: a length byte, then the name padded with zeros.
const NAME_BYTES: usize = 1 + MAX_NAME_BYTES;
const HELLO_BYTES: usize = MAGIC.len() + 2 * NAME_BYTES + 8 + NONCE_BYTES;

type Hmac = hmac::Hmac<sha2::Sha256>;
type Hello = [u8; HELLO_BYTES];
type Proof = [u8; PROOF_BYTES];

/// The key that all daemons of a cluster share. It is never logged: its `Debug` output hides
/// the bytes.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// Creates a key from `bytes`.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    fn mac(&self, role: &[u8], client: &Hello, server: &Hello) -> Hmac {
        // HMAC accepts a key of any length.
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

fn encode_name(hello: &mut Vec<u8>, name: &str) {
    let name = &name.as_bytes()[..name.len().min(MAX_NAME_BYTES)];
    hello.push(name.len() as u8);
    hello.extend_from_slice(name);
    hello.resize(hello.len() + MAX_NAME_BYTES - name.len(), 0);
}

fn decode_name(field: &[u8]) -> Option<String> {
    let (length, name) = field.split_first()?;
    let name = name.get(..usize::from(*length))?;
    String::from_utf8(name.to_vec()).ok()
}

fn new_hello(identity: &Identity) -> Hello {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    let mut bytes = Vec::with_capacity(HELLO_BYTES);
    bytes.extend_from_slice(MAGIC);
    encode_name(&mut bytes, &identity.cluster);
    encode_name(&mut bytes, identity.daemon.as_str());
    bytes.extend_from_slice(&identity.incarnation.0.to_le_bytes());
    bytes.extend_from_slice(&nonce);
    let mut hello = [0; HELLO_BYTES];
    hello.copy_from_slice(&bytes);
    hello
}

/// Decodes a hello whose sender has proven that it holds the key.
fn decode_hello(hello: &Hello, identity: &Identity) -> Result<PeerId> {
    let (cluster, rest) = hello[MAGIC.len()..].split_at(NAME_BYTES);
    let (daemon, rest) = rest.split_at(NAME_BYTES);
    let mut incarnation = [0; 8];
    incarnation.copy_from_slice(&rest[..8]);
    let invalid_name = Error::Handshake("invalid name in the hello");
    let Some(cluster) = decode_name(cluster) else { bail!(invalid_name) };
    let own = identity.cluster.clone();
    ensure!(cluster == own, Error::OtherCluster { own, peer: cluster });
    let daemon: Option<DaemonId> = decode_name(daemon).and_then(|name| name.parse().ok());
    let Some(daemon) = daemon else { bail!(invalid_name) };
    Ok(PeerId { daemon, incarnation: Incarnation(u64::from_le_bytes(incarnation)) })
}

/// Client side of the handshake. `expected` is the daemon to connect to.
///
/// # Errors
/// The peer does not prove the key, belongs to another cluster, is another daemon, or closes the
/// connection early.
pub async fn connect<S>(stream: &mut S, identity: &Identity, expected: &DaemonId) -> Result<PeerId>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let client = new_hello(identity);
    send(stream, &client, "send the hello").await?;
    let server: Hello = receive(stream, "read the hello").await?;
    let proof: Proof = receive(stream, "read the proof").await?;
    verify(identity, SERVER_ROLE, (&client, &server), &proof)?;
    let own_proof = identity.key.mac(CLIENT_ROLE, &client, &server).finalize().into_bytes();
    send(stream, &own_proof, "send the proof").await?;
    let peer = decode_hello(&server, identity)?;
    let (expected, found) = (expected.clone(), peer.daemon.clone());
    ensure!(expected == found, Error::OtherDaemon { expected, found });
    Ok(peer)
}

/// Server side of the handshake.
///
/// # Errors
/// As for [`connect`].
pub async fn accept<S>(stream: &mut S, identity: &Identity) -> Result<PeerId>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let client: Hello = receive(stream, "read the hello").await?;
    ensure!(client.starts_with(MAGIC), Error::Handshake("the hello belongs to another protocol"));
    let server = new_hello(identity);
    send(stream, &server, "send the hello").await?;
    let own_proof = identity.key.mac(SERVER_ROLE, &client, &server).finalize().into_bytes();
    send(stream, &own_proof, "send the proof").await?;
    let proof: Proof = receive(stream, "read the proof").await?;
    verify(identity, CLIENT_ROLE, (&client, &server), &proof)?;
    decode_hello(&client, identity)
}

/// Verifies a proof in constant time.
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
