//! Finds the leader from a few first addresses and asks it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::message::{self, Reply, Request};
use super::peer_address;
use crate::ids::DaemonId;
use crate::peer;
use crate::peer::client::Pool;

/// Pause after all known voters were asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Time for one voter to say who leads.
const STATUS_MS: u64 = 400;

/// Why nobody answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request reached no leader.
    NotSent,
    /// It may have reached a leader.
    Unknown,
}

/// Answers requests that a daemon asks of itself.
pub type Local = Box<dyn Fn(Request) -> futures::future::LocalBoxFuture<'static, Reply>>;

/// Asks voters.
pub struct Client {
    pool: Pool,
    peer_port: u16,
    own: DaemonId,
    /// The voters that are asked: those told at the start, and those learned since.
    voters: RefCell<Vec<DaemonId>>,
    first: RefCell<Vec<DaemonId>>,
    leader: RefCell<Option<DaemonId>>,
    turn: Cell<usize>,
    local: RefCell<Option<Local>>,
}

impl Client {
    /// A client that first asks the voters `first`.
    pub fn new(pool: Pool, own: DaemonId, peer_port: u16, first: Vec<DaemonId>) -> Rc<Self> {
        let client = Rc::new(Self {
            pool,
            peer_port,
            own,
            voters: RefCell::default(),
            first: RefCell::new(first),
            leader: RefCell::default(),
            turn: Cell::new(0),
            local: RefCell::default(),
        });
        client.learn(&[]);
        client
    }

    /// Sets what answers requests of this daemon to itself.
    pub fn set_local(&self, local: Local) {
        self.local.replace(Some(local));
    }

    /// The pool of connections.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Learns who the voters are. The first addresses stay known, in case all voters were replaced.
    pub fn learn(&self, voters: &[DaemonId]) {
        let first = self.first.borrow();
        let mut known: Vec<DaemonId> = voters.iter().chain(&*first).cloned().collect();
        drop(first);
        known.sort_unstable();
        known.dedup();
        if *self.voters.borrow() == known {
            return;
        }
        let others = known.iter().filter(|daemon| **daemon != self.own);
        let peers = others
            .filter_map(|daemon| Some((daemon.clone(), peer_address(daemon, self.peer_port)?)));
        self.pool.set_peers(peers.collect());
        self.voters.replace(known);
    }

    /// Replaces the voters that are asked first, after the settings were changed.
    pub fn set_first(&self, first: Vec<DaemonId>) {
        self.first.replace(first);
        self.learn(&self.voters());
    }

    /// Adds a daemon that may be called.
    pub fn add(&self, daemon: &DaemonId) {
        let mut voters = self.voters.borrow().clone();
        if let Err(at) = voters.binary_search(daemon) {
            voters.insert(at, daemon.clone());
            self.learn(&voters);
        }
    }

    /// The voters that are known.
    pub fn voters(&self) -> Vec<DaemonId> {
        self.voters.borrow().clone()
    }

    /// Notes who leads.
    pub fn set_leader(&self, leader: Option<DaemonId>) {
        if let Some(leader) = &leader {
            self.add(leader);
        }
        self.leader.replace(leader);
    }

    /// The leader, if one is known.
    pub fn leader(&self) -> Option<DaemonId> {
        self.leader.borrow().clone()
    }

    /// Asks one daemon.
    ///
    /// # Errors
    /// No answer came within `limit_ms`.
    pub async fn ask(
        &self,
        to: &DaemonId,
        request: Request,
        limit_ms: u64,
    ) -> Result<Reply, Failure> {
        if *to == self.own {
            let answered = self.local.borrow().as_ref().map(|local| local(request));
            return match answered {
                Some(answered) => Ok(answered.await),
                None => Err(Failure::NotSent),
            };
        }
        let answered = self.pool.ask(to, message::encode(&request), limit_ms).await;
        let bytes = answered.map_err(|report| match report.current_context() {
            peer::Error::Unanswered(_) => Failure::Unknown,
            _ => Failure::NotSent,
        })?;
        message::decode(&bytes).map_err(|error| {
            log::warn!("an answer of {to} cannot be read: {error}");
            Failure::Unknown
        })
    }

    /// Asks the leader, wherever it is, until `give_up_ms` have passed. Each try takes at most
    /// `limit_ms`.
    ///
    /// A request that may have reached a leader is sent again: it must tell a repeat from a new one.
    ///
    /// # Errors
    /// No leader answered.
    pub async fn ask_leader(
        &self,
        request: &Request,
        limit_ms: u64,
        give_up_ms: u64,
    ) -> Result<Reply, Failure> {
        let end = Instant::now() + Duration::from_millis(give_up_ms);
        let mut failure = Failure::NotSent;
        loop {
            let Some(leader) = self.find_leader(end).await else { return Err(failure) };
            let left_ms = end.saturating_duration_since(Instant::now()).as_millis() as u64;
            match self.ask(&leader, request.clone(), limit_ms.min(left_ms.max(1))).await {
                Ok(Reply::NotLeader(hint)) => {
                    self.set_leader(hint.filter(|hint| *hint != leader));
                }
                Ok(reply) => return Ok(reply),
                Err(failed) => {
                    if failed == Failure::Unknown {
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

    /// The leader that is known, or that some voter names before `end`.
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
            let turn = self.turn.get();
            self.turn.set(turn.wrapping_add(1));
            let voter = &voters[turn % voters.len()];
            if let Ok(Reply::Status(status)) = self.ask(voter, Request::Status, STATUS_MS).await {
                self.set_leader(status.leader);
            }
            asked += 1;
            if self.leader().is_none() && asked % voters.len() == 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
        }
    }
}
