//! The table of idempotency records and what commands do to it.

use std::collections::BTreeSet;
use std::ops::Bound;
use std::sync::Arc;

use crate::control::answer::Answer;
use crate::control::machine::Context;
use crate::control::owner;
use crate::control::records::command::{Begun, Command, End, Finished, Outcome, Settled};
use crate::control::records::kept::Kept;
use crate::control::records::limits::Limits;
use crate::control::records::record::{
    self, Attempt, Cause, Nonce, Record, Settlement, Status, Tombstone,
};
use crate::control::shards::{self, Item as _};
use crate::ids::{Digest, TenantId};

/// Shards of each table that a tick visits.
const SWEPT_SHARDS: usize = 256;

/// What one tenant holds.
#[derive(Clone, Debug)]
struct Usage {
    tenant: TenantId,
    records: usize,
}

/// The idempotency records.
#[derive(Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    limits: Limits,
    records: shards::Table<Record>,
    tombstones: shards::Table<Tombstone>,
    #[serde(skip)]
    tenants: Vec<Usage>,
    #[serde(skip)]
    answers_bytes: u64,
    /// Calls under way and calls that may have run: a tree, since it changes with every call.
    #[serde(skip)]
    open: BTreeSet<shards::Key>,
    #[serde(skip)]
    checks: Vec<std::result::Result<(), String>>,
}

impl State {
    /// The limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The lives of daemons that have calls under way, sorted.
    pub fn owners(&self) -> Vec<owner::Owner> {
        let open = self.open.iter().filter_map(|key| self.records.get(key));
        let mut owners: Vec<owner::Owner> = open
            .filter_map(|record| match &record.status {
                Status::Pending(attempt) => Some(attempt.owner.clone()),
                _ => None,
            })
            .collect();
        owners.sort_unstable();
        owners.dedup();
        owners
    }

    /// Puts other limits in force. What is kept already stays until its own time.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Records that are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes the checks of "runs at most once" made since the last call, with reasons of breaches.
    pub fn take_checks(&mut self) -> Vec<std::result::Result<(), String>> {
        std::mem::take(&mut self.checks)
    }

    pub(super) fn records(&self) -> &shards::Table<Record> {
        &self.records
    }

    /// Calls under way and calls that may have run, whose keys come after `key`.
    pub(super) fn open_after(&self, key: Option<shards::Key>) -> impl Iterator<Item = &Record> {
        let first = key.map_or(Bound::Unbounded, Bound::Excluded);
        let keys = self.open.range((first, Bound::Unbounded));
        keys.filter_map(|key| self.records.get(key))
    }

    /// A picture to be encoded: without what [`State::index`] builds, so that it costs little.
    pub fn picture(&self) -> Self {
        Self {
            limits: self.limits.clone(),
            records: self.records.clone(),
            tombstones: self.tombstones.clone(),
            ..Self::default()
        }
    }

    /// Applies a command.
    pub fn apply(&mut self, context: &Context<'_>, command: Command) -> Outcome {
        match command {
            Command::Begin { tenant, key, digest, owner, nonce } => {
                let attempt = Attempt { key, owner, nonce };
                Outcome::Begun(self.begin(context, tenant, digest, attempt))
            }
            Command::Finish { tenant, key, nonce, end } => {
                let key = record::key(&tenant, &key);
                Outcome::Finished(self.finish(context, tenant, key, nonce, end))
            }
            Command::Settle { tenant, key, settlement } => {
                Outcome::Settled(self.settle(context, &record::key(&tenant, &key), settlement))
            }
        }
    }

    fn begin(
        &mut self,
        context: &Context<'_>,
        tenant: TenantId,
        digest: Digest,
        attempt: Attempt,
    ) -> Begun {
        if context.gone.contains(&attempt.owner) {
            return Begun::OwnerGone;
        }
        let key = record::key(&tenant, &attempt.key);
        if let Some(known) = self.known(context, &key, &digest, &attempt) {
            return known;
        }
        if self.records.len() >= self.limits.max_records {
            return Begun::Full;
        }
        if self.usage(&tenant).records >= self.limits.max_records_per_tenant {
            return Begun::TenantFull;
        }
        let tenant = self.usage(&tenant).tenant.clone();
        self.put(Record {
            key,
            tenant,
            digest,
            since_ms: context.now_ms,
            expires_ms: context.now_ms + self.limits.pending_limit_ms,
            status: Status::Pending(Arc::new(attempt)),
        });
        Begun::Recorded
    }

