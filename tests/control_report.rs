//! The ledger of outcomes and its reports.

mod control_fakes;

use control_fakes::{Fault, Group, answer, client, owner, request};
use fescuebay::control::commands::{Command, Outcome};
use fescuebay::control::outcomes::{self, Collector, Hour, Promise, Tally, Waited};
use fescuebay::control::{queries, records};
use fescuebay::report::{COLUMNS, Exception, Format, Html, Input, Json, Report, Span, Text};

const HOUR_MS: u64 = 3_600_000;

fn add(group: &Group, daemon: u64, incarnation: u64, batch: outcomes::Batch) {
    let sequence = batch.sequence;
    let add = outcomes::Command::Add { owner: owner(daemon, incarnation), batch };
    let outcome = group.commit(Command::Outcomes(Box::new(add)));
    assert_eq!(outcome, Outcome::Outcomes(outcomes::Outcome::Added { sequence }));
}

fn hours(group: &Group, from_ms: u64, to_ms: u64) -> Vec<Hour> {
    let query = outcomes::Query::Hours { from_ms, to_ms };
    match group.ask(queries::Query::Outcomes(query)) {
        queries::Answer::Outcomes(hours) => hours,
        other => panic!("{other:?}"),
    }
}

fn whole(group: &Group) -> Tally {
    let mut tally = Tally::default();
    hours(group, 0, u64::MAX).iter().for_each(|hour| tally.add(&hour.tally));
    tally
}

#[test]
fn a_batch_that_is_sent_again_counts_once() {
    let group = Group::new();
    let collector = Collector::default();
    assert_eq!(collector.batch(), None);
    collector.count(|tally| tally.answered += 3);
    let first = collector.batch().unwrap();
    collector.count(|tally| tally.answered += 4);
    for _ in 0..3 {
        assert_eq!(collector.batch(), Some(first.clone()), "not committed yet");
        add(&group, 1, 1, first.clone());
        group.change_leader();
    }
    assert_eq!(whole(&group).answered, 3);
    collector.committed(first.sequence);
    let second = collector.batch().unwrap();
    add(&group, 1, 1, second.clone());
    add(&group, 1, 1, first); // late
    assert_eq!(whole(&group).answered, 7);
    add(&group, 2, 1, second.clone()); // of another daemon
    add(&group, 1, 2, outcomes::Batch { sequence: 1, ..second }); // of the next life
    assert_eq!(whole(&group).answered, 15);
}

#[tokio::test(start_paused = true)]
async fn what_a_daemon_counts_is_committed_once_through_lost_outcomes_and_when_it_leaves() {
    let group = Group::new();
    let collector: &'static Collector = Box::leak(Box::default());
    let (leaving, left) = tokio::sync::watch::channel(false);
    let log = std::sync::Arc::clone(&group) as std::sync::Arc<dyn fescuebay::control::port::Log>;
    let commits = tokio::spawn(outcomes::commit::run(log, owner(1, 1), collector, left));
    collector.count(|tally| tally.answered += 1);
    group.script([Fault::LostAfter, Fault::NotProposed, Fault::LostBefore, Fault::LostAfter]);
    tokio::time::sleep(std::time::Duration::from_secs(60)).await;
    assert_eq!(whole(&group).answered, 1);
    collector.count(|tally| tally.answered += 10);
    leaving.send(true).unwrap();
    commits.await.unwrap();
    assert_eq!(whole(&group).answered, 11);
}

