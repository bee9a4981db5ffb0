//! Decisions about paths to targets and routers that help, without I/O.

use std::net::SocketAddr;

use fescuebay::coordinator::routers::{HelperQuery, MAX_HELPERS, RouterContact, choose_helpers};
use fescuebay::gateway::helpers::{Helpers, REFRESH_MS};
use fescuebay::gateway::reach::{FIRST_PROBES, ProbeStep, ReachChange, Reachability};
use fescuebay::ids::{DaemonId, Incarnation, ServiceName};
use fescuebay::membership::feed::FeedCursor;
use fescuebay::rate_limit::TargetLife;

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

fn target(number: usize) -> TargetLife {
    TargetLife { target: format!("t{number}").parse().unwrap(), incarnation: Incarnation(1) }
}

fn targets(numbers: std::ops::Range<usize>) -> Vec<TargetLife> {
    numbers.map(target).collect()
}

/// Fails an attempt and takes the step of a round of probes.
fn begin_round(reach: &mut Reachability, now_ms: u64, app: &ServiceName) {
    reach.record_failure(app, target(0));
    reach.begin_probing(app);
    assert!(matches!(reach.next_step(now_ms, app), ProbeStep::Probe { .. }));
}

#[test]
fn a_service_is_out_of_reach_once_no_probe_is_answered_and_until_one_is() {
    let (mut reach, app) = (Reachability::default(), service("app"));
    assert!(!reach.begin_probing(&app), "there is no reason to probe");
    begin_round(&mut reach, 1_000, &app);
    assert!(!reach.is_lost(&app), "one failure is none of all targets");
    assert_eq!(reach.end_round(1_400, &app, targets(0..3)), ReachChange::Lost);
    assert_eq!(reach.lost_services(), std::slice::from_ref(&app));
    assert!(!reach.is_lost(&service("other")));
    assert_eq!(reach.next_step(1_400, &app), ProbeStep::Wait { ms: 100 });
    assert!(matches!(reach.next_step(1_500, &app), ProbeStep::Probe { .. }));
    assert_eq!(reach.end_round(1_900, &app, targets(0..3)), ReachChange::Unchanged);
    assert_eq!(reach.record_answer(2_000, &app), ReachChange::Regained { after_ms: 600 });
    assert!(!reach.is_lost(&app));
    assert_eq!(reach.next_step(2_000, &app), ProbeStep::Stop);
}

/// A target that is silent for a second, or that ended, fails while others answer. Old connections may live
/// on while new ones are refused.
#[test]
fn an_answer_during_a_round_keeps_the_service_in_reach() {
    let (mut reach, app) = (Reachability::default(), service("app"));
    begin_round(&mut reach, 1_000, &app);
    reach.record_answer(1_200, &app);
    assert_eq!(reach.end_round(1_400, &app, targets(0..3)), ReachChange::Unchanged);
    assert!(!reach.is_lost(&app));
    assert_eq!(reach.next_step(1_500, &app), ProbeStep::Stop);
    // A table without targets shows nothing of paths.
    begin_round(&mut reach, 2_000, &app);
    assert_eq!(reach.end_round(2_400, &app, Vec::new()), ReachChange::Unchanged);
    assert!(!reach.is_lost(&app));
}

#[test]
fn one_task_at_a_time_probes_a_service() {
    let (mut reach, app) = (Reachability::default(), service("app"));
    reach.record_failure(&app, target(0));
    assert!(reach.begin_probing(&app));
    reach.record_failure(&app, target(1));
    assert!(!reach.begin_probing(&app));
    reach.record_answer(1, &app);
    assert_eq!(reach.next_step(2, &app), ProbeStep::Stop);
    reach.record_failure(&app, target(1));
    assert!(reach.begin_probing(&app));
}

/// Some targets that are probed may all have ended, while others serve.
#[test]
fn a_round_probes_all_targets_and_first_those_that_did_not_fail() {
    let (mut reach, app) = (Reachability::default(), service("app"));
    reach.record_failure(&app, target(3));
    let mut chosen = reach.choose_probed(&app, 1, targets(0..70));
    assert_eq!(chosen.len(), 70);
    assert_eq!(chosen.last(), Some(&target(3)));
    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen.len(), 70);
    assert_eq!(reach.choose_probed(&app, 1, vec![target(3)]), [target(3)]);
    assert!(reach.choose_probed(&app, 1, Vec::new()).is_empty());
}

#[test]
fn rounds_out_of_reach_probe_a_few_targets_and_first_those_never_tried() {
    let (mut reach, app) = (Reachability::default(), service("app"));
    begin_round(&mut reach, 1_000, &app);
    assert_eq!(reach.end_round(1_400, &app, targets(0..9)), ReachChange::Lost);
    let again = TargetLife { incarnation: Incarnation(2), ..target(4) };
    let later: Vec<TargetLife> =
        targets(0..4).into_iter().chain([again.clone()]).chain(targets(5..10)).collect();
    for round in 2..5 {
        let chosen = reach.choose_probed(&app, round, later.clone());
        assert_eq!(chosen.len(), FIRST_PROBES);
        assert!(chosen.contains(&again) && chosen.contains(&target(9)), "{chosen:?}");
    }
    let mut probed = Vec::new();
    for round in 2..6 {
        let chosen = reach.choose_probed(&app, round, targets(0..9));
        probed.extend(chosen.clone());
        assert_eq!(reach.end_round(1_500, &app, chosen), ReachChange::Unchanged);
    }
    probed.sort_unstable();
    probed.dedup();
    assert_eq!(probed.len(), 9, "each round probes others: {probed:?}");
}

