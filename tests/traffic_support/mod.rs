//! An in-memory target that follows scripts, and a router in front of it that uses no sockets.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use axum::body::Body;
use bytes::Bytes;
use error_stack::Report;
use fescuebay::ids::{Incarnation, ModelRef, RequestId, Sequence, ServiceName, TenantId};
use fescuebay::membership::table::{Replica, RouteTable, Standing, TargetEntry};
use fescuebay::target::call::{self, Answer, Attempt, BodyPart, Cause, Resume, Written};
use fescuebay::target::{Target, order};
use fescuebay::traffic::policy::{EffectivePolicy, Policy, PolicyQuery, RequestPurpose};
use fescuebay::traffic::{TrafficState, server, state};
use futures::future::BoxFuture;
use futures::stream::{self, BoxStream, StreamExt};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use tower::ServiceExt;

/// How a response body ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// With the end marker.
    Marker,
    /// Without the end marker.
    Missing,
    /// The connection breaks.
    Broken,
    /// The connection stays open and idle.
    Silent,
}

/// The behavior of a target on one call.
#[derive(Clone, Debug)]
pub struct Script {
    pub connects: bool,
    pub head_after_ms: u64,
    pub breaks_before_head: bool,
    pub status: u16,
    pub names: Option<&'static str>,
    pub offsets: Vec<u64>,
    pub gap_ms: u64,
    pub end: End,
    pub load: Option<order::Load>,
}

impl Script {
    /// Responds with this many events, 10 ms apart.
    pub fn events(count: u64) -> Self {
        Self {
            connects: true,
            head_after_ms: 5,
            breaks_before_head: false,
            status: 200,
            names: None,
            offsets: (0..count).collect(),
            gap_ms: 10,
            end: End::Marker,
            load: None,
        }
    }

    pub fn end(self, end: End) -> Self {
        Self { end, ..self }
    }

    pub fn gap(self, gap_ms: u64) -> Self {
        Self { gap_ms, ..self }
    }

    pub fn offsets(self, offsets: &[u64]) -> Self {
        Self { offsets: offsets.to_vec(), ..self }
    }

    pub fn head_after(self, head_after_ms: u64) -> Self {
        Self { head_after_ms, ..self }
    }

    pub fn status(self, status: u16) -> Self {
        Self { status, ..self }
    }

    pub fn names(self, names: &'static str) -> Self {
        Self { names: Some(names), ..self }
    }

    pub fn load(self, load: order::Load) -> Self {
        Self { load: Some(load), ..self }
    }

    /// Refuses the connection.
    pub fn refuses_connection() -> Self {
        Self { connects: false, ..Self::events(0) }
    }

    /// Breaks the connection before the head of the response.
    pub fn dies_before_head() -> Self {
        Self { breaks_before_head: true, ..Self::events(0) }
    }

    /// Accepts the request and never responds.
    pub fn never_answers() -> Self {
        Self::events(0).head_after(u64::MAX / 4)
    }
}

/// The requests that a target received.
#[derive(Default)]
pub struct Seen {
    pub calls: Vec<Attempt>,
    pub resumes: Vec<Resume>,
    pub cancelled: Vec<RequestId>,
    pub written: usize,
    pub produced: usize,
}

/// A target that uses one script for each call, and its usual script after the last one.
pub struct Fake {
    pub entry: TargetEntry,
    usual: Mutex<Script>,
    scripts: Arc<Mutex<VecDeque<Script>>>,
    resumes: Arc<Mutex<VecDeque<Script>>>,
    pub seen: Arc<Mutex<Seen>>,
    /// The number of open calls and bodies.
    pub open: Arc<AtomicUsize>,
}

/// Counts one open call or body until it is dropped.
struct Open(Arc<AtomicUsize>);

impl Open {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Fake {
    pub fn new(name: &str, models: &[&str], services: &[&str], usual: Script) -> Arc<Self> {
        let replica =
            |model: &&str| Replica { model: model.parse().unwrap(), version: "1".parse().unwrap() };
        let entry = TargetEntry {
            software: None,
            target: name.parse().unwrap(),
            incarnation: Incarnation(1),
            kind: order::Kind::Assistant,
            availability_zone: "andina-a".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            standing: Standing::Up,
            slots: 4,
            replicas: models.iter().map(replica).collect(),
            services: services.iter().map(|s| s.parse::<ServiceName>().unwrap()).collect(),
        };
        Arc::new(Self {
            entry,
            usual: Mutex::new(usual),
            scripts: Arc::default(),
            resumes: Arc::default(),
            seen: Arc::default(),
            open: Arc::default(),
        })
    }

