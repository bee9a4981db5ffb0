//! How the leader takes voters in, replayed without a network.

use fescuebay::consensus::entry::{Membership, VoterId};
use fescuebay::coordinator::members::{Group, MembershipStep, Requests, VoterHealth};
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

/// The next change of a group, by how long each voter has been silent.
fn next_step(
    membership: &Membership,
    candidates: &[VoterId],
    silent_ms: impl Fn(&VoterId) -> Option<u64>,
) -> MembershipStep {
    let health = |id: &VoterId| VoterHealth { silent_ms: silent_ms(id), is_leaving: false };
    Group { membership, max_voters: MAX_VOTERS, health }.next_step(candidates)
}

/// One voter has been silent for some time, the others answer.
fn silent(which: VoterId, ms: u64) -> impl Fn(&VoterId) -> Option<u64> {
    move |id| Some(if *id == which { ms } else { 100 })
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
        match next_step(&membership, &[voter(number)], silent_ms) {
            MembershipStep::Replace { old, new } => {
                assert_eq!(new, voter(number));
                voters.retain(|known| voter(*known) != old);
                voters.push(number);
                alive.push(number);
                joining.retain(|known| *known != (number, from_ms));
                free_ms = now_ms + CHANGE_MS;
            }
            MembershipStep::Keep => {}
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(joining, [], "all new voters were taken in");
}

#[test]
fn a_voter_that_answers_keeps_its_place_and_one_that_lost_its_folder_has_none() {
    let full = group(1..=5);
    let decide = |joining: VoterId, silent_ms: &dyn Fn(&VoterId) -> Option<u64>| {
        next_step(&full, &[joining], silent_ms)
    };
    let keep = MembershipStep::Keep;
    let replace = |old, new| MembershipStep::Replace { old, new };
    assert_eq!(decide(voter(9), &silent(voter(3), 900)), keep, "a short silence is no loss");
    assert_eq!(decide(voter(9), &silent(voter(3), 5_000)), replace(voter(3), voter(9)));
    assert_eq!(decide(voter(2), &silent(voter(2), 5_000)), keep, "it is a voter");
    let new_folder = VoterId { incarnation: Incarnation(2), ..voter(4) };
    let step = decide(new_folder.clone(), &silent(voter(4), 0));
    assert_eq!(step, replace(voter(4), new_folder));
    let short = group(1..=4);
    let add = next_step(&short, &[voter(9)], silent(voter(1), 0));
    assert_eq!(add, MembershipStep::Add(voter(9)));
}

/// The leader that let a newcomer in was lost before it removed the voter whose place that was. A group of
/// six with one that is gone bears one loss less than five.
#[test]
fn a_replacement_that_its_leader_did_not_complete_is_completed_by_the_next_one() {
    let six = group(1..=6);
    assert_eq!(next_step(&six, &[], silent(voter(2), 100)), MembershipStep::Keep, "all answer");
    let step = next_step(&six, &[], silent(voter(2), 1_600));
    assert_eq!(step, MembershipStep::Remove(voter(2)));

    // A lost folder: the newcomer is the same daemon. Its number says nothing, since clocks jump.
    for incarnation in [0, 2] {
        let new = VoterId { incarnation: Incarnation(incarnation), ..voter(4) };
        let mut both = group(1..=4);
        both.voters.push(new);
        both.voters.sort();
        let keep = next_step(&both, &[], silent(voter(4), 900));
        assert_eq!(keep, MembershipStep::Keep, "a new leader has heard nobody yet");
        let step = next_step(&both, &[], silent(voter(4), 1_600));
        assert_eq!(step, MembershipStep::Remove(voter(4)));
        // Another voter that has been silent for longer may return, and keeps its place.
        let health = |id: &VoterId| match *id == voter(1) {
            true => Some(5_000),
            false => silent(voter(4), 1_600)(id),
        };
        assert_eq!(next_step(&both, &[], health), MembershipStep::Remove(voter(4)));
    }
}

/// A voter with a stalled disk is silent for some seconds while another one is replaced as planned.
#[test]
fn a_voter_that_stops_loses_its_place_before_one_that_is_only_silent() {
    let five = group(1..=5);
    let mut requests = Requests::default();
    requests.record_leaving(1_000, &voter(5));
    let step_at = |now_ms: u64, candidates: &[VoterId]| {
        let health = |id: &VoterId| VoterHealth {
            silent_ms: silent(voter(2), 2_000)(id),
            is_leaving: requests.is_leaving(now_ms, id),
        };
        Group { membership: &five, max_voters: MAX_VOTERS, health }.next_step(candidates)
    };
    let replace = |old, new| MembershipStep::Replace { old, new };
    assert_eq!(step_at(1_000, &[]), MembershipStep::Keep, "nobody waits: it may come back");
    assert_eq!(step_at(1_000, &[voter(9)]), replace(voter(5), voter(9)));
    assert_eq!(step_at(4_000, &[voter(9)]), replace(voter(2), voter(9)), "it runs again");
}

#[test]
fn a_group_tells_how_many_losses_it_bears() {
    let five = group(1..=5);
    let tolerated = |silent_ms: &dyn Fn(&VoterId) -> Option<u64>| {
        let health = |id: &VoterId| VoterHealth { silent_ms: silent_ms(id), is_leaving: false };
        Group { membership: &five, max_voters: MAX_VOTERS, health }.tolerated_losses()
    };
    assert_eq!(tolerated(&silent(voter(1), 0)), 2);
    assert_eq!(tolerated(&silent(voter(1), 2_000)), 1);
    assert_eq!(tolerated(&|id| (*id != voter(5)).then_some(2_000)), 0, "the leader alone");
}

#[test]
fn a_voter_waits_for_a_place_for_as_long_as_it_asks() {
    let mut requests = Requests::default();
    requests.record_candidate(0, &voter(7));
    requests.record_candidate(500, &voter(8));
    requests.record_candidate(600, &voter(7));
    assert_eq!(requests.candidates(1_000), [voter(7), voter(8)], "the first one for the longest");
    assert_eq!(requests.candidates(2_250), [voter(7)], "the other one asks no more");
    let new_folder = VoterId { incarnation: Incarnation(2), ..voter(7) };
    requests.record_candidate(2_260, &new_folder);
    assert_eq!(requests.candidates(2_270), [new_folder], "its old folder is lost");
}
