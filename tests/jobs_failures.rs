//! Durable jobs under the failures that they meet, at the state machine.

mod control_fakes;

use std::sync::Arc;

use bytes::Bytes;
use control_fakes::{Group, answer, owner};
use fescuebay::control::answer::Body;
use fescuebay::control::commands::{Command, Limits, Outcome};
use fescuebay::control::jobs::{
    self, Cancelled, Completed, End, Failure, Grant, Reason, Renewal, RunStatus, Submission,
    Submitted,
};
use fescuebay::control::{outcomes, queries};
use fescuebay::ids::{Digest, JobId};

const LEASE_MS: u64 = 30_000;

fn job_id(name: &str) -> JobId {
    name.parse().unwrap()
}

fn submission(name: &str, rank: u8, deadline_ms: u64) -> Submission {
    Submission {
        id: job_id(name),
        tenant: "dorado".parse().unwrap(),
        class: "restoration-report".parse().unwrap(),
        rank,
        deadline_ms,
        min_run_ms: 5_000,
        max_answer_bytes: 1_000,
        digest: Digest::of(&[name.as_bytes()]),
        work: jobs::Work {
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            content_type: "application/json".into(),
            body: Bytes::from_static(b"{\"prompt\":\"the bell tower\"}"),
            model: Some("quill".parse().unwrap()),
            is_idempotent: true,
        },
    }
}

fn apply(group: &Group, command: jobs::Command) -> jobs::Outcome {
    match group.commit(Command::Jobs(command)) {
        Outcome::Jobs(outcome) => outcome,
        other => panic!("not an outcome of jobs: {other:?}"),
    }
}

fn submit(group: &Group, submission: Submission) -> Submitted {
    match apply(group, jobs::Command::Submit(Box::new(submission))) {
        jobs::Outcome::Submitted(submitted) => submitted,
        other => panic!("{other:?}"),
    }
}

fn lease(group: &Group, daemon: u64, max_jobs: usize, nonce: u64) -> Vec<Grant> {
    let owner = owner(daemon, 1);
    match apply(group, jobs::Command::Lease { owner, max_jobs, nonce }) {
        jobs::Outcome::Leased(grants) => grants,
        other => panic!("{other:?}"),
    }
}

fn complete(group: &Group, name: &str, lease: u32, text: &str) -> Completed {
    let command = jobs::Command::Complete { id: job_id(name), lease, answer: answer(text) };
    completed(apply(group, command))
}

fn fail(group: &Group, name: &str, lease: u32, failure: Failure) -> Completed {
    completed(apply(group, jobs::Command::Fail { id: job_id(name), lease, failure }))
}

fn completed(outcome: jobs::Outcome) -> Completed {
    match outcome {
        jobs::Outcome::Completed(completed) => completed,
        other => panic!("{other:?}"),
    }
}

fn status(group: &Group, name: &str) -> jobs::Status {
    let query = jobs::Query::Job("dorado".parse().unwrap(), job_id(name));
    match group.ask_jobs(query) {
        jobs::View::Job(Some(row)) => row.status,
        other => panic!("{name}: {other:?}"),
    }
}

fn refused(reason: Reason, ran: RunStatus) -> jobs::Status {
    jobs::Status::Ended(End::Refused { reason, ran })
}

/// A group with one job that a daemon has leased.
fn leased_once() -> Arc<Group> {
    let group = Group::new();
    let deadline_ms = group.now_ms() + 10 * LEASE_MS;
    assert_eq!(submit(&group, submission("tower", 0, deadline_ms)), Submitted::Accepted);
    assert_eq!(lease(&group, 1, 8, 1).len(), 1);
    group
}

#[test]
fn jobs_are_leased_by_rank_then_deadline_then_order() {
    let group = Group::new();
    let soon_ms = group.now_ms() + 60_000;
    for (name, rank, deadline_ms) in [
        ("quote", 5, soon_ms),
        ("report-late", 0, soon_ms + 9_000),
        ("report-soon", 0, soon_ms),
        ("report-soon-2", 0, soon_ms),
    ] {
        submit(&group, submission(name, rank, deadline_ms));
        group.change_leader();
    }
    let order: Vec<String> =
        lease(&group, 1, 8, 1).iter().map(|grant| grant.submission.id.to_string()).collect();
    assert_eq!(order, ["report-soon", "report-soon-2", "report-late", "quote"]);
}

#[test]
fn a_lease_whose_outcome_was_lost_is_granted_again_under_its_nonce() {
    let group = leased_once();
    assert_eq!(lease(&group, 1, 8, 1).len(), 1, "the same command");
    assert_eq!(lease(&group, 1, 8, 2).len(), 0, "another command");
    assert_eq!(lease(&group, 2, 8, 1).len(), 0, "another daemon");
}

#[test]
fn a_job_is_run_again_when_its_daemon_is_lost() {
    let group = leased_once();
    group.daemon_gone(&owner(1, 1));
    assert_eq!(lease(&group, 1, 8, 2).len(), 0, "the daemon counts as gone");
    let grants = lease(&group, 2, 8, 3);
    assert_eq!((grants.len(), grants[0].lease), (1, 2));
}

