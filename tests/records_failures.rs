//! Calls that run at most once, under the failures that they meet.

mod control_fakes;

use std::sync::Arc;

use bytes::Bytes;
use control_fakes::{Application, Behaviour, Fault, Group, answer, client, owner, request};
use fescuebay::control::answer::{Answer, Body};
use fescuebay::control::commands::{Command, Limits, Outcome};
use fescuebay::control::once::{Begin, Ended, Refusal};
use fescuebay::control::records::{self, Begun, Cause, Nonce, Settled, Settlement};
use fescuebay::ids::Digest;

const KEY: &str = "donkey-7";
const DAY_MS: u64 = 24 * 3_600_000;

/// Sends the call through a daemon, as a caller does.
async fn send(
    group: &Arc<Group>,
    application: &Arc<Application>,
    daemon: u64,
    nonce: u64,
) -> Ended {
    send_to(group, application, daemon, nonce, Behaviour::Answers).await
}

async fn send_to(
    group: &Arc<Group>,
    application: &Arc<Application>,
    daemon: u64,
    nonce: u64,
    behaviour: Behaviour,
) -> Ended {
    let application = Arc::clone(application);
    let dispatch = move || async move { application.run(KEY, behaviour) };
    client(group, daemon, 1).run(request(KEY), Nonce(nonce), dispatch).await
}

/// Where a daemon dies in the middle of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gap {
    CommitAndDispatch,
    DispatchAndAnswer,
    AnswerAndRecord,
}

