//! The replicated table of idempotency records and the commands that change it.

use std::collections::BTreeSet;
use std::ops::Bound;
use std::sync::Arc;

use crate::control::answer::Answer;
use crate::control::machine::Context;
use crate::control::owner;
use crate::control::records::command::{Begun, Command, End, Finished, Outcome, Settled};
use crate::control::records::encoded_answer::EncodedAnswer;
use crate::control::records::limits::Limits;
use crate::control::records::record::{
    self, Attempt, Cause, Nonce, Record, Settlement, Status, Tombstone,
};
use crate::control::shards::{self, Item as _};
use crate::ids::{Digest, TenantId};

/// Number of shards of each table that one tick sweeps.
const SWEPT_SHARDS: usize = 256;

/// The number of records of one tenant.
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
    /// Keys of calls in progress and of calls that may have run. A tree, because the set changes
    /// with every call.
    #[serde(skip)]
    open_keys: BTreeSet<shards::Key>,
    #[serde(skip)]
    checks: Vec<std::result::Result<(), String>>,
}

impl State {
    /// Returns the limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the daemon incarnations that have calls in progress, sorted.
    pub fn owners(&self) -> Vec<owner::Owner> {
        let open = self.open_keys.iter().filter_map(|key| self.records.get(key));
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

    /// Replaces the limits. Existing records keep their expiry times.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes the checks of [`Promise::AtMostOnce`] made since the last call; `Err` is the reason of
    /// a breach.
    ///
    /// [`Promise::AtMostOnce`]: crate::control::outcomes::Promise::AtMostOnce
    pub fn take_checks(&mut self) -> Vec<std::result::Result<(), String>> {
        std::mem::take(&mut self.checks)
    }

    pub(super) fn records(&self) -> &shards::Table<Record> {
        &self.records
    }

    /// Iterates over calls in progress and calls that may have run, from the first key after `key`.
    pub(super) fn open_after(&self, key: Option<shards::Key>) -> impl Iterator<Item = &Record> {
        let first = key.map_or(Bound::Unbounded, Bound::Excluded);
        let keys = self.open_keys.range((first, Bound::Unbounded));
        keys.filter_map(|key| self.records.get(key))
    }

    /// Returns a cheap copy to encode into a snapshot. It omits the indexes that
    /// [`State::rebuild_indexes`] restores.
    pub fn snapshot_copy(&self) -> Self {
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
        if let Some(outcome) = self.existing_outcome(context, &key, &digest, &attempt) {
            return outcome;
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

    /// Returns the outcome that an earlier call with the key determines, if there is one.
    fn existing_outcome(
        &self,
        context: &Context<'_>,
        key: &shards::Key,
        digest: &Digest,
        attempt: &Attempt,
    ) -> Option<Begun> {
        let Some(record) = self.records.get(key) else {
            let has_tombstone =
                self.tombstones.get(key).is_some_and(|t| t.expires_ms > context.now_ms);
            return has_tombstone.then_some(Begun::Expired);
        };
        if record.is_reusable() {
            let was_released = matches!(record.status, Status::Released(n) if n == attempt.nonce);
            return was_released.then_some(Begun::Released);
        }
        if record.digest != *digest {
            return Some(Begun::Mismatch);
        }
        let since_ms = record.since_ms;
        let outcome = match effective_status(record, context) {
            Status::Pending(first) if *first == *attempt => Begun::Recorded,
            Status::Pending(_) => Begun::InProgress { since_ms },
            Status::Unknown(_, cause) if is_pending(record) => {
                Begun::MayHaveRun { since_ms, cause }
            }
            _ if record.expires_ms <= context.now_ms => Begun::Expired,
            Status::Answered(stored) => Begun::Answered(stored.decode().1),
            Status::Unknown(_, cause) => Begun::MayHaveRun { since_ms, cause },
            Status::Settled(settlement) => Begun::Settled(Settlement::clone(&settlement)),
            Status::Released(_) => return None,
        };
        Some(outcome)
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
            Status::Answered(stored) if stored.decode().0 == nonce => return Finished::Already,
            Status::Released(first) if *first == nonce => return Finished::Already,
            _ => return self.finish_superseded(&tenant, &end),
        };
        if let End::Answered(_) = end {
            self.checks.push(Ok(()));
        }
        let mut record = record.clone();
        record.status = match end {
            End::Answered(answer) => {
                Status::Answered(EncodedAnswer::new(nonce, &self.limit_answer(answer)))
            }
            End::Released => Status::Released(nonce),
            End::Unknown(cause) => Status::Unknown(attempt, cause),
        };
        record.expires_ms = context.now_ms + self.retention_ms(&record.status);
        self.put(record);
        Finished::Recorded
    }

    /// Handles the end of an attempt that no longer owns the record. An answer is a breach of the
    /// at-most-once promise: the call was settled as not run, or its key was taken over, and then
    /// the first attempt was answered.
    fn finish_superseded(&mut self, tenant: &TenantId, end: &End) -> Finished {
        if let End::Answered(_) = end {
            let reason = format!("a call of {tenant} was settled as not run, then answered");
            self.checks.push(Err(reason));
        }
        Finished::Stale
    }

    /// Records a release that arrives before the [`Command::Begin`] of its attempt, so that the
    /// late command is answered with [`Begun::Released`].
    fn finish_unrecorded(
        &mut self,
        context: &Context<'_>,
        tenant: TenantId,
        key: shards::Key,
        nonce: Nonce,
        end: End,
    ) -> Finished {
        let has_tombstone = self.tombstones.get(&key).is_some();
        if end != End::Released || has_tombstone || self.records.len() >= self.limits.max_records {
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
        if !matches!(effective_status(record, context), Status::Unknown(..)) {
            return Settled::NotUnknown;
        }
        let mut record = record.clone();
        record.status = Status::Settled(Arc::new(settlement));
        record.expires_ms = context.now_ms + self.retention_ms(&record.status);
        self.put(record);
        Settled::Done
    }

    /// Sweeps the tables: expires pending calls and removes records past their retention.
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
        self.remove_from_indexes(&record);
        if !record.is_reusable() {
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

    fn limit_answer(&self, answer: Answer) -> Answer {
        let room_bytes = self.limits.max_answers_bytes.saturating_sub(self.answers_bytes);
        answer.bounded(self.limits.max_answer_bytes.min(room_bytes))
    }

    fn put(&mut self, record: Record) {
        if let Some(former) = self.records.get(&record.key).cloned() {
            self.remove_from_indexes(&former);
        }
        self.add_to_indexes(&record);
        self.records.insert(record);
    }

    fn add_to_indexes(&mut self, record: &Record) {
        self.answers_bytes += record.kept_bytes();
        if record.is_open() {
            self.open_keys.insert(record.key);
        }
        self.usage(&record.tenant).records += 1;
    }

    fn remove_from_indexes(&mut self, record: &Record) {
        self.answers_bytes -= record.kept_bytes();
        self.open_keys.remove(&record.key);
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

    /// Rebuilds, after a restore, the indexes that snapshots omit.
    pub fn rebuild_indexes(&mut self) {
        self.open_keys.clear();
        let mut records = std::mem::take(&mut self.records);
        records.for_each(|record| {
            record.tenant = self.usage(&record.tenant).tenant.clone();
            self.add_to_indexes(record);
        });
        self.records = records;
    }
}

fn is_pending(record: &Record) -> bool {
    matches!(record.status, Status::Pending(_))
}

/// Returns the status of a record at the time of `context`: a pending call becomes unknown when its
/// daemon incarnation has ended or its time limit has passed.
pub(super) fn effective_status(record: &Record, context: &Context<'_>) -> Status {
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
