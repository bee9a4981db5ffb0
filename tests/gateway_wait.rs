//! How long requests wait for a target.

use fescuebay::gateway::fleet::Choice;
use fescuebay::gateway::wait::{self, Case, LEARN_MS};
use fescuebay::routes::Kind;

/// A chat whose caller leaves after 2.4 s without an event, and has 12 s in all.
fn chat() -> Case {
    Case {
        why: Choice::NoReplica,
        kind: Kind::Stream { is_resumable: false, gap_target_ms: 300, max_gap_ms: 2_400 },
        latency_target_ms: 500,
        total_ms: 12_000,
        learning_ms: Some(60_000),
    }
}

/// The load: a wave for models that nobody holds, from callers who leave silent streams.
#[test]
fn a_caller_of_a_stream_is_refused_while_it_is_still_there_to_come_back() {
    let case = chat();
    let Kind::Stream { max_gap_ms, .. } = case.kind else { unreachable!() };
    let limit_ms = wait::limit_ms(&case);
    assert!(limit_ms < max_gap_ms, "{limit_ms} ms");
    // The answer still has time to begin.
    assert!(max_gap_ms - limit_ms >= case.latency_target_ms / 2, "{limit_ms} ms");
}

#[test]
fn a_patient_caller_waits_for_a_load_from_the_store() {
    let kind = Kind::Stream { is_resumable: true, gap_target_ms: 300, max_gap_ms: 10_000 };
    let case = Case { kind, latency_target_ms: 2_500, total_ms: 25_000, ..chat() };
    assert!(wait::limit_ms(&case) >= 8_000, "{}", wait::limit_ms(&case));
}

#[test]
fn a_request_never_waits_for_more_than_half_of_its_time() {
    for total_ms in [0, 300, 1_500, 12_000] {
        for kind in [Kind::Idempotent, Kind::AtMostOnce, chat().kind] {
            for why in [Choice::Full, Choice::NoReplica, Choice::NoTarget] {
                let case = Case { why, kind, total_ms, learning_ms: Some(0), ..chat() };
                assert!(wait::limit_ms(&case) * 2 <= total_ms, "{case:?}");
            }
        }
    }
}

/// The load: a service whose targets are all gone, asked on by its callers.
#[test]
fn a_service_that_is_known_to_have_no_targets_refuses_at_once() {
    let gone = Case { why: Choice::NoTarget, learning_ms: Some(LEARN_MS), ..chat() };
    assert_eq!(wait::limit_ms(&gone), 0);
    // A router that has just begun to learn may hear of them any moment.
    for learning_ms in [None, Some(0)] {
        let new = Case { learning_ms, ..gone };
        assert!(wait::limit_ms(&new) >= LEARN_MS, "{new:?}");
    }
}

#[test]
fn the_first_document_is_waited_for_within_a_share_of_the_time() {
    assert_eq!(wait::first_document_ms(u64::MAX), LEARN_MS);
    assert!(wait::first_document_ms(1_500) <= 500);
    assert_eq!(wait::first_document_ms(0), 0);
}
