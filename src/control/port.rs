//! The port to the control group: commands that are replicated, and queries.

use std::fmt;

use error_stack::Report;
use futures::future::BoxFuture;

use crate::control::{commands, queries};
use crate::ids::DaemonId;

/// What became of a command whose outcome did not come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Fate {
    /// It was not proposed and never takes effect.
    NotProposed,
    /// It may have taken effect, or may yet.
    Unknown,
}

/// A command or query without an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The step that failed, such as `find the leader`.
    pub step: &'static str,
    /// The peer that it failed at, if it went to one.
    pub peer: Option<DaemonId>,
    /// What became of the command.
    pub fate: Fate,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "control group: {} failed", self.step)?;
        if let Some(peer) = &self.peer {
            write!(f, " at {peer}")?;
        }
        match self.fate {
            Fate::NotProposed => write!(f, ", nothing was proposed"),
            Fate::Unknown => write!(f, ", the command may yet take effect"),
        }
    }
}

impl std::error::Error for Error {}

/// The result of a command or query.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// What a daemon may ask of the control group.
pub trait Log: Send + Sync {
    /// Replicates a command. `Ok` means that it is committed and synced on a majority.
    ///
    /// The leader stamps the command with the time. A proposal may be sent again by whoever made
    /// it: commands tell a repeat from a new one by their own ids.
    fn propose(&self, command: commands::Command) -> BoxFuture<'_, Result<commands::Outcome>>;

    /// Reads the state at the leader, with all that was committed before the query was made.
    fn query(&self, query: queries::Query) -> BoxFuture<'_, Result<queries::Answer>>;
}