    /// What an earlier call under the key leaves to say, if it left anything.
    fn known(
        &self,
        context: &Context<'_>,
        key: &shards::Key,
        digest: &Digest,
        attempt: &Attempt,
    ) -> Option<Begun> {
        let Some(record) = self.records.get(key) else {
            let is_buried = self.tombstones.get(key).is_some_and(|t| t.expires_ms > context.now_ms);
            return is_buried.then_some(Begun::Expired);
        };
        if record.is_free() {
            let is_given_up = matches!(record.status, Status::Released(n) if n == attempt.nonce);
            return is_given_up.then_some(Begun::Released);
        }
        if record.digest != *digest {
            return Some(Begun::Mismatch);
        }
        let since_ms = record.since_ms;
        let known = match status(record, context) {
            Status::Pending(first) if *first == *attempt => Begun::Recorded,
            Status::Pending(_) => Begun::InProgress { since_ms },
            Status::Unknown(_, cause) if is_pending(record) => {
                Begun::MayHaveRun { since_ms, cause }
            }
            _ if record.expires_ms <= context.now_ms => Begun::Expired,
            Status::Answered(kept) => Begun::Answered(kept.read().1),
            Status::Unknown(_, cause) => Begun::MayHaveRun { since_ms, cause },
            Status::Settled(settlement) => Begun::Settled(Settlement::clone(&settlement)),
            Status::Released(_) => return None,
        };
        Some(known)
    }

    fn finish(
        &mut self,
        context: &Context<'_>,
        tenant: TenantId,
        key: shards::Key,
        nonce: Nonce,
        end: End,
    ) -> Finished {
        let Some(record) = self.records.get(&key) else {
            return self.finish_unrecorded(context, tenant, key, nonce, end);
        };
        let attempt = match &record.status {
            Status::Pending(attempt) | Status::Unknown(attempt, _) if attempt.nonce == nonce => {
                Arc::clone(attempt)
            }
            Status::Answered(kept) if kept.read().0 == nonce => return Finished::Already,
            Status::Released(first) if *first == nonce => return Finished::Already,
            _ => return self.contradicted(&tenant, &end),
        };
        if let End::Answered(_) = end {
            self.checks.push(Ok(()));
        }
        let mut record = record.clone();
        record.status = match end {
            End::Answered(answer) => Status::Answered(Kept::new(nonce, &self.bounded(answer))),
            End::Released => Status::Released(nonce),
            End::Unknown(cause) => Status::Unknown(attempt, cause),
        };
        record.expires_ms = context.now_ms + self.retention_ms(&record.status);
        self.put(record);
        Finished::Recorded
    }

    /// Notes an answer that comes for a key that another attempt has since taken over.
    fn contradicted(&mut self, tenant: &TenantId, end: &End) -> Finished {
        if let End::Answered(_) = end {
            let reason = format!("a call of {tenant} was settled as not run, then answered");
            self.checks.push(Err(reason));
        }
        Finished::Stale
    }

    /// Notes a release that came before its attempt, so that the attempt finds it.
    fn finish_unrecorded(
        &mut self,
        context: &Context<'_>,
        tenant: TenantId,
        key: shards::Key,
        nonce: Nonce,
        end: End,
    ) -> Finished {
        let is_buried = self.tombstones.get(&key).is_some();
        if end != End::Released || is_buried || self.records.len() >= self.limits.max_records {
            return Finished::NoRecord;
        }
        let status = Status::Released(nonce);
        let expires_ms = context.now_ms + self.retention_ms(&status);
        let tenant = self.usage(&tenant).tenant.clone();
        let digest = Digest([0; 32]);
        self.put(Record { key, tenant, digest, since_ms: context.now_ms, expires_ms, status });
        Finished::Recorded
    }

