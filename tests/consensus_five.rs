//! Five voters, of which two may be lost at once: what was acknowledged stays, in virtual time.

mod consensus_group;

use bytes::Bytes;
use consensus_group::{TIMING, World, is_append, voter};
use fescuebay::consensus::core::MembershipChange;

const VOTERS: usize = 5;
const SEEDS: u64 = 8;
/// Time between an acknowledgement and the loss of two folders.
const AFTER_ACK_MS: u64 = 5;
/// In this time a group that can agree has a leader, whatever happened before.
const LEADER_WITHIN_MS: u64 = 2_000;

/// Five voters with a leader and some entries, and the leader's place.
fn settled(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, VOTERS);
    world.run(1_000);
    let leader = world.leader().expect("a leader");
    (0..5).for_each(|_| assert!(world.propose(leader)));
    world.run(100);
    (world, leader)
}

/// Lets a leader get one more command acknowledged by these followers alone.
fn acknowledge_by(world: &mut World, leader: usize, followers: [usize; 2]) -> Bytes {
    let known = world.members[leader].commands.len();
    world.net.clear();
    let ids: Vec<_> = followers.iter().map(|at| world.members[*at].id.clone()).collect();
    assert!(world.propose(leader));
    world.sync(leader, usize::MAX);
    world.net.retain(|message| !is_append(message) || ids.contains(&message.to));
    for at in followers {
        world.tick(at);
    }
    while !world.net.is_empty() {
        world.deliver(0, false);
        followers.iter().for_each(|at| world.sync(*at, usize::MAX));
    }
    assert_eq!(world.members[leader].commands.len(), known + 1, "it is acknowledged");
    world.members[leader].commands.last().unwrap().clone()
}

/// Lets a group without some voters choose a leader, and returns it.
fn new_leader(world: &mut World) -> usize {
    world.run(LEADER_WITHIN_MS);
    world.leader().expect("a leader in time")
}

/// Mends all, and checks that every voter has what was acknowledged, once.
fn check_kept(world: &mut World, acknowledged: &[Bytes]) {
    world.converge();
    for member in &world.members {
        for command in acknowledged {
            let copies = member.commands.iter().filter(|held| *held == command).count();
            assert_eq!(copies, 1, "{} holds {copies} of {command:?}", member.id);
        }
    }
}

/// Every pair of the three that have an entry on disk loses it, the leader among them or not.
#[test]
fn two_folders_lost_right_after_an_acknowledgement_lose_nothing() {
    for seed in 0..SEEDS {
        for lost in [[0, 1], [0, 2], [1, 2]] {
            for is_power_lost_elsewhere in [false, true] {
                let (mut world, leader) = settled(seed);
                let holders = [leader, (leader + 1) % VOTERS, (leader + 2) % VOTERS];
                let command = acknowledge_by(&mut world, leader, [holders[1], holders[2]]);
                world.now_ms += AFTER_ACK_MS;
                let lost = lost.map(|at| holders[at]);
                lost.iter().for_each(|at| world.destroy_disk(*at));
                if is_power_lost_elsewhere {
                    let others: Vec<usize> = (0..VOTERS).filter(|at| !lost.contains(at)).collect();
                    others.iter().for_each(|at| world.crash(*at, 0));
                    others.iter().for_each(|at| world.restart(*at));
                }
                // The three that are left go on, before anybody comes back.
                let next = new_leader(&mut world);
                assert!(world.members[next].commands.contains(&command), "seed {seed}");
                check_kept(&mut world, &[command]);
            }
        }
    }
}

#[test]
fn all_voters_killed_at_once_come_back_with_all_that_was_acknowledged() {
    for seed in 0..SEEDS {
        for kept in 0..3 {
            let (mut world, leader) = settled(seed);
            let followers = [(leader + 1) % VOTERS, (leader + 3) % VOTERS];
            let command = acknowledge_by(&mut world, leader, followers);
            // More is on its way, of which a part happens to survive.
            for _ in 0..3 {
                world.propose(leader);
            }
            (0..VOTERS).for_each(|at| world.crash(at, kept));
            (0..VOTERS).for_each(|at| world.restart(at));
            let next = new_leader(&mut world);
            assert!(world.members[next].commands.contains(&command), "seed {seed}");
            check_kept(&mut world, &[command]);
        }
    }
}

