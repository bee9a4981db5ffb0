//! Router: accepts requests of callers, chooses a target for each, and relays the response.
//!
//! Decisions are separate from I/O: [`access`] decides for whom a request is, [`balancer`] knows the targets and [`choice`] picks one by its
//! [`target_cost`], [`paces`] measures how long requests take,
//! [`availability`] keeps the restrictions that targets announce, [`queue`] orders waiting requests, [`wait_limit`] limits
//! their wait, [`forecast`] says when it will end, [`overload`] decides when a router is not ready, [`retry`] and
//! [`retry_budget`] decide about retries, and [`refusal`] builds error
//! responses. [`proxy`] and the private modules perform the I/O.

pub mod access;
pub mod arrivals;
mod attempt;
pub mod availability;
pub mod balancer;
pub mod choice;
pub mod continuation;
mod event_buffer;
pub mod events;
mod failure;
mod follower;
pub mod forecast;
mod forward;
pub mod helpers;
pub mod kept_prompts;
mod leases;
mod origins;
pub mod others;
pub mod overload;
pub mod paces;
pub mod panics;
mod permits;
mod poison;
mod pool;
mod probe;
pub mod proxy;
pub mod queue;
mod quota;
pub mod reach;
pub mod refusal;
mod relay;
mod reservation;
pub mod retry;
pub mod retry_budget;
mod run;
mod send;
mod slot;
mod state;
mod stream_pace;
pub mod target_cost;
pub mod token_need;
pub mod wait_limit;

use std::fmt;
use std::net::SocketAddr;

use error_stack::Report;
use http::{HeaderMap, StatusCode};

use crate::ids::{ModelRef, TargetId, TenantId};
use crate::routes::access::KeyDigest;
use crate::{rate_limit, slot_lease};

pub use run::{Dependencies, client, forwarded_handler, handler, run};
pub use state::RouterState;

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

/// Properties of a request, read from its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The id of the request in responses and logs.
    pub id: String,
    /// The requested model or adapter.
    pub model: Option<ModelRef>,
    /// The parts of the prompt in order: an id, which other requests may share, and the number of
    /// tokens.
    pub prompt_parts: Vec<(u64, u32)>,
    /// How long the caller waits for the response.
    pub caller_timeout_ms: Option<u64>,
    /// The id of the last event that the caller received of an interrupted stream.
    pub last_event_id: Option<String>,
    /// The id of the caller's request that brought the first event of that stream.
    pub began_with: Option<String>,
    /// The key that the request carries.
    pub credential: Credential,
    /// The workspace that the request names. It counts only if another router has checked the request.
    pub workspace: Option<TenantId>,
    /// What the request says of its size.
    pub token_usage: Option<TokenUsage>,
    /// The caller's estimate of the number of output tokens. It is accurate at the median and often far off.
    pub length_hint_tokens: Option<u64>,
}

/// The key of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// There is none.
    #[default]
    Missing,
    /// There is one, with this digest.
    Key(KeyDigest),
    /// There are several, or something else than a key.
    Invalid,
}

/// The size of a request to a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUsage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub max_output_tokens: u64,
}

impl TokenUsage {
    /// Prompt and output tokens together.
    pub fn total_tokens(self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_output_tokens)
    }
}

impl RequestInfo {
    /// The ids of all parts of the prompt but the last, which is specific to the request.
    pub fn shared_parts(&self) -> impl DoubleEndedIterator<Item = u64> + '_ {
        let shared = self.prompt_parts.len().saturating_sub(1);
        self.prompt_parts[..shared].iter().map(|(id, _)| *id)
    }
}

/// The parts of an attempt that differ from the request of the caller.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOptions<'a> {
    /// The intended target. Any other target must refuse the request.
    pub target: &'a TargetId,
    /// The address of the target.
    pub address: SocketAddr,
    /// Time until the deadline of the request.
    pub remaining_ms: u64,
    /// The priority of the request at the target; 0 is served first.
    pub rank: u8,
    /// The id of the last event that was delivered, if the target is to resume a stream.
    pub last_event_id: Option<&'a str>,
    /// For whom the request is.
    pub identity: &'a access::Identity,
}

/// What the head of a response means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It is the response of the target to this request.
    Answer,
    /// The target did not run the request.
    NotRun,
    /// The target did not run the request, because it lacks the model or is not the intended
    /// target.
    Misdirected,
    /// It belongs to another request, or is not signed by a target.
    Invalid,
}

/// Whether a connection carried other requests before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// The request is the first one on it.
    First,
    /// It carried others, whose responses a faulty target may repeat.
    Repeated,
}

/// What a target announces about itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// The target is leaving: it finishes running requests and accepts no new ones.
    pub is_leaving: bool,
    /// How long the target asks to get no requests.
    pub pause_ms: Option<u64>,
    /// The rate limit that the target names.
    pub rate_limit: rate_limit::Statement,
    /// How many requests the target may turn away in a second before it falls over, if it is brittle.
    pub brittle: slot_lease::Statement,
}

/// Reads requests and responses, and writes the headers of attempts.
pub trait RequestProtocol {
    /// Reads the properties of a request from its headers.
    fn read_request(&self, headers: &HeaderMap) -> RequestInfo;

    /// Builds the headers of an attempt: the forwarded headers of the caller and those that control
    /// the attempt.
    fn target_headers(&self, headers: &HeaderMap, options: &AttemptOptions<'_>) -> HeaderMap;

    /// Builds the headers of a request that another router is to handle: those of the caller, the time
    /// that is left, and the workspace in place of its key.
    fn forwarded_headers(
        &self,
        headers: &HeaderMap,
        remaining_ms: u64,
        identity: &access::Identity,
    ) -> HeaderMap;

    /// Classifies the head of a response to the request `id`.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        id: &str,
        connection: ConnectionUse,
    ) -> ResponseClass;

    /// Reads what the target announces about itself. The notice is empty if this is not a response
    /// to the request `id`.
    fn read_notice(&self, status: StatusCode, headers: &HeaderMap, id: &str) -> TargetNotice;
}
