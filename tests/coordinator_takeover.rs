//! When a new leader gives its first order: engines never get orders of two daemons close together.

use fescuebay::coordinator::takeover::{Step, decide};
use fescuebay::ids::{DaemonId, Term};

fn daemon(name: &str) -> DaemonId {
    name.parse().unwrap()
}

#[test]
fn the_first_leader_of_a_group_waits_for_nobody() {
    assert_eq!(decide(&daemon("a"), Term(1), None), Step::Record);
    // An earlier release gave orders without a record.
    assert_eq!(decide(&daemon("a"), Term(2), None), Step::WaitAndRecord);
}

/// The load: a leader is killed, and waits for models pile up until its successor may give orders.
#[test]
fn a_leader_after_another_daemon_waits() {
    assert_eq!(decide(&daemon("b"), Term(4), Some(&daemon("a"))), Step::WaitAndRecord);
}

/// The load: all power is lost, and the voter that led before leads again.
#[test]
fn a_leader_that_gave_the_last_orders_itself_goes_on_at_once() {
    assert_eq!(decide(&daemon("a"), Term(9), Some(&daemon("a"))), Step::Order);
}

/// A successor that died while it waited has given no order, and is not on record.
#[test]
fn a_successor_that_died_while_it_waited_holds_up_nobody() {
    let on_record = daemon("a");
    assert_eq!(decide(&daemon("b"), Term(5), Some(&on_record)), Step::WaitAndRecord);
    assert_eq!(decide(&daemon("a"), Term(6), Some(&on_record)), Step::Order);
}
