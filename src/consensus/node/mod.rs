//! One running voter on the control thread: executes the actions of [`super::core`].
//!
//! Runs inside a `tokio::task::LocalSet`. Separate threads write the files.

mod event_loop;
mod handle;
mod settings;

use std::fmt;

use error_stack::Report;

use crate::ids::DaemonId;

pub use event_loop::{Leadership, Status};
pub use handle::{Handle, MAX_COMMAND_BYTES};
pub use settings::{OpenedVoter, Settings, start};

/// Sends messages to other daemons.
pub trait Transport {
    /// Sends without waiting; the message may be lost.
    fn send(&self, to: &DaemonId, message: Vec<u8>);
}

/// The transport of a group with a single voter, which sends no messages.
#[derive(Clone, Copy, Debug)]
pub struct NoTransport;

impl Transport for NoTransport {
    fn send(&self, _to: &DaemonId, _message: Vec<u8>) {}
}

/// Why a request to the node failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// This voter is not the leader; names the leader's daemon, if known. Nothing was proposed.
    NotLeader(Option<DaemonId>),
    /// Nothing was proposed, for the reason given.
    Unavailable(String),
    /// The command was proposed and may still be committed.
    Unknown,
    /// The voter cannot start; names the failed step.
    Start(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(Some(leader)) => write!(f, "this voter does not lead; {leader} does"),
            Self::NotLeader(None) => {
                f.write_str("this voter does not lead, and no leader is known")
            }
            Self::Unavailable(reason) => write!(f, "nothing was proposed: {reason}"),
            Self::Unknown => f.write_str("leadership was lost; the change may yet be committed"),
            Self::Start(step) => write!(f, "the voter cannot start: {step}"),
        }
    }
}

impl std::error::Error for Error {}

/// The result of a request to the node.
pub type Result<T> = std::result::Result<T, Report<Error>>;
