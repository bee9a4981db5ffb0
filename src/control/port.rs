//! The interface to the control group: replicated commands, and queries.

use std::fmt;

use error_stack::Report;
use futures::future::BoxFuture;

use crate::control::{commands, queries};
use crate::ids::DaemonId;

/// Whether a command without a received outcome may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum ProposalOutcome {
    /// The command was not proposed and never takes effect.
    NotProposed,
    /// The command may have taken effect, or may still do so.
    Unknown,
}

/// A command or query without an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The step that failed, such as `find the leader`.
    pub step: &'static str,
    /// The peer at which the step failed, if one was involved.
    pub peer: Option<DaemonId>,
    /// Whether the command may take effect.
    pub outcome: ProposalOutcome,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "control group: {} failed", self.step)?;
        if let Some(peer) = &self.peer {
            write!(f, " at {peer}")?;
        }
        match self.outcome {
            ProposalOutcome::NotProposed => write!(f, ", nothing was proposed"),
            ProposalOutcome::Unknown => write!(f, ", the command may yet take effect"),
        }
    }
}

impl std::error::Error for Error {}

/// The result of a command or query.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The operations of the control group.
pub trait Log: Send + Sync {
    /// Replicates a command. `Ok` means that it is committed and synced on a majority.
    ///
    /// The leader stamps the command with the time. The proposer may retry a proposal: commands
    /// carry their own ids, which distinguish a retry from a new command.
    fn propose(&self, command: commands::Command) -> BoxFuture<'_, Result<commands::Outcome>>;

    /// Reads the state at the leader, with all that was committed before the query was made.
    fn query(&self, query: queries::Query) -> BoxFuture<'_, Result<queries::Answer>>;
}
