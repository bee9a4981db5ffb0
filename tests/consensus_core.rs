//! The replicated log under faults, in virtual time.

mod consensus_group;

use std::cell::Cell;

use consensus_group::{TIMING, World, is_append, voter};
use fescuebay::consensus::core::{MembershipChange, Refusal, RoleKind};
use fescuebay::consensus::message::{Body, Message};
use fescuebay::ids::{GroupId, LogIndex};
use proptest::prelude::{Strategy, prop_oneof};
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// One step of a random schedule.
#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Run(u64),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Sync(usize, usize),
    Crash(usize, usize),
    Restart(usize),
    Cut(usize, usize),
    Heal,
    Propose(usize),
    Read(usize),
    Transfer(usize),
    LoseDisk(usize),
    Repair,
    /// All members stop and start again; what was on its way may still come.
    RestartAll(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..120_u64).prop_map(Step::Advance),
        4 => (10..400_u64).prop_map(Step::Run),
        12 => (0..64_usize).prop_map(Step::Deliver),
        2 => (0..64_usize).prop_map(Step::Duplicate),
        2 => (0..64_usize).prop_map(Step::Drop),
        8 => (0..3_usize, 1..4_usize).prop_map(|(at, count)| Step::Sync(at, count)),
        1 => (0..3_usize, 0..4_usize).prop_map(|(at, kept)| Step::Crash(at, kept)),
        3 => (0..3_usize).prop_map(Step::Restart),
        1 => (0..3_usize, 0..3_usize).prop_map(|(from, to)| Step::Cut(from, to)),
        1 => proptest::strategy::Just(Step::Heal),
        8 => (0..3_usize).prop_map(Step::Propose),
        4 => (0..3_usize).prop_map(Step::Read),
        1 => (0..3_usize).prop_map(Step::Transfer),
        1 => (0..3_usize).prop_map(Step::LoseDisk),
        4 => proptest::strategy::Just(Step::Repair),
        1 => (0..4_usize).prop_map(Step::RestartAll),
    ]
}

fn take(world: &mut World, step: &Step) {
    match *step {
        Step::Advance(ms) => {
            world.now_ms += ms;
            (0..3).for_each(|at| world.tick(at));
        }
        Step::Run(ms) => world.run(ms),
        Step::Deliver(at) => world.deliver(at, false),
        Step::Duplicate(at) => world.deliver(at, true),
        Step::Drop(at) if !world.net.is_empty() => {
            let at = at % world.net.len();
            world.net.swap_remove(at);
        }
        Step::Drop(_) => {}
        Step::Sync(at, count) => world.sync(at, count),
        Step::Crash(at, kept) => world.crash(at, kept),
        Step::Restart(at) => world.restart(at),
        Step::Cut(from, to) => {
            world.cut.insert((from, to));
        }
        Step::Heal => world.cut.clear(),
        Step::Propose(at) => {
            world.propose(at);
        }
        Step::Read(at) => world.read(at),
        Step::Transfer(to) => {
            let to = world.members[to].id.clone();
            if let Some(leader) = world.leader() {
                world.with(leader, |core, now_ms| core.transfer(now_ms, to).is_ok());
            }
        }
        Step::LoseDisk(at) => world.lose_disk(at),
        Step::Repair => world.repair(),
        Step::RestartAll(kept) => {
            (0..3).for_each(|at| world.crash(at, kept));
            (0..3).for_each(|at| world.restart(at));
        }
    }
}

#[test]
fn random_schedules_keep_the_log_safe() {
    let config = Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    };
    let schedules = (0..u64::MAX, proptest::collection::vec(step(), 50..400));
    let (applied, reads, repairs) = (Cell::new(0), Cell::new(0), Cell::new(0));
    let result = TestRunner::new(config).run(&schedules, |(seed, steps)| {
        let mut world = World::new(seed, 3);
        steps.iter().for_each(|step| take(&mut world, step));
        world.converge();
        applied.set(applied.get() + world.applied.len());
        reads.set(reads.get() + world.reads_served);
        repairs.set(repairs.get() + world.repairs);
        Ok(())
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
    // The schedules are of use only if work gets done in them.
    let done = (applied.get(), reads.get(), repairs.get());
    assert!(done.0 > 4000 && done.1 > 400 && done.2 > 100, "{done:?}");
}

/// A group of three with a leader and some entries.
fn settled(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, 3);
    world.run(1000);
    let leader = world.leader().expect("a leader");
    for _ in 0..5 {
        assert!(world.propose(leader));
    }
    world.run(100);
    (world, leader)
}

fn others(leader: usize) -> [usize; 2] {
    [(leader + 1) % 3, (leader + 2) % 3]
}