    fn settle(
        &mut self,
        context: &Context<'_>,
        key: &shards::Key,
        settlement: Settlement,
    ) -> Settled {
        if settlement.reason.trim().is_empty() {
            return Settled::NoReason;
        }
        let Some(record) = self.records.get(key) else { return Settled::NotUnknown };
        if !matches!(status(record, context), Status::Unknown(..)) {
            return Settled::NotUnknown;
        }
        let mut record = record.clone();
        record.status = Status::Settled(Arc::new(settlement));
        record.expires_ms = context.now_ms + self.retention_ms(&record.status);
        self.put(record);
        Settled::Done
    }

    /// Lets time pass: records past their retention make room.
    pub fn tick(&mut self, context: &Context<'_>) {
        let mut records = std::mem::take(&mut self.records);
        records.sweep(SWEPT_SHARDS, context.now_ms, |record| self.expire(context, record));
        self.records = records;
        self.tombstones.sweep(SWEPT_SHARDS, context.now_ms, |_| None);
    }

    fn expire(&mut self, context: &Context<'_>, mut record: Record) -> Option<Record> {
        if let Status::Pending(attempt) = &record.status {
            let cause = if context.gone.contains(&attempt.owner) {
                Cause::DaemonGone
            } else {
                Cause::NoReport
            };
            record.status = Status::Unknown(Arc::clone(attempt), cause);
            record.expires_ms = context.now_ms + self.limits.unknown_retention_ms;
            return Some(record);
        }
        self.forget(&record);
        if !record.is_free() {
            let expires_ms = context.now_ms + self.limits.tombstone_retention_ms;
            let tombstone = Tombstone { key: record.key, expires_ms };
            self.tombstones.insert_bounded(tombstone, self.limits.max_tombstones);
        }
        None
    }

    fn retention_ms(&self, status: &Status) -> u64 {
        match status {
            Status::Pending(_) | Status::Released(_) => self.limits.pending_limit_ms,
            Status::Answered(_) | Status::Settled(_) => self.limits.answer_retention_ms,
            Status::Unknown(..) => self.limits.unknown_retention_ms,
        }
    }

    fn bounded(&self, answer: Answer) -> Answer {
        let room_bytes = self.limits.max_answers_bytes.saturating_sub(self.answers_bytes);
        answer.bounded(self.limits.max_answer_bytes.min(room_bytes))
    }

    fn put(&mut self, record: Record) {
        if let Some(former) = self.records.get(&record.key).cloned() {
            self.forget(&former);
        }
        self.remember(&record);
        self.records.insert(record);
    }

    fn remember(&mut self, record: &Record) {
        self.answers_bytes += record.kept_bytes();
        if record.is_open() {
            self.open.insert(record.key);
        }
        self.usage(&record.tenant).records += 1;
    }

    fn forget(&mut self, record: &Record) {
        self.answers_bytes -= record.kept_bytes();
        self.open.remove(&record.key);
        self.usage(&record.tenant).records -= 1;
    }

    fn usage(&mut self, tenant: &TenantId) -> &mut Usage {
        let at = match self.tenants.binary_search_by(|usage| usage.tenant.cmp(tenant)) {
            Ok(at) => at,
            Err(at) => {
                self.tenants.insert(at, Usage { tenant: tenant.clone(), records: 0 });
                at
            }
        };
        &mut self.tenants[at]
    }

    /// Builds after a restore what snapshots leave out.
    pub fn index(&mut self) {
        self.open.clear();
        let mut records = std::mem::take(&mut self.records);
        records.for_each(|record| {
            record.tenant = self.usage(&record.tenant).tenant.clone();
            self.remember(record);
        });
        self.records = records;
    }
}

fn is_pending(record: &Record) -> bool {
    matches!(record.status, Status::Pending(_))
}

/// The status of a record, with what time and deaths of daemons have made of it.
pub(super) fn status(record: &Record, context: &Context<'_>) -> Status {
    match &record.status {
        Status::Pending(attempt) if context.gone.contains(&attempt.owner) => {
            Status::Unknown(Arc::clone(attempt), Cause::DaemonGone)
        }
        Status::Pending(attempt) if record.expires_ms() <= context.now_ms => {
            Status::Unknown(Arc::clone(attempt), Cause::NoReport)
        }
        status => status.clone(),
    }
}
