//! Pool of idle connections to targets.

use std::net::SocketAddr;

use http::HeaderMap;

use crate::ids::{Incarnation, TargetId};
use crate::web::client::Connection;

/// How long a connection is kept if the target states no keep-alive timeout.
const DEFAULT_KEEP_ALIVE_MS: u64 = 2_000;
/// A connection is dropped this long before the target may close it.
const KEEP_ALIVE_MARGIN_MS: u64 = 700;
const MAX_IDLE_PER_TARGET: usize = 16;

struct IdleConnection {
    target: TargetId,
    incarnation: Incarnation,
    address: SocketAddr,
    connection: Connection,
    keep_until_ms: u64,
    idle_since_ms: u64,
}

/// The idle connections, most recently used last.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: Vec<IdleConnection>,
}

impl ConnectionPool {
    /// Takes the most recently used connection to a target that has been idle for less than
    /// `max_idle_ms`.
    pub(super) fn take(
        &mut self,
        now_ms: u64,
        target: &TargetId,
        incarnation: Incarnation,
        address: SocketAddr,
        max_idle_ms: u64,
    ) -> Option<Connection> {
        self.idle.retain(|idle| now_ms < idle.keep_until_ms && !idle.connection.is_closed());
        let is_usable = |idle: &IdleConnection| {
            idle.target == *target
                && idle.incarnation == incarnation
                && idle.address == address
                && now_ms < idle.idle_since_ms + max_idle_ms
                && idle.connection.is_ready()
        };
        let at = self.idle.iter().rposition(is_usable)?;
        Some(self.idle.remove(at).connection)
    }

    /// Keeps a connection whose response was read completely, unless the target closes it.
    pub(super) fn put(
        &mut self,
        now_ms: u64,
        target: &TargetId,
        incarnation: Incarnation,
        address: SocketAddr,
        connection: Connection,
        head: &HeaderMap,
    ) {
        let Some(keep_alive_ms) = keep_alive_ms(head) else { return };
        let same = self.idle.iter().filter(|idle| idle.target == *target).count();
        if same >= MAX_IDLE_PER_TARGET || connection.is_closed() {
            return;
        }
        self.idle.push(IdleConnection {
            target: target.clone(),
            incarnation,
            address,
            connection,
            keep_until_ms: now_ms + keep_alive_ms,
            idle_since_ms: now_ms,
        });
    }

    /// Closes the idle connections to a target that is leaving.
    pub(super) fn close_target(&mut self, target: &TargetId, incarnation: Incarnation) {
        self.idle.retain(|idle| idle.target != *target || idle.incarnation != incarnation);
    }

    /// Closes connections that have expired or that the target has closed.
    pub(super) fn close_expired(&mut self, now_ms: u64) {
        self.idle.retain(|idle| now_ms < idle.keep_until_ms && !idle.connection.is_closed());
    }
}

/// How long a connection may be kept after this response; `None` if the target closes it.
fn keep_alive_ms(head: &HeaderMap) -> Option<u64> {
    let text = |name| head.get(name).and_then(|value| value.to_str().ok());
    let is_closed = text(http::header::CONNECTION).is_some_and(|value| {
        value.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"))
    });
    if is_closed {
        return None;
    }
    let stated = text(http::HeaderName::from_static("keep-alive"))
        .into_iter()
        .flat_map(|value| value.split(','))
        .find_map(|word| word.trim().strip_prefix("timeout=")?.parse::<u64>().ok());
    let keep_alive_ms = stated.map_or(DEFAULT_KEEP_ALIVE_MS, |seconds| seconds * 1_000);
    Some(keep_alive_ms.saturating_sub(KEEP_ALIVE_MARGIN_MS))
}