#[tokio::test(start_paused = true)]
async fn a_daemon_killed_in_any_gap_leaves_a_call_that_never_runs_again() {
    let gaps =
        [(Gap::CommitAndDispatch, 0), (Gap::DispatchAndAnswer, 1), (Gap::AnswerAndRecord, 1)];
    for (gap, executions) in gaps {
        for is_leader_changed in [false, true] {
            let (group, application) = (Group::new(), Application::new());
            let Begin::Go(call) = client(&group, 1, 1).begin(request(KEY), Nonce(1)).await else {
                panic!("{gap:?}: not begun");
            };
            if gap != Gap::CommitAndDispatch {
                let call = call.dispatch();
                let behaviour = match gap {
                    Gap::AnswerAndRecord => Behaviour::Answers,
                    _ => Behaviour::DiesAfter,
                };
                assert_eq!(application.run(KEY, behaviour).is_ok(), gap == Gap::AnswerAndRecord);
                drop(call);
            }
            if is_leader_changed {
                group.change_leader();
            }
            // The daemon is dead; until that is known, its call counts as under way.
            let resent = send(&group, &application, 2, 2).await;
            assert!(
                matches!(resent, Ended::Known(Begun::InProgress { .. })),
                "{gap:?}: {resent:?}"
            );
            group.daemon_gone(&owner(1, 1));
            for nonce in 3..6 {
                let resent = send(&group, &application, 2, nonce).await;
                let is_honest = matches!(
                    resent,
                    Ended::Known(Begun::MayHaveRun { cause: Cause::DaemonGone, .. })
                );
                assert!(is_honest, "{gap:?}, leader changed {is_leader_changed}: {resent:?}");
                group.change_leader();
            }
            assert_eq!(application.executions(KEY), executions, "{gap:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn faults_of_the_log_while_a_call_begins() {
    use Fault::{LostAfter, LostBefore, NotProposed};
    let cases: [(&str, &[Fault], bool); 7] = [
        ("no quorum", &[NotProposed], false),
        ("outcome lost", &[LostAfter], true),
        ("command lost", &[LostBefore], true),
        ("outcome lost twice", &[LostAfter, LostAfter], true),
        ("then no quorum", &[LostAfter, NotProposed, LostAfter], false),
        ("all lost", &[LostBefore, LostBefore, LostBefore], false),
        ("all outcomes lost", &[LostAfter, LostAfter, LostAfter], false),
    ];
    for (name, faults, is_run) in cases {
        let (group, application) = (Group::new(), Application::new());
        group.script(faults.iter().copied());
        let ended = send(&group, &application, 1, 1).await;
        let expected =
            if is_run { Ended::Answered(answer(KEY)) } else { Ended::Refused(Refusal::NoCommit) };
        assert_eq!(ended, expected, "{name}");
        assert_eq!(application.executions(KEY), u32::from(is_run), "{name}");
        // What was refused was released as well, so that the caller's next try runs.
        tokio::time::sleep(std::time::Duration::from_secs(30)).await;
        assert_eq!(group_send_again(&group, &application).await, answer(KEY), "{name}");
        assert_eq!(application.executions(KEY), 1, "{name}");
    }
}

async fn group_send_again(group: &Arc<Group>, application: &Arc<Application>) -> Answer {
    match send(group, application, 2, 9).await {
        Ended::Answered(answer) | Ended::Known(Begun::Answered(answer)) => answer,
        other => panic!("the next try was not answered: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_record_that_is_committed_after_its_call_was_given_up_runs_nothing() {
    let (group, application) = (Group::new(), Application::new());
    group.script([Fault::Late, Fault::LostBefore, Fault::Late]);
    let ended = send(&group, &application, 1, 1).await;
    assert_eq!(ended, Ended::Refused(Refusal::NoCommit));
    tokio::time::sleep(std::time::Duration::from_secs(30)).await;
    group.commit_late();
    assert_eq!(group_send_again(&group, &application).await, answer(KEY));
    assert_eq!(application.executions(KEY), 1);
}

#[tokio::test(start_paused = true)]
async fn faults_of_the_log_while_a_call_ends() {
    use Fault::{LostAfter, LostBefore, None, NotProposed};
    let endings = [
        (Behaviour::Answers, Ended::Answered(answer(KEY)), 1),
        (Behaviour::DiesAfter, Ended::Unknown(Cause::TargetLost), 1),
        (Behaviour::DiesBefore, Ended::Unknown(Cause::TargetLost), 0),
        (Behaviour::Unreachable, Ended::Released, 0),
    ];
    for (behaviour, expected, executions) in endings {
        for fault in [None, NotProposed, LostBefore, LostAfter] {
            let (group, application) = (Group::new(), Application::new());
            group.script([None, fault]);
            let ended = send_to(&group, &application, 1, 1, behaviour).await;
            assert_eq!(ended, expected, "{behaviour:?} {fault:?}");
            group.change_leader();
            let resent = send_to(&group, &application, 2, 2, behaviour).await;
            let known = match &expected {
                Ended::Answered(answer) => Ended::Known(Begun::Answered(answer.clone())),
                Ended::Unknown(cause) => {
                    Ended::Known(Begun::MayHaveRun { since_ms: 1_000_000, cause: *cause })
                }
                other => other.clone(),
            };
            assert_eq!(resent, known, "{behaviour:?} {fault:?}");
            assert_eq!(application.executions(KEY), executions, "{behaviour:?} {fault:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_key_runs_once_however_many_daemons_get_it_in_one_instant() {
    for calls in [2, 1_000] {
        let (group, application) = (Group::new(), Application::new());
        let sends = (0..calls).map(|nonce| {
            let (group, application) = (Arc::clone(&group), Arc::clone(&application));
            tokio::spawn(async move { send(&group, &application, nonce % 9, nonce).await })
        });
        let mut answered = 0;
        for ended in futures::future::join_all(sends).await {
            match ended.unwrap() {
                Ended::Answered(_) => answered += 1,
                Ended::Known(Begun::InProgress { .. } | Begun::Answered(_)) => {}
                other => panic!("{other:?}"),
            }
        }
        assert_eq!((answered, application.executions(KEY)), (1, 1), "{calls} calls");
    }
}

#[tokio::test(start_paused = true)]
async fn a_full_disk_refuses_every_call_and_runs_none() {
    let (group, application) = (Group::new(), Application::new());
    group.script([Fault::NotProposed; 100]);
    for nonce in 0..100 {
        let ended = send(&group, &application, 1, nonce).await;
        assert_eq!(ended, Ended::Refused(Refusal::NoCommit));
    }
    assert_eq!(application.executions(KEY), 0);
    assert_eq!(send(&group, &application, 1, 100).await, Ended::Answered(answer(KEY)));
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_is_too_large_reaches_its_caller_whole_and_is_kept_by_its_digest() {
    let group = Group::new();
    let body = Bytes::from(vec![b'x'; 5_000]);
    let whole = Answer::new(201, "text/plain", body.clone());
    let dispatched = whole.clone();
    let dispatch = move || async move { Ok(dispatched) };
    let ended = client(&group, 1, 1).run(request(KEY), Nonce(1), dispatch).await;
    assert_eq!(ended, Ended::Answered(whole));
    let resent = send(&group, &Application::new(), 2, 2).await;
    let Ended::Known(Begun::Answered(kept)) = resent else { panic!("{resent:?}") };
    let too_large = Body::TooLarge { digest: Digest::of(&[&body]), length_bytes: 5_000 };
    assert_eq!((kept.status, kept.body), (201, too_large));
}

#[tokio::test(start_paused = true)]
async fn another_request_under_a_known_key_is_not_run() {
    for behaviour in [Behaviour::Answers, Behaviour::DiesAfter] {
        let (group, application) = (Group::new(), Application::new());
        send_to(&group, &application, 1, 1, behaviour).await;
        let mut other = request(KEY);
        other.digest = Digest::of(&[b"another donkey"]);
        let dispatch = || async { panic!("it was dispatched") };
        let ended = client(&group, 2, 1).run(other, Nonce(2), dispatch).await;
        assert_eq!(ended, Ended::Known(Begun::Mismatch), "{behaviour:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_key_past_its_retention_is_refused() {
    let (group, application) = (Group::new(), Application::new());
    send(&group, &application, 1, 1).await;
    // First the record has expired but is still there, then it is swept away.
    for _ in 0..3 {
        group.set_clock(group.now_ms() + DAY_MS);
        assert_eq!(send(&group, &application, 2, 2).await, Ended::Known(Begun::Expired));
        group.pass(60_000);
        group.change_leader();
    }
    assert_eq!(group.ask_records(records::Query::Count), records::View::Count(0));
    assert_eq!(application.executions(KEY), 1);
}

#[tokio::test(start_paused = true)]
async fn steps_of_the_clock_end_no_retention_and_free_no_key() {
    let (group, application) = (Group::new(), Application::new());
    send(&group, &application, 1, 1).await;
    let start_ms = group.now_ms();
    for clock_ms in [0, start_ms - 500_000, start_ms + 1_000, 5] {
        group.set_clock(clock_ms);
        group.commit(Command::Tick);
        let resent = send(&group, &application, 2, 2).await;
        assert_eq!(resent, Ended::Known(Begun::Answered(answer(KEY))), "at {clock_ms}");
    }
    // A step ahead may end retentions; the keys stay refused.
    group.set_clock(start_ms + 2 * DAY_MS);
    assert_eq!(send(&group, &application, 2, 3).await, Ended::Known(Begun::Expired));
    assert_eq!(application.executions(KEY), 1);
}

#[tokio::test(start_paused = true)]
async fn a_store_that_is_full_refuses_at_the_door() {
    let cases = [
        (records::Limits { max_records: 1, ..Default::default() }, Begun::Full),
        (records::Limits { max_records_per_tenant: 1, ..Default::default() }, Begun::TenantFull),
    ];
    for (limits, expected) in cases {
        let (group, application) = (Group::new(), Application::new());
        group
            .commit(Command::SetLimits(Box::new(Limits { records: limits, ..Default::default() })));
        send(&group, &application, 1, 1).await;
        for leader in 0..2 {
            let dispatch = || async { panic!("it was dispatched") };
            let ended = client(&group, 1, 1).run(request("donkey-8"), Nonce(2), dispatch).await;
            assert_eq!(ended, Ended::Known(expected.clone()), "leader {leader}");
            group.change_leader();
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_operator_settles_a_call_that_may_have_run() {
    for ran in [true, false] {
        let (group, application) = (Group::new(), Application::new());
        send_to(&group, &application, 1, 1, Behaviour::DiesBefore).await;
        let settle = |reason: &str| {
            let settlement = Settlement { ran, by: "rosa".to_owned(), reason: reason.to_owned() };
            let request = request(KEY);
            let command = records::Command::Settle {
                tenant: request.tenant,
                key: request.key,
                settlement: settlement.clone(),
            };
            (group.commit(Command::Records(command)), settlement)
        };
        let (outcome, _) = settle("  ");
        assert_eq!(outcome, Outcome::Records(records::Outcome::Settled(Settled::NoReason)));
        let (outcome, settlement) = settle("looked it up at the adoption desk");
        assert_eq!(outcome, Outcome::Records(records::Outcome::Settled(Settled::Done)));
        let (outcome, _) = settle("a second word");
        assert_eq!(outcome, Outcome::Records(records::Outcome::Settled(Settled::NotUnknown)));
        let resent = send(&group, &application, 2, 2).await;
        let expected = if ran {
            Ended::Known(Begun::Settled(settlement))
        } else {
            Ended::Answered(answer(KEY))
        };
        assert_eq!(resent, expected);
        assert_eq!(application.executions(KEY), u32::from(!ran));
    }
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_counts_as_gone_begins_no_call() {
    let (group, application) = (Group::new(), Application::new());
    group.daemon_gone(&owner(1, 1));
    assert_eq!(send(&group, &application, 1, 1).await, Ended::Known(Begun::OwnerGone));
    assert_eq!(application.executions(KEY), 0);
    let next_life = client(&group, 1, 2).begin(request(KEY), Nonce(2)).await;
    assert!(matches!(next_life, Begin::Go(_)), "{next_life:?}");
}

#[tokio::test(start_paused = true)]
async fn a_call_without_an_end_comes_to_count_as_one_that_may_have_run() {
    let (group, application) = (Group::new(), Application::new());
    let begun = client(&group, 1, 1).begin(request(KEY), Nonce(1)).await;
    assert!(matches!(begun, Begin::Go(_)));
    for _ in 0..2 {
        group.set_clock(group.now_ms() + 3_600_000);
        let resent = send(&group, &application, 2, 2).await;
        let is_honest =
            matches!(resent, Ended::Known(Begun::MayHaveRun { cause: Cause::NoReport, .. }));
        assert!(is_honest, "{resent:?}");
        group.pass(60_000);
    }
    assert_eq!(application.executions(KEY), 0);
}
