//! What the leader concludes from targets that end under requests, replayed without a network.

use fescuebay::ids::{DaemonId, Incarnation};
use fescuebay::poison::message::{Death, Observation, Permission, Wanted};
use fescuebay::poison::registry::{CLOSED_MS, MAX_SUBJECTS, Registry};
use fescuebay::poison::{Content, ContentHash, Standing, Subject};
use fescuebay::rate_limit::TargetLife;

fn request(number: u64) -> Subject {
    Subject { service: "llm".parse().unwrap(), content: Content::Request(ContentHash(number)) }
}

fn part(id: u64) -> Subject {
    Subject { service: "llm".parse().unwrap(), content: Content::PromptPart(id) }
}

fn router(number: u64) -> DaemonId {
    format!("10.1.0.{number}").parse().unwrap()
}

fn life(number: u64) -> TargetLife {
    TargetLife { target: format!("t{number}").parse().unwrap(), incarnation: Incarnation(number) }
}

fn nothing(subject: &Subject) -> Observation {
    Observation { subject: subject.clone(), death: None, answer_age_ms: None, is_trial_over: false }
}

/// Whether a router may send a request with these subjects to target `number`.
fn permit(
    registry: &mut Registry,
    now_ms: u64,
    from: u64,
    subjects: &[&Subject],
    number: u64,
) -> Permission {
    let subjects = subjects.iter().copied().cloned().collect();
    registry.permit(now_ms, &router(from), &Wanted { subjects, target: life(number) })
}

/// Target `number` ended under a subject, to which a request was sent at `sent_ms`; known at `now_ms`.
fn end_target(
    registry: &mut Registry,
    subject: &Subject,
    number: u64,
    sent_ms: u64,
    now_ms: u64,
) -> bool {
    let death = Death { life: life(number), sent_age_ms: now_ms - sent_ms, broke_age_ms: 0 };
    let observation = Observation { death: Some(death), ..nothing(subject) };
    registry.record(now_ms, &router(1), &observation)
}

fn answer(registry: &mut Registry, subject: &Subject, began_ms: u64, now_ms: u64) -> bool {
    let observation = Observation { answer_age_ms: Some(now_ms - began_ms), ..nothing(subject) };
    registry.record(now_ms, &router(1), &observation)
}

/// A registry in which targets 1 to 4 have ended under a subject, two of them in trials. Returns the time
/// of the last one.
fn closed(subject: &Subject) -> (Registry, u64) {
    let mut registry = Registry::default();
    end_target(&mut registry, subject, 1, 1_000, 1_100);
    end_target(&mut registry, subject, 2, 1_050, 1_150);
    for number in [3, 4] {
        let sent_ms = 1_000 + number * 100;
        let permission = permit(&mut registry, sent_ms, 1, &[subject], number);
        assert_eq!(permission, Permission::Trial);
        end_target(&mut registry, subject, number, sent_ms, sent_ms + 50);
    }
    (registry, 1_450)
}

#[test]
fn a_request_is_tried_alone_after_two_targets_and_refused_after_two_trials() {
    let (mut registry, one) = (Registry::default(), request(1));
    end_target(&mut registry, &one, 1, 1_000, 1_100);
    let free = permit(&mut registry, 1_100, 1, &[&one], 5);
    assert_eq!(free, Permission::Free, "one target may end");
    end_target(&mut registry, &one, 2, 1_050, 1_150);
    assert_eq!(registry.standing(1_150, &one), Standing::Restricted);
    assert_eq!(permit(&mut registry, 1_160, 1, &[&one], 3), Permission::Trial);
    assert_eq!(permit(&mut registry, 1_170, 2, &[&one], 4), Permission::Wait, "it is tried");
    end_target(&mut registry, &one, 3, 1_160, 1_300);
    assert_eq!(registry.standing(1_300, &one), Standing::Restricted);
    assert_eq!(permit(&mut registry, 1_310, 1, &[&one], 4), Permission::Trial);
    end_target(&mut registry, &one, 4, 1_310, 1_400);
    assert_eq!(registry.standing(1_400, &one), Standing::Closed { until_ms: 1_400 + CLOSED_MS });
    let closed = Permission::Closed { for_ms: CLOSED_MS - 100 };
    assert_eq!(permit(&mut registry, 1_500, 3, &[&one], 6), closed);
    assert_eq!(permit(&mut registry, 1_500, 3, &[&request(2)], 6), Permission::Free);
}

