//! A client that discovers the leader from seed voters and sends it requests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::message::{self, Reply, Request};
use super::peer_address;
use crate::ids::DaemonId;
use crate::peer;
use crate::peer::client::Pool;

/// Pause after no known voter has named a leader.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Timeout for a voter to name the leader.
const STATUS_TIMEOUT_MS: u64 = 400;

/// Why a request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The request reached no leader.
    NotSent,
    /// It may have reached a leader.
    Unknown,
}

/// Handles requests that a daemon sends to itself.
pub type LocalHandler = Box<dyn Fn(Request) -> futures::future::LocalBoxFuture<'static, Reply>>;

/// Sends requests to voters.
pub struct VoterClient {
    pool: Pool,
    peer_port: u16,
    own_id: DaemonId,
    /// The known voters: the seed voters and those that the leader has reported since.
    voters: RefCell<Vec<DaemonId>>,
    seed_voters: RefCell<Vec<DaemonId>>,
    leader: RefCell<Option<DaemonId>>,
    next_voter: Cell<usize>,
    local_handler: RefCell<Option<LocalHandler>>,
}

impl VoterClient {
    /// A client that first asks the voters `first`.
    pub fn new(
        pool: Pool,
        own_id: DaemonId,
        peer_port: u16,
        seed_voters: Vec<DaemonId>,
    ) -> Rc<Self> {
        let client = Rc::new(Self {
            pool,
            peer_port,
            own_id,
            voters: RefCell::default(),
            seed_voters: RefCell::new(seed_voters),
            leader: RefCell::default(),
            next_voter: Cell::new(0),
            local_handler: RefCell::default(),
        });
        client.set_voters(&[]);
        client
    }

    /// Sets the handler of requests that this daemon sends to itself.
    pub fn set_local(&self, local_handler: LocalHandler) {
        self.local_handler.replace(Some(local_handler));
    }

    /// The pool of connections.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Sets the current voters. The seed voters stay known, in case all voters were replaced.
    pub fn set_voters(&self, voters: &[DaemonId]) {
        let seed_voters = self.seed_voters.borrow();
        let mut known: Vec<DaemonId> = voters.iter().chain(&*seed_voters).cloned().collect();
        drop(seed_voters);
        known.sort_unstable();
        known.dedup();
        if *self.voters.borrow() == known {
            return;
        }
        let others = known.iter().filter(|daemon| **daemon != self.own_id);
        let peers = others
            .filter_map(|daemon| Some((daemon.clone(), peer_address(daemon, self.peer_port)?)));
        self.pool.set_peers(peers.collect());
        self.voters.replace(known);
    }

    /// Replaces the seed voters after the settings were changed.
    pub fn set_seed_voters(&self, seed_voters: Vec<DaemonId>) {
        self.seed_voters.replace(seed_voters);
        self.set_voters(&self.voters());
    }

    /// Adds a voter.
    pub fn add_voter(&self, daemon: &DaemonId) {
        let mut voters = self.voters.borrow().clone();
        if let Err(at) = voters.binary_search(daemon) {
            voters.insert(at, daemon.clone());
            self.set_voters(&voters);
        }
    }

    /// The known voters.
    pub fn voters(&self) -> Vec<DaemonId> {
        self.voters.borrow().clone()
    }

    /// Sets the leader.
    pub fn set_leader(&self, leader: Option<DaemonId>) {
        if let Some(leader) = &leader {
            self.add_voter(leader);
        }
        self.leader.replace(leader);
    }

    /// The leader, if one is known.
    pub fn leader(&self) -> Option<DaemonId> {
        self.leader.borrow().clone()
    }

    /// Sends a request to one daemon.
    ///
    /// # Errors
    /// No response arrived within `attempt_timeout_ms`.
    pub async fn ask(
        &self,
        to: &DaemonId,
        request: Request,
        attempt_timeout_ms: u64,
    ) -> Result<Reply, RequestError> {
        if *to == self.own_id {
            let answered =
                self.local_handler.borrow().as_ref().map(|local_handler| local_handler(request));
            return match answered {
                Some(answered) => Ok(answered.await),
                None => Err(RequestError::NotSent),
            };
        }
        let answered = self.pool.ask(to, message::encode(&request), attempt_timeout_ms).await;
        let bytes = answered.map_err(|report| match report.current_context() {
            peer::Error::Unanswered(_) => RequestError::Unknown,
            _ => RequestError::NotSent,
        })?;
        message::decode(&bytes).map_err(|error| {
            log::warn!("an answer of {to} cannot be read: {error}");
            RequestError::Unknown
        })
    }

    /// Sends a request to the leader, discovering it if necessary, until `timeout_ms` have passed. Each attempt takes at most
    /// `attempt_timeout_ms`.
    ///
    /// A request that may have reached a leader is retried, so requests must be idempotent.
    ///
    /// # Errors
    /// No leader answered.
    pub async fn ask_leader(
        &self,
        request: &Request,
        attempt_timeout_ms: u64,
        timeout_ms: u64,
    ) -> Result<Reply, RequestError> {
        let end = Instant::now() + Duration::from_millis(timeout_ms);
        let mut failure = RequestError::NotSent;
        loop {
            let Some(leader) = self.find_leader(end).await else { return Err(failure) };
            let left_ms = end.saturating_duration_since(Instant::now()).as_millis() as u64;
            match self.ask(&leader, request.clone(), attempt_timeout_ms.min(left_ms.max(1))).await {
                Ok(Reply::NotLeader(hint)) => {
                    self.set_leader(hint.filter(|hint| *hint != leader));
                }
                Ok(reply) => return Ok(reply),
                Err(failed) => {
                    if failed == RequestError::Unknown {
                        failure = failed;
                    }
                    self.leader.replace(None);
                }
            }
            if Instant::now() >= end {
                return Err(failure);
            }
        }
    }

    /// Returns the known leader, or the one that a voter names before `end`.
    async fn find_leader(&self, end: Instant) -> Option<DaemonId> {
        let mut asked = 0;
        loop {
            if let Some(leader) = self.leader() {
                return Some(leader);
            }
            let voters = self.voters();
            if Instant::now() >= end || voters.is_empty() {
                return None;
            }
            let next_voter = self.next_voter.get();
            self.next_voter.set(next_voter.wrapping_add(1));
            let voter = &voters[next_voter % voters.len()];
            if let Ok(Reply::Status(status)) =
                self.ask(voter, Request::Status, STATUS_TIMEOUT_MS).await
            {
                self.set_leader(status.leader);
            }
            asked += 1;
            if self.leader().is_none() && asked % voters.len() == 0 {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
