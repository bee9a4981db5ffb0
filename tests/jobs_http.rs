//! Durable jobs over HTTP, run by the traffic of a daemon against a fake target.

mod control_fakes;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use axum::Router;
use axum::body::Body;
use bytes::Bytes;
use control_fakes::{Fault, Group, client, owner};
use fescuebay::control::jobs::shell;
use fescuebay::control::port;
use fescuebay::ids::{ModelRef, RequestId, Sequence, ServiceName, TenantId};
use fescuebay::membership::table::{Replica, RouteTable, Standing, TargetEntry};
use fescuebay::target::{Target, call, order};
use fescuebay::traffic::clock::Clock;
use fescuebay::traffic::jobs::{Executor, Jobs};
use fescuebay::traffic::policy::{EffectivePolicy, Policy, PolicyQuery, RequestPurpose};
use fescuebay::traffic::{TrafficState, server};
use futures::future::BoxFuture;
use futures::{FutureExt as _, StreamExt as _};
use http::{Request, StatusCode};
use http_body_util::BodyExt as _;
use serde_json::{Value, json};
use tokio::sync::watch;
use tower::ServiceExt as _;

/// Answers every call with its path after a while, and counts the calls.
#[derive(Default)]
struct Runner {
    calls: AtomicU64,
    paths: Mutex<Vec<String>>,
}

impl Target for Runner {
    fn order(&self, _: order::Order) -> BoxFuture<'_, order::Result<order::Reply>> {
        async { Ok(order::Reply::Accepted) }.boxed()
    }

    fn state(&self, _: order::Fencing) -> BoxFuture<'_, order::Result<order::State>> {
        futures::future::pending().boxed()
    }

    fn call(&self, attempt: call::Attempt) -> BoxFuture<'_, call::Result<call::Answer>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.paths.lock().unwrap().push(format!("{} {}", attempt.method, attempt.path));
        async move {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let body = Bytes::from(json!({ "draft": attempt.path }).to_string());
            let parts = vec![Ok(call::BodyPart::Bytes(body)), Ok(call::BodyPart::End)];
            let mut headers = http::HeaderMap::new();
            headers.insert("content-type", "application/json".parse().unwrap());
            let body = futures::stream::iter(parts).boxed();
            let rate_limit = Default::default();
            Ok(call::Answer { status: StatusCode::CREATED, headers, load: None, rate_limit, body })
        }
        .boxed()
    }

    fn resume(&self, _: call::Resume) -> BoxFuture<'_, call::Result<call::Answer>> {
        futures::future::pending().boxed()
    }

    fn cancel(&self, _: &RequestId) -> BoxFuture<'_, call::Result<()>> {
        async { Ok(()) }.boxed()
    }
}

/// Two tenants by token; purchase orders must not run again.
struct Defaults;

impl Policy for Defaults {
    fn authenticate(&self, token: Option<&str>) -> Option<TenantId> {
        token.filter(|token| ["dorado", "santuario"].contains(token))?.parse().ok()
    }

    fn effective_policy(&self, query: &PolicyQuery) -> EffectivePolicy {
        let class = query.class.clone().unwrap_or_else(|| "draft".parse().unwrap());
        let is_order =
            matches!(&query.purpose, RequestPurpose::Service { path, .. } if path == "/orders");
        EffectivePolicy {
            is_idempotent: !is_order,
            is_key_required: is_order,
            ..EffectivePolicy::with_defaults(class)
        }
    }

    fn is_model_configured(&self, model: &ModelRef) -> bool {
        model.to_string() == "quill"
    }

    fn is_service_configured(&self, _: &ServiceName) -> bool {
        false
    }

    fn models(&self) -> Vec<ModelRef> {
        Vec::new()
    }
}