/// The load: a sound request is under way beside the guilty one at each of three targets that end, as its caller
/// repeats it. Closing what three targets ended under closed both.
#[test]
fn a_request_that_was_only_beside_the_guilty_one_is_not_closed() {
    let (mut registry, guilty, sound) = (Registry::default(), request(1), request(2));
    for number in 1..=3 {
        for subject in [&guilty, &sound] {
            end_target(&mut registry, subject, number, number * 200, number * 200 + 100);
        }
    }
    for subject in [&guilty, &sound] {
        assert_eq!(registry.standing(700, subject), Standing::Restricted);
    }
    // Their trials are at targets of their own.
    assert_eq!(permit(&mut registry, 800, 1, &[&guilty], 4), Permission::Trial);
    assert_eq!(permit(&mut registry, 800, 2, &[&sound], 4), Permission::Wait, "it is tried there");
    assert_eq!(permit(&mut registry, 810, 2, &[&sound], 5), Permission::Trial);
    end_target(&mut registry, &guilty, 4, 800, 900);
    assert!(answer(&mut registry, &sound, 900, 1_300));
    assert_eq!(registry.standing(1_300, &sound), Standing::Clear);
    assert_eq!(permit(&mut registry, 1_300, 1, &[&guilty], 6), Permission::Trial);
    end_target(&mut registry, &guilty, 6, 1_300, 1_400);
    assert!(matches!(registry.standing(1_400, &guilty), Standing::Closed { .. }));
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

/// The load: all targets of an availability zone are reclaimed under a request that is sound.
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
    end_target(&mut registry, &one, 1, 1_000, 1_100);
    end_target(&mut registry, &one, 2, 1_100, 1_200);
    assert_eq!(permit(&mut registry, 1_200, 1, &[&one], 3), Permission::Trial);
    let over = Observation { is_trial_over: true, ..nothing(&one) };
    registry.record(1_210, &router(2), &over);
    assert_eq!(permit(&mut registry, 1_220, 2, &[&one], 4), Permission::Wait, "not its trial");
    registry.record(1_230, &router(1), &over);
    assert_eq!(permit(&mut registry, 1_240, 2, &[&one], 4), Permission::Trial);
    assert_eq!(permit(&mut registry, 6_239, 3, &[&one], 5), Permission::Wait);
    assert_eq!(permit(&mut registry, 6_240, 3, &[&one], 5), Permission::Trial, "it was lost");
}

/// A mended target serves what crashed the ones before: after the closed time one trial is made.
#[test]
fn what_was_closed_is_tried_again_and_cleared_by_an_answer_or_closed_anew() {
    let one = request(1);
    let (mut registry, now_ms) = closed(&one);
    let open_ms = now_ms + CLOSED_MS;
    assert_eq!(registry.standing(open_ms - 1, &one), Standing::Closed { until_ms: open_ms });
    assert_eq!(permit(&mut registry, open_ms, 1, &[&one], 9), Permission::Trial);
    end_target(&mut registry, &one, 9, open_ms, open_ms + 100);
    let until_ms = open_ms + 100 + CLOSED_MS;
    assert_eq!(registry.standing(open_ms + 100, &one), Standing::Closed { until_ms });
    assert_eq!(permit(&mut registry, until_ms, 1, &[&one], 10), Permission::Trial);
    assert!(answer(&mut registry, &one, until_ms + 100, until_ms + 500));
    assert_eq!(registry.standing(until_ms + 500, &one), Standing::Clear);
}

#[test]
fn a_new_leader_knows_what_was_closed_and_restricted() {
    let (one, two) = (request(1), request(2));
    let (mut registry, _) = closed(&one);
    end_target(&mut registry, &two, 5, 1_000, 1_500);
    end_target(&mut registry, &two, 6, 1_500, 1_600);
    let told = registry.statements(2_000);
    // Its clock shows another time.
    let later = Registry::from_statements(900_000, &told);
    let until_ms = 900_000 + CLOSED_MS - 550;
    assert_eq!(later.standing(900_000, &one), Standing::Closed { until_ms });
    assert_eq!(later.standing(900_000, &two), Standing::Restricted);
    assert_eq!(later.statements(900_000), told);
}

#[test]
fn memory_is_bounded_and_closed_subjects_stay() {
    let one = request(0);
    let (mut registry, _) = closed(&one);
    for number in 1..(2 * MAX_SUBJECTS as u64) {
        end_target(&mut registry, &request(number), number, 2_000, 2_000 + number);
    }
    assert_eq!(registry.len(), MAX_SUBJECTS);
    assert_ne!(registry.standing(9_000, &one), Standing::Clear);
}

/// The load: half of the targets are reclaimed at the same moment under a part that nearly all requests have.
#[test]
fn a_part_that_was_just_answered_is_not_restricted_by_targets_that_end_together() {
    let (mut registry, shared) = (Registry::default(), part(1));
    for number in 0..5 {
        let death = Death { life: life(number), sent_age_ms: 100, broke_age_ms: 0 };
        let answer_age_ms = Some(2_000);
        let observation = Observation { death: Some(death), answer_age_ms, ..nothing(&shared) };
        registry.record(10_000, &router(1), &observation);
    }
    assert_eq!(
        (registry.deaths(&shared), registry.standing(10_000, &shared)),
        (5, Standing::Clear)
    );
}

