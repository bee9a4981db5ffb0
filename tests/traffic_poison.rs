//! Suspects on their way through a router: asked about before they are sent, and told of.

mod traffic_support;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use fescuebay::ids::{Digest, TargetId};
use fescuebay::traffic::poison::{
    BrokenCall, ClosedDigest, PoisonRecords, SuspectAttempt, TrialDecision,
};
use futures::future::BoxFuture;
use traffic_support::{Bench, Fake, Script, inference};

/// Records that say what a test wants, and keep what they were told in order.
#[derive(Default)]
struct Records {
    says: Mutex<VecDeque<TrialDecision>>,
    is_listed: bool,
    told: Arc<Mutex<Vec<String>>>,
}

impl Records {
    fn saying(says: &[TrialDecision]) -> Arc<Self> {
        Arc::new(Self { says: Mutex::new(says.iter().copied().collect()), ..Self::default() })
    }

    fn told(&self) -> Vec<String> {
        self.told.lock().unwrap().clone()
    }

    fn note(&self, line: String) {
        self.told.lock().unwrap().push(line);
    }
}

impl PoisonRecords for Records {
    fn find_closed(&self, _digest: &Digest) -> Option<ClosedDigest> {
        None
    }

    fn is_suspect(&self, _digest: &Digest) -> bool {
        self.is_listed
    }

    fn record_target_death(&self, _target: &TargetId, _digests: &[Digest]) {}

    fn record_broken_call(&self, call: BrokenCall) {
        self.note(format!("broke at {}", call.target));
    }

    fn request_trial(&self, suspect: SuspectAttempt) -> BoxFuture<'static, TrialDecision> {
        let before: Vec<_> = suspect.broken.iter().map(|call| call.target.to_string()).collect();
        self.note(format!("may it run after {before:?}"));
        let said = self.says.lock().unwrap().pop_front().unwrap_or(TrialDecision::Granted);
        Box::pin(std::future::ready(said))
    }

    fn end_trial(&self, _digest: &Digest, _trial: u64, is_answered: bool) {
        self.note(format!("trial over, answered: {is_answered}"));
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
async fn a_broken_call_is_on_record_before_it_is_tried_again() {
    let records = Records::saying(&[]);
    let bench = bench(&records, vec![Script::dies_before_head()]);
    assert_eq!(bench.ask(inference(false)).await.status, 200);
    let told = records.told();
    assert_eq!(told.len(), 3, "{told:?}");
    let at = told[0].strip_prefix("broke at ").unwrap();
    assert_eq!(told[1], format!("may it run after [{at:?}]"));
    assert_eq!(told[2], "trial over, answered: true");
}

/// A target that is taken by another suspect costs the request no attempt and no caller an answer.
#[tokio::test(start_paused = true)]
async fn a_suspect_goes_on_asking_until_a_target_is_open_to_it() {
    let records = Records::saying(&[TrialDecision::Elsewhere; 7]);
    let bench = bench(&records, vec![Script::dies_before_head()]);
    assert_eq!(bench.ask(inference(false)).await.status, 200);
    let asked = records.told().iter().filter(|line| line.starts_with("may it")).count();
    assert_eq!(asked, 8);
    assert_eq!(bench.written(), 2, "a trial that was not granted reaches no target");
    bench.check_nothing_left("a suspect that waited");
}

#[tokio::test(start_paused = true)]
async fn a_request_that_is_closed_meanwhile_is_refused_and_may_have_run() {
    let records = Records::saying(&[TrialDecision::Closed]);
    let bench = bench(&records, vec![Script::dies_before_head()]);
    let reply = bench.ask(inference(false)).await;
    assert_eq!(
        (reply.field("code"), reply.field("ran")),
        ("poison-suspect".into(), "maybe".into())
    );
    assert_eq!(bench.written(), 1);
    bench.check_nothing_left("a closed request");
}

/// Another router's suspect, resent here: nothing of it has run here.
#[tokio::test(start_paused = true)]
async fn a_suspect_of_another_router_is_asked_about_first() {
    let says = Mutex::new([TrialDecision::Closed].into());
    let records = Arc::new(Records { says, is_listed: true, ..Records::default() });
    let bench = bench(&records, Vec::new());
    let reply = bench.ask(inference(false)).await;
    assert_eq!((reply.field("code"), reply.field("ran")), ("poison-suspect".into(), "no".into()));
    assert_eq!(bench.written(), 0);
    assert_eq!(bench.ask(inference(false)).await.status, 200);
    bench.check_nothing_left("a suspect of another router");
}
