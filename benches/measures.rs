//! The five measures of the users' brief, in virtual time beside their baselines.
//!
//! `cargo bench --bench measures` prints a table; `-- --json` prints one JSON array. The sanctuary
//! weighs the first two most, the gilders the next ones. Exits 1 when a bound is broken.

#![allow(dead_code, reason = "the modules are shared with tests, each of which uses a part")]

mod measures_placement;
mod measures_routing;

use std::process::ExitCode;

use measures_placement::Policy;

const SEEDS: [u64; 3] = [11, 12, 13];
const TEN_MINUTES_MS: u64 = 600_000;
const FIFO: Policy = Policy::Fifo { at_once: 4, keep_alive_ms: TEN_MINUTES_MS };

/// One line of the table.
#[derive(serde::Serialize)]
struct Line {
    /// Who weighs it most.
    team: &'static str,
    measure: String,
    unit: &'static str,
    value: f64,
    baseline: f64,
    /// What is held against the bound.
    ratio: f64,
    bound: f64,
    is_upper_bound: bool,
}

impl Line {
    fn holds(&self) -> bool {
        match self.is_upper_bound {
            true => self.ratio <= self.bound,
            false => self.ratio >= self.bound,
        }
    }
}

fn cold_start() -> Line {
    let planner = measures_placement::run(measures_placement::burst, Policy::Planner);
    let fifo = measures_placement::run(measures_placement::burst, FIFO);
    let (value, baseline) = (planner.cold(99) as f64, fifo.cold(99) as f64);
    Line {
        team: "sanctuary",
        measure: "cold start, p99, burst on 50 models, beside one queue".to_owned(),
        unit: "ms",
        value,
        baseline,
        ratio: value / baseline,
        bound: 0.5,
        is_upper_bound: true,
    }
}

fn idle_hours() -> Line {
    let planner = measures_placement::run(measures_placement::evening, Policy::Planner);
    let fixed = measures_placement::run(measures_placement::evening, FIFO);
    let (value, baseline) = (planner.held_unused_h, fixed.held_unused_h);
    Line {
        team: "sanctuary",
        measure: "idle accelerator hours, sparse evening, beside 10 min keep-alive".to_owned(),
        unit: "h",
        value,
        baseline,
        ratio: value / baseline,
        bound: 0.5,
        is_upper_bound: true,
    }
}

fn routing(team: &'static str, unit: &'static str, measure: &measures_routing::Measure) -> Line {
    Line {
        team,
        measure: measure.name.to_owned(),
        unit,
        value: measure.value,
        baseline: measure.fifo,
        ratio: measure.ratio,
        bound: measure.bound,
        is_upper_bound: measure.is_upper_bound,
    }
}

fn lines() -> Vec<Line> {
    let mut lines = vec![cold_start(), idle_hours()];
    for seed in SEEDS {
        let overload = measures_routing::overload(seed);
        lines.extend(overload.by_rank.iter().map(|measure| routing("gilders", "", measure)));
    }
    for seed in SEEDS {
        lines.push(routing("both", "ms", &measures_routing::head_of_line(seed)));
    }
    for seed in SEEDS {
        for (is_even, period_ms) in [(false, 1_000), (true, 3_000)] {
            let measure = measures_routing::slowed_targets(seed, is_even, period_ms);
            lines.push(routing("gilders", "ms", &measure));
        }
    }
    lines
}

fn main() -> ExitCode {
    let lines = lines();
    if std::env::args().any(|arg| arg == "--json") {
        println!("{}", serde_json::to_string_pretty(&lines).expect("numbers and names"));
    } else {
        println!(
            "{:<9} {:>10} {:>10} {:>6} {:>6}       measure",
            "team", "here", "baseline", "ratio", "bound"
        );
        for line in &lines {
            let verdict = if line.holds() { "holds " } else { "BROKEN" };
            println!(
                "{:<9} {:>10.1} {:>10.1} {:>6.2} {:>6.2} {verdict} {} {}",
                line.team,
                line.value,
                line.baseline,
                line.ratio,
                line.bound,
                line.measure,
                line.unit
            );
        }
    }
    match lines.iter().all(Line::holds) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