fn contact(number: usize, zone: &str, lost: &[&str]) -> RouterContact {
    RouterContact {
        router: format!("r{number}").parse().unwrap(),
        zone: Some(zone.parse().unwrap()),
        heard_ms: 10_000,
        started_ms: 0,
        streams_told: FeedCursor::default(),
        lost_services: lost.iter().map(|name| service(name)).collect(),
    }
}

fn helpers_of(asking: usize, zone: &str, routers: &[RouterContact]) -> Vec<DaemonId> {
    let asking = format!("r{asking}").parse().unwrap();
    let query = HelperQuery { service: service("app"), zone: zone.parse().unwrap() };
    choose_helpers(10_100, &asking, &query, routers)
}

#[test]
fn helpers_reach_the_service_were_heard_of_lately_and_are_of_the_same_zone_first() {
    let mut routers = vec![
        contact(0, "a", &["app"]),
        contact(1, "a", &[]),
        contact(2, "b", &[]),
        contact(3, "a", &["app", "llm"]),
        contact(4, "a", &["llm"]),
    ];
    let names = |helpers: Vec<DaemonId>| -> Vec<String> {
        helpers.iter().map(ToString::to_string).collect()
    };
    let named = names(helpers_of(0, "a", &routers));
    assert_eq!(named.len(), 3, "{named:?}");
    assert_eq!(named[2], "r2", "{named:?}");
    routers[1].heard_ms = 5_000;
    assert_eq!(names(helpers_of(0, "a", &routers)), ["r4", "r2"]);
}

/// The load: three quarters of 300 routers are cut off, and each asks for helpers.
#[test]
fn routers_that_ask_are_spread_over_those_that_can_help() {
    let routers: Vec<RouterContact> = (0..300)
        .map(|number| contact(number, "a", if number % 4 == 0 { &[] } else { &["app"] }))
        .collect();
    let mut asked = vec![0_usize; 300];
    for number in (0..300).filter(|number| number % 4 != 0) {
        let helpers = helpers_of(number, "a", &routers);
        assert_eq!(helpers.len(), MAX_HELPERS);
        for helper in helpers {
            asked[helper.as_str()[1..].parse::<usize>().unwrap()] += 1;
        }
    }
    let mean = asked.iter().sum::<usize>() / 75;
    let most = asked.iter().max().copied().unwrap_or_default();
    assert!(most < 2 * mean, "the busiest helps {most}, the mean {mean}");
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7380))
}

#[test]
fn requests_are_spread_over_helpers_and_pass_over_those_that_failed() {
    let (mut helpers, app) = (Helpers::default(), service("app"));
    assert!(helpers.begin_asking(0, &app));
    assert!(!helpers.begin_asking(0, &app), "it is being asked");
    helpers.end_asking(0, &app, Some(vec![address(2), address(1), address(3)]));
    assert!(!helpers.begin_asking(REFRESH_MS - 1, &app));
    let mut chosen = Vec::new();
    for _ in 0..6 {
        let helper = helpers.choose(0, &app, &[]).unwrap();
        helpers.begin_request(helper);
        chosen.push(helper);
    }
    chosen.sort_unstable();
    assert_eq!(chosen, [1, 1, 2, 2, 3, 3].map(address));
    helpers.end_request(address(1));
    assert_eq!(helpers.choose(0, &app, &[]), Some(address(1)));
    assert_ne!(helpers.choose(0, &app, &[address(1)]), Some(address(1)));
    helpers.record_failure(0, address(1));
    assert_ne!(helpers.choose(0, &app, &[]), Some(address(1)));
    assert_eq!(helpers.choose(5_000, &app, &[]), Some(address(1)));
}

/// Without a leader the last answer is used on; a new answer replaces it.
#[test]
fn the_last_answer_of_a_leader_is_used_until_the_next_one() {
    let (mut helpers, app) = (Helpers::default(), service("app"));
    assert_eq!(helpers.choose(0, &app, &[]), None);
    assert!(helpers.begin_asking(0, &app));
    helpers.end_asking(0, &app, Some(vec![address(1)]));
    assert!(helpers.begin_asking(REFRESH_MS, &app));
    helpers.end_asking(REFRESH_MS, &app, None);
    assert_eq!(helpers.choose(REFRESH_MS, &app, &[]), Some(address(1)));
    assert!(helpers.begin_asking(REFRESH_MS, &app));
    helpers.end_asking(REFRESH_MS, &app, Some(vec![address(2)]));
    assert_eq!(helpers.choose(REFRESH_MS, &app, &[]), Some(address(2)));
    assert!(helpers.begin_asking(9 * REFRESH_MS, &app));
    helpers.end_asking(9 * REFRESH_MS, &app, Some(Vec::new()));
    assert_eq!(helpers.choose(9 * REFRESH_MS, &app, &[]), None);
}