/// Two operators change the document at the same time, each in one half.
#[test]
fn halves_with_changes_sent_to_both_keep_those_of_the_majority() {
    for seed in 0..SEEDS {
        let (mut world, old) = settled(seed);
        let minority = [old, (old + 1) % VOTERS];
        for from in 0..VOTERS {
            for to in 0..VOTERS {
                if minority.contains(&from) != minority.contains(&to) {
                    world.cut.insert((from, to));
                }
            }
        }
        let before = world.members[old].commands.len();
        let mut kept = Vec::new();
        for _ in 0..10 {
            world.propose(old);
            world.run(300);
            let Some(leader) = world.leader().filter(|at| !minority.contains(at)) else { continue };
            assert!(world.propose(leader));
            world.run(50);
            kept.push(world.members[leader].commands.last().unwrap().clone());
        }
        assert!(kept.len() >= 5, "the majority goes on: {}", kept.len());
        assert_eq!(world.members[old].commands.len(), before, "the minority acknowledged a change");
        check_kept(&mut world, &kept);
    }
}

/// The lease is over before another voter can lead, by clocks that run apart by some percent.
#[test]
fn a_leader_frozen_right_after_its_renewal_wakes_without_a_lease() {
    for seed in 0..SEEDS {
        for frozen_ms in [TIMING.lease_ms, 400, 1_000, 5_000, 60_000] {
            let (mut world, old) = settled(seed);
            let lease_ms = |world: &World| world.lease_left_ms(old);
            assert!(lease_ms(&world) > 0, "it was just renewed");
            world.frozen = Some(old);
            let mut waited_ms = 0;
            while waited_ms < frozen_ms {
                world.run(10);
                waited_ms += 10;
                let is_other = world.leader().is_some_and(|leader| leader != old);
                assert!(!is_other || lease_ms(&world) == 0, "two leaders may act: seed {seed}");
            }
            // It wakes and looks at its lease before it has heard of anybody.
            if frozen_ms > TIMING.lease_ms {
                assert_eq!(lease_ms(&world), 0, "seed {seed}, frozen for {frozen_ms} ms");
            }
            world.read(old);
            world.converge();
        }
    }
}

/// The leader's steps for a voter at a new address: learner, voter, and the old one goes.
fn replace(world: &mut World, old: usize, new: usize) {
    let (old, new) = (world.members[old].id.clone(), world.members[new].id.clone());
    let done = |world: &World| {
        let leader = world.leader()?;
        let membership = world.status(leader)?.membership;
        Some(membership.is_voter(&new) && !membership.is_voter(&old))
    };
    for _ in 0..100 {
        if done(world) == Some(true) {
            return;
        }
        if let Some(leader) = world.leader() {
            let membership = world.status(leader).unwrap().membership;
            let change = if membership.is_voter(&new) {
                MembershipChange::Remove(old.clone())
            } else if membership.is_learner(&new) {
                MembershipChange::Promote(new.clone())
            } else {
                MembershipChange::AddLearner(new.clone())
            };
            let _ = world.with(leader, |core, _| core.change(&change));
        }
        world.run(100);
    }
    panic!("{old} was not replaced by {new}");
}

#[test]
fn a_voter_is_replaced_at_a_new_address_while_another_is_down() {
    for seed in 0..SEEDS {
        let (mut world, leader) = settled(seed);
        let [gone, down] = [(leader + 1) % VOTERS, (leader + 2) % VOTERS];
        world.crash(gone, 0);
        world.crash(down, 0);
        assert!(world.propose(leader));
        world.run(200);
        let command = world.members[leader].commands.last().unwrap().clone();
        let new = world.add_member();
        assert_eq!(world.members[new].id, voter(VOTERS, 1));
        replace(&mut world, gone, new);
        // The one that is down still is; now a third may go, since the new one took a place.
        let leader = world.leader().unwrap();
        let third = (0..VOTERS).find(|at| ![leader, gone, down].contains(at)).unwrap();
        world.crash(third, 0);
        world.run(LEADER_WITHIN_MS);
        let leader = world.leader().expect("three of five agree");
        assert!(world.propose(leader));
        world.run(300);
        let later = world.members[leader].commands.last().unwrap().clone();
        assert_ne!(command, later, "seed {seed}: nothing was acknowledged by the three");
        world.run(500);
        for command in [command, later] {
            assert!(world.members[new].commands.contains(&command), "the new voter lacks it");
        }
    }
}

