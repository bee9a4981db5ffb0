//! Checks the bounds on the routing policy in the virtual-time simulation.

#[path = "../benches/measures_routing/mod.rs"]
mod measures_routing;

use measures_routing::{Measure, burst_imbalance, head_of_line, overload, slowed_targets};

const SEEDS: [u64; 3] = [11, 12, 13];

#[track_caller]
fn check(measure: &Measure) {
    println!("{measure:?}");
    assert!(measure.holds(), "{measure:?}");
}

#[test]
fn short_requests_do_not_wait_behind_long_ones() {
    SEEDS.iter().for_each(|seed| check(&head_of_line(*seed)));
}

#[test]
fn briefly_slowed_targets_are_avoided() {
    for (is_uniform, period_ms) in [(false, 1000), (true, 3000)] {
        SEEDS.iter().for_each(|seed| check(&slowed_targets(*seed, is_uniform, period_ms)));
    }
}

#[test]
fn overload_is_served_by_rank_without_retry_amplification() {
    for seed in SEEDS {
        let result = overload(seed);
        println!("{result:?}");
        result.by_rank.iter().for_each(check);
        assert!(result.attempts_per_answer < 1.1, "{result:?}");
    }
}

#[test]
fn burst_at_nine_routers_does_not_overload_one_target() {
    SEEDS.iter().for_each(|seed| check(&burst_imbalance(*seed)));
}
