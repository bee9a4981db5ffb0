//! Bootstrap of a group: voters with empty data folders decide whether to form a group or join one.
//!
//! An empty folder means a new group or a lost disk, and the voter cannot distinguish the two.
//! Therefore only the first of the configured voters forms a group, once every configured voter has
//! reported that its folder is empty too. The others adopt the group that it formed. A voter whose
//! folder is empty while a group without its id exists has lost its disk, and joins under its new
//! incarnation.
//!
//! This assumes that no disk is lost during the seconds in which a group is formed.

use super::entry::{Membership, VoterId};
use crate::ids::DaemonId;

/// Whether a voter's data folder belongs to a formed group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum FolderState {
    /// The folder holds no group; carries the voter's id.
    Empty(VoterId),
    /// The folder holds a group with this membership.
    Formed(Membership),
}

/// The next step for a voter with an empty folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormationStep {
    /// Ask the configured voters again.
    Wait,
    /// Form the group of these voters with [`super::node::OpenedVoter::form`], then start.
    Form(Vec<VoterId>),
    /// Start without a group, and wait until the leader replaces this daemon's earlier voter with
    /// this one.
    Join,
}

/// Decides from the configured voters and the folder states received so far.
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

/// The voter that a joining one replaces: an earlier incarnation of the same daemon.
pub fn predecessor(membership: &Membership, joining: &VoterId) -> Option<VoterId> {
    let is_earlier = |id: &&VoterId| id.daemon == joining.daemon && **id != *joining;
    membership.voters.iter().find(is_earlier).cloned()
}
