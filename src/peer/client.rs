//! Client side of calls between daemons: a pool with one connection per peer.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use error_stack::Report;
use tokio::time::Instant;

use super::link::{self, Link, PendingRequest};
use super::{Error, Identity, MAX_MESSAGE_BYTES, Result, Traffic};
use crate::consensus::node;
use crate::ids::{DaemonId, GroupId};

/// Largest request, in bytes; the peer closes the connection on a message over
/// [`MAX_MESSAGE_BYTES`].
pub const MAX_REQUEST_BYTES: usize = MAX_MESSAGE_BYTES / 2;

/// Connections to peers, each opened on first use. Cheap to clone.
#[derive(Clone)]
pub struct Pool {
    shared: Rc<Shared>,
}

struct Shared {
    identity: Rc<Identity>,
    own_ip: IpAddr,
    /// Sorted by daemon id.
    links: RefCell<Vec<(DaemonId, SocketAddr, Link)>>,
}

impl Pool {
    /// Creates a pool that connects from `own_ip`.
    pub fn new(identity: Identity, own_ip: IpAddr) -> Self {
        let shared = Shared { identity: Rc::new(identity), own_ip, links: RefCell::default() };
        Self { shared: Rc::new(shared) }
    }

    /// Sets the peers and their addresses. Connections to unchanged peers stay open.
    pub fn set_peers(&self, mut peers: Vec<(DaemonId, SocketAddr)>) {
        peers.sort();
        peers.dedup_by(|later, earlier| later.0 == earlier.0);
        let mut links = self.shared.links.borrow_mut();
        let mut old = std::mem::take(&mut *links);
        for (daemon, address) in peers {
            let unchanged =
                old.iter().position(|(known, at, _)| *known == daemon && *at == address);
            let link = match unchanged {
                Some(at) => old.swap_remove(at).2,
                None => self.start_link(&daemon, address),
            };
            links.push((daemon, address, link));
        }
    }

    fn start_link(&self, peer: &DaemonId, address: SocketAddr) -> Link {
        let endpoints = link::Endpoints {
            identity: self.shared.identity.clone(),
            own_ip: self.shared.own_ip,
            peer: peer.clone(),
            address,
        };
        Link::start(endpoints)
    }

    /// The peers and their addresses.
    pub fn peers(&self) -> Vec<(DaemonId, SocketAddr)> {
        let links = self.shared.links.borrow();
        links.iter().map(|(daemon, address, _)| (daemon.clone(), *address)).collect()
    }

    /// Sends a request and waits for the reply. The future may be dropped early; the request may
    /// then have run.
    ///
    /// # Errors
    /// The peer is unknown, was not reached, did not answer in time, or answered with an error.
    /// Only after [`Error::Unanswered`] is it unknown whether the request ran.
    pub async fn ask(&self, peer: &DaemonId, request: Vec<u8>, timeout_ms: u64) -> Result<Vec<u8>> {
        if request.len() > MAX_REQUEST_BYTES {
            let error = Report::new(Error::NotSent(peer.clone()));
            return Err(error.attach(format!("request exceeds {MAX_REQUEST_BYTES} bytes")));
        }
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        let pending = {
            let links = self.shared.links.borrow();
            let Ok(at) = links.binary_search_by(|(known, ..)| known.cmp(peer)) else {
                return Err(Report::new(Error::UnknownPeer(peer.clone())));
            };
            links[at].2.ask(request, deadline)
        };
        let PendingRequest { is_sent, reply } = pending;
        match tokio::time::timeout_at(deadline, reply).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) if is_sent.get() => {
                Err(Report::new(Error::Unanswered(peer.clone())))
            }
            Ok(Err(_)) | Err(_) => Err(Report::new(Error::NotSent(peer.clone()))),
        }
    }

    /// Queues a consensus message without waiting. The message is dropped while the peer is not
    /// connected or the queue is full; the consensus protocol retransmits what is still needed.
    pub fn send_consensus(&self, peer: &DaemonId, group: GroupId, message: Vec<u8>) {
        let links = self.shared.links.borrow();
        if let Ok(at) = links.binary_search_by(|(known, ..)| known.cmp(peer)) {
            links[at].2.send_consensus(group, message);
        }
    }

    /// Whether a connection to the peer is open.
    pub fn is_connected(&self, peer: &DaemonId) -> bool {
        let links = self.shared.links.borrow();
        let at = links.binary_search_by(|(known, ..)| known.cmp(peer));
        at.is_ok_and(|at| links[at].2.is_connected())
    }

    /// Bytes sent to and received from a peer over the connections of this pool.
    pub fn traffic(&self, peer: &DaemonId) -> Traffic {
        let links = self.shared.links.borrow();
        match links.binary_search_by(|(known, ..)| known.cmp(peer)) {
            Ok(at) => links[at].2.traffic(),
            Err(_) => Traffic::default(),
        }
    }
}

/// Sends the consensus messages of one group over a pool.
#[derive(Clone)]
pub struct GroupTransport {
    /// The pool.
    pub pool: Pool,
    /// The group.
    pub group: GroupId,
}

impl node::Transport for GroupTransport {
    fn send(&self, to: &DaemonId, message: Vec<u8>) {
        self.pool.send_consensus(to, self.group, message);
    }
}