struct Daemon {
    group: Arc<Group>,
    runner: Arc<Runner>,
    routes: Router,
    leaving: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

fn table() -> RouteTable {
    let entry = TargetEntry {
        software: None,
        target: "runner-1".parse().unwrap(),
        incarnation: fescuebay::ids::Incarnation(1),
        kind: order::Kind::Assistant,
        availability_zone: "lima-ate".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        standing: Standing::Up,
        slots: 4,
        replicas: vec![Replica { model: "quill".parse().unwrap(), version: "1".parse().unwrap() }],
        services: vec!["desk".parse().unwrap()],
    };
    RouteTable::new(Sequence(1), vec![entry])
}

fn start() -> Daemon {
    let (group, runner) = (Group::new(), Arc::new(Runner::default()));
    let log = Arc::clone(&group) as Arc<dyn port::Log>;
    let jobs = Jobs::new(Arc::clone(&log));
    let target = Arc::clone(&runner);
    let targets = Arc::new(move |_: &TargetEntry| Arc::clone(&target) as Arc<dyn Target>);
    let table = Arc::new(ArcSwap::from_pointee(table()));
    let clock = Clock::starting_at(group.now_ms());
    let shared = TrafficState::builder(table, targets, Arc::new(Defaults))
        .clock(clock)
        .extra_routes(jobs.routes())
        .seed(1)
        .build();
    jobs.attach(&shared);
    let (leaving, left) = watch::channel(false);
    let random = AtomicU64::new(1);
    let parts = shell::Parts {
        log,
        owner: owner(1, 1),
        execute: Arc::new(Executor::new(Arc::clone(&shared))),
        once: client(&group, 1, 1),
        slots: 2,
        clock: Arc::new(move || clock.now_ms()),
        random: Arc::new(move || random.fetch_add(1, Ordering::Relaxed)),
    };
    let task = tokio::spawn(shell::run(Arc::new(parts), left));
    tokio::spawn({
        let shared = Arc::clone(&shared);
        async move { shared.drive().await }
    });
    Daemon { group, runner, routes: server::router(shared), leaving, task }
}

impl Daemon {
    async fn send(&self, request: Request<Body>) -> (StatusCode, Value) {
        let response = self.routes.clone().oneshot(request).await.unwrap();
        let status = response.status();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
    }

    async fn submit(&self, key: Option<&str>, body: &Value) -> (StatusCode, Value) {
        let mut request = Request::post("/v1/jobs").header("authorization", "Bearer dorado");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        self.send(request.body(Body::from(body.to_string())).unwrap()).await
    }

    async fn ask(&self, method: &str, path: &str, tenant: &str) -> (StatusCode, Value) {
        let request = Request::builder().method(method).uri(path);
        let request = request.header("authorization", format!("Bearer {tenant}"));
        self.send(request.body(Body::empty()).unwrap()).await
    }

