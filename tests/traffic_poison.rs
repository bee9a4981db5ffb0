//! Suspected poison requests: a trial is requested before they are sent, and broken calls are
//! recorded.

mod traffic_support;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use fescuebay::ids::{Digest, TargetId};
use fescuebay::traffic::poison::{
    BrokenCall, ClosedDigest, PoisonRecords, SuspectAttempt, TrialDecision,
};
use futures::future::BoxFuture;
use traffic_support::{Bench, Fake, Script, inference};

/// Poison records with scripted trial decisions, which log the calls made to them in order.
#[derive(Default)]
struct Records {
    decisions: Mutex<VecDeque<TrialDecision>>,
    is_suspect_listed: bool,
    log: Arc<Mutex<Vec<String>>>,
}

impl Records {
    fn with_decisions(decisions: &[TrialDecision]) -> Arc<Self> {
        Arc::new(Self {
            decisions: Mutex::new(decisions.iter().copied().collect()),
            ..Self::default()
        })
    }

    fn logged(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    fn append(&self, line: String) {
        self.log.lock().unwrap().push(line);
    }
}

impl PoisonRecords for Records {
    fn find_closed(&self, _digest: &Digest) -> Option<ClosedDigest> {
        None
    }

    fn is_suspect(&self, _digest: &Digest) -> bool {
        self.is_suspect_listed
    }

    fn record_target_death(&self, _target: &TargetId, _digests: &[Digest]) {}

    fn record_broken_call(&self, call: BrokenCall) {
        self.append(format!("broke at {}", call.target));
    }

    fn request_trial(&self, suspect: SuspectAttempt) -> BoxFuture<'static, TrialDecision> {
        let before: Vec<_> = suspect.broken.iter().map(|call| call.target.to_string()).collect();
        self.append(format!("may it run after {before:?}"));
        let said = self.decisions.lock().unwrap().pop_front().unwrap_or(TrialDecision::Granted);
        Box::pin(std::future::ready(said))
    }

    fn end_trial(&self, _digest: &Digest, _trial: u64, is_answered: bool) {
        self.append(format!("trial over, answered: {is_answered}"));
    }
}

/// Three targets that share one list of scripts.
fn bench(records: &Arc<Records>, scripts: Vec<Script>) -> Bench {
    let names = ["runner-1", "runner-2", "runner-3"];
    let fakes = names.iter().map(|name| Fake::new(name, &["quill"], &[], Script::events(4)));
    let fakes = Fake::in_common(fakes.collect(), scripts, Vec::new());
    let records = records.clone();
    Bench::with(fakes, |builder| builder.poison(records))
}

#[tokio::test(start_paused = true)]
async fn a_broken_call_is_recorded_before_its_request_is_retried() {
    let records = Records::with_decisions(&[]);
    let bench = bench(&records, vec![Script::dies_before_head()]);
    assert_eq!(bench.ask(inference(false)).await.status, 200);
    let log = records.logged();
    assert_eq!(log.len(), 3, "{log:?}");
    let at = log[0].strip_prefix("broke at ").unwrap();
    assert_eq!(log[1], format!("may it run after [{at:?}]"));
    assert_eq!(log[2], "trial over, answered: true");
}

/// While another suspect runs at a target, a denied trial must not use up an attempt or fail the
/// request.
#[tokio::test(start_paused = true)]
async fn a_suspect_requests_trials_until_one_is_granted() {
    let records = Records::with_decisions(&[TrialDecision::Elsewhere; 7]);
    let bench = bench(&records, vec![Script::dies_before_head()]);
    assert_eq!(bench.ask(inference(false)).await.status, 200);
    let asked = records.logged().iter().filter(|line| line.starts_with("may it")).count();
    assert_eq!(asked, 8);
    assert_eq!(bench.written(), 2, "a trial that was not granted reaches no target");
    bench.check_nothing_left("a suspect that waited");
}

#[tokio::test(start_paused = true)]
async fn a_request_closed_during_its_retry_is_refused_and_may_have_run() {
    let records = Records::with_decisions(&[TrialDecision::Closed]);
    let bench = bench(&records, vec![Script::dies_before_head()]);
    let reply = bench.ask(inference(false)).await;
    assert_eq!(
        (reply.field("code"), reply.field("ran")),
        ("poison-suspect".into(), "maybe".into())
    );
    assert_eq!(bench.written(), 1);
    bench.check_nothing_left("a closed request");
}

/// A suspect recorded by another router is sent here for the first time, so nothing has run here.
#[tokio::test(start_paused = true)]
async fn a_suspect_of_another_router_needs_a_trial_for_its_first_attempt() {
    let decisions = Mutex::new([TrialDecision::Closed].into());
    let records = Arc::new(Records { decisions, is_suspect_listed: true, ..Records::default() });
    let bench = bench(&records, Vec::new());
    let reply = bench.ask(inference(false)).await;
    assert_eq!((reply.field("code"), reply.field("ran")), ("poison-suspect".into(), "no".into()));
    assert_eq!(bench.written(), 0);
    assert_eq!(bench.ask(inference(false)).await.status, 200);
    bench.check_nothing_left("a suspect of another router");
}