    /// Makes targets share one list of scripts, used in the order of the calls.
    pub fn in_common(
        fakes: Vec<Arc<Self>>,
        scripts: Vec<Script>,
        resumes: Vec<Script>,
    ) -> Vec<Arc<Self>> {
        let (scripts, resumes) =
            (Arc::new(Mutex::new(scripts.into())), Arc::new(Mutex::new(resumes.into())));
        let share = |fake: Arc<Self>| {
            let mut fake = Arc::into_inner(fake).expect("the fake is new");
            (fake.scripts, fake.resumes) = (Arc::clone(&scripts), Arc::clone(&resumes));
            Arc::new(fake)
        };
        fakes.into_iter().map(share).collect()
    }

    pub fn then(self: &Arc<Self>, scripts: impl IntoIterator<Item = Script>) -> Arc<Self> {
        self.scripts.lock().unwrap().extend(scripts);
        self.clone()
    }

    pub fn then_resumes(self: &Arc<Self>, scripts: impl IntoIterator<Item = Script>) -> Arc<Self> {
        self.resumes.lock().unwrap().extend(scripts);
        self.clone()
    }

    pub fn usually(&self, script: Script) {
        *self.usual.lock().unwrap() = script;
    }

    pub fn calls(&self) -> usize {
        self.seen.lock().unwrap().calls.len()
    }

    pub fn cancelled(&self) -> usize {
        self.seen.lock().unwrap().cancelled.len()
    }

    pub fn written(&self) -> usize {
        self.seen.lock().unwrap().written
    }

    fn error(&self, cause: Cause, written: Written) -> Report<call::Error> {
        Report::new(call::Error { target: self.entry.target.clone(), cause, written })
    }

    async fn answer(
        &self,
        script: Script,
        request: RequestId,
        is_stream: bool,
    ) -> call::Result<Answer> {
        let open = Open::new(&self.open);
        if !script.connects {
            return Err(self.error(Cause::Connect, Written::No));
        }
        self.seen.lock().unwrap().written += 1;
        tokio::time::sleep(Duration::from_millis(script.head_after_ms)).await;
        if script.breaks_before_head {
            return Err(self.error(Cause::Broken, Written::Maybe));
        }
        let mut headers = HeaderMap::new();
        let names = script.names.unwrap_or(request.as_str());
        headers.insert("x-request-id", names.parse().unwrap());
        let content_type = if is_stream { "text/event-stream" } else { "application/json" };
        headers.insert("content-type", content_type.parse().unwrap());
        let status = StatusCode::from_u16(script.status).unwrap();
        let load = script.load;
        let broken = self.error(Cause::Broken, Written::Maybe);
        let seen = self.seen.clone();
        let body = body(script, is_stream, broken, seen, open);
        let rate_limit = fescuebay::rate_limit::Statement::Unlimited;
        Ok(Answer { status, headers, load, rate_limit, body })
    }
}

/// The data of the event at `offset`.
pub fn token(offset: u64) -> String {
    format!("t{offset}")
}

fn body(
    script: Script,
    is_stream: bool,
    broken: Report<call::Error>,
    seen: Arc<Mutex<Seen>>,
    open: Open,
) -> BoxStream<'static, call::Result<BodyPart>> {
    let gap = Duration::from_millis(script.gap_ms);
    let parts = stream::iter(script.offsets).then(move |offset| {
        let seen = seen.clone();
        async move {
            tokio::time::sleep(gap).await;
            seen.lock().unwrap().produced += 1;
            let data = Bytes::from(token(offset));
            Ok(if is_stream { BodyPart::Event { offset, data } } else { BodyPart::Bytes(data) })
        }
    });
    let end: BoxStream<'static, call::Result<BodyPart>> = match script.end {
        End::Marker => stream::iter([Ok(BodyPart::End)]).boxed(),
        End::Missing => stream::empty().boxed(),
        End::Broken => stream::iter([Err(broken)]).boxed(),
        End::Silent => stream::pending().boxed(),
    };
    let all = parts.chain(end);
    stream::unfold((all.boxed(), open), |(mut all, open)| async move {
        let part = all.next().await?;
        Some((part, (all, open)))
    })
    .boxed()
}

