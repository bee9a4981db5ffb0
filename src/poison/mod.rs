//! Requests, and parts of their prompts, that crash the targets that run them.
//!
//! A router sees only that a connection broke before an answer had begun, and that happens for many reasons.
//! The leader collects this evidence of all routers. What was under way at two targets that ended, and was not
//! answered since, is restricted: it is tried once at a time, over all routers, and at a target where nothing else is
//! tried. What ends targets in its trials is closed: routers refuse it at once. An answer clears it.
//!
//! Worst-case load: one request, repeated at all routers, or requests that have nothing but one part of their
//! prompts in common, crash one target after the other, and take down the sound requests beside them, which share
//! the other parts, while some targets end for other reasons.
//!
//! [`registry`] decides at the leader, [`view`] keeps what one router knows. None of them performs I/O.

pub mod message;
pub mod registry;
pub mod view;

use std::fmt;

use http::Method;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::ServiceName;

/// Time for which a stream must have gone on after its first event to count as an answer: a target that
/// crashes when it begins to write does so sooner.
pub const ANSWER_BEGUN_MS: u64 = 400;

/// A hash of what a request asks for: the same in each repetition of it, whatever its id and deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ContentHash(pub u64);

impl ContentHash {
    /// The hash of a request with this body.
    pub fn of(method: &Method, host: &str, uri: &http::Uri, body: &[u8]) -> Self {
        let path = uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
        let mut hash = Xxh3::new();
        for part in [method.as_str().as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What may crash targets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Subject {
    /// The service whose targets it may crash.
    pub service: ServiceName,
    /// What it is.
    pub content: Content,
}

/// What a [`Subject`] is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Content {
    /// A request and its repetitions.
    Request(ContentHash),
    /// A part of prompts, by its id, whatever else the request holds.
    PromptPart(u64),
}

impl Subject {
    /// What of a request may crash the targets of a service: its content as a whole, and the parts of its
    /// prompt that other requests may share.
    pub fn of_request(
        service: &ServiceName,
        content: ContentHash,
        shared_parts: impl Iterator<Item = u64>,
    ) -> Vec<Self> {
        let contents = shared_parts.map(Content::PromptPart);
        let all = std::iter::once(Content::Request(content)).chain(contents);
        all.map(|content| Self { service: service.clone(), content }).collect()
    }

    /// Whether other requests may have it too, so that their answers tell something of it.
    pub fn is_shared(&self) -> bool {
        matches!(self.content, Content::PromptPart(_))
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.content {
            Content::Request(hash) => write!(f, "request {hash} to {}", self.service),
            Content::PromptPart(id) => write!(f, "prompt part {id:x} to {}", self.service),
        }
    }
}

/// How requests with a subject are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// They are sent.
    Clear,
    /// One at a time is sent, over all routers, if the leader permits it.
    Restricted,
    /// They are refused.
    Closed {
        /// When the refusal ends.
        until_ms: u64,
    },
}
