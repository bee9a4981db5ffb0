//! Disks of voters that are full for a while, one after another, while documents change: writes of the real
//! processes fail, also in the middle.

mod common;
mod gateway_support;
mod roles_support;

use std::time::Duration;

use common::process::until;
use gateway_support::on_one_thread;
use roles_support::{Net, Vm, admissions, ask, call, form_group};
use tokio::time::Instant;

const CONFIG: &str = "/api/config";
const VOTERS: usize = 5;
/// A disk is full for longer than a voter is silent before it may be replaced.
const FULL: Duration = Duration::from_millis(2_500);
/// Time between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(250);
/// Time of one call of an operator.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// A write fails in the middle of a record, or before it.
const TORN_BYTES: u64 = 100;

/// Routes that make a document longer than a write that fails in the middle.
const ROUTES: &str = r#"{"name":"a","host":"h.example","pathPrefix":"/a/","kind":"safe","timeoutMs":1500,
  "targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":2}"#;

fn document(version: u64) -> String {
    format!(r#"{{"version":{version},"routes":[{ROUTES}],"services":[{{"name":"app"}}]}}"#)
}

/// Sends a change to one voter after another until it is acknowledged, as an operator does. Returns whether any
/// voter refused it for good.
async fn change(voters: &[std::net::SocketAddr], version: u64) -> bool {
    let mut is_refused = false;
    until("a change is acknowledged", async || {
        for voter in voters {
            let text = document(version);
            let put = call(*voter, "PUT", CONFIG, &text);
            let put = tokio::time::timeout(CALL_LIMIT, put).await.unwrap_or_default();
            match put {
                200 => return true,
                400..=499 => is_refused = true,
                _ => {}
            }
        }
        false
    })
    .await;
    is_refused
}

/// Changes the document again and again until `end`, from the version after this one. Returns the newest version and
/// the longest that a change took.
async fn keep_changing(
    voters: Vec<std::net::SocketAddr>,
    mut version: u64,
    end: Instant,
) -> (u64, Duration) {
    let mut longest = Duration::ZERO;
    while Instant::now() < end {
        version += 1;
        let since = Instant::now();
        // Each change goes to another voter first.
        let mut order = voters.clone();
        order.rotate_left(version as usize % voters.len());
        assert!(!change(&order, version).await, "change {version} is refused");
        longest = longest.max(since.elapsed());
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
    (version, longest)
}

/// Whether a voter reads this version.
async fn reads(voter: &Vm, version: u64) -> bool {
    let text = ask(voter.control(), "GET", CONFIG, "", "").await;
    text.contains(&format!(r#""version":{version},"#))
}

/// Fills the disks of these voters in turn while documents change, from the version after `before`. Afterwards all
/// changes are acknowledged, and all voters read the newest one, whose version is returned.
async fn fill_in_turn(voters: &[Vm], before: u64, bytes: u64) -> u64 {
    let controls: Vec<_> = voters.iter().map(Vm::control).collect();
    let end = Instant::now() + FULL * (voters.len() as u32 + 1);
    let ((version, longest), ()) = futures::join!(keep_changing(controls, before, end), async {
        for voter in voters {
            voter.bound_disk(Some(bytes));
            tokio::time::sleep(FULL).await;
            voter.bound_disk(None);
        }
    });
    println!("{bytes} bytes: {version} changes, the longest took {longest:?}");
    for voter in voters {
        until("a voter reads the newest document", async || reads(voter, version).await).await;
    }
    let last = voters[0].control();
    assert!(!change(&[last], version + 1).await, "a change is refused after all disks have room");
    version + 1
}

/// Guards against processes that log nothing any more once a write to their log has failed.
#[test]
fn lines_are_written_again_after_the_disk_of_the_log_was_full() {
    on_one_thread(async {
        let net = Net::new("disks-log", 1);
        let voters = form_group(&net, 1, Vm::start_with_bounded_disk, &document(1)).await;
        voters[0].bound_disk(Some(0));
        // The voter stops because its log of changes can't be written, and says so.
        let _ = call(voters[0].control(), "PUT", CONFIG, &document(2)).await;
        tokio::time::sleep(FULL).await;
        voters[0].bound_disk(None);
        until("what was logged meanwhile is written", async || {
            voters[0].log().contains("the voter pauses")
        })
        .await;
        until("the voter runs again", async || starts(&voters[0]) > 1).await;
    });
}

/// Guards against a group that takes no changes any more after the disks of its voters were full, never two at once.
#[test]
fn changes_are_taken_after_five_disks_were_full_in_turn() {
    for bytes in [0, TORN_BYTES] {
        on_one_thread(async move {
            let net = Net::new(&format!("disks-five-{bytes}"), VOTERS);
            let mut voters =
                form_group(&net, VOTERS, Vm::start_with_bounded_disk, &document(1)).await;
            fill_in_turn(&voters, 1, bytes).await;
            assert!(voters.iter_mut().all(|voter| voter.ended().is_none()), "a voter ended");
            assert!(voters.iter().all(|voter| starts(voter) > 1), "a disk was not full");
        });
    }
}

/// The same where others wait for the places of voters that fall silent, so that places change in between.
#[test]
fn changes_are_taken_after_disks_were_full_while_others_took_the_places_of_their_voters() {
    on_one_thread(async {
        let net = Net::new("disks-places", 3);
        let mut voters = form_group(&net, 3, Vm::start_with_bounded_disk, &document(1)).await;
        for number in 3..VOTERS {
            let mut waiting = net.voter(number);
            waiting.start_with_bounded_disk();
            voters.push(waiting);
        }
        let version = fill_in_turn(&voters, 1, TORN_BYTES).await;
        fill_in_turn(&voters, version, 0).await;
        assert!(voters.iter_mut().all(|voter| voter.ended().is_none()), "a voter ended");
    });
}

/// How often a voter has opened its log.
fn starts(voter: &Vm) -> usize {
    let is_start = |line: &&str| line.contains(r#""message":"voter "#) && line.contains(" runs\"");
    voter.log().lines().filter(is_start).count()
}

/// A voter loses its folder and is let in again while its disk fills up, so that a snapshot for it can't be written.
#[test]
fn a_voter_whose_disk_fills_while_it_is_let_in_again_is_a_voter_later() {
    on_one_thread(async {
        let net = Net::new("disks-snapshot", 3);
        let mut voters = form_group(&net, 3, Vm::start_with_bounded_disk, &document(1)).await;
        let first = [voters[0].control()];
        // Enough changes for a snapshot.
        for version in 2..120 {
            assert!(!change(&first, version).await);
        }
        voters[2].signal("KILL");
        voters[2].exit_code().await;
        voters[2].lose_data();
        voters[2].start_with_bounded_disk();
        for bytes in [TORN_BYTES, 0] {
            voters[2].bound_disk(Some(bytes));
            tokio::time::sleep(FULL).await;
            voters[2].bound_disk(None);
        }
        let is_in = async || admissions(&[&voters[0], &voters[1]], &voters[2]) > 0;
        until("it is let in", is_in).await;
        assert!(reads(&voters[2], 119).await);
        // The group bears the loss of another voter.
        voters[1].signal("KILL");
        voters[1].exit_code().await;
        assert!(!change(&[voters[2].control(), voters[0].control()], 200).await);
    });
}
