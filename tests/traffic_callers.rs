//! Behavior towards callers: malformed requests, disconnects, slow readers and waiting requests.

mod traffic_support;

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use fescuebay::ids::Incarnation;
use fescuebay::membership::table::Standing;
use fescuebay::traffic::limits::CallerLimits;
use futures::stream::StreamExt;
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep};
use traffic_support::{Bench, End, Fake, Reply, Script, inference, inference_of, post, settle};

fn one_target() -> Bench {
    Bench::new(vec![Fake::new("runner-1", &["quill"], &["adoption"], Script::events(20))])
}

#[tokio::test(start_paused = true)]
async fn invalid_requests_are_refused_with_their_code_and_not_run() {
    let deep = format!(r#"{{"model":"quill","x":{}{}}}"#, "[".repeat(80), "]".repeat(80));
    let large = format!(r#"{{"model":"quill","prompt":"{}"}}"#, "x".repeat(9 << 20));
    let over_class = format!(r#"{{"model":"quill","prompt":"{}"}}"#, "x".repeat(2 << 20));
    let path = "/v1/completions";
    let half = futures::stream::once(async { Ok::<_, std::io::Error>(Bytes::from("{")) })
        .chain(futures::stream::pending());
    let no_token = http::Request::post(path).body(Body::from("{}")).unwrap();
    let bad_header = |name: &str, value: &str| {
        let mut request = inference(false);
        let name = http::HeaderName::try_from(name).unwrap();
        request.headers_mut().insert(name, value.parse().unwrap());
        request
    };
    let cases = [
        (no_token, 401, "unauthorized"),
        (bad_header("authorization", "Basic secret"), 401, "unauthorized"),
        (bad_header("authorization", "Bearer wrong"), 401, "unauthorized"),
        (bad_header("fescuebay-deadline-ms", "soon"), 400, "malformed"),
        (bad_header("fescuebay-class", "a b"), 400, "malformed"),
        (post(path, "not json"), 400, "malformed"),
        (post(path, r#"{"prompt":"no model"}"#), 400, "malformed"),
        (post(path, b"{\"model\":\"\xff\"}".to_vec()), 400, "malformed-utf8"),
        (post(path, deep), 400, "too-deep"),
        (post(path, large), 413, "body-too-large"),
        (post(path, over_class), 413, "body-too-large"),
        (post(path, Body::from_stream(half)), 408, "slow-sender"),
        (inference_of("unknown", false), 404, "unknown-model"),
        (inference_of("quill:a b", false), 404, "unknown-model"),
        (post("/services/unknown/x", ""), 404, "unknown-service"),
        (post("/nowhere", ""), 404, "not-found"),
        (bad_header("fescuebay-deadline-ms", "0"), 504, "deadline-passed"),
    ];
    let bench = one_target();
    for (request, status, code) in cases {
        let started = Instant::now();
        let reply = bench.ask(request).await;
        assert!(started.elapsed() <= Duration::from_millis(15_100), "{code} took too long");
        let seen = (reply.status, reply.field("code"));
        assert_eq!(seen, (status, code.to_owned()), "{reply:?}");
        assert_eq!(reply.headers["content-type"], "application/problem+json", "{code}");
        assert_eq!(reply.headers["fescuebay-ran"], "no", "{code}");
        bench.check_nothing_left(code);
    }
    assert_eq!(bench.written(), 0);
    assert_eq!(bench.ask(inference(false)).await.status, 200, "the daemon is still up");
}

#[tokio::test(start_paused = true)]
async fn a_request_for_an_unloaded_model_waits_for_its_first_replica() {
    let fake = Fake::new("runner-1", &["quill"], &[], Script::events(3));
    let bench = Bench::new(vec![fake.clone()]);
    bench.publish(2, vec![]);
    let asked = bench.ask(inference(true));
    let loaded = async {
        sleep(Duration::from_millis(3000)).await;
        assert_eq!(bench.shared.inspect(|engine| engine.waiting()), 1);
        bench.publish(3, vec![fake.entry.clone()]);
    };
    let (reply, ()) = tokio::join!(asked, loaded);
    assert_eq!(reply.tokens().map(|tokens| tokens.len()), Some(3));
    bench.check_nothing_left("cold");
}

#[tokio::test(start_paused = true)]
async fn a_waiting_request_is_refused_by_its_deadline() {
    let bench = one_target();
    bench.publish(2, vec![]);
    let started = Instant::now();
    let reply = bench.ask(inference(false)).await;
    assert!(matches!(reply.field("code").as_str(), "not-in-time" | "deadline-passed"));
    assert_eq!(reply.field("ran"), "no");
    assert!(reply.headers.contains_key("retry-after"));
    assert!(started.elapsed() <= Duration::from_millis(10_050));
    bench.check_nothing_left("deadline");
}

#[tokio::test(start_paused = true)]
async fn a_leaving_target_gets_no_new_request_and_finishes_its_running_one() {
    let bench = one_target();
    let running = bench.send(inference(true)).await;
    let mut entry = bench.fakes[0].entry.clone();
    entry.standing = Standing::Leaving;
    bench.publish(2, vec![entry]);
    let mut request = inference(false);
    request.headers_mut().insert("fescuebay-deadline-ms", "500".parse().unwrap());
    let refused = bench.ask(request).await;
    assert_eq!((refused.status, refused.field("ran").as_str()), (503, "no"), "{refused:?}");
    assert_eq!(Reply::read(running).await.tokens().map(|t| t.len()), Some(20));
    assert_eq!(bench.fakes[0].calls(), 1);
    bench.check_nothing_left("leaving");
}

/// The state of a request when its caller disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DisconnectPoint {
    Queued,
    BeforeHead,
    MidStream,
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_disconnects_releases_its_resources() {
    for stage in [DisconnectPoint::Queued, DisconnectPoint::BeforeHead, DisconnectPoint::MidStream]
    {
        let script = match stage {
            DisconnectPoint::BeforeHead => Script::never_answers(),
            _ => Script::events(1000),
        };
        let fake = Fake::new("runner-1", &["quill"], &[], script);
        let bench = Bench::new(vec![fake.clone()]);
        if stage == DisconnectPoint::Queued {
            bench.publish(2, vec![]);
        }
        let asked = bench.ask(inference(true));
        let left = tokio::time::timeout(Duration::from_millis(500), asked).await;
        assert!(left.is_err(), "{stage:?}: it was answered before the caller left");
        settle().await;
        settle().await;
        bench.check_nothing_left(&format!("{stage:?}"));
        let expected = usize::from(stage != DisconnectPoint::Queued);
        assert_eq!(fake.cancelled(), expected, "{stage:?}: cancelled at the engine");
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_reader_applies_backpressure_and_gets_every_event() {
    let fake = Fake::new("runner-1", &["quill"], &[], Script::events(200).gap(1));
    let bench = Bench::new(vec![fake.clone()]);
    let mut body = bench.send(inference(true)).await.into_body();
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        frame.unwrap();
        read += 1;
        sleep(Duration::from_secs(1)).await;
        let ahead = fake.seen.lock().unwrap().produced - read.min(200);
        assert!(ahead <= 20, "{ahead} events are held for a slow reader");
    }
    assert_eq!(read, 201);
    bench.check_nothing_left("slow reader");
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_stops_reading_is_disconnected_after_the_timeout() {
    let fake = Fake::new("runner-1", &["quill"], &[], Script::events(200).gap(1));
    let bench = Bench::new(vec![fake.clone()]);
    let response = bench.send(inference(true)).await;
    sleep(Duration::from_millis(CallerLimits::default().stalled_reader_timeout_ms + 1000)).await;
    bench.check_nothing_left("stalled reader");
    assert_eq!(fake.cancelled(), 1);
    assert_eq!(Reply::read(response).await.tokens(), None, "it must not look whole");
}

#[tokio::test(start_paused = true)]
async fn a_silent_target_is_hedged_and_the_caller_is_answered_once() {
    for late_ms in [u64::MAX / 4, 400] {
        let fakes = ["runner-1", "runner-2"]
            .map(|name| Fake::new(name, &["quill"], &[], Script::events(4)));
        let bench = Bench::new(Fake::in_common(fakes.into(), vec![], vec![]));
        for _ in 0..20 {
            assert_eq!(bench.ask(inference(false)).await.status, 200);
        }
        // The first attempt gets no response, or one that arrives after the attempt was abandoned.
        bench.fakes[0].then([Script::events(4).head_after(late_ms)]);
        let started = Instant::now();
        let reply = bench.ask(inference(false)).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "t0t1t2t3"));
        assert!(started.elapsed() < Duration::from_millis(400), "{:?}", started.elapsed());
        assert_eq!(bench.written(), 22, "one attempt and one hedge");
        settle().await;
        assert_eq!(bench.fakes.iter().map(|fake| fake.cancelled()).sum::<usize>(), 1);
        bench.check_nothing_left("hedged");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_breaks_two_targets_is_closed() {
    let names = ["runner-1", "runner-2", "runner-3"];
    let fakes: Vec<_> =
        names.iter().map(|name| Fake::new(name, &["quill"], &[], Script::events(4))).collect();
    let bench = Bench::new(fakes);
    let poison = || post("/v1/completions", r#"{"model":"quill","prompt":"poison"}"#);
    bench.fakes.iter().for_each(|fake| drop(fake.then([Script::dies_before_head()])));
    assert_eq!(bench.ask(poison()).await.field("code"), "target-failed");
    let again = bench.ask(poison()).await;
    assert_eq!((again.field("code"), again.field("ran")), ("poison-suspect".into(), "no".into()));
    assert_eq!(bench.written(), 2, "at most two targets run it");
    let reply = bench.ask(inference(false)).await;
    assert_eq!(reply.status, 200, "other requests are answered: {reply:?}");
    bench.check_nothing_left("poison");
}

#[tokio::test(start_paused = true)]
async fn the_digests_in_flight_at_a_dead_target_are_recorded() {
    use fescuebay::ids::{Digest, TargetId};
    use fescuebay::traffic::poison::{
        BrokenCall, ClosedDigest, PoisonRecords, SuspectAttempt, TrialDecision,
    };
    use futures::future::BoxFuture;
    use std::sync::{Arc, Mutex};

    #[derive(Default)]
    struct DeathRecords(Mutex<Vec<(String, usize)>>);

    impl PoisonRecords for DeathRecords {
        fn find_closed(&self, _digest: &Digest) -> Option<ClosedDigest> {
            None
        }

        fn is_suspect(&self, _digest: &Digest) -> bool {
            false
        }

        fn record_target_death(&self, target: &TargetId, digests: &[Digest]) {
            self.0.lock().unwrap().push((target.to_string(), digests.len()));
        }

        fn record_broken_call(&self, _call: BrokenCall) {}

        fn request_trial(&self, _suspect: SuspectAttempt) -> BoxFuture<'static, TrialDecision> {
            Box::pin(std::future::ready(TrialDecision::Granted))
        }

        fn end_trial(&self, _digest: &Digest, _trial: u64, _is_answered: bool) {}
    }

    let deaths = Arc::new(DeathRecords::default());
    let fake = Fake::new("runner-1", &["quill"], &[], Script::events(9).end(End::Silent));
    let bench = Bench::with(vec![fake.clone()], |builder| builder.poison(deaths.clone()));
    let _running = bench.send(inference(true)).await;
    let mut entry = fake.entry.clone();
    entry.incarnation = Incarnation(2);
    bench.publish(2, vec![entry]);
    settle().await;
    assert_eq!(*deaths.0.lock().unwrap(), [("runner-1".to_owned(), 1)]);
}