    fn calls(&self) -> u64 {
        self.runner.calls.load(Ordering::Relaxed)
    }
}

fn draft() -> Value {
    json!({ "path": "/v1/completions", "body": { "model": "quill", "prompt": "Dear family" } })
}

fn purchase() -> Value {
    json!({ "path": "/services/desk/orders", "body": { "leaf": 12 } })
}

#[tokio::test(start_paused = true)]
async fn a_job_is_accepted_run_once_and_fetched_by_a_long_poll() {
    for (work, key) in [(draft(), None), (draft(), Some("k1")), (purchase(), Some("k1"))] {
        let daemon = start();
        let (status, accepted) = daemon.submit(key, &work).await;
        assert_eq!((status, &accepted["status"]), (StatusCode::ACCEPTED, &json!("accepted")));
        let path = format!("/v1/jobs/{}", accepted["id"].as_str().unwrap());
        let (status, now) = daemon.ask("GET", &path, "dorado").await;
        assert_eq!((status, &now["status"]), (StatusCode::OK, &json!("waiting")), "{now}");
        let (status, done) = daemon.ask("GET", &format!("{path}?wait_ms=30000"), "dorado").await;
        assert_eq!((status, &done["status"]), (StatusCode::OK, &json!("answered")), "{done}");
        assert_eq!(done["answer"]["status"], 201);
        assert!(done["answer"]["body"]["draft"].is_string(), "{done}");
        let (status, raw) = daemon.ask("GET", &format!("{path}/answer"), "dorado").await;
        assert_eq!((status, &raw), (StatusCode::CREATED, &done["answer"]["body"]));
        let (status, _) = daemon.ask("GET", &path, "santuario").await;
        assert_eq!(status, StatusCode::NOT_FOUND, "another tenant's job");
        if key.is_some() {
            let (status, again) = daemon.submit(key, &work).await;
            assert_eq!((status, &again["status"]), (StatusCode::OK, &json!("answered")));
        }
        assert_eq!(daemon.calls(), 1);
        let called = format!("POST {}", work["path"].as_str().unwrap());
        assert_eq!(*daemon.runner.paths.lock().unwrap(), [called]);
        daemon.leaving.send(true).unwrap();
        daemon.task.await.unwrap();
    }
}

#[tokio::test(start_paused = true)]
async fn what_cannot_be_taken_in_is_refused_at_the_door() {
    let model = |name: &str| json!({ "path": "/v1/completions", "body": { "model": name } });
    let cases = [
        (json!({ "path": "/v1/completions", "boddy": {} }), None, 400, "malformed"),
        (model("unheard-of"), None, 404, "unknown-model"),
        (json!({ "path": "/services/attic/x" }), None, 404, "unknown-service"),
        (json!({ "path": "/admin/v1/report" }), None, 404, "not-found"),
        (json!({ "path": "/services/desk/x", "method": "G E T" }), None, 400, "malformed"),
        (purchase(), None, 400, "key-required"),
    ];
    let daemon = start();
    for (work, key, status, code) in cases {
        let (found, problem) = daemon.submit(key, &work).await;
        assert_eq!((found.as_u16(), &problem["code"]), (status, &json!(code)), "{work}");
        assert_eq!(problem["ran"], "no", "{work}");
    }
    daemon.submit(Some("k1"), &draft()).await;
    let (status, problem) = daemon.submit(Some("k1"), &purchase()).await;
    assert_eq!((status.as_u16(), &problem["code"]), (422, &json!("key-mismatch")));
    let request = Request::post("/v1/jobs").body(Body::from(draft().to_string())).unwrap();
    assert_eq!(daemon.send(request).await.0, StatusCode::UNAUTHORIZED);
}

#[tokio::test(start_paused = true)]
async fn a_submission_is_acknowledged_only_when_it_is_committed() {
    use Fault::{LostAfter, LostBefore, NotProposed};
    let cases: [(&[Fault], u16, &str); 4] = [
        (&[NotProposed; 3], 503, "no"),
        (&[LostBefore; 3], 503, "maybe"),
        (&[LostAfter, NotProposed, LostBefore], 503, "maybe"),
        (&[LostAfter, LostBefore], 202, ""),
    ];
    for (faults, expected, ran) in cases {
        let daemon = start();
        daemon.leaving.send(true).unwrap();
        tokio::time::sleep(Duration::from_secs(2)).await;
        daemon.group.script(faults.iter().copied());
        let (status, answer) = daemon.submit(Some("k1"), &draft()).await;
        assert_eq!(status.as_u16(), expected, "{faults:?}");
        assert_eq!(answer["ran"].as_str().unwrap_or_default(), ran, "{faults:?}");
        // The caller's resend is taken in once.
        assert_eq!(daemon.submit(Some("k1"), &draft()).await.0, StatusCode::ACCEPTED);
        let count = daemon.group.ask_jobs(fescuebay::control::jobs::Query::Count);
        let one = fescuebay::control::jobs::View::Count { waiting: 1, leased: 0, all: 1 };
        assert_eq!(count, one, "{faults:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_job_is_cancelled_by_its_tenant_alone() {
    let daemon = start();
    daemon.leaving.send(true).unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (_, accepted) = daemon.submit(None, &draft()).await;
    let path = format!("/v1/jobs/{}", accepted["id"].as_str().unwrap());
    assert_eq!(daemon.ask("DELETE", &path, "santuario").await.0, StatusCode::NOT_FOUND);
    for _ in 0..2 {
        let (status, cancelled) = daemon.ask("DELETE", &path, "dorado").await;
        assert_eq!((status, &cancelled["status"]), (StatusCode::OK, &json!("cancelled")));
        assert_eq!(cancelled["ran"], "no");
    }
    let (status, _) = daemon.ask("GET", &format!("{path}/answer"), "dorado").await;
    assert_eq!(status, StatusCode::CONFLICT);
}
