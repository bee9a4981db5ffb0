//! Queries on idempotency records.

use crate::control::machine::Context;
use crate::control::owner;
use crate::control::records::record::{self, Cause};
use crate::control::records::state::{self, State};
use crate::control::shards;
use crate::ids::{IdempotencyKey, TenantId};

/// Maximum number of rows in one response.
const MAX_ROWS: usize = 1_000;

/// A query on the idempotency records.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Query {
    /// The record of one key.
    Key(TenantId, IdempotencyKey),
    /// A page of records.
    List {
        /// The last row of the previous page.
        after: Option<shards::Key>,
        /// Requested number of rows, capped at 1,000.
        max_rows: usize,
        /// Whether to return only calls that may have run.
        only_unknown: bool,
    },
    /// The number of records.
    Count,
}

/// The status of a call, as reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Status {
    /// Recorded and possibly dispatched.
    Pending,
    /// Answered with this HTTP status.
    Answered(u16),
    /// The call may have run.
    Unknown(Cause),
    /// The call was not run.
    Released,
    /// An operator settled whether the call ran.
    Settled {
        /// Whether the call ran, by the operator's finding.
        ran: bool,
    },
}

/// A record as reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The key of the record in the table; identifies the row for paging.
    pub at: shards::Key,
    /// The tenant that made the call.
    pub tenant: TenantId,
    /// The caller's key; present only while the call is in progress or may have run.
    pub key: Option<IdempotencyKey>,
    /// The daemon incarnation that began the call; present as long as `key`.
    pub owner: Option<owner::Owner>,
    /// Unix time at which the call was recorded.
    pub since_ms: u64,
    /// Unix time at which the record expires.
    pub expires_ms: u64,
    /// The status of the call.
    pub status: Status,
}

/// The response to a [`Query`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum View {
    /// The record of a key, if it exists.
    Record(Option<Row>),
    /// A page of records, sorted by table key.
    Page(Vec<Row>),
    /// Records that are kept.
    Count(usize),
}

/// Answers a query from the state.
pub fn answer(state: &State, context: &Context<'_>, query: &Query) -> View {
    match query {
        Query::Key(tenant, key) => {
            let record = state.records().get(&record::key(tenant, key));
            View::Record(record.map(|record| build_row(record, context)))
        }
        Query::List { after, max_rows, only_unknown } => {
            let max_rows = (*max_rows).min(MAX_ROWS);
            let rows = if *only_unknown {
                let open = state.open_after(*after).map(|record| build_row(record, context));
                let unknown = open.filter(|row| matches!(row.status, Status::Unknown(_)));
                unknown.take(max_rows).collect()
            } else {
                let records = state.records().after(*after).take(max_rows);
                records.map(|record| build_row(record, context)).collect()
            };
            View::Page(rows)
        }
        Query::Count => View::Count(state.len()),
    }
}

fn build_row(record: &record::Record, context: &Context<'_>) -> Row {
    let (status, attempt) = match state::effective_status(record, context) {
        record::Status::Pending(attempt) => (Status::Pending, Some(attempt)),
        record::Status::Answered(stored) => (Status::Answered(stored.decode().1.status), None),
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
