//! Who owns a record or a lease: one life of a daemon.

use std::fmt;

use crate::ids::{DaemonId, Incarnation};

/// One life of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Owner {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life.
    pub incarnation: Incarnation,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.daemon, self.incarnation)
    }
}

/// The last life of a daemon that is known to be over.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Ended {
    daemon: DaemonId,
    incarnation: Incarnation,
    at_ms: u64,
}

/// Lives of daemons that are over, sorted by daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Gone {
    ended: Vec<Ended>,
}

impl Gone {
    /// Notes that this life and all earlier ones of its daemon are over.
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

    /// Takes back that this life is over. Earlier lives of its daemon stay over; a later one that
    /// is over ends this one too.
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

    /// Whether this life is known to be over.
    pub fn contains(&self, owner: &Owner) -> bool {
        match self.place(&owner.daemon) {
            Ok(at) => owner.incarnation <= self.ended[at].incarnation,
            Err(_) => false,
        }
    }

    /// Forgets lives that ended before `before_ms`.
    pub fn forget(&mut self, before_ms: u64) {
        self.ended.retain(|ended| ended.at_ms >= before_ms);
    }

    fn place(&self, daemon: &DaemonId) -> Result<usize, usize> {
        self.ended.binary_search_by(|ended| ended.daemon.cmp(daemon))
    }
}