#[test]
fn the_late_result_of_an_ended_lease_does_not_overwrite_and_runs_nothing_again() {
    // (which lease answers first, whether it answers before the second lease is granted)
    let cases = [(1, true), (1, false), (2, false)];
    for (first, is_before) in cases {
        let group = leased_once();
        group.pass(LEASE_MS + 1_000);
        assert_eq!(status(&group, "tower"), jobs::Status::Waiting);
        if !is_before {
            assert_eq!(lease(&group, 2, 8, 2).len(), 1);
        }
        let first_text = format!("first-{first}");
        assert_eq!(complete(&group, "tower", first, &first_text), Completed::Taken);
        group.change_leader();
        let second = 3 - first;
        assert_eq!(complete(&group, "tower", second, "second"), Completed::AlreadyEnded);
        assert_eq!(fail(&group, "tower", second, Failure::Lost), Completed::AlreadyEnded);
        let expected = jobs::Status::Ended(End::Answered(answer(&first_text)));
        assert_eq!(status(&group, "tower"), expected);
        group.pass(3 * LEASE_MS);
        assert_eq!(lease(&group, 3, 8, 3).len(), 0, "first {first}, before {is_before}");
    }
}

#[test]
fn a_failure_of_an_ended_lease_does_not_end_the_next() {
    let group = leased_once();
    group.pass(LEASE_MS + 1_000);
    lease(&group, 2, 8, 2);
    for failure in [Failure::TargetDied, Failure::Lost, Failure::NotRun] {
        assert_eq!(fail(&group, "tower", 1, failure), Completed::LeaseOver);
    }
    let renew = jobs::Command::Renew {
        owner: owner(1, 1),
        leases: vec![(job_id("tower"), 1), (job_id("tower"), 2)],
    };
    let over = jobs::Outcome::Renewed(vec![Renewal::Over, Renewal::Over]);
    assert_eq!(apply(&group, renew), over);
    assert_eq!(status(&group, "tower"), jobs::Status::Leased);
    assert_eq!(complete(&group, "tower", 3, "of a lease never granted"), Completed::LeaseOver);
}

#[test]
fn a_renewed_lease_lasts() {
    let group = leased_once();
    for _ in 0..4 {
        group.pass(LEASE_MS / 2);
        let leases = vec![(job_id("tower"), 1)];
        let renew = jobs::Command::Renew { owner: owner(1, 1), leases };
        let until = Renewal::Until(group.now_ms() + LEASE_MS);
        assert_eq!(apply(&group, renew), jobs::Outcome::Renewed(vec![until]));
        group.change_leader();
    }
    assert_eq!(status(&group, "tower"), jobs::Status::Leased);
}

#[test]
fn a_job_whose_runs_fail_ends_with_its_reason() {
    let refusal = Failure::Refused { reason: "no such service".to_owned(), ran: RunStatus::No };
    let refused_as = Reason::Refused("no such service".to_owned());
    let cases = [
        (vec![Failure::TargetDied; 2], refused(Reason::TargetsDied, RunStatus::Maybe)),
        (vec![Failure::Lost; 4], refused(Reason::LeasesLost, RunStatus::Maybe)),
        (vec![Failure::Lost, Failure::TargetDied], jobs::Status::Waiting),
        (vec![Failure::NotRun; 20], jobs::Status::Waiting),
        (vec![refusal.clone()], refused(refused_as.clone(), RunStatus::No)),
        (vec![Failure::Lost, refusal], refused(refused_as, RunStatus::Maybe)),
    ];
    for (failures, expected) in cases {
        let group = Group::new();
        submit(&group, submission("tower", 0, group.now_ms() + 10 * LEASE_MS));
        for (nonce, failure) in (1..).zip(&failures) {
            let grants = lease(&group, 1, 1, nonce);
            assert_eq!(grants.len(), 1, "{failures:?} at {nonce}");
            fail(&group, "tower", grants[0].lease, failure.clone());
            group.change_leader();
        }
        assert_eq!(status(&group, "tower"), expected, "{failures:?}");
    }
}

#[test]
fn a_job_that_cannot_be_done_in_time_is_refused_and_counted() {
    let group = Group::new();
    let now_ms = group.now_ms();
    assert_eq!(submit(&group, submission("door", 0, now_ms + 5_000)), Submitted::NotInTime);
    submit(&group, submission("waits", 1, now_ms + 20_000));
    submit(&group, submission("runs", 0, now_ms + 20_000));
    assert_eq!(lease(&group, 1, 1, 1)[0].submission.id, job_id("runs"));
    group.pass(16_000);
    assert_eq!(status(&group, "waits"), refused(Reason::NotInTime, RunStatus::No));
    assert_eq!(status(&group, "runs"), jobs::Status::Leased);
    group.pass(4_000);
    assert_eq!(status(&group, "runs"), refused(Reason::DeadlinePassed, RunStatus::Maybe));
    let query = outcomes::Query::Hours { from_ms: 0, to_ms: u64::MAX };
    let queries::Answer::Outcomes(hours) = group.ask(queries::Query::Outcomes(query)) else {
        panic!("not the ledger");
    };
    let refused: Vec<(&str, u64)> = hours[0]
        .tally
        .refused
        .iter()
        .map(|refused| (refused.code.as_str(), refused.count))
        .collect();
    assert_eq!(refused, [("job-deadline-passed", 1), ("job-not-in-time", 1)]);
}

