//! Requests that were running when a target failed, as this router alone has seen it.
//!
//! The replicated records close a poison request everywhere; this table acts before they do.

use crate::ids::Digest;
use crate::routing::target::Number;

/// How long a suspicion lasts.
const FORGET_MS: u64 = 60_000;
/// Failed targets at which a request is refused.
const CLOSED_AT: u32 = 2;
/// Most suspicions kept; the oldest goes first.
const MAX_SUSPECTS: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    digest: Digest,
    failed_at: Number,
    failures: u32,
    last_ms: u64,
}

/// The suspicions, sorted by digest.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    known: Vec<Suspicion>,
}

impl Suspects {
    fn find(&self, now_ms: u64, digest: &Digest) -> Option<&Suspicion> {
        let at = self.known.binary_search_by(|known| known.digest.cmp(digest)).ok()?;
        let known = &self.known[at];
        (now_ms.saturating_sub(known.last_ms) < FORGET_MS).then_some(known)
    }

    /// Whether none is suspected.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whether a target failed while it ran this request.
    pub fn is_suspect(&self, now_ms: u64, digest: &Digest) -> bool {
        self.find(now_ms, digest).is_some()
    }

    /// For how long the request is refused, if it is.
    pub fn closed_for_ms(&self, now_ms: u64, digest: &Digest) -> Option<u64> {
        let known = self.find(now_ms, digest).filter(|known| known.failures >= CLOSED_AT)?;
        Some(known.last_ms + FORGET_MS - now_ms)
    }

    /// Records that target `number` failed while it ran the request.
    ///
    /// Failures of one life of a target count once, however many calls of the request broke.
    pub fn failed(&mut self, now_ms: u64, number: Number, digest: &Digest) {
        match self.known.binary_search_by(|known| known.digest.cmp(digest)) {
            Ok(at) => {
                let known = &mut self.known[at];
                let is_old = now_ms.saturating_sub(known.last_ms) >= FORGET_MS;
                known.failures = if is_old { 0 } else { known.failures };
                known.failures += u32::from(is_old || known.failed_at != number);
                known.failed_at = number;
                known.last_ms = now_ms;
            }
            Err(at) => {
                let new =
                    Suspicion { digest: *digest, failed_at: number, failures: 1, last_ms: now_ms };
                self.known.insert(at, new);
            }
        }
        if self.known.len() > MAX_SUSPECTS {
            self.forget_oldest();
        }
    }

    /// Records that the request was answered, which clears it.
    pub fn answered(&mut self, digest: &Digest) {
        if let Ok(at) = self.known.binary_search_by(|known| known.digest.cmp(digest)) {
            self.known.remove(at);
        }
    }

    fn forget_oldest(&mut self) {
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
    fn two_failed_targets_close_a_request() {
        let mut suspects = Suspects::default();
        let digest = Digest([1; 32]);
        suspects.failed(10, Number(1), &digest);
        suspects.failed(11, Number(1), &digest);
        assert!(suspects.is_suspect(12, &digest));
        assert_eq!(suspects.closed_for_ms(12, &digest), None);
        suspects.failed(12, Number(2), &digest);
        assert_eq!(suspects.closed_for_ms(12, &digest), Some(FORGET_MS));
        assert_eq!(suspects.closed_for_ms(12 + FORGET_MS, &digest), None);
    }
}
