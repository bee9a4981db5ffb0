//! When a new leader gives its first order: engines never get orders of two daemons close together.

use fescuebay::coordinator::takeover::{
    LastOrder, TakeoverStep, decide_takeover, takeover_wait_ms,
};
use fescuebay::ids::{DaemonId, Term};

fn daemon(name: &str) -> DaemonId {
    name.parse().unwrap()
}

#[test]
fn the_first_leader_of_a_group_waits_for_nobody() {
    assert_eq!(decide_takeover(&daemon("a"), Term(1), None), TakeoverStep::Record);
    // An earlier release gave orders without a record.
    assert_eq!(decide_takeover(&daemon("a"), Term(2), None), TakeoverStep::WaitAndRecord(None));
}

/// The load: a leader is killed, and waits for models pile up until its successor may give orders.
#[test]
fn a_leader_after_another_daemon_waits() {
    let giver = daemon("a");
    let step = decide_takeover(&daemon("b"), Term(4), Some(&giver));
    assert_eq!(step, TakeoverStep::WaitAndRecord(Some(giver)));
}

/// The load: all power is lost, and the voter that led before leads again.
#[test]
fn a_leader_that_gave_the_last_orders_itself_goes_on_at_once() {
    assert_eq!(decide_takeover(&daemon("a"), Term(9), Some(&daemon("a"))), TakeoverStep::Proceed);
}

/// A successor that died while it waited has given no order, and is not on record.
#[test]
fn a_successor_that_died_while_it_waited_holds_up_nobody() {
    let on_record = daemon("a");
    let step = decide_takeover(&daemon("b"), Term(5), Some(&on_record));
    assert_eq!(step, TakeoverStep::WaitAndRecord(Some(on_record.clone())));
    assert_eq!(decide_takeover(&daemon("a"), Term(6), Some(&on_record)), TakeoverStep::Proceed);
}

/// The load: a planned stop, a leader that lost its lease, or one that is lost, while requests wait for
/// models that only an order brings.
#[test]
fn a_leader_waits_no_longer_than_the_orders_of_the_one_before_need() {
    let cases = [
        ("it tells that it gave one just now", LastOrder::Ago(40), [2_960, 2_960]),
        ("it tells that it gave one long ago", LastOrder::Ago(9_000), [0, 0]),
        ("it is lost, and engines refuse it or do not", LastOrder::Unknown, [0, 3_000]),
    ];
    for (what, last, [checked, unchecked]) in cases {
        assert_eq!(takeover_wait_ms(3_000, true, last), checked, "{what}");
        assert_eq!(takeover_wait_ms(3_000, false, last), unchecked, "{what}");
    }
}
