//! Bounds on placement in virtual time, over fixed seeds; the same verdict in every run.

#[path = "../benches/measures_placement/mod.rs"]
mod measures_placement;

use measures_placement::{Policy, burst, crest, evening, run};

const TEN_MINUTES_MS: u64 = 600_000;
const FIFO: Policy = Policy::Fifo { at_once: 4, keep_alive_ms: TEN_MINUTES_MS };

#[test]
fn a_burst_of_first_requests_waits_at_most_half_as_long_as_behind_one_queue() {
    let planner = run(burst, Policy::Planner);
    let fifo = run(burst, FIFO);
    assert_eq!((planner.unserved, fifo.unserved), (0, 0));
    assert!(2 * planner.cold(99) <= fifo.cold(99), "{} ms of {}", planner.cold(99), fifo.cold(99));
}

#[test]
fn a_sparse_evening_holds_at_most_half_the_idle_hours_of_a_ten_minute_keep_alive() {
    let planner = run(evening, Policy::Planner);
    let fixed = run(evening, FIFO);
    assert_eq!((planner.unserved, fixed.unserved), (0, 0));
    let (held, fixed_h) = (planner.held_unused_h, fixed.held_unused_h);
    assert!(2.0 * held <= fixed_h, "{held} hours of {fixed_h}");
    // Not at the cost of cold starts.
    assert!(planner.cold(99) <= fixed.cold(99));
    assert!(planner.mean_cold() <= fixed.mean_cold());
}

#[test]
fn work_at_the_crest_is_served() {
    let planner = run(crest, Policy::Planner);
    assert_eq!(planner.unserved, 0);
}
