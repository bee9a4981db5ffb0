//! The bounds on the routing policy in virtual time.

#[path = "../benches/measures_routing/mod.rs"]
mod measures_routing;

use measures_routing::{Measure, crest, head_of_line, herd, slowed_targets};

const SEEDS: [u64; 3] = [11, 12, 13];

#[track_caller]
fn check(measure: &Measure) {
    println!("{measure:?}");
    assert!(measure.holds(), "{measure:?}");
}

#[test]
fn short_work_does_not_wait_behind_stragglers() {
    SEEDS.iter().for_each(|seed| check(&head_of_line(*seed)));
}

#[test]
fn targets_slowed_for_moments_are_left() {
    for (is_even, period_ms) in [(false, 1000), (true, 3000)] {
        SEEDS.iter().for_each(|seed| check(&slowed_targets(*seed, is_even, period_ms)));
    }
}

#[test]
fn a_crest_is_served_by_rank_and_not_amplified() {
    for seed in SEEDS {
        let crest = crest(seed);
        println!("{crest:?}");
        crest.by_rank.iter().for_each(check);
        assert!(crest.attempts_per_answer < 1.1, "{crest:?}");
    }
}

#[test]
fn a_burst_at_nine_routers_does_not_herd() {
    SEEDS.iter().for_each(|seed| check(&herd(*seed)));
}