/// Time for all voters to start, find each other and elect a leader that owes nothing to an old one.
const LEADER_AFTER_RESTART_MS: u64 = 700;

#[test]
fn a_group_that_was_killed_whole_does_not_wait_for_a_lease_that_nobody_holds() {
    for seed in 0..SEEDS {
        let (mut world, _) = settled(seed);
        (0..VOTERS).for_each(|at| world.crash(at, usize::MAX));
        (0..VOTERS).for_each(|at| world.restart(at));
        world.run(LEADER_AFTER_RESTART_MS);
        assert!(world.leader().is_some(), "seed {seed}");
        world.converge();
    }
}

/// All but the leader start again. Its lease rests on them, so they help nobody else to power.
#[test]
fn voters_that_start_again_uphold_the_lease_of_a_leader_that_did_not() {
    for seed in 0..SEEDS {
        let (mut world, leader) = settled(seed);
        let term = world.status(leader).unwrap().term;
        let left_ms = world.lease_left_ms(leader);
        assert!(left_ms > 0, "seed {seed}");
        let others: Vec<usize> = (0..VOTERS).filter(|at| *at != leader).collect();
        others.iter().for_each(|at| world.crash(*at, usize::MAX));
        others.iter().for_each(|at| world.restart(*at));
        // It is cut off, but may still serve reads until its lease ends.
        for at in &others {
            world.cut.insert((leader, *at));
            world.cut.insert((*at, leader));
        }
        let end_ms = world.now_ms + left_ms * 9 / 10;
        while world.now_ms < end_ms {
            world.run(10);
            let newest = others.iter().filter_map(|at| world.status(*at)).map(|s| s.term).max();
            assert_eq!(newest, Some(term), "seed {seed}: an election within the lease");
        }
        world.converge();
    }
}

/// Who led before knows what engines do, so it is preferred.
#[test]
fn after_a_restart_of_all_the_voter_that_led_before_mostly_leads_again() {
    let mut again = 0;
    for seed in 0..SEEDS {
        let (mut world, leader) = settled(seed);
        (0..VOTERS).for_each(|at| world.crash(at, usize::MAX));
        (0..VOTERS).for_each(|at| world.restart(at));
        world.run(LEADER_AFTER_RESTART_MS);
        again += u64::from(world.leader() == Some(leader));
    }
    assert!(again * 4 >= SEEDS * 3, "{again} of {SEEDS}");
}

/// Three voters are replaced one after the other, and run on with the memberships that they knew, in which they are a
/// majority. They lead no group of their own, also after a restart, and can join again with the logs that they have.
#[test]
fn replaced_voters_lead_no_old_group_and_may_come_back() {
    for seed in 0..SEEDS {
        let (mut world, leader) = settled(seed);
        let replaced: Vec<usize> = (0..VOTERS).filter(|at| *at != leader).take(3).collect();
        for at in &replaced {
            for other in 0..VOTERS {
                if !replaced.contains(&other) {
                    world.cut.insert((other, *at));
                    world.cut.insert((*at, other));
                }
            }
            let old = world.members[*at].id.clone();
            let removed = world.with(leader, |core, _| core.change(&MembershipChange::Remove(old)));
            assert!(removed.unwrap().is_ok(), "seed {seed}");
            world.run(200);
        }
        for at in &replaced {
            world.crash(*at, 0);
            world.restart(*at);
        }
        assert!(world.propose(leader));
        world.run(5_000);
        let leads = |at: &usize| world.is_leader(*at);
        assert!(!replaced.iter().any(leads), "seed {seed}: a replaced voter leads");
        world.cut.clear();
        let back = world.members[replaced[0]].id.clone();
        let add = MembershipChange::AddLearner(back.clone());
        assert!(world.with(leader, |core, _| core.change(&add)).unwrap().is_ok());
        world.run(500);
        let promote = MembershipChange::Promote(back);
        assert!(world.with(leader, |core, _| core.change(&promote)).unwrap().is_ok());
        world.run(500);
        let (own, of_leader) = (&world.members[replaced[0]], &world.members[leader]);
        assert_eq!(own.commands, of_leader.commands, "seed {seed}");
    }
}