/// The load: the first requests of the day have a guilty part beside one that all share, and nothing was answered
/// yet that would tell them apart.
#[test]
fn a_shared_part_is_told_from_the_guilty_one_by_the_trial_of_a_sound_request() {
    let (mut registry, shared, guilty) = (Registry::default(), part(1), part(2));
    for number in 1..=2 {
        for subject in [&shared, &guilty] {
            end_target(&mut registry, subject, number, number * 200, number * 200 + 100);
        }
    }
    for number in 3..=5 {
        let sent_ms = number * 200;
        let both = [&shared, &guilty];
        assert_eq!(permit(&mut registry, sent_ms, 1, &both, number), Permission::Trial);
        for subject in both {
            end_target(&mut registry, subject, number, sent_ms, sent_ms + 100);
        }
    }
    assert_eq!(registry.standing(1_100, &shared), Standing::Restricted, "not closed");
    assert_eq!(permit(&mut registry, 1_200, 2, &[&shared], 6), Permission::Trial);
    assert!(answer(&mut registry, &shared, 1_250, 1_700));
    assert_eq!(registry.standing(1_700, &shared), Standing::Clear);
    assert_eq!(permit(&mut registry, 1_700, 1, &[&shared, &guilty], 7), Permission::Trial);
    end_target(&mut registry, &guilty, 7, 1_700, 1_800);
    assert!(matches!(registry.standing(1_800, &guilty), Standing::Closed { .. }));
    assert_eq!(permit(&mut registry, 1_900, 2, &[&shared], 8), Permission::Free);
}

/// The load: at night all requests of a route have the guilty part, beside the one that all share by day.
#[test]
fn a_shared_part_that_was_closed_with_the_guilty_one_is_tried_without_it() {
    let (mut registry, shared, guilty) = (Registry::default(), part(1), part(2));
    let both = [&shared, &guilty];
    for number in 1..=6 {
        let sent_ms = number * 200;
        let expected = if number <= 2 { Permission::Free } else { Permission::Trial };
        assert_eq!(permit(&mut registry, sent_ms, 1, &both, number), expected);
        for subject in both {
            end_target(&mut registry, subject, number, sent_ms, sent_ms + 100);
        }
    }
    let closed = Permission::Closed { for_ms: CLOSED_MS };
    assert_eq!(permit(&mut registry, 1_300, 1, &both, 7), closed);
    // By day the first sound request is a trial, also at a leader that took over.
    for mut registry in [Registry::from_statements(1_300, &registry.statements(1_300)), registry] {
        assert_eq!(permit(&mut registry, 1_400, 2, &[&shared], 7), Permission::Trial);
        assert!(answer(&mut registry, &shared, 1_450, 1_900));
        assert_eq!(permit(&mut registry, 1_900, 2, &[&shared], 8), Permission::Free);
        let for_ms = CLOSED_MS - 600;
        assert_eq!(permit(&mut registry, 1_900, 1, &both, 8), Permission::Closed { for_ms });
        assert_eq!(permit(&mut registry, 1_900, 1, &[&guilty], 8), Permission::Closed { for_ms });
    }
}

/// The load: the paths of a router to all targets are reset with the same request under way at several. A crashed
/// target may have sent one announcement that is heard late.
#[test]
fn targets_that_go_on_announcing_themselves_have_not_ended_under_a_request() {
    let one = request(1);
    let (mut registry, now_ms) = closed(&one);
    assert!(matches!(registry.standing(now_ms, &one), Standing::Closed { .. }));
    for number in 1..=4 {
        assert!(!registry.record_announcement(now_ms + 100, &life(number)), "it may be late");
    }
    assert!(matches!(registry.standing(now_ms + 100, &one), Standing::Closed { .. }));
    // The trials of the targets 3 and 4 closed it.
    assert!(registry.record_announcement(now_ms + 1_300, &life(3)));
    assert_eq!(registry.standing(now_ms + 1_300, &one), Standing::Restricted);
    for number in [4, 1, 2] {
        registry.record_announcement(now_ms + 1_300, &life(number));
    }
    assert_eq!(registry.standing(now_ms + 1_300, &one), Standing::Clear);
    assert!(registry.is_empty(), "nothing is left to say of it");
}

#[test]
fn an_announcement_of_another_incarnation_or_from_before_shows_nothing() {
    let one = request(1);
    let (mut registry, now_ms) = closed(&one);
    let next = |number| TargetLife { incarnation: Incarnation(number + 100), ..life(number) };
    for later_ms in [100, 1_300, 2_500] {
        for number in 1..=4 {
            assert!(!registry.record_announcement(now_ms + later_ms, &next(number)));
            assert!(!registry.record_announcement(1_050, &life(number)), "before the break");
        }
    }
    assert!(matches!(registry.standing(now_ms + 2_500, &one), Standing::Closed { .. }));
}
