//! Admission of voters that want to join the group.

use crate::consensus::entry::{Membership, VoterId};

/// A voter that has not answered the leader for this long may be replaced when another one asks to
/// join, because that one was started after the loss of a voter. Longer than an election, and short
/// enough that a leader that leads for only a few seconds completes the replacement.
pub const SILENT_MS: u64 = 1_500;

/// The leader's decision about a voter that wants to join.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinStep {
    /// Nothing to do: it is a voter already.
    Member,
    /// Add it to the group.
    Add,
    /// Add it and remove this voter.
    Replace(VoterId),
    /// Reject it: the group has the maximum number of voters, and all of them answer.
    Full,
}

/// Decides about `joining` in a group of at most `max_voters`. `silent_ms` returns for how long a
/// voter has not answered the leader, or `None` for the leader itself.
///
/// A voter whose daemon has lost its folder can never return, so it is replaced at once. A voter
/// that is only silent may return, so it is replaced only if the group is full.
pub fn decide_join(
    membership: &Membership,
    joining: &VoterId,
    max_voters: usize,
    silent_ms: impl Fn(&VoterId) -> Option<u64>,
) -> JoinStep {
    if membership.is_voter(joining) {
        return JoinStep::Member;
    }
    let earlier = membership.voters.iter().find(|id| id.daemon == joining.daemon);
    if let Some(earlier) = earlier {
        return JoinStep::Replace(earlier.clone());
    }
    if membership.voters.len() < max_voters {
        return JoinStep::Add;
    }
    let silent = membership.voters.iter().filter_map(|id| Some((silent_ms(id)?, id)));
    match silent.max() {
        Some((silent_ms, id)) if silent_ms >= SILENT_MS => JoinStep::Replace(id.clone()),
        _ => JoinStep::Full,
    }
}
