//! How voters with empty folders decide whether to form a group or to join one.
//!
//! An empty folder means a new group or a lost disk, and its owner cannot tell which. So nobody
//! forms a group alone: the first of the named voters does, once every named voter has answered
//! that its folder is empty too. The others follow the group that it formed. A voter whose folder
//! is empty while a group without it exists has lost its disk, and joins under its new identity.
//!
//! Assumed: no disk is lost during the seconds in which a group is formed.

use super::entry::{Membership, VoterId};
use crate::ids::DaemonId;

/// What a voter's folder says.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum FolderState {
    /// It knows no group.
    Empty(VoterId),
    /// It knows a group, whose members are these.
    Formed(Membership),
}

/// What a voter with an empty folder is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormationStep {
    /// Ask the named voters again.
    Wait,
    /// Form the group of these voters with [`super::node::OpenedVoter::form`], then start.
    Form(Vec<VoterId>),
    /// Start without a group. The leader is to replace this daemon's earlier voter by it.
    Join,
}

/// Decides from the settings' list of voters and from the answers that came so far.
pub fn decide(own: &VoterId, named: &[DaemonId], answers: &[FolderState]) -> FormationStep {
    let formed = answers.iter().find_map(|seen| match seen {
        FolderState::Formed(membership) => Some(membership),
        FolderState::Empty(_) => None,
    });
    if let Some(membership) = formed {
        return match membership.is_voter(own) {
            true => FormationStep::Form(membership.voters.clone()),
            false => FormationStep::Join,
        };
    }
    let is_first = named.iter().min() == Some(&own.daemon);
    let empty = answers.iter().filter_map(|seen| match seen {
        FolderState::Empty(id) => Some(id),
        FolderState::Formed(_) => None,
    });
    let known: Vec<&VoterId> = empty.chain([own]).collect();
    let id_of = |daemon: &DaemonId| known.iter().rev().find(|id| id.daemon == *daemon);
    let voters: Option<Vec<VoterId>> =
        named.iter().map(|daemon| id_of(daemon).map(|id| (*id).clone())).collect();
    match voters {
        Some(voters) if is_first => FormationStep::Form(voters),
        _ => FormationStep::Wait,
    }
}

/// The voter that a joining one is to replace: its daemon's earlier life.
pub fn predecessor(membership: &Membership, joining: &VoterId) -> Option<VoterId> {
    let is_earlier = |id: &&VoterId| id.daemon == joining.daemon && **id != *joining;
    membership.voters.iter().find(is_earlier).cloned()
}
