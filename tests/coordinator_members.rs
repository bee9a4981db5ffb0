//! How the leader takes voters in, replayed without a network.

use fescuebay::consensus::entry::{Membership, VoterId};
use fescuebay::coordinator::members::{self, JoinStep};
use fescuebay::ids::Incarnation;

const MAX_VOTERS: usize = 5;
/// A voter that is not one of the group asks again after this time.
const JOIN_PAUSE_MS: u64 = 500;
/// Time to bring a new voter up to date and to change the group.
const CHANGE_MS: u64 = 500;
/// Time until the others have a leader after theirs was lost.
const ELECTION_MS: u64 = 1_600;
/// Time until the VM that replaces a lost one runs.
const START_MS: u64 = 2_200;

fn voter(number: u64) -> VoterId {
    VoterId { daemon: format!("10.0.0.{number}").parse().unwrap(), incarnation: Incarnation(1) }
}

fn group(numbers: impl IntoIterator<Item = u64>) -> Membership {
    Membership::of_voters(numbers.into_iter().map(voter).collect())
}

/// The load: the leader's VM is replaced by one at another address, and so is the next leader's, and the
/// next one's, four seconds apart; each leader has heard nothing of those lost before it.
#[test]
fn leaders_replaced_one_after_another_leave_a_majority_each_time() {
    let mut voters: Vec<u64> = (1..=5).collect();
    let mut alive: Vec<u64> = voters.clone();
    let mut joining: Vec<(u64, u64)> = Vec::new();
    let mut led_since_ms = 0;
    let mut free_ms = 0;
    let losses_ms = [9_500, 14_900, 18_550, 22_300];
    for now_ms in (0..26_000_u64).step_by(50) {
        if losses_ms.contains(&now_ms) {
            let leader = *alive.iter().find(|number| voters.contains(number)).unwrap();
            alive.retain(|number| *number != leader);
            joining.push((10 + leader, now_ms + START_MS));
            led_since_ms = now_ms + ELECTION_MS;
        }
        let answering = voters.iter().filter(|number| alive.contains(number)).count();
        assert!(answering > voters.len() / 2, "no majority at {now_ms} ms: {voters:?}, {alive:?}");
        let asks = |(_, from_ms): &&(u64, u64)| {
            now_ms >= *from_ms && (now_ms - from_ms).is_multiple_of(JOIN_PAUSE_MS)
        };
        let Some((number, from_ms)) = joining.iter().find(asks).copied() else { continue };
        if now_ms < led_since_ms || now_ms < free_ms {
            continue;
        }
        let silent_ms = |id: &VoterId| {
            let is_alive = alive.iter().any(|number| voter(*number) == *id);
            Some(if is_alive { 0 } else { now_ms - led_since_ms })
        };
        let membership = group(voters.clone());
        match members::decide_join(&membership, &voter(number), MAX_VOTERS, silent_ms) {
            JoinStep::Replace(old) => {
                voters.retain(|known| voter(*known) != old);
                voters.push(number);
                alive.push(number);
                joining.retain(|known| *known != (number, from_ms));
                free_ms = now_ms + CHANGE_MS;
            }
            JoinStep::Full => {}
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(joining, [], "all new voters were taken in");
}

#[test]
fn a_voter_that_answers_keeps_its_place_and_one_that_lost_its_folder_has_none() {
    let full = group(1..=5);
    let silent =
        |which: u64, ms: u64| move |id: &VoterId| Some(if *id == voter(which) { ms } else { 100 });
    let decide = |joining: &VoterId, silent_ms: &dyn Fn(&VoterId) -> Option<u64>| {
        members::decide_join(&full, joining, MAX_VOTERS, silent_ms)
    };
    assert_eq!(decide(&voter(9), &silent(3, 900)), JoinStep::Full, "a short silence is no loss");
    assert_eq!(decide(&voter(9), &silent(3, 5_000)), JoinStep::Replace(voter(3)));
    assert_eq!(decide(&voter(2), &silent(2, 5_000)), JoinStep::Member);
    let new_folder = VoterId { incarnation: Incarnation(2), ..voter(4) };
    assert_eq!(decide(&new_folder, &silent(4, 0)), JoinStep::Replace(voter(4)));
    let short = group(1..=4);
    assert_eq!(members::decide_join(&short, &voter(9), MAX_VOTERS, silent(1, 0)), JoinStep::Add);
}
