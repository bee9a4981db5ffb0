//! Calls to a target: one attempt of one request, and its answer.

use std::fmt;

use bytes::Bytes;
use error_stack::Report;
use futures::stream::BoxStream;

use crate::ids::{RequestId, TargetId};

/// What is sent to a target.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request that this attempt belongs to; the target names the stream by it.
    pub request: RequestId,
    /// Counts the attempts of the request, from 0.
    pub attempt: u32,
    /// The HTTP method.
    pub method: http::Method,
    /// Path and query at the target, such as `/v1/completions`.
    pub path: String,
    /// Headers to pass on. Hop-by-hop and authorization headers are not among them.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Priority at the engine: a lower number goes first.
    pub priority: u8,
    /// Whether the answer is a stream of events with offsets.
    pub is_stream: bool,
}

/// Asks for the rest of a stream.
#[derive(Clone, Debug)]
pub struct Resume {
    /// The request whose stream it is.
    pub request: RequestId,
    /// The number of the attempt that resumes it.
    pub attempt: u32,
    /// The first event that is missing, counted from 0.
    pub offset: u64,
}

/// The head of an answer, and its body as it comes.
pub struct Answer {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// End-to-end headers.
    pub headers: http::HeaderMap,
    /// Load as the target tells it with this answer, if it does.
    pub load: Option<super::order::Load>,
    /// The body. It ends after [`Part::End`], or with an error; an end without either is an error
    /// of the adapter.
    pub body: BoxStream<'static, Result<Part>>,
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer").field("status", &self.status).finish_non_exhaustive()
    }
}

/// A part of an answer's body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// One event of a stream. Offsets rise by one from 0; an older attempt may repeat some.
    Event {
        /// The place of the event in the stream.
        offset: u64,
        /// The data of the event, without its framing.
        data: Bytes,
    },
    /// Some bytes of a plain body, in order.
    Bytes(Bytes),
    /// The whole answer has come.
    End,
}

/// Whether the target may have got the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// No byte of it was written: it was not run.
    No,
    /// Some of it was written: it may have run.
    Maybe,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection could be made.
    Connect,
    /// The connection broke or was reset.
    Broken,
    /// Nothing came for longer than the bound.
    Silent,
    /// What came was not a valid answer.
    Malformed,
    /// The answer ended without its end marker.
    Truncated,
    /// The target does not know the stream that was to be resumed.
    UnknownStream,
}

/// A failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The target that was called.
    pub target: TargetId,
    /// What went wrong.
    pub cause: Cause,
    /// Whether the target may have got the call.
    pub written: Written,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call to target {}: {:?}, written: {:?}", self.target, self.cause, self.written)
    }
}

impl std::error::Error for Error {}

/// The result of a call.
pub type Result<T> = std::result::Result<T, Report<Error>>;
