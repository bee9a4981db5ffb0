//! The operators' HTTP API, and the client that the command line uses.
//!
//! [`server::router`] serves any [`Backend`] under `/admin/v1`; [`client::Client`] calls it.

pub mod client;
mod problem;
pub mod server;
pub mod view;

use std::fmt;
use std::future::Future;
use std::sync::Arc;

use error_stack::Report;

use crate::config;
use crate::ids::{DaemonId, Digest, IdempotencyKey, JobId, OperatorName, Revision, TenantId};

pub use problem::Problem;

/// Why a question or command of an operator had no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// There is no such thing.
    NotFound(String),
    /// It cannot be done as things are; nothing was done.
    Refused(String),
    /// No leader could be reached in time; whether it was done is not known.
    Unavailable(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotFound(what) => write!(f, "there is no {what}"),
            Error::Refused(why) => write!(f, "refused: {why}"),
            Error::Unavailable(why) => write!(f, "unavailable: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// The result of a question or command.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// What the operators' API asks of a daemon. Every daemon answers; commands reach the leader.
pub trait Backend: Send + Sync + 'static {
    /// Makes a change, or finds why not. The same change id again gives the first outcome.
    fn change(
        &self,
        change: config::Change,
    ) -> impl Future<Output = Result<config::Outcome>> + Send;

    /// The configuration in force at this daemon.
    fn fleet(&self) -> Arc<config::Fleet>;

    /// Accepted changes after a revision, oldest first, at most `limit`.
    fn changes(
        &self,
        after: Revision,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<config::Accepted>>> + Send;

    /// The newest accepted revision, and the one in force at each daemon.
    fn revision(&self) -> impl Future<Output = Result<view::Revisions>> + Send;

    /// The targets.
    fn targets(&self) -> impl Future<Output = Result<Vec<view::Target>>> + Send;

    /// The models that are wanted or loaded somewhere.
    fn models(&self) -> impl Future<Output = Result<Vec<view::Model>>> + Send;

    /// The voters of the control group, and learners.
    fn voters(&self) -> impl Future<Output = Result<Vec<view::Voter>>> + Send;

    /// Replaces a voter. The old one leaves once the new one holds all that is committed.
    fn replace_voter(
        &self,
        replacement: view::Replacement,
    ) -> impl Future<Output = Result<()>> + Send;

    /// The report on a window of time that ends now.
    fn report(
        &self,
        window: view::Window,
        format: view::Format,
    ) -> impl Future<Output = Result<String>> + Send;

    /// Records of idempotency keys, the oldest first.
    fn records(
        &self,
        filter: view::RecordFilter,
    ) -> impl Future<Output = Result<Vec<view::Record>>> + Send;

    /// Settles a record whose call may have run.
    fn settle_record(
        &self,
        tenant: TenantId,
        key: IdempotencyKey,
        settlement: view::Settlement,
        author: OperatorName,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Jobs, the oldest first, at most `limit`.
    fn jobs(&self, limit: usize) -> impl Future<Output = Result<Vec<view::Job>>> + Send;

    /// Cancels a job; `reason` is what its caller is told.
    fn cancel_job(
        &self,
        job: JobId,
        reason: String,
        author: OperatorName,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Requests that are suspected to crash targets, or closed for it.
    fn poison(&self) -> impl Future<Output = Result<Vec<view::Poison>>> + Send;

    /// Lets a closed request run again.
    fn lift_poison(
        &self,
        digest: Digest,
        reason: String,
        author: OperatorName,
    ) -> impl Future<Output = Result<()>> + Send;
}

/// Those of the daemons that do not have `revision` in force yet.
pub fn lagging(revisions: &view::Revisions, revision: Revision) -> Vec<DaemonId> {
    let lags = |daemon: &&view::DaemonRevision| daemon.in_force < revision;
    revisions.daemons.iter().filter(lags).map(|daemon| daemon.daemon.clone()).collect()
}
