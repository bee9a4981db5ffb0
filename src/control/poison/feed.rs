//! What routers and operators read of the list, and the copy that a router keeps.

use crate::control::poison::command::Flight;
use crate::control::poison::state::{Death, Entry, Lift, State};
use crate::ids::Digest;

/// How a digest is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Standing {
    /// Like any other.
    Clear,
    /// Dispatched only in a trial.
    Suspect,
    /// Refused.
    Closed {
        /// Unix time until which it is.
        until_ms: u64,
    },
}

/// A question about the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Query {
    /// What changed since this revision of the list.
    Since(u64),
    /// The whole list, explained.
    List,
}

/// What changed in the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Feed {
    /// The revision that it leads to.
    pub revision: u64,
    /// Whether it holds the whole list, so that all else is clear.
    pub is_whole: bool,
    /// Digests and how they are treated now.
    pub put: Vec<(Digest, Standing)>,
    /// Digests that are clear again.
    pub removed: Vec<Digest>,
}

/// A digest on the list as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The digest, whose request it is, and its model.
    pub flight: Flight,
    /// How it is treated.
    pub standing: Standing,
    /// Unix time at which it leaves the list.
    pub until_ms: u64,
    /// The targets that died with it in flight.
    pub deaths: Vec<Death>,
    /// Whether it is being tried now.
    pub is_tried: bool,
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Answer {
    /// Of [`Query::Since`].
    Feed(Feed),
    /// Of [`Query::List`].
    List {
        /// The digests on it.
        rows: Vec<Row>,
        /// The last digests that operators took off it, in that order.
        lifts: Vec<Lift>,
    },
}

/// Answers a query.
pub fn answer(state: &State, query: Query) -> Answer {
    match query {
        Query::Since(revision) => Answer::Feed(feed(state, revision)),
        Query::List => Answer::List {
            rows: state.entries.iter().map(row).collect(),
            lifts: state.lifts.clone(),
        },
    }
}

fn feed(state: &State, since: u64) -> Feed {
    let is_whole = since < state.forgotten || since > state.revision;
    let since = if is_whole { 0 } else { since };
    let changed = state.entries.iter().filter(|entry| entry.revision > since);
    let put = changed.map(|entry| (entry.flight.digest, entry.standing())).collect();
    let gone = state.removals.iter().filter(|(at, _)| !is_whole && *at > since);
    // A digest may be listed anew after it was removed.
    let gone = gone.filter(|(_, digest)| !is_listed(state, digest));
    let removed = gone.map(|(_, digest)| *digest).collect();
    Feed { revision: state.revision, is_whole, put, removed }
}

fn is_listed(state: &State, digest: &Digest) -> bool {
    state.entries.binary_search_by(|entry| entry.flight.digest.cmp(digest)).is_ok()
}

fn row(entry: &Entry) -> Row {
    Row {
        flight: entry.flight.clone(),
        standing: entry.standing(),
        until_ms: entry.until_ms,
        deaths: entry.deaths.clone(),
        is_tried: entry.trial.is_some(),
    }
}

/// A router's copy of the list, sorted by digest. Traffic reads it without a lock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mirror {
    revision: u64,
    standings: Vec<(Digest, Standing)>,
}

impl Mirror {
    /// The revision to ask for changes since.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The copy after a feed.
    pub fn after(&self, feed: &Feed) -> Self {
        let mut standings = if feed.is_whole { Vec::new() } else { self.standings.clone() };
        standings.retain(|(digest, _)| !feed.removed.contains(digest));
        for (digest, standing) in &feed.put {
            match standings.binary_search_by(|(other, _)| other.cmp(digest)) {
                Ok(at) => standings[at].1 = *standing,
                Err(at) => standings.insert(at, (*digest, *standing)),
            }
        }
        Self { revision: feed.revision, standings }
    }

    /// Digests that are refused at `now_ms`.
    pub fn closed(&self, now_ms: u64) -> usize {
        let is_closed = |standing: &Standing| match standing {
            Standing::Closed { until_ms } => *until_ms > now_ms,
            Standing::Clear | Standing::Suspect => false,
        };
        self.standings.iter().filter(|(_, standing)| is_closed(standing)).count()
    }

    /// How a digest is treated at `now_ms`.
    pub fn standing(&self, digest: &Digest, now_ms: u64) -> Standing {
        match self.standings.binary_search_by(|(other, _)| other.cmp(digest)) {
            Ok(at) => match self.standings[at].1 {
                Standing::Closed { until_ms } if until_ms <= now_ms => Standing::Clear,
                standing => standing,
            },
            Err(_) => Standing::Clear,
        }
    }
}
