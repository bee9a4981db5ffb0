//! What the leader concludes from targets that end under requests, replayed without a network.

use fescuebay::ids::{DaemonId, Incarnation};
use fescuebay::poison::message::{Death, Observation, Permission};
use fescuebay::poison::registry::{CLOSED_MS, MAX_SUBJECTS, Registry};
use fescuebay::poison::{Content, ContentHash, Standing, Subject};
use fescuebay::rate_limit::TargetLife;

fn request(number: u64) -> Subject {
    Subject { service: "llm".parse().unwrap(), content: Content::Request(ContentHash(number)) }
}

fn router(number: u64) -> DaemonId {
    format!("10.1.0.{number}").parse().unwrap()
}

fn nothing(subject: &Subject) -> Observation {
    Observation { subject: subject.clone(), death: None, answer_age_ms: None, is_trial_over: false }
}

/// Target `number` ended under a subject, to which a request was sent at `sent_ms`; known at `now_ms`.
fn end_target(
    registry: &mut Registry,
    subject: &Subject,
    number: u64,
    sent_ms: u64,
    now_ms: u64,
) -> bool {
    let life = TargetLife {
        target: format!("t{number}").parse().unwrap(),
        incarnation: Incarnation(number),
    };
    let death = Death { life, sent_age_ms: now_ms - sent_ms, broke_age_ms: 0 };
    let observation = Observation { death: Some(death), ..nothing(subject) };
    registry.record(now_ms, &router(1), &observation)
}

fn answer(registry: &mut Registry, subject: &Subject, began_ms: u64, now_ms: u64) -> bool {
    let observation = Observation { answer_age_ms: Some(now_ms - began_ms), ..nothing(subject) };
    registry.record(now_ms, &router(1), &observation)
}

#[test]
fn a_request_is_tried_alone_after_two_targets_and_refused_after_three_in_a_row() {
    let (mut registry, one) = (Registry::default(), request(1));
    let wanted = [one.clone()];
    end_target(&mut registry, &one, 1, 1_000, 1_100);
    assert_eq!(registry.permit(1_100, &router(1), &wanted), Permission::Free, "one target may end");
    end_target(&mut registry, &one, 2, 1_050, 1_150);
    assert_eq!(registry.standing(1_150, &one), Standing::Restricted);
    assert_eq!(registry.permit(1_160, &router(1), &wanted), Permission::Trial);
    assert_eq!(registry.permit(1_170, &router(2), &wanted), Permission::Wait);
    end_target(&mut registry, &one, 3, 1_160, 1_300);
    let successive = "the first two were under way at the same time";
    assert_eq!(registry.standing(1_300, &one), Standing::Restricted, "{successive}");
    assert_eq!(registry.permit(1_310, &router(2), &wanted), Permission::Trial);
    end_target(&mut registry, &one, 4, 1_310, 1_400);
    assert_eq!(registry.standing(1_400, &one), Standing::Closed { until_ms: 1_400 + CLOSED_MS });
    let closed = Permission::Closed { for_ms: CLOSED_MS - 100 };
    assert_eq!(registry.permit(1_500, &router(3), &wanted), closed);
    assert_eq!(registry.permit(1_500, &router(3), &[request(2)]), Permission::Free);
}

/// Many calls break at a target that ends, and a target that ended is reported by many routers.
#[test]
fn one_target_counts_once_however_many_reports_there_are() {
    let (mut registry, one) = (Registry::default(), request(1));
    for at_ms in [1_000, 1_010, 1_020, 1_500] {
        end_target(&mut registry, &one, 7, at_ms, at_ms + 50);
    }
    assert_eq!((registry.deaths(&one), registry.standing(2_000, &one)), (1, Standing::Clear));
}

