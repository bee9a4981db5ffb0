//! Places in the group of voters, with processes of the built binary: who takes which, and when.

mod common;
mod gateway_support;
mod roles_support;

use common::process::until;
use gateway_support::on_one_thread;
use roles_support::{Net, Vm, admissions, call, form_group};

const CONFIG: &str = "/api/config";

fn document(version: u64) -> String {
    format!(r#"{{"version":{version},"routes":[],"services":[]}}"#)
}

/// A newcomer took the place of a voter that was only silent, and then another voter leaves for good. Guards
/// against a group that is one loss poorer from then on: it lost its leader, and what it had acknowledged,
/// with the next loss.
#[test]
fn a_voter_that_was_replaced_while_it_was_silent_takes_the_place_of_one_that_leaves() {
    on_one_thread(async {
        let net = Net::new("voter-places-silent", 3);
        let mut voters = form_group(&net, 3, Vm::start, &document(1)).await;
        let mut newcomer = net.voter(3);
        newcomer.start();
        until("the group is full", async || newcomer.log().contains("Full")).await;
        voters[1].signal("STOP");
        let is_in = async || admissions(&[&voters[0], &voters[2], &newcomer], &newcomer) > 0;
        until("the newcomer takes a place", is_in).await;
        voters[1].signal("CONT");
        let reads = async || call(voters[1].control(), "GET", CONFIG, "").await == 200;
        until("the silent voter is back", reads).await;
        let mut leaving = voters.remove(2);
        leaving.signal("TERM");
        assert_eq!(leaving.exit_code().await, Some(0));
        let all = [&voters[0], &voters[1], &newcomer, &leaving];
        let is_filled = async || admissions(&all, &voters[1]) > 0;
        until("the place of the voter that left is filled", is_filled).await;

        // The group bears the loss of one of three again.
        voters[0].signal("KILL");
        voters[0].exit_code().await;
        let taken = async || call(newcomer.control(), "PUT", CONFIG, &document(2)).await == 200;
        until("a document is taken after a further loss", taken).await;
    });
}

/// A planned replacement: the newcomer is started first and waits, then the old voter gets SIGTERM, whether it leads
/// or not. Guards against a group that is one loss poorer until the silence of the old one is noticed.
#[test]
fn a_voter_that_stops_hands_its_place_to_one_that_waits_before_it_ends() {
    for leaving in 0..3 {
        on_one_thread(async move {
            let net = Net::new(&format!("voter-places-stop-{leaving}"), 3);
            let mut voters = form_group(&net, 3, Vm::start, &document(1)).await;
            let mut newcomer = net.voter(3);
            newcomer.start();
            until("the group is full", async || newcomer.log().contains("Full")).await;
            voters[leaving].signal("TERM");
            assert_eq!(voters[leaving].exit_code().await, Some(0));
            // The next loss comes at once.
            let next = (leaving + 1) % 3;
            voters[next].signal("KILL");
            voters[next].exit_code().await;
            let taken = async || call(newcomer.control(), "PUT", CONFIG, &document(2)).await == 200;
            until("a document is taken after a further loss", taken).await;
        });
    }
}
