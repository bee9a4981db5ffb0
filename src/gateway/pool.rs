//! Open connections to targets that wait for their next request.

use std::net::SocketAddr;

use http::HeaderMap;

use crate::ids::{Incarnation, TargetId};
use crate::web::client::Connection;

/// How long a connection is kept whose target does not say how long it keeps it.
const DEFAULT_KEEP_MS: u64 = 2_000;
/// A connection is given up this long before the target may close it.
const KEEP_MARGIN_MS: u64 = 700;
/// Connections that wait for one target.
const MAX_IDLE: usize = 16;

struct Idle {
    target: TargetId,
    life: Incarnation,
    address: SocketAddr,
    connection: Connection,
    keep_until_ms: u64,
    since_ms: u64,
}

/// Connections by target, the one that was used last at the end.
#[derive(Default)]
pub(super) struct Pool {
    idle: Vec<Idle>,
}

impl Pool {
    /// Takes the youngest connection to a target that was idle for less than `max_idle_ms`.
    pub(super) fn take(
        &mut self,
        now_ms: u64,
        target: &TargetId,
        life: Incarnation,
        address: SocketAddr,
        max_idle_ms: u64,
    ) -> Option<Connection> {
        self.idle.retain(|idle| now_ms < idle.keep_until_ms && !idle.connection.is_closed());
        let is_it = |idle: &Idle| {
            idle.target == *target
                && idle.life == life
                && idle.address == address
                && now_ms < idle.since_ms + max_idle_ms
                && idle.connection.is_ready()
        };
        let at = self.idle.iter().rposition(is_it)?;
        Some(self.idle.remove(at).connection)
    }

    /// Keeps a connection whose answer was read whole, if its target keeps it too.
    pub(super) fn put(
        &mut self,
        now_ms: u64,
        target: &TargetId,
        life: Incarnation,
        address: SocketAddr,
        connection: Connection,
        head: &HeaderMap,
    ) {
        let Some(keep_ms) = keep_ms(head) else { return };
        let same = self.idle.iter().filter(|idle| idle.target == *target).count();
        if same >= MAX_IDLE || connection.is_closed() {
            return;
        }
        self.idle.push(Idle {
            target: target.clone(),
            life,
            address,
            connection,
            keep_until_ms: now_ms + keep_ms,
            since_ms: now_ms,
        });
    }

    /// Closes the connections to a target that wants no more requests.
    pub(super) fn forget(&mut self, target: &TargetId, life: Incarnation) {
        self.idle.retain(|idle| idle.target != *target || idle.life != life);
    }

    /// Closes what has waited too long.
    pub(super) fn sweep(&mut self, now_ms: u64) {
        self.idle.retain(|idle| now_ms < idle.keep_until_ms && !idle.connection.is_closed());
    }
}

/// How long a connection may be kept after this answer. `None`: the target closes it.
fn keep_ms(head: &HeaderMap) -> Option<u64> {
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
    let keep_ms = stated.map_or(DEFAULT_KEEP_MS, |seconds| seconds * 1_000);
    Some(keep_ms.saturating_sub(KEEP_MARGIN_MS))
}
