//! Whether voters with empty folders form a group or join one.

use fescuebay::consensus::entry::{Membership, VoterId};
use fescuebay::consensus::formation::{FolderState, FormationStep, decide, predecessor};
use fescuebay::ids::{DaemonId, Incarnation};

fn voter(name: &str, incarnation: u64) -> VoterId {
    VoterId { daemon: name.parse().unwrap(), incarnation: Incarnation(incarnation) }
}

#[test]
fn a_group_is_formed_once_and_a_lost_disk_joins() {
    let named: Vec<DaemonId> = ["b", "a", "c"].map(|name| name.parse().unwrap()).to_vec();
    let empty = |name, incarnation| FolderState::Empty(voter(name, incarnation));
    let group = vec![voter("b", 2), voter("a", 1), voter("c", 3)];
    let formed = FolderState::Formed(Membership::of_voters(group.clone()));
    let sorted = Membership::of_voters(group.clone()).voters;
    let cases = [
        (
            "all are empty",
            voter("a", 1),
            vec![empty("b", 2), empty("c", 3)],
            FormationStep::Form(group),
        ),
        ("one is missing", voter("a", 1), vec![empty("b", 2)], FormationStep::Wait),
        ("nobody answers", voter("a", 1), vec![], FormationStep::Wait),
        ("not the first", voter("b", 2), vec![empty("a", 1), empty("c", 3)], FormationStep::Wait),
        ("formed with it", voter("b", 2), vec![formed.clone()], FormationStep::Form(sorted)),
        (
            "its disk was lost",
            voter("b", 9),
            vec![empty("c", 3), formed.clone()],
            FormationStep::Join,
        ),
        (
            "the first lost its disk",
            voter("a", 9),
            vec![empty("b", 2), formed.clone()],
            FormationStep::Join,
        ),
        (
            "not named",
            voter("x", 1),
            vec![empty("a", 1), empty("b", 2), empty("c", 3)],
            FormationStep::Wait,
        ),
    ];
    for (case, own, answers, expected) in cases {
        assert_eq!(decide(&own, &named, &answers), expected, "{case}");
    }
    let alone = decide(&voter("a", 1), &named[1..2], &[]);
    assert_eq!(alone, FormationStep::Form(vec![voter("a", 1)]));
    let FolderState::Formed(membership) = formed else { unreachable!() };
    assert_eq!(predecessor(&membership, &voter("b", 9)), Some(voter("b", 2)));
    assert_eq!(predecessor(&membership, &voter("b", 2)), None);
    assert_eq!(predecessor(&membership, &voter("x", 1)), None);
}
