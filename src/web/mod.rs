//! HTTP/1.1 on one thread: a server, connections to peers, and the options of their sockets.

mod bounded;
pub mod client;
pub mod intake;
pub mod server;
pub mod socket;

use std::fmt;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};

/// The body of an answer. It stays on the thread that made it.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = Error>>>;

/// Why an exchange over HTTP failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// An address cannot be listened on.
    Listen,
    /// No connection was made: nothing was sent.
    Connect,
    /// The connection ended or broke after something may have been sent.
    Broken,
    /// What came is not HTTP.
    Malformed,
    /// The body is larger than allowed.
    TooLarge,
    /// An answer or a body took too long.
    Timeout,
    /// Other bodies leave no room for this one.
    Full,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Listen => "the address cannot be listened on",
            Error::Connect => "no connection was made",
            Error::Broken => "the connection broke",
            Error::Malformed => "what came is not HTTP",
            Error::TooLarge => "the body is larger than allowed",
            Error::Timeout => "it did not come in time",
            Error::Full => "other bodies leave no room for it",
        })
    }
}

impl std::error::Error for Error {}

/// The result of an exchange over HTTP.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;

/// A body of these bytes.
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// An answer without a body.
pub fn empty(status: http::StatusCode) -> http::Response<Body> {
    let mut response = http::Response::new(whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// The next bytes of a body. `None`: it is whole.
///
/// # Errors
/// [`Error::TooLarge`] when more came than its connection may yield, [`Error::Broken`] when that ends
/// before the body does.
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
            Err(error) if bounded::is_exceeded(&error) => return Some(Err(Error::TooLarge)),
            Err(_) => return Some(Err(Error::Broken)),
        }
    }
}

/// A body of which a first part was read.
pub enum Begun {
    /// It is whole.
    Whole(Bytes),
    /// It goes on after these bytes.
    More(Bytes, hyper::body::Incoming),
}

/// Reads a body until it is whole or more than `held_bytes` of it have come.
///
/// # Errors
/// As [`next_data`].
pub async fn begin(
    mut body: hyper::body::Incoming,
    held_bytes: usize,
) -> std::result::Result<Begun, Error> {
    let mut first = BytesMut::new();
    while let Some(data) = next_data(&mut body).await {
        first.extend_from_slice(&data?);
        if first.len() > held_bytes {
            return Ok(Begun::More(first.freeze(), body));
        }
    }
    Ok(Begun::Whole(first.freeze()))
}

/// Reads a whole body of at most `limit_bytes`.
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
