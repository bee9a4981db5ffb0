//! Queries on idempotency records.

use crate::control::machine::Context;
use crate::control::owner;
use crate::control::records::record::{self, Cause};
use crate::control::records::state::{self, State};
use crate::control::shards;
use crate::ids::{IdempotencyKey, TenantId};

/// Most rows in one answer.
const MAX_ROWS: usize = 1_000;

/// A question about the idempotency records.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Query {
    /// The record of one key.
    Key(TenantId, IdempotencyKey),
    /// A page of records.
    List {
        /// The last row of the page before.
        after: Option<shards::Key>,
        /// Rows wanted, at most 1,000.
        max_rows: usize,
        /// Whether only calls that may have run are wanted.
        only_unknown: bool,
    },
    /// How many records are kept.
    Count,
}

/// What is known of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Status {
    /// Recorded, and perhaps dispatched.
    Pending,
    /// Answered with this HTTP status.
    Answered(u16),
    /// It may have run.
    Unknown(Cause),
    /// It was not run.
    Released,
    /// An operator settled whether it ran.
    Settled {
        /// What the operator said.
        ran: bool,
    },
}

/// A record as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// Its place in the table.
    pub at: shards::Key,
    /// Whose it is.
    pub tenant: TenantId,
    /// The caller's key; kept only while the call is under way or may have run.
    pub key: Option<IdempotencyKey>,
    /// The daemon that had the call, kept as long as the key.
    pub owner: Option<owner::Owner>,
    /// Unix time at which it was recorded.
    pub since_ms: u64,
    /// Unix time until which it is kept.
    pub expires_ms: u64,
    /// What is known.
    pub status: Status,
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum View {
    /// The record of a key, if there is one.
    Record(Option<Row>),
    /// A page of records, in the order of their place.
    Page(Vec<Row>),
    /// Records that are kept.
    Count(usize),
}

/// Answers a query.
pub fn answer(state: &State, context: &Context<'_>, query: &Query) -> View {
    match query {
        Query::Key(tenant, key) => {
            let record = state.records().get(&record::key(tenant, key));
            View::Record(record.map(|record| row(record, context)))
        }
        Query::List { after, max_rows, only_unknown } => {
            let max_rows = (*max_rows).min(MAX_ROWS);
            let rows = if *only_unknown {
                let open = state.open_after(*after).map(|record| row(record, context));
                let unknown = open.filter(|row| matches!(row.status, Status::Unknown(_)));
                unknown.take(max_rows).collect()
            } else {
                let records = state.records().after(*after).take(max_rows);
                records.map(|record| row(record, context)).collect()
            };
            View::Page(rows)
        }
        Query::Count => View::Count(state.len()),
    }
}

fn row(record: &record::Record, context: &Context<'_>) -> Row {
    let (status, attempt) = match state::status(record, context) {
        record::Status::Pending(attempt) => (Status::Pending, Some(attempt)),
        record::Status::Answered(kept) => (Status::Answered(kept.read().1.status), None),
        record::Status::Unknown(attempt, cause) => (Status::Unknown(cause), Some(attempt)),
        record::Status::Released(_) => (Status::Released, None),
        record::Status::Settled(settled) => (Status::Settled { ran: settled.ran }, None),
    };
    Row {
        at: record.key,
        tenant: record.tenant.clone(),
        key: attempt.as_ref().map(|attempt| attempt.key.clone()),
        owner: attempt.map(|attempt| attempt.owner.clone()),
        since_ms: record.since_ms,
        expires_ms: record.expires_ms,
        status,
    }
}
