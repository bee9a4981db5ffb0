//! What one router keeps of requests that may crash targets, and reports.

use fescuebay::ids::{Incarnation, ServiceName};
use fescuebay::poison::message::Statement;
use fescuebay::poison::view::{BrokenAttempt, View};
use fescuebay::poison::{ContentHash, Standing, Subject};
use fescuebay::rate_limit::TargetLife;

fn subjects() -> Vec<Subject> {
    let service: ServiceName = "llm".parse().unwrap();
    Subject::of_request(&service, ContentHash(1), [7, 8].into_iter())
}

fn statement(subject: &Subject, closed_for_ms: Option<u64>) -> Statement {
    let (deaths, answer_age_ms) = (Vec::new(), None);
    let closed_with = Vec::new();
    Statement { subject: subject.clone(), deaths, answer_age_ms, closed_for_ms, closed_with }
}

#[test]
fn the_strictest_standing_of_a_request_and_its_parts_holds() {
    let (mut view, all) = (View::default(), subjects());
    assert_eq!(view.standing(100, &all), Standing::Clear);
    view.apply(100, &[statement(&all[1], None)]);
    assert_eq!(view.standing(100, &all), Standing::Restricted);
    view.apply(200, &[statement(&all[1], None), statement(&all[2], Some(500))]);
    assert_eq!(view.standing(300, &all), Standing::Closed { until_ms: 700 });
    assert_eq!(view.standing(700, &all), Standing::Restricted, "one trial decides");
    view.apply(800, &[]);
    assert_eq!(view.standing(800, &all), Standing::Clear);
}

/// All voters were killed at the same moment: only routers remember.
#[test]
fn what_was_closed_is_refused_until_a_new_leader_knows_it() {
    let (mut view, all) = (View::default(), subjects());
    view.apply(100, &[statement(&all[1], Some(10_000)), statement(&all[2], None)]);
    view.begin_leader();
    view.apply(2_000, &[]);
    assert_eq!(view.standing(2_000, &all), Standing::Closed { until_ms: 10_100 });
    let report = view.take_report(3_000, None);
    let told: Vec<_> = report.statements.iter().map(|s| (&s.subject, s.closed_for_ms)).collect();
    assert_eq!(told, [(&all[1], Some(7_100))]);
    view.put_back(3_000, report);
    assert!(view.has_report(), "no leader answered");
    let report = view.take_report(3_100, None);
    view.record_reported(&report);
    assert!(!view.has_report());
    view.apply(3_200, &[]);
    assert_eq!(view.standing(3_200, &all), Standing::Clear, "the new leader knows better");
}

#[test]
fn the_last_answer_to_a_part_is_reported_with_a_break_and_when_the_leader_restricts_it() {
    let (mut view, all) = (View::default(), subjects());
    view.record_answer(1_000, &all, false);
    assert!(!view.has_report(), "nothing speaks against it");
    let life = TargetLife { target: "t1".parse().unwrap(), incarnation: Incarnation(1) };
    view.record_break(2_100, &all, &BrokenAttempt { life, sent_ms: 2_000 });
    let report = view.take_report(2_500, None);
    let seen: Vec<_> = report
        .observations
        .iter()
        .map(|one| (one.answer_age_ms, one.death.as_ref().map(|d| (d.sent_age_ms, d.broke_age_ms))))
        .collect();
    let death = Some((500, 400));
    assert_eq!(seen, [(None, death), (Some(1_500), death), (Some(1_500), death)]);
    view.apply(2_600, &[statement(&all[2], None)]);
    let report = view.take_report(2_600, None);
    let seen: Vec<_> = report.observations.iter().map(|o| (&o.subject, o.answer_age_ms)).collect();
    assert_eq!(seen, [(&all[2], Some(1_600))]);
}
