//! Calls to a target: an attempt of a request, its response and its errors.

use std::fmt;

use bytes::Bytes;
use error_stack::Report;
use futures::stream::BoxStream;

use crate::ids::{RequestId, TargetId};
use crate::rate_limit;

/// One attempt of a request, as sent to a target.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request that this attempt belongs to; the target uses it as the id of the stream.
    pub request: RequestId,
    /// Number of this attempt of the request, counted from 0.
    pub attempt: u32,
    /// The HTTP method.
    pub method: http::Method,
    /// Path and query at the target, such as `/v1/completions`.
    pub path: String,
    /// Headers to forward, without hop-by-hop and authorization headers.
    pub headers: http::HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Priority at the engine: a lower number is scheduled first.
    pub priority: u8,
    /// Whether the response is a stream of events with offsets.
    pub is_stream: bool,
}

/// A request for the rest of an interrupted stream.
#[derive(Clone, Debug)]
pub struct Resume {
    /// The request that the stream belongs to.
    pub request: RequestId,
    /// The number of the attempt that resumes the stream.
    pub attempt: u32,
    /// Offset of the first missing event, counted from 0.
    pub offset: u64,
}

/// A response: its head, and its body as a stream.
pub struct Answer {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// End-to-end headers.
    pub headers: http::HeaderMap,
    /// Load that the target reports in the response headers, if any.
    pub load: Option<super::order::Load>,
    /// What the target says of its rate limit in the response headers.
    pub rate_limit: rate_limit::Statement,
    /// The body. The stream ends after [`BodyPart::End`] or an error; an end without either is a bug of
    /// the adapter.
    pub body: BoxStream<'static, Result<BodyPart>>,
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer").field("status", &self.status).finish_non_exhaustive()
    }
}

/// A part of a response body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// One event of a stream. Offsets increase by one from 0; an older attempt may repeat some.
    Event {
        /// The position of the event in the stream.
        offset: u64,
        /// The data of the event, without its framing.
        data: Bytes,
    },
    /// The next bytes of a body that is not an event stream.
    Bytes(Bytes),
    /// The end of a complete response.
    End,
}

/// Whether the target may have received the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// No byte of the call was written, so the target did not run it.
    No,
    /// Part of the call was written, so the target may have run it.
    Maybe,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection could be made.
    Connect,
    /// The connection broke or was reset.
    Broken,
    /// No byte was received for longer than the timeout.
    Silent,
    /// The received bytes were not a valid response.
    Malformed,
    /// The response ended without its end marker.
    Truncated,
    /// The target does not know the stream to resume.
    UnknownStream,
}

/// A failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The target that was called.
    pub target: TargetId,
    /// What went wrong.
    pub cause: Cause,
    /// Whether the target may have received the call.
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