impl Target for Fake {
    fn order(&self, _order: order::Order) -> BoxFuture<'_, order::Result<order::Reply>> {
        Box::pin(async { Ok(order::Reply::Accepted) })
    }

    fn state(&self, _fencing: order::Fencing) -> BoxFuture<'_, order::Result<order::State>> {
        let error = order::Error { target: self.entry.target.clone(), step: "state" };
        Box::pin(async { Err(Report::new(error)) })
    }

    fn call(&self, attempt: Attempt) -> BoxFuture<'_, call::Result<Answer>> {
        let script = self.scripts.lock().unwrap().pop_front();
        let script = script.unwrap_or_else(|| self.usual.lock().unwrap().clone());
        let (request, is_stream) = (attempt.request.clone(), attempt.is_stream);
        self.seen.lock().unwrap().calls.push(attempt);
        Box::pin(self.answer(script, request, is_stream))
    }

    fn resume(&self, resume: Resume) -> BoxFuture<'_, call::Result<Answer>> {
        let script = self.resumes.lock().unwrap().pop_front();
        let mut script = script.unwrap_or_else(|| self.usual.lock().unwrap().clone());
        script.offsets.retain(|offset| *offset >= resume.offset);
        let request = resume.request.clone();
        self.seen.lock().unwrap().resumes.push(resume);
        Box::pin(self.answer(script, request, true))
    }

    fn cancel(&self, request: &RequestId) -> BoxFuture<'_, call::Result<()>> {
        self.seen.lock().unwrap().cancelled.push(request.clone());
        Box::pin(async { Ok(()) })
    }
}

/// A configuration for tests: tenant `santuario`, model calls idempotent, service calls by method.
pub struct TestPolicy {
    pub effective: Mutex<EffectivePolicy>,
    pub models: Vec<ModelRef>,
}

impl Default for TestPolicy {
    fn default() -> Self {
        let mut effective = EffectivePolicy::with_defaults("quote".parse().unwrap());
        effective.deadline_ms = 10_000;
        Self { effective: Mutex::new(effective), models: vec!["quill".parse().unwrap()] }
    }
}

impl Policy for TestPolicy {
    fn authenticate(&self, token: Option<&str>) -> Option<TenantId> {
        (token == Some("secret")).then(|| "santuario".parse().unwrap())
    }

    fn effective_policy(&self, query: &PolicyQuery) -> EffectivePolicy {
        let mut effective = self.effective.lock().unwrap().clone();
        if let Some(class) = &query.class {
            effective.class = class.clone();
        }
        if let RequestPurpose::Service { method, .. } = &query.purpose {
            effective.is_idempotent = method == http::Method::GET;
        }
        effective
    }

    fn is_model_configured(&self, model: &ModelRef) -> bool {
        self.models.contains(model)
    }

    fn is_service_configured(&self, service: &ServiceName) -> bool {
        service.as_str() == "adoption"
    }

    fn models(&self) -> Vec<ModelRef> {
        self.models.clone()
    }
}

/// A router and its targets.
pub struct Bench {
    pub shared: Arc<TrafficState>,
    pub table: Arc<ArcSwap<RouteTable>>,
    pub policy: Arc<TestPolicy>,
    pub fakes: Vec<Arc<Fake>>,
}

impl Bench {
    pub fn new(fakes: Vec<Arc<Fake>>) -> Self {
        Self::with(fakes, |builder| builder)
    }

