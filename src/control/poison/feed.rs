//! Queries on the poison list, and the copy of the list that a router keeps.

use crate::control::poison::command::Flight;
use crate::control::poison::state::{Death, Entry, LiftRecord, State};
use crate::ids::Digest;

/// How requests with a digest are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Standing {
    /// Dispatched like any other request.
    Clear,
    /// Dispatched only in a trial.
    Suspect,
    /// Refused.
    Closed {
        /// Unix time until which requests with the digest are refused.
        until_ms: u64,
    },
}

/// A query on the poison list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Query {
    /// The changes since this revision of the list.
    Since(u64),
    /// The whole list, with the deaths behind each entry.
    List,
}

/// The changes between two revisions of the list, or the whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Feed {
    /// The revision of the list after these changes.
    pub revision: u64,
    /// Whether `put` holds the whole list; all other digests are then clear.
    pub is_whole: bool,
    /// New and changed digests and their current standing.
    pub put: Vec<(Digest, Standing)>,
    /// Digests that are clear again.
    pub removed: Vec<Digest>,
}

/// A digest on the list as reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The digest, tenant and model of the request.
    pub flight: Flight,
    /// How requests with the digest are treated.
    pub standing: Standing,
    /// Unix time at which the digest leaves the list.
    pub until_ms: u64,
    /// The target deaths with the request in flight.
    pub deaths: Vec<Death>,
    /// Whether a trial of the digest is in progress.
    pub is_tried: bool,
}

/// The response to a [`Query`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Answer {
    /// The response to [`Query::Since`].
    Feed(Feed),
    /// The response to [`Query::List`].
    List {
        /// The digests on the list.
        rows: Vec<Row>,
        /// The last digests that operators removed from the list, oldest first.
        lifts: Vec<LiftRecord>,
    },
}

/// Answers a query from the state.
pub fn answer(state: &State, query: Query) -> Answer {
    match query {
        Query::Since(revision) => Answer::Feed(build_feed(state, revision)),
        Query::List => Answer::List {
            rows: state.entries.iter().map(build_row).collect(),
            lifts: state.lifts.clone(),
        },
    }
}

fn build_feed(state: &State, since: u64) -> Feed {
    let is_whole = since < state.forgotten || since > state.revision;
    let since = if is_whole { 0 } else { since };
    let changed = state.entries.iter().filter(|entry| entry.revision > since);
    let put = changed.map(|entry| (entry.flight.digest, entry.standing())).collect();
    let gone = state.removals.iter().filter(|(at, _)| !is_whole && *at > since);
    // A digest may have been listed again after its removal.
    let gone = gone.filter(|(_, digest)| !is_listed(state, digest));
    let removed = gone.map(|(_, digest)| *digest).collect();
    Feed { revision: state.revision, is_whole, put, removed }
}

fn is_listed(state: &State, digest: &Digest) -> bool {
    state.entries.binary_search_by(|entry| entry.flight.digest.cmp(digest)).is_ok()
}

fn build_row(entry: &Entry) -> Row {
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
    /// Returns the revision to pass to [`Query::Since`].
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the copy with the changes of a feed applied.
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

    /// Returns the number of digests that are refused at `now_ms`.
    pub fn closed(&self, now_ms: u64) -> usize {
        let is_closed = |standing: &Standing| match standing {
            Standing::Closed { until_ms } => *until_ms > now_ms,
            Standing::Clear | Standing::Suspect => false,
        };
        self.standings.iter().filter(|(_, standing)| is_closed(standing)).count()
    }

    /// Returns how requests with a digest are treated at `now_ms`.
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
