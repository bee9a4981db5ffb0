//! HTTP/1.1 on a single thread: server, client connections, body limits, read-ahead and socket options.

mod bounded;
pub mod client;
pub mod held;
pub mod intake;
pub mod read_ahead;
pub mod server;
pub mod socket;

use std::fmt;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};

/// A response body. It is not `Send`: it stays on the thread that created it.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = Error>>>;

/// Why an exchange over HTTP failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Listening on an address failed.
    Listen,
    /// No connection was established, and nothing was sent.
    Connect,
    /// The connection closed or broke after bytes may have been sent.
    Broken,
    /// The received bytes are not valid HTTP.
    Malformed,
    /// The body is larger than allowed.
    TooLarge,
    /// A response or a body did not arrive within the timeout.
    Timeout,
    /// The memory limit shared by all bodies is reached.
    Full,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Listen => "cannot listen on the address",
            Error::Connect => "connection could not be established",
            Error::Broken => "the connection broke",
            Error::Malformed => "received bytes are not valid HTTP",
            Error::TooLarge => "body exceeds the size limit",
            Error::Timeout => "timed out waiting for a response or body",
            Error::Full => "memory limit for bodies reached",
        })
    }
}

impl std::error::Error for Error {}

/// The result of an exchange over HTTP.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;

/// Creates a body from `bytes`.
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Creates a response without a body.
pub fn empty(status: http::StatusCode) -> http::Response<Body> {
    let mut response = http::Response::new(whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Whether a final response can have this status.
///
/// The parser also lets 101 and everything up to 999 through. What such a response means is not defined, so it is no
/// answer.
pub fn is_final_status(status: http::StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// The status of a response that was kept earlier; 502 if no final response has it, as older builds may have kept it.
pub fn kept_status(status: u16) -> http::StatusCode {
    let status = http::StatusCode::from_u16(status).ok();
    status.filter(|status| is_final_status(*status)).unwrap_or(http::StatusCode::BAD_GATEWAY)
}

/// Reads the next bytes of a body; `None` at its end.
///
/// # Errors
/// [`Error::TooLarge`] when the peer sent more than the connection's allowance, [`Error::Broken`]
/// when the connection ends before the body does.
pub async fn next_data(
    body: &mut hyper::body::Incoming,
) -> Option<std::result::Result<Bytes, Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
            Err(error) if bounded::is_limit_exceeded(&error) => return Some(Err(Error::TooLarge)),
            Err(_) => return Some(Err(Error::Broken)),
        }
    }
}

/// A body whose first bytes have been read.
pub enum BodyStart {
    /// The complete body.
    Whole(Bytes),
    /// The first bytes, and the body that yields the remaining ones.
    More(Bytes, hyper::body::Incoming),
}

/// Reads a body until it is complete or more than `held_bytes` of it have been read.
///
/// # Errors
/// As [`next_data`].
pub async fn begin(
    mut body: hyper::body::Incoming,
    held_bytes: usize,
) -> std::result::Result<BodyStart, Error> {
    let mut first = BytesMut::new();
    while let Some(data) = next_data(&mut body).await {
        first.extend_from_slice(&data?);
        if first.len() > held_bytes {
            return Ok(BodyStart::More(first.freeze(), body));
        }
    }
    Ok(BodyStart::Whole(first.freeze()))
}

/// Reads a complete body of at most `limit_bytes`.
///
/// # Errors
/// [`Error::TooLarge`], or [`Error::Broken`] when the connection ends before the body does.
pub async fn collect(
    body: hyper::body::Incoming,
    limit_bytes: usize,
) -> std::result::Result<Bytes, Error> {
    let limited = http_body_util::Limited::new(body, limit_bytes);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Error::TooLarge),
        Err(_) => Err(Error::Broken),
    }
}
