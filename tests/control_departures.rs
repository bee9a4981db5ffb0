//! What the voters keep on record of targets that leave.

use fescuebay::consensus::Machine as _;
use fescuebay::control::Machine;
use fescuebay::control::commands::{Command, Entry};
use fescuebay::control::departures::{self, Departure, MAX_RECORDS, State};
use fescuebay::ids::{Incarnation, TargetId};

fn target(number: usize) -> TargetId {
    format!("t-{number}").parse().unwrap()
}

fn command(number: usize, life: u64, departure: Departure) -> departures::Command {
    departures::Command { target: target(number), life: Incarnation(life), departure }
}

#[test]
fn a_life_that_left_never_comes_back_and_a_later_one_is_free() {
    let mut state = State::default();
    state.apply(command(1, 5, Departure::Gone));
    state.apply(command(1, 5, Departure::Leaving));
    state.apply(command(1, 4, Departure::Leaving));
    let found = |state: &State, life| state.find(&target(1), Incarnation(life));
    assert_eq!(found(&state, 5), Some(Departure::Gone), "gone is the last word");
    assert_eq!(found(&state, 4), Some(Departure::Gone), "an earlier life is over");
    assert_eq!(found(&state, 6), None);
    state.apply(command(1, 6, Departure::Leaving));
    assert_eq!(found(&state, 6), Some(Departure::Leaving));
    assert_eq!(found(&state, 5), Some(Departure::Gone));
}

/// The load: a fleet whose targets are replaced again and again.
#[test]
fn records_are_bounded_and_the_oldest_go_first() {
    let mut state = State::default();
    for number in 0..MAX_RECORDS + 10 {
        state.apply(command(number, 1, Departure::Gone));
    }
    assert_eq!(state.len(), MAX_RECORDS);
    assert_eq!(state.find(&target(9), Incarnation(1)), None);
    assert_eq!(state.find(&target(10), Incarnation(1)), Some(Departure::Gone));
}

#[test]
fn a_restart_from_a_snapshot_keeps_who_left() {
    let mut machine = Machine::default();
    let command = Command::Departures(command(1, 5, Departure::Leaving));
    machine.apply(fescuebay::ids::LogIndex(1), &Entry { now_ms: 1, command }.encode());
    let mut restored = Machine::default();
    restored.restore(&machine.snapshot()).unwrap();
    let found = restored.state().departures.find(&target(1), Incarnation(5));
    assert_eq!(found, Some(Departure::Leaving));
}
