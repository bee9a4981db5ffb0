//! Requests that were running when a target failed, as observed by this router alone.
//!
//! The replicated poison records refuse a poison request on all routers; this local table takes
//! effect before they are updated.

use crate::ids::Digest;
use crate::routing::target::TargetNumber;

/// Time after which a suspicion expires.
const SUSPICION_TTL_MS: u64 = 60_000;
/// Number of failed targets from which on a request is refused.
const REFUSED_AFTER_FAILURES: u32 = 2;
/// Most suspicions kept; the oldest is removed first.
const MAX_SUSPECTS: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    digest: Digest,
    last_target: TargetNumber,
    failures: u32,
    last_ms: u64,
}

/// The suspicions, sorted by digest.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    known: Vec<Suspicion>,
}

impl Suspects {
    fn find_current(&self, now_ms: u64, digest: &Digest) -> Option<&Suspicion> {
        let at = self.known.binary_search_by(|known| known.digest.cmp(digest)).ok()?;
        let known = &self.known[at];
        (now_ms.saturating_sub(known.last_ms) < SUSPICION_TTL_MS).then_some(known)
    }

    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whether a target failed while it ran this request.
    pub fn is_suspect(&self, now_ms: u64, digest: &Digest) -> bool {
        self.find_current(now_ms, digest).is_some()
    }

    /// The time for which the request is still refused; `None` if it is not.
    pub fn refused_for_ms(&self, now_ms: u64, digest: &Digest) -> Option<u64> {
        let known = self
            .find_current(now_ms, digest)
            .filter(|known| known.failures >= REFUSED_AFTER_FAILURES)?;
        Some(known.last_ms + SUSPICION_TTL_MS - now_ms)
    }

    /// Records that target `number` failed while it ran the request.
    ///
    /// Consecutive failures at one incarnation of a target count once, even if several calls broke.
    pub fn record_failure(&mut self, now_ms: u64, number: TargetNumber, digest: &Digest) {
        match self.known.binary_search_by(|known| known.digest.cmp(digest)) {
            Ok(at) => {
                let known = &mut self.known[at];
                let is_old = now_ms.saturating_sub(known.last_ms) >= SUSPICION_TTL_MS;
                known.failures = if is_old { 0 } else { known.failures };
                known.failures += u32::from(is_old || known.last_target != number);
                known.last_target = number;
                known.last_ms = now_ms;
            }
            Err(at) => {
                let new = Suspicion {
                    digest: *digest,
                    last_target: number,
                    failures: 1,
                    last_ms: now_ms,
                };
                self.known.insert(at, new);
            }
        }
        if self.known.len() > MAX_SUSPECTS {
            self.remove_oldest();
        }
    }

    /// Clears the suspicion of a request that was answered.
    pub fn clear(&mut self, digest: &Digest) {
        if let Ok(at) = self.known.binary_search_by(|known| known.digest.cmp(digest)) {
            self.known.remove(at);
        }
    }

    fn remove_oldest(&mut self) {
        let oldest = (0..self.known.len()).min_by_key(|at| self.known[*at].last_ms);
        if let Some(at) = oldest {
            self.known.remove(at);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn request_is_refused_after_two_failed_targets() {
        let mut suspects = Suspects::default();
        let digest = Digest([1; 32]);
        suspects.record_failure(10, TargetNumber(1), &digest);
        suspects.record_failure(11, TargetNumber(1), &digest);
        assert!(suspects.is_suspect(12, &digest));
        assert_eq!(suspects.refused_for_ms(12, &digest), None);
        suspects.record_failure(12, TargetNumber(2), &digest);
        assert_eq!(suspects.refused_for_ms(12, &digest), Some(SUSPICION_TTL_MS));
        assert_eq!(suspects.refused_for_ms(12 + SUSPICION_TTL_MS, &digest), None);
    }
}