#[test]
fn hours_are_kept_apart_for_eight_days_and_stay_small() {
    let group = Group::new();
    for hour in 0..400_u64 {
        let mut tally = Tally::default();
        for check in 0..1_000 {
            let held = if check == 7 { Err("x".repeat(5_000)) } else { Ok(()) };
            tally.check(group.now_ms(), Promise::AtMostOnce, held);
            tally.refuse(&format!("code-{check}"), 1);
            let (tenant, class) = ("dorado".parse().unwrap(), "quote".parse().unwrap());
            tally.waited(Waited { wait_ms: check, tenant, class });
        }
        add(&group, 1, 1, outcomes::Batch { sequence: hour + 1, tally });
        group.pass(HOUR_MS);
    }
    let kept = hours(&group, 0, u64::MAX);
    assert!((190..=193).contains(&kept.len()), "{} hours", kept.len());
    let counted: u64 = kept[0].tally.refused.iter().map(|refused| refused.count).sum();
    assert_eq!((kept[0].tally.refused.len(), counted), (33, 1_000));
    assert_eq!(kept[0].tally.waits[0].wait_ms, 999);
    assert!(group.snapshot().len() < 256 << 10, "{} bytes", group.snapshot().len());
    let now_ms = group.now_ms();
    assert_eq!(hours(&group, now_ms - HOUR_MS, now_ms).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_call_that_is_answered_after_it_was_settled_as_not_run_is_a_breach() {
    let group = Group::new();
    let Ok(call) = begun(&group).await else { panic!("not begun") };
    group.daemon_gone(&owner(1, 1));
    let request = request("donkey-7");
    let (by, reason) = ("rosa".to_owned(), "nobody saw it run".to_owned());
    let settlement = records::Settlement { ran: false, by, reason };
    let (tenant, key) = (request.tenant, request.key);
    group.commit(Command::Records(records::Command::Settle { tenant, key, settlement }));
    let _ = call.answered(&answer("donkey-7")).await;
    let count = &whole(&group).promises[Promise::AtMostOnce.place()];
    assert_eq!((count.checks, count.breaches), (1, 1));
    assert_eq!(
        count.first.as_ref().unwrap().reason,
        "a call of santuario was settled as not run, then answered"
    );
}

type Dispatched = fescuebay::control::once::Call<fescuebay::control::once::Dispatched>;

async fn begun(group: &std::sync::Arc<Group>) -> Result<Dispatched, ()> {
    let begin = client(group, 1, 1).begin(request("donkey-7"), records::Nonce(1)).await;
    match begin {
        fescuebay::control::once::Begin::Go(call) => Ok(call.dispatch()),
        _ => Err(()),
    }
}

fn input(now_ms: u64) -> Input {
    let mut tally = Tally::default();
    for promise in Promise::ALL {
        tally.check(now_ms, promise, Ok(()));
    }
    let reason = "gold-leaf order 77 ran at runner-3 and at runner-5 <twice>";
    tally.check(now_ms, Promise::AtMostOnce, Err(reason.to_owned()));
    tally.answered = 1_234;
    tally.refuse("not-in-time", 7);
    tally.refuse("queue-full", 30);
    tally.cold_start(8_200);
    tally.idle_accelerator_ms = 11_520_000;
    let tenant = "a-tenant-with-quite-a-long-name".parse().unwrap();
    tally.waited(Waited { wait_ms: 61_000, tenant, class: "restoration-report".parse().unwrap() });
    let exception = |what: &str, until_ms| Exception {
        what: what.to_owned(),
        reason: "the evening class reads only after supper, says Inés".to_owned(),
        until_ms,
    };
    Input {
        span: Span::Night,
        window: Span::Night.window(now_ms, 0),
        hours: vec![Hour { from_ms: now_ms - now_ms % HOUR_MS, tally }],
        unknown_calls: 2,
        closed_digests: 1,
        open_jobs: 5,
        exceptions: vec![
            exception("keep quill warm", None),
            exception("pin gilder-7 in lima-ate", Some(now_ms + 30 * HOUR_MS)),
            exception("forbid lima-surco", Some(now_ms + 2 * HOUR_MS)),
        ],
    }
}

#[test]
fn the_plain_text_fits_a_narrow_screen_and_says_what_did_not_hold_first() {
    let text = Text.render(&Report::new(input(200 * HOUR_MS)));
    for line in text.lines() {
        assert!(line.chars().count() <= COLUMNS, "too wide: {line:?}");
    }
    let expected = [
        "Last night. 1 promise did not hold.",
        "",
        "runs at most once              BROKEN 1x",
        "  first: gold-leaf order 77 ran at",
        "  runner-3 and at runner-5 <twice>",
        "replicas as decided                 held",
    ];
    assert_eq!(text.lines().take(6).collect::<Vec<_>>(), expected, "{text}");
    let soon = text.find("Exceptions that end soon").unwrap();
    let others = text.find("Other exceptions").unwrap();
    let place = |what: &str| text.find(what).unwrap();
    assert!(soon < place("forbid lima-surco") && place("forbid lima-surco") < others, "{text}");
    assert!(place("pin gilder-7") > others && place("keep quill warm") > others, "{text}");
    for line in
        ["refused queue-full                    30", "idle accelerators                  3.2 h"]
    {
        assert!(text.lines().any(|other| other == line), "{line:?} is missing in\n{text}");
    }
}

#[test]
fn no_line_is_too_wide_whatever_the_words() {
    let now_ms = 200 * HOUR_MS;
    for first in 1..45_usize {
        for second in 1..45_usize {
            let reason = format!("{} {}", "x".repeat(first), "y".repeat(second));
            let mut input = input(now_ms);
            let tally = &mut input.hours[0].tally;
            tally.check(now_ms, Promise::GracefulStop, Err(reason.clone()));
            input.exceptions[0].what = reason;
            let text = Text.render(&Report::new(input));
            let widest = text.lines().map(|line| line.chars().count()).max();
            assert!(widest <= Some(COLUMNS), "words of {first} and {second}:\n{text}");
        }
    }
}

#[test]
fn an_empty_ledger_claims_nothing() {
    let mut input = input(200 * HOUR_MS);
    input.hours.clear();
    let report = Report::new(input);
    assert!(Text.render(&report).starts_with("Last night. Nothing was checked.\n"));
    assert!(report.lines.iter().all(|line| line.verdict() == "not checked"));
}

#[test]
fn the_page_is_small_and_escapes_what_it_shows() {
    let page = Html.render(&Report::new(input(200 * HOUR_MS)));
    assert!(page.len() < 8 << 10, "{} bytes", page.len());
    assert!(page.contains("at runner-5 &lt;twice&gt;") && !page.contains("<twice>"));
    assert!(!page.contains("<script") && !page.contains("src="));
}

#[test]
fn the_json_holds_every_count() {
    let json = Json.render(&Report::new(input(200 * HOUR_MS)));
    let value: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(value["lines"][0]["promise"], "at_most_once");
    assert_eq!(value["lines"][0]["breaches"], 1);
    assert_eq!(value["refused"][0]["code"], "queue-full");
    assert_eq!(value["ending_soon"][0]["what"], "forbid lima-surco");
    assert_eq!(value["idle_accelerator_ms"], 11_520_000);
}