    pub fn with(
        fakes: Vec<Arc<Fake>>,
        adjust: impl FnOnce(state::TrafficStateBuilder) -> state::TrafficStateBuilder,
    ) -> Self {
        let entries = fakes.iter().map(|fake| fake.entry.clone()).collect();
        let table = Arc::new(ArcSwap::from_pointee(RouteTable::new(Sequence(1), entries)));
        let policy = Arc::new(TestPolicy::default());
        let known = fakes.clone();
        let targets: state::TargetResolver = Arc::new(move |entry: &TargetEntry| {
            let fake = known.iter().find(|fake| fake.entry.target == entry.target);
            fake.expect("the table holds fakes alone").clone() as Arc<dyn Target>
        });
        let builder = TrafficState::builder(table.clone(), targets, policy.clone()).seed(7);
        let shared = adjust(builder).build();
        tokio::spawn({
            let shared = shared.clone();
            async move { shared.drive().await }
        });
        Self { shared, table, policy, fakes }
    }

    /// Sends a request through the router and returns the response with its body unread.
    pub async fn send(&self, request: http::Request<Body>) -> http::Response<Body> {
        server::router(self.shared.clone()).oneshot(request).await.unwrap()
    }

    pub async fn ask(&self, request: http::Request<Body>) -> Reply {
        Reply::read(self.send(request).await).await
    }

    /// Replaces the route table.
    pub fn publish(&self, sequence: u64, entries: Vec<TargetEntry>) {
        self.table.store(Arc::new(RouteTable::new(Sequence(sequence), entries)));
        self.shared.notify_table_changed();
    }

    /// Fails if the engine or a target still holds state of a request.
    #[track_caller]
    pub fn check_nothing_left(&self, case: &str) {
        self.shared.inspect(|engine| {
            assert_eq!(engine.requests(), 0, "{case}: a request is left in the engine");
            assert_eq!(engine.in_flight_calls(), 0, "{case}: a slot is left taken");
            assert_eq!(engine.waiting_bytes(), 0, "{case}: memory is left taken");
            assert!(engine.queues().is_empty(), "{case}: a lane is left");
            for (_, _, share) in engine.usage().iter() {
                let left = (share.waiting, share.in_flight, share.admitted, share.parked.len());
                assert_eq!(left, (0, 0, 0, 0), "{case}: a share is left taken");
            }
        });
        for fake in &self.fakes {
            let open = fake.open.load(Ordering::SeqCst);
            assert_eq!(open, 0, "{case}: a connection to {} is left open", fake.entry.target);
        }
    }

    pub fn written(&self) -> usize {
        self.fakes.iter().map(|fake| fake.written()).sum()
    }
}

/// The response that a caller received.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the body ended without an HTTP error.
    pub is_closed: bool,
}

impl Reply {
    pub async fn read(response: http::Response<Body>) -> Self {
        let (parts, mut body) = response.into_parts();
        let mut text = String::new();
        let mut is_closed = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => {
                    let data = frame.into_data().unwrap_or_default();
                    text.push_str(std::str::from_utf8(&data).unwrap());
                }
                Err(_) => {
                    is_closed = false;
                    break;
                }
            }
        }
        let status = parts.status.as_u16();
        Self { status, headers: parts.headers, body: text, is_closed }
    }

    /// The field of a problem document.
    pub fn field(&self, name: &str) -> String {
        let problem: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        match &problem[name] {
            serde_json::Value::String(text) => text.clone(),
            other => other.to_string(),
        }
    }

    /// The tokens of a complete stream, or `None` if the stream is incomplete.
    pub fn tokens(&self) -> Option<Vec<String>> {
        let whole = self.body.strip_suffix("data: [DONE]\n\n")?;
        let tokens = whole.split_terminator("\n\n").map(|event| event.strip_prefix("data: "));
        tokens.map(|token| token.map(str::to_owned)).collect()
    }
}

/// An inference request with a streamed or a plain response.
pub fn inference(is_stream: bool) -> http::Request<Body> {
    inference_of("quill", is_stream)
}

pub fn inference_of(model: &str, is_stream: bool) -> http::Request<Body> {
    let body = format!(r#"{{"model":"{model}","stream":{is_stream},"prompt":"burro"}}"#);
    post("/v1/completions", body)
}

pub fn post(path: &str, body: impl Into<Body>) -> http::Request<Body> {
    http::Request::post(path).header("authorization", "Bearer secret").body(body.into()).unwrap()
}

/// Lets all tasks that are ready run.
pub async fn settle() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}
