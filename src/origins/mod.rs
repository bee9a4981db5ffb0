//! Which software version wrote the first events of a stream that a caller takes up again.
//!
//! A caller takes up a broken stream at any router, also at one that has just started, and names its request
//! that brought the first events. Routers tell the leader of each stream that begins ([`recent`]), and the leader and
//! the other voters remember it ([`store`]). Whoever takes a stream up asks the leader. While one software version
//! alone has served, that says enough of a stream that nobody told of. Else it is refused: what two versions write
//! does not fit together.
//!
//! Worst-case load: all routers are killed at once while two versions serve, and the callers of all streams
//! return within a second.

pub mod message;
pub mod recent;
pub mod store;

use std::fmt;

use xxhash_rust::xxh3;

/// Time for which the origin of a stream is remembered. Streams whose callers wait longer for their end are
/// not continued after that.
pub const REMEMBER_MS: u64 = 120_000;

/// Identifies a stream: a hash of the id of the caller's request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// The key of the stream that began with the request `id`. `None` if that has no id.
    pub fn of(id: &str) -> Option<Self> {
        (!id.is_empty()).then(|| Self(xxh3::xxh3_64(id.as_bytes())))
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