#[test]
fn a_crash_between_write_and_sync_loses_nothing_acknowledged() {
    // Each member in turn is cut short after each number of its writes.
    for victim in 0..3 {
        for kept in 0..4 {
            let (mut world, leader) = settled(7);
            let before = world.applied.len();
            for _ in 0..4 {
                world.propose(leader);
                while let Some(at) = world.net.iter().position(is_append) {
                    world.deliver(at, false);
                }
                for at in (0..3).filter(|at| *at != victim) {
                    world.sync(at, 1);
                }
            }
            world.crash(victim, kept);
            world.run(2000);
            world.converge();
            assert!(world.applied.len() >= before + 5, "victim {victim}, kept {kept}");
        }
    }
}

#[test]
fn nothing_is_acknowledged_before_a_majority_synced() {
    let (mut world, leader) = settled(8);
    let before = world.applied.len();
    assert!(world.propose(leader));
    while !world.net.is_empty() {
        world.deliver(0, false);
    }
    assert_eq!(world.applied.len(), before, "no one synced");
    world.sync(leader, 1);
    assert_eq!(world.applied.len(), before, "only the leader synced");
    world.sync(others(leader)[0], 1);
    while !world.net.is_empty() {
        world.deliver(0, false);
    }
    assert_eq!(world.applied.len(), before + 1);
}

#[test]
fn a_new_leader_is_there_in_time_whichever_way_the_old_one_is_cut() {
    // Which messages of the leader are lost: those it sends, those it should receive, or both.
    for (sends, receives) in [(true, false), (false, true), (true, true)] {
        for seed in 0..20 {
            let (mut world, leader) = settled(seed);
            for other in others(leader) {
                if sends {
                    world.cut.insert((leader, other));
                }
                if receives {
                    world.cut.insert((other, leader));
                }
            }
            let cut_ms = world.now_ms;
            let is_new = |world: &World| {
                let at = world.leader();
                at.is_some_and(|at| {
                    at != leader && world.status(at).unwrap().role == RoleKind::Leader
                })
            };
            while !is_new(&world) {
                world.run(10);
                // Two election times and the longest jitter, one after a split vote.
                let bound_ms = 3 * (TIMING.election_ms + TIMING.election_jitter_ms);
                assert!(world.now_ms - cut_ms <= bound_ms, "seed {seed}: {sends} {receives}");
            }
            assert!(
                !world.members[leader].core.as_ref().unwrap().is_leader()
                    || !world.propose(leader)
                    || sends
            );
            world.converge();
        }
    }
}

#[test]
fn a_voter_cut_off_for_long_does_not_disturb_the_group() {
    for seed in 0..10 {
        let (mut world, leader) = settled(seed);
        let [away, other] = others(leader);
        for at in [leader, other] {
            world.cut.extend([(away, at), (at, away)]);
        }
        world.run(10_000);
        let term = world.status(leader).unwrap().term;
        for _ in 0..50 {
            assert!(world.propose(leader));
            world.run(20);
        }
        world.cut.clear();
        world.run(1000);
        let status = world.status(leader).unwrap();
        assert_eq!((status.role, status.term), (RoleKind::Leader, term), "seed {seed}");
        assert_eq!(world.status(away).unwrap().applied, status.applied);
    }
}

#[test]
fn a_voter_with_a_higher_term_is_taken_back() {
    let (mut world, leader) = settled(3);
    let [away, _] = others(leader);
    // An election that it started right before it was cut off, known to nobody.
    world.with(away, |core, now_ms| {
        let id = core.id().clone();
        let body = Body::TimeoutNow;
        let term = core.status(now_ms).term;
        let message = Message { group: GroupId(1), from: id.clone(), to: id, term, body };
        core.receive(now_ms, message);
    });
    world.net.clear();
    assert!(world.status(away).unwrap().term > world.status(leader).unwrap().term);
    world.converge();
}

#[test]
fn leadership_is_handed_over_without_an_election_time_of_silence() {
    let (mut world, leader) = settled(5);
    let [to, _] = others(leader);
    let id = world.members[to].id.clone();
    world.propose(leader);
    world.with(leader, |core, now_ms| core.transfer(now_ms, id).unwrap());
    assert!(!world.propose(leader), "no proposals during the transfer");
    world.run(TIMING.election_ms / 2);
    assert_eq!(world.leader(), Some(to));
    world.converge();
}

