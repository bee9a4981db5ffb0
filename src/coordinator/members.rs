//! Who votes: how a voter that wants to join is taken in.

use crate::consensus::entry::{Membership, VoterId};

/// A voter that has not answered the leader for this long may be replaced, if another asks for a place:
/// that one was started because some voter is gone. Longer than an election, and short enough that a
/// leader of seconds gets it done.
pub const SILENT_MS: u64 = 1_500;

/// What the leader does about a voter that wants to join.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: it votes already.
    Member,
    /// Add it to the others.
    Add,
    /// Put it in the place of this one.
    Replace(VoterId),
    /// Nothing: all places are taken by voters that answer.
    Full,
}

/// Decides about `joining`, with at most `places` voters. `silent_ms` tells for how long a voter
/// has not answered the leader; `None` is the leader itself.
///
/// A voter whose daemon has lost its folder can never come back, so its place is free at once.
/// One that is only silent may come back: its place is taken only if no other is left.
pub fn decide(
    membership: &Membership,
    joining: &VoterId,
    places: usize,
    silent_ms: impl Fn(&VoterId) -> Option<u64>,
) -> Step {
    if membership.is_voter(joining) {
        return Step::Member;
    }
    let earlier = membership.voters.iter().find(|id| id.daemon == joining.daemon);
    if let Some(earlier) = earlier {
        return Step::Replace(earlier.clone());
    }
    if membership.voters.len() < places {
        return Step::Add;
    }
    let silent = membership.voters.iter().filter_map(|id| Some((silent_ms(id)?, id)));
    match silent.max() {
        Some((silent_ms, id)) if silent_ms >= SILENT_MS => Step::Replace(id.clone()),
        _ => Step::Full,
    }
}