#[test]
fn steps_of_the_clock_end_no_lease() {
    let group = leased_once();
    let start_ms = group.now_ms();
    for clock_ms in [0, start_ms - 900_000, start_ms + LEASE_MS - 1, 7] {
        group.set_clock(clock_ms);
        group.commit(Command::Tick);
        assert_eq!(status(&group, "tower"), jobs::Status::Leased, "at {clock_ms}");
    }
    assert_eq!(complete(&group, "tower", 1, "tower"), Completed::Taken);
}

#[test]
fn a_job_is_submitted_once_however_often_it_is_sent() {
    let group = leased_once();
    let deadline_ms = group.now_ms() + 10 * LEASE_MS;
    let again = submission("tower", 0, deadline_ms);
    assert_eq!(submit(&group, again.clone()), Submitted::Accepted);
    let mut other = again.clone();
    other.digest = Digest::of(&[b"other work"]);
    assert_eq!(submit(&group, other), Submitted::Mismatch);
    complete(&group, "tower", 1, "tower");
    assert_eq!(submit(&group, again), Submitted::Ended(End::Answered(answer("tower"))));
    assert_eq!(
        group.ask_jobs(jobs::Query::Count),
        jobs::View::Count { waiting: 0, leased: 0, all: 1 }
    );
}

#[test]
fn a_store_that_is_full_refuses_at_the_door() {
    // The room of one job's work and answer is 1,027 bytes.
    let default = jobs::Limits::default;
    let cases = [
        (jobs::Limits { max_jobs: 1, ..default() }, Submitted::Full),
        (jobs::Limits { max_bytes: 2_053, ..default() }, Submitted::Full),
        (jobs::Limits { max_bytes: 2_054, ..default() }, Submitted::Accepted),
        (jobs::Limits { max_jobs_per_tenant: 1, ..default() }, Submitted::TenantFull),
        (jobs::Limits { max_body_bytes: 999, ..default() }, Submitted::TooLarge),
    ];
    for (limits, expected) in cases {
        let group = leased_once();
        let limits = Limits { jobs: limits, ..Limits::default() };
        group.commit(Command::SetLimits(Box::new(limits.clone())));
        group.change_leader();
        let next = submission("next", 0, group.now_ms() + 60_000);
        assert_eq!(submit(&group, next), expected, "{limits:?}");
    }
}

#[test]
fn an_answer_finds_the_room_that_was_set_aside_for_it() {
    let group = leased_once();
    let jobs = jobs::Limits { max_bytes: 1_027, ..Default::default() };
    group.commit(Command::SetLimits(Box::new(Limits { jobs, ..Limits::default() })));
    let mut whole = answer("tower");
    whole.body = Body::Kept(Bytes::from(vec![b'x'; 1_000]));
    let id = job_id("tower");
    apply(&group, jobs::Command::Complete { id, lease: 1, answer: whole.clone() });
    assert_eq!(status(&group, "tower"), jobs::Status::Ended(End::Answered(whole)));
}

#[test]
fn a_cancelled_job_stays_cancelled() {
    for (is_leased, ran) in [(false, RunStatus::No), (true, RunStatus::Maybe)] {
        let group = Group::new();
        submit(&group, submission("tower", 0, group.now_ms() + 10 * LEASE_MS));
        if is_leased {
            lease(&group, 1, 1, 1);
        }
        let cancel = |tenant: &str| {
            let tenant = tenant.parse().unwrap();
            apply(&group, jobs::Command::Cancel { tenant, id: job_id("tower") })
        };
        assert_eq!(cancel("another"), jobs::Outcome::Cancelled(Cancelled::NotFound));
        let done = jobs::Outcome::Cancelled(Cancelled::Done { ran });
        assert_eq!(cancel("dorado"), done);
        assert_eq!(cancel("dorado"), done, "a resend");
        assert_eq!(complete(&group, "tower", 1, "late"), Completed::AlreadyEnded);
        assert_eq!(lease(&group, 2, 1, 2).len(), 0);
        assert_eq!(status(&group, "tower"), jobs::Status::Ended(End::Cancelled { ran }));
    }
}

#[test]
fn the_end_of_a_job_is_kept_for_its_retention_and_then_makes_room() {
    let group = leased_once();
    complete(&group, "tower", 1, "tower");
    let retention_ms = jobs::Limits::default().retention_ms;
    group.pass(retention_ms - 60_000);
    assert_eq!(status(&group, "tower"), jobs::Status::Ended(End::Answered(answer("tower"))));
    group.pass(120_000);
    assert_eq!(
        group.ask_jobs(jobs::Query::Count),
        jobs::View::Count { waiting: 0, leased: 0, all: 0 }
    );
}
