//! Assigns each target a home daemon by rendezvous hashing.
//!
//! Source: D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates",
//! IEEE/ACM Transactions on Networking 6(1), 1998.

use xxhash_rust::xxh3;

use crate::ids::{DaemonId, TargetId};

/// Returns the daemon among `candidates` that monitors `target`, or `None` if there are no
/// candidates.
///
/// When a candidate is lost, only the targets that it monitored move to other daemons.
pub fn home_of<'a>(
    target: &TargetId,
    candidates: impl Iterator<Item = &'a DaemonId>,
) -> Option<&'a DaemonId> {
    candidates.max_by_key(|daemon| {
        let seed = xxh3::xxh3_64(daemon.as_str().as_bytes());
        let weight = xxh3::xxh3_64_with_seed(target.as_str().as_bytes(), seed);
        (weight, *daemon)
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn daemons(count: usize) -> Vec<DaemonId> {
        (0..count).map(|n| format!("d-{n}").parse().unwrap()).collect()
    }

    #[test]
    fn losing_a_daemon_moves_only_its_own_targets() {
        let all = daemons(9);
        let lost = &all[4];
        let mut moved = 0;
        for n in 0..900 {
            let target: TargetId = format!("t-{n}").parse().unwrap();
            let before = home_of(&target, all.iter()).unwrap();
            let after = home_of(&target, all.iter().filter(|d| *d != lost)).unwrap();
            assert!(before == lost || before == after, "{target} moved without need");
            moved += usize::from(before == lost);
        }
        assert!((50..150).contains(&moved), "{moved} of 900 targets on one of 9 daemons");
    }
}