#[test]
fn a_learner_is_promoted_only_with_the_whole_committed_log() {
    let (mut world, leader) = settled(6);
    let [lost, _] = others(leader);
    world.lose_disk(lost);
    let new = voter(lost, 2);
    world.repair();
    world.run(30);
    // The learner hears of entries, but what it received is not synced.
    for _ in 0..5 {
        world.propose(leader);
    }
    for at in (0..3).filter(|at| *at != lost) {
        world.sync(at, 9);
    }
    for _ in 0..20 {
        while !world.net.is_empty() {
            world.deliver(0, false);
        }
        for at in (0..3).filter(|at| *at != lost) {
            world.sync(at, 9);
        }
    }
    assert_eq!(world.status(leader).unwrap().commit, world.status(leader).unwrap().last);
    let early = world.with(leader, |core, _| core.change(&MembershipChange::Promote(new.clone())));
    assert_eq!(early, Some(Err(Refusal::NotCaughtUp)));
    world.run(500);
    world.repair();
    world.run(100);
    assert!(world.status(leader).unwrap().membership.is_voter(&new));
    world.converge();
}

#[test]
fn a_second_vm_may_go_right_after_a_repair() {
    for seed in 0..10 {
        let (mut world, leader) = settled(seed);
        let [lost, second] = others(leader);
        world.lose_disk(lost);
        while !world.is_repaired() {
            world.run(20);
            world.repair();
        }
        let before = *world.applied.keys().last().unwrap();
        for gone in [second, leader] {
            world.crash(gone, 0);
            world.run(2000);
            let next = world.leader().expect("two of three are enough");
            assert!(world.propose(next));
            world.run(200);
            assert!(world.status(next).unwrap().applied > before);
            world.restart(gone);
            world.run(1000);
        }
        world.converge();
    }
}

#[test]
fn a_far_behind_voter_is_sent_a_snapshot() {
    let (mut world, leader) = settled(9);
    let [away, _] = others(leader);
    world.crash(away, 0);
    for _ in 0..100 {
        world.propose(leader);
        world.run(20);
    }
    let status = world.status(leader).unwrap();
    assert!(status.snapshot > LogIndex(50), "{:?}", status.snapshot);
    world.restart(away);
    world.run(1000);
    assert_eq!(world.members[away].commands, world.members[leader].commands);
    world.converge();
}

/// What happens right before a leader freezes.
#[derive(Clone, Copy, Debug)]
enum Before {
    Nothing,
    /// The follower that upheld the lease restarts and might forget about it.
    Restart,
    /// Leadership is being handed over.
    Transfer,
}

#[test]
fn a_leader_that_froze_serves_no_stale_read() {
    for before in [Before::Nothing, Before::Restart, Before::Transfer] {
        // The other follower has not heard the leader for a while, so it is about to stand.
        for unheard_ms in (0..300).step_by(10) {
            let (mut world, leader) = settled(unheard_ms);
            let [deaf, upholder] = others(leader);
            if !matches!(before, Before::Transfer) {
                world.cut.extend([(leader, deaf), (deaf, leader)]);
            }
            world.run(unheard_ms);
            if !world.members[leader].core.as_ref().unwrap().is_leader() {
                continue;
            }
            match before {
                Before::Nothing => {}
                Before::Restart => {
                    world.crash(upholder, usize::MAX);
                    world.restart(upholder);
                }
                Before::Transfer => {
                    let to = world.members[deaf].id.clone();
                    world.with(leader, |core, now_ms| core.transfer(now_ms, to).unwrap());
                }
            }
            world.frozen = Some(leader);
            for _ in 0..60 {
                world.run(10);
                for at in [deaf, upholder] {
                    if world.members[at].core.as_ref().unwrap().is_leader() {
                        world.propose(at);
                    }
                }
                // It wakes and is asked at once, before it looks at the clock.
                world.read(leader);
                let own = world.members[leader].id.clone();
                world.net.retain(|message| message.from != own);
            }
            world.converge();
        }
    }
}

#[test]
fn a_vote_survives_a_crash() {
    let (mut world, leader) = settled(2);
    let [voter, other] = others(leader);
    let term = world.status(leader).unwrap().term.next();
    let mut granted = 0;
    for candidate in [leader, other] {
        let last = world.members[candidate].core.as_ref().unwrap().log().last();
        let message = Message {
            group: GroupId(1),
            from: world.members[candidate].id.clone(),
            to: world.members[voter].id.clone(),
            term,
            body: Body::Vote { last, is_lease_over: true },
        };
        world.with(voter, |core, now_ms| core.receive(now_ms, message));
        world.sync(voter, usize::MAX);
        world.crash(voter, 0);
        world.restart(voter);
        let is_grant =
            |message: &Message| matches!(message.body, Body::VoteReply { is_granted: true });
        granted += std::mem::take(&mut world.net).iter().filter(|sent| is_grant(sent)).count();
    }
    assert_eq!(granted, 1, "one vote a term");
}
