//! The HTTP side of a stand-in.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, Query, Request, State};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::sse::{Event, Sse};
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{any, delete, get, post};
use bytes::Bytes;
use futures::stream::{Stream, StreamExt};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::service::TowerToHyperService;
use serde_json::json;
use tokio::task::JoinSet;

use super::{Shared, engine, streams};
use crate::daemon::announce;
use crate::ids::{ModelRef, Term};
use crate::target::{http as protocol, order};

/// Tokens of an answer when the request sets no limit.
const DEFAULT_TOKENS: u64 = 16;

pub(super) type Client = legacy::Client<HttpConnector, Full<Bytes>>;

/// A client whose connections come from `own_ip`.
pub(super) fn client(own_ip: IpAddr) -> Client {
    let mut connector = HttpConnector::new();
    connector.set_local_address(Some(own_ip));
    legacy::Client::builder(TokioExecutor::new()).build(connector)
}

/// What became of an announcement.
pub(super) enum Announced {
    /// It was taken; from now on this daemon should get them, if one is named.
    Taken(Option<SocketAddr>),
    /// It was not taken, or no daemon answered.
    Lost,
}

/// Sends one announcement.
pub(super) async fn announce(
    client: &Client,
    daemon: SocketAddr,
    token: &str,
    state: &order::State,
) -> Announced {
    let body = serde_json::to_vec(state).expect("a state is always valid JSON");
    let request = axum::http::Request::put(format!("http://{daemon}/targets/v1/{}", state.target))
        .header("authorization", format!("Bearer {token}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("names and addresses make a valid request");
    match client.request(request).await {
        Ok(response) if response.status().is_success() => {
            let home = response.headers().get(announce::HOME);
            Announced::Taken(home.and_then(|home| home.to_str().ok()?.parse().ok()))
        }
        _ => Announced::Lost,
    }
}

pub(super) async fn serve(listener: tokio::net::TcpListener, shared: Arc<Shared>) {
    let router = Router::new()
        .route("/v1/chat/completions", post(complete))
        .route("/v1/completions", post(complete))
        .route("/streams/{request}", get(resume))
        .route("/services/{service}/{*path}", any(service))
        .layer(from_fn_with_state(Arc::clone(&shared), limit_calls))
        .route("/orders", post(take_order))
        .route("/state", get(tell_state))
        .route("/streams/{request}", delete(cancel))
        .with_state(shared);
    let service = TowerToHyperService::new(router);
    // Connections end with this task, as those of a process do.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let io = TokioIo::new(stream);
                let connection = http1::Builder::new().serve_connection(io, service.clone());
                connections.spawn(async move { drop(connection.await) });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Counts a call, and names the rate limit in its response.
async fn limit_calls(State(shared): State<Arc<Shared>>, request: Request, next: Next) -> Response {
    let rate_limit = shared.count_call();
    let mut response = next.run(request).await;
    if let Some(rate_limit) = rate_limit {
        let value = HeaderValue::from_str(&rate_limit.0.to_string());
        let value = value.expect("digits and a point make a header");
        response.headers_mut().insert(protocol::RATE_LIMIT, value);
    }
    response
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

async fn take_order(
    State(shared): State<Arc<Shared>>,
    Json(order): Json<order::Order>,
) -> Json<order::Reply> {
    let next = shared.engine().order(&order, unix_ms());
    shared.has_changed.notify_one();
    let (model, version) = match next {
        engine::Next::Answer(reply) => return Json(reply),
        engine::Next::Load(model, version) => (model, version),
    };
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(shared.settings.load_ms)).await;
        shared.engine().finish_load(&model, &version);
        shared.has_changed.notify_one();
    });
    Json(order::Reply::Accepted)
}

#[derive(serde::Deserialize)]
struct Fence {
    term: u64,
    sequence: u64,
}

async fn tell_state(
    State(shared): State<Arc<Shared>>,
    Query(fence): Query<Fence>,
) -> Json<order::State> {
    let fencing = order::Fencing { term: Term(fence.term), sequence: fence.sequence };
    shared.engine().raise(fencing);
    Json(shared.state(false))
}

#[derive(serde::Deserialize)]
struct Completion {
    model: ModelRef,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
}

#[derive(serde::Deserialize)]
struct Message {
    content: String,
}

impl Completion {
    fn text(&self) -> &str {
        let asked = self.messages.last().map(|m| m.content.as_str());
        asked.or(self.prompt.as_deref()).unwrap_or_default()
    }

    /// The words of the answer: those of the last message, over and over.
    fn words(&self) -> Vec<String> {
        let words: Vec<&str> = self.text().split_whitespace().collect();
        let words = if words.is_empty() { vec!["nothing"] } else { words };
        let count = self.max_tokens.unwrap_or(DEFAULT_TOKENS) as usize;
        words.iter().cycle().take(count).map(|word| format!("{word} ")).collect()
    }
}

async fn complete(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(completion): Json<Completion>,
) -> Response {
    if !shared.engine().is_ready(&completion.model) {
        let text = format!("{} is not loaded here", completion.model);
        return (StatusCode::CONFLICT, Json(json!({ "error": text }))).into_response();
    }
    let crash_on = shared.settings.crash_on.as_deref();
    if crash_on.is_some_and(|crash_on| completion.text().contains(crash_on)) {
        shared.crash.notify_one();
        std::future::pending::<()>().await;
    }
    let id = headers.get(protocol::REQUEST_ID).and_then(|id| id.to_str().ok()).unwrap_or("none");
    let stream = shared.streams().start(id);
    tokio::spawn(generate(Arc::clone(&shared), completion.words(), stream.clone()));
    let load = load_headers(&shared);
    match completion.stream {
        true => (load, Sse::new(events(stream, 0))).into_response(),
        false => (load, whole(&completion.model, stream).await).into_response(),
    }
}

/// Produces the tokens of one answer once a slot is free.
async fn generate(shared: Arc<Shared>, words: Vec<String>, stream: streams::Stream) {
    let _slot = shared.slots.acquire().await;
    for word in words {
        tokio::time::sleep(Duration::from_millis(shared.settings.token_ms)).await;
        if !stream.push(word) {
            return;
        }
    }
    stream.end();
}

/// The events of a stream from `offset`, each with its offset as id, and the end marker.
fn events(
    stream: streams::Stream,
    offset: usize,
) -> impl Stream<Item = std::result::Result<Event, Infallible>> {
    let start = (stream.follow(), offset, false);
    futures::stream::unfold(start, |(mut follow, at, is_done)| async move {
        if is_done {
            return None;
        }
        let is_ready = |p: &streams::Progress| p.is_ended || p.events.len() > at;
        let progress = follow.wait_for(is_ready).await.ok()?.clone();
        let event = match progress.events.get(at) {
            Some(word) => {
                let data = json!({ "choices": [{ "index": 0, "delta": { "content": word } }] });
                Event::default().id(at.to_string()).data(data.to_string())
            }
            None => Event::default().data(protocol::END_OF_STREAM),
        };
        let is_done = progress.events.get(at).is_none();
        Some((Ok(event), (follow, at + 1, is_done)))
    })
    .boxed()
}

async fn whole(model: &ModelRef, stream: streams::Stream) -> Response {
    let mut follow = stream.follow();
    let Ok(progress) = follow.wait_for(|progress| progress.is_ended).await else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let text = progress.events.concat();
    let message = json!({ "role": "assistant", "content": text });
    let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
    let usage = json!({ "completion_tokens": progress.events.len() });
    Json(json!({ "model": model, "choices": [choice], "usage": usage })).into_response()
}

fn load_headers(shared: &Shared) -> [(&'static str, String); 3] {
    let load = shared.state(false).load;
    let [running, waiting, slots] = protocol::LOAD;
    [
        (running, load.running.to_string()),
        (waiting, load.waiting.to_string()),
        (slots, load.slots.to_string()),
    ]
}

#[derive(serde::Deserialize)]
struct From {
    #[serde(default)]
    offset: usize,
}

async fn resume(
    State(shared): State<Arc<Shared>>,
    Path(request): Path<String>,
    Query(from): Query<From>,
) -> Response {
    let known = shared.streams().find(&request);
    match known {
        Some(stream) => Sse::new(events(stream, from.offset)).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn cancel(State(shared): State<Arc<Shared>>, Path(request): Path<String>) -> StatusCode {
    let was_known = shared.streams().cancel(&request);
    if was_known { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND }
}

async fn service(
    State(shared): State<Arc<Shared>>,
    Path((service, path)): Path<(String, String)>,
    method: Method,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if !shared.settings.services.iter().any(|known| known.as_str() == service) {
        return StatusCode::NOT_FOUND.into_response();
    }
    if method == Method::GET || method == Method::HEAD {
        return Json(json!({ "service": service, "path": path, "name": "Lucero" })).into_response();
    }
    let key = headers.get("idempotency-key").and_then(|key| key.to_str().ok());
    let text = String::from_utf8_lossy(&body);
    let key = key.unwrap_or(&text);
    tokio::time::sleep(Duration::from_millis(shared.settings.token_ms)).await;
    let count = shared.services().execute(key);
    let answer = json!({ "service": service, "path": path, "key": key, "executions": count });
    (StatusCode::CREATED, Body::from(answer.to_string())).into_response()
}
