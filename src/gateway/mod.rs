//! The role of a router: it takes requests of callers, chooses a target for each, and relays the
//! answer.
//!
//! What is decided stands apart from what is sent: [`fleet`] chooses targets, [`gates`] keeps what they
//! said themselves, [`queue`] orders what
//! waits and [`wait`] for how long, [`budget`] and [`next`] decide about repeats, [`refusal`] tells
//! callers. The rest carries bytes.

pub mod budget;
pub mod events;
pub mod exchange;
pub mod fleet;
pub mod gates;
pub mod next;
mod pool;
pub mod queue;
pub mod refusal;
mod relay;
mod run;
mod shared;
pub mod wait;

use std::fmt;
use std::net::SocketAddr;

use error_stack::Report;
use http::{HeaderMap, StatusCode};

use crate::ids::{ModelRef, TargetId};

pub use run::{Parts, client, handler, run};
pub use shared::Shared;

/// The step at which a router failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The step, such as `listen for callers`.
    pub step: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "router: {} failed", self.step)
    }
}

impl std::error::Error for Error {}

/// The result of running a router.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// What a request tells of itself in its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Names the request in its answer and in logs.
    pub id: String,
    /// The model or adapter that it asks for.
    pub model: Option<ModelRef>,
    /// The parts of its prompt in order: an id that other requests may share, and its tokens.
    pub prompt: Vec<(u64, u32)>,
    /// How long the caller waits.
    pub patience_ms: Option<u64>,
    /// The last event that the caller has got of a stream that broke.
    pub last_event: Option<String>,
}

/// How a request is sent to a target.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// The target; any other must refuse the request.
    pub target: &'a TargetId,
    /// Where it is called.
    pub address: SocketAddr,
    /// How long the target may take.
    pub left_ms: u64,
    /// The request's rank at the target: 0 goes first.
    pub rank: u8,
    /// The last event that was delivered, if the target is to go on with a stream.
    pub last_event: Option<&'a str>,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the target's answer.
    Answer,
    /// The target did not run the request.
    NotRun,
    /// The target did not run the request, since it lacks what it needs or is another target.
    Lacking,
    /// It belongs to another request, or is not signed by a target.
    Foreign,
}

/// What a target says of itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// It leaves: it finishes what it has and wants nothing new.
    pub is_leaving: bool,
    /// It wants nothing more for so long.
    pub pause_ms: Option<u64>,
}

/// How requests are read and passed on.
pub trait Protocol {
    /// Reads the headers of a request.
    fn read(&self, headers: &HeaderMap) -> Facts;

    /// The headers for the target: those of the caller that are passed on, and those that say how
    /// the request is sent.
    fn forward(&self, headers: &HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Reads the head of an answer to the request `id`.
    fn judge(&self, status: StatusCode, headers: &HeaderMap, id: &str) -> Verdict;

    /// What the target of the request `id` says of itself, if this head is an answer to it.
    fn notice(&self, status: StatusCode, headers: &HeaderMap, id: &str) -> Notice;
}
