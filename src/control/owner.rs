//! The owner of a record or a lease: one incarnation of a daemon.

use std::fmt;

use crate::ids::{DaemonId, Incarnation};

/// One incarnation of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Owner {
    /// The daemon.
    pub daemon: DaemonId,
    /// The incarnation.
    pub incarnation: Incarnation,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.daemon, self.incarnation)
    }
}

/// The last incarnation of a daemon that is known to have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Ended {
    daemon: DaemonId,
    incarnation: Incarnation,
    at_ms: u64,
}

/// The daemon incarnations that have ended, sorted by daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Gone {
    ended: Vec<Ended>,
}

impl Gone {
    /// Records that this incarnation and all earlier ones of the daemon have ended.
    pub fn note(&mut self, owner: &Owner, now_ms: u64) {
        let incarnation = owner.incarnation;
        match self.place(&owner.daemon) {
            Ok(at) if self.ended[at].incarnation < incarnation => {
                self.ended[at].incarnation = incarnation;
                self.ended[at].at_ms = now_ms;
            }
            Ok(_) => {}
            Err(at) => {
                let daemon = owner.daemon.clone();
                self.ended.insert(at, Ended { daemon, incarnation, at_ms: now_ms });
            }
        }
    }

    /// Records that this incarnation has not ended after all. Earlier incarnations of the daemon
    /// remain ended, and a later ended incarnation implies that this one has ended too.
    pub fn take_back(&mut self, owner: &Owner) {
        if let Ok(at) = self.place(&owner.daemon)
            && self.ended[at].incarnation == owner.incarnation
        {
            let before = owner.incarnation.0.checked_sub(1).map(Incarnation);
            match before {
                Some(before) => self.ended[at].incarnation = before,
                None => drop(self.ended.remove(at)),
            }
        }
    }

    /// Whether this incarnation is known to have ended.
    pub fn contains(&self, owner: &Owner) -> bool {
        match self.place(&owner.daemon) {
            Ok(at) => owner.incarnation <= self.ended[at].incarnation,
            Err(_) => false,
        }
    }

    /// Removes incarnations that ended before `before_ms`.
    pub fn forget(&mut self, before_ms: u64) {
        self.ended.retain(|ended| ended.at_ms >= before_ms);
    }

    fn place(&self, daemon: &DaemonId) -> Result<usize, usize> {
        self.ended.binary_search_by(|ended| ended.daemon.cmp(daemon))
    }
}