/// The load: all targets of an availability zone are reclaimed under a request that is sound, twice.
#[test]
fn an_answer_clears_what_was_sent_before_it() {
    let (mut registry, one) = (Registry::default(), request(1));
    for number in 0..5 {
        end_target(&mut registry, &one, number, 1_000, 1_100);
    }
    assert_eq!(registry.standing(1_100, &one), Standing::Restricted);
    assert!(answer(&mut registry, &one, 1_300, 1_700), "its standing changes");
    assert_eq!((registry.standing(1_700, &one), registry.len()), (Standing::Clear, 0));

    // An answer that had begun before a target ended tells nothing of that target's end.
    end_target(&mut registry, &one, 11, 2_000, 2_100);
    end_target(&mut registry, &one, 12, 2_100, 2_200);
    answer(&mut registry, &one, 1_900, 2_300);
    assert_eq!(registry.deaths(&one), 2);
}

#[test]
fn a_trial_without_a_result_ends_and_so_does_one_that_is_never_heard_of() {
    let (mut registry, one) = (Registry::default(), request(1));
    let wanted = [one.clone()];
    end_target(&mut registry, &one, 1, 1_000, 1_100);
    end_target(&mut registry, &one, 2, 1_100, 1_200);
    assert_eq!(registry.permit(1_200, &router(1), &wanted), Permission::Trial);
    let over = Observation { is_trial_over: true, ..nothing(&one) };
    registry.record(1_210, &router(2), &over);
    assert_eq!(registry.permit(1_220, &router(2), &wanted), Permission::Wait, "not its trial");
    registry.record(1_230, &router(1), &over);
    assert_eq!(registry.permit(1_240, &router(2), &wanted), Permission::Trial);
    assert_eq!(registry.permit(6_239, &router(3), &wanted), Permission::Wait);
    assert_eq!(registry.permit(6_240, &router(3), &wanted), Permission::Trial, "it was lost");
}

/// A mended target serves what crashed the ones before: after the closed time one trial is made.
#[test]
fn what_was_closed_is_tried_again_and_cleared_by_an_answer_or_closed_anew() {
    let (mut registry, one) = (Registry::default(), request(1));
    let wanted = [one.clone()];
    for number in 0..3 {
        end_target(&mut registry, &one, number, 1_000 + number * 200, 1_100 + number * 200);
    }
    let open_ms = 1_500 + CLOSED_MS;
    assert_eq!(registry.standing(open_ms - 1, &one), Standing::Closed { until_ms: open_ms });
    assert_eq!(registry.permit(open_ms, &router(1), &wanted), Permission::Trial);
    end_target(&mut registry, &one, 9, open_ms, open_ms + 100);
    let until_ms = open_ms + 100 + CLOSED_MS;
    assert_eq!(registry.standing(open_ms + 100, &one), Standing::Closed { until_ms });
    assert_eq!(registry.permit(until_ms, &router(1), &wanted), Permission::Trial);
    assert!(answer(&mut registry, &one, until_ms + 100, until_ms + 500));
    assert_eq!(registry.standing(until_ms + 500, &one), Standing::Clear);
}

#[test]
fn a_new_leader_knows_what_was_closed_and_restricted() {
    let (mut registry, one, two) = (Registry::default(), request(1), request(2));
    for number in 0..3 {
        end_target(&mut registry, &one, number, 1_000 + number * 200, 1_100 + number * 200);
    }
    end_target(&mut registry, &two, 5, 1_000, 1_500);
    end_target(&mut registry, &two, 6, 1_500, 1_600);
    let told = registry.statements(2_000);
    // Its clock shows another time.
    let later = Registry::from_statements(900_000, &told);
    let closed = Standing::Closed { until_ms: 900_000 + CLOSED_MS - 500 };
    assert_eq!(later.standing(900_000, &one), closed);
    assert_eq!(later.standing(900_000, &two), Standing::Restricted);
    assert_eq!(later.statements(900_000), told);
}

#[test]
fn memory_is_bounded_and_closed_subjects_stay() {
    let (mut registry, one) = (Registry::default(), request(0));
    for number in 0..3 {
        end_target(&mut registry, &one, number, 1_000 + number * 200, 1_100 + number * 200);
    }
    for number in 1..(2 * MAX_SUBJECTS as u64) {
        end_target(&mut registry, &request(number), number, 2_000, 2_000 + number);
    }
    assert_eq!(registry.len(), MAX_SUBJECTS);
    assert_ne!(registry.standing(9_000, &one), Standing::Clear);
}
