//! Requests that crash the targets that run them.

use std::fmt;

use http::Method;
use xxhash_rust::xxh3::Xxh3;

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
