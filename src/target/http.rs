//! The HTTP adapter to a target.
//!
//! Each target has a connection pool. A pool whose connections may be dead is replaced as a whole:
//! running calls keep their connections, new calls use connections of the new pool.

use std::io;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use error_stack::Report;
use eventsource_stream::Eventsource;
use futures::future::BoxFuture;
use futures::stream::{self, BoxStream, Stream, StreamExt};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::ids::{RequestId, TargetId};
use crate::rate_limit;
use crate::target::{self, call, order};
use crate::web;

/// Header with the request id, which the target also uses as the id of the stream.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the priority at the engine: a lower number is scheduled first.
pub const PRIORITY: &str = "x-priority";
/// Data of the event that marks the end of a complete stream.
pub const END_OF_STREAM: &str = "[DONE]";
/// Response headers in which a target reports its load: running calls, waiting calls, slots.
pub const LOAD: [&str; 3] = ["x-load-running", "x-load-waiting", "x-load-slots"];

/// Response header in which a target names the calls a second that it takes from all daemons
/// together, as a decimal number.
pub const RATE_LIMIT: &str = "x-rate-limit";

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest response to an order or a state query, in bytes.
const MAX_STATE_BYTES: usize = 8 << 20;
/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;

type Client = legacy::Client<HttpConnector, Full<Bytes>>;

/// Calls one target over HTTP.
pub struct Http {
    target: TargetId,
    base: String,
    token: String,
    own_ip: IpAddr,
    client: ArcSwap<Client>,
}

impl Http {
    /// Creates an adapter for the target at `address` that connects from `own_ip`.
    ///
    /// `token` authenticates orders and state queries at targets that check it.
    pub fn new(
        target: TargetId,
        address: std::net::SocketAddr,
        own_ip: IpAddr,
        token: String,
    ) -> Self {
        let client = ArcSwap::from_pointee(new_client(own_ip));
        Self { target, base: format!("http://{address}"), token, own_ip, client }
    }

    /// Starts a new pool; connections of the old one stay open for the calls that use them.
    fn replace_pool(&self) {
        self.client.store(Arc::new(new_client(self.own_ip)));
    }

    fn order_error(&self, step: &'static str) -> order::Error {
        order::Error { target: self.target.clone(), step }
    }

    fn call_error(&self, cause: call::Cause, written: call::Written) -> call::Error {
        call::Error { target: self.target.clone(), cause, written }
    }

    /// Sends a request of the order interface and decodes the JSON response.
    async fn send_json<T: serde::de::DeserializeOwned>(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
    ) -> order::Result<T> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| Report::new(e).change_context(self.order_error("build request")))?;
        let client = self.client.load_full();
        let response = client
            .request(request)
            .await
            .map_err(|e| Report::new(e).change_context(self.order_error("send")))?;
        let status = response.status();
        if !status.is_success() {
            return Err(Report::new(self.order_error("status")).attach(status));
        }
        let body = http_body_util::Limited::new(response.into_body(), MAX_STATE_BYTES);
        let bytes = body
            .collect()
            .await
            .map_err(|e| Report::new(self.order_error("read answer")).attach(e.to_string()))?
            .to_bytes();
        serde_json::from_slice(&bytes)
            .map_err(|e| Report::new(e).change_context(self.order_error("decode answer")))
    }

    async fn send_call(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> call::Result<http::Response<hyper::body::Incoming>> {
        let client = self.client.load_full();
        let response = client.request(request).await.map_err(|error| {
            let (cause, written) = match error.is_connect() {
                true => (call::Cause::Connect, call::Written::No),
                false => (call::Cause::Broken, call::Written::Maybe),
            };
            Report::new(error).change_context(self.call_error(cause, written))
        })?;
        let status = response.status();
        if !web::is_final_status(status) {
            let error = self.call_error(call::Cause::Malformed, call::Written::Maybe);
            return Err(Report::new(error).attach(status));
        }
        Ok(response)
    }

    fn build_answer(
        &self,
        response: http::Response<hyper::body::Incoming>,
        is_head_request: bool,
        first_offset: u64,
    ) -> call::Answer {
        let (mut head, body) = response.into_parts();
        let load = read_load(&head.headers);
        let rate_limit = read_rate_limit(&head.headers);
        let is_delimited = is_head_request || is_delimited(&head);
        let is_event_stream_body = is_event_stream(&head.headers);
        remove_hop_headers(&mut head.headers);
        let target = self.target.clone();
        let body = match is_event_stream_body {
            true => decode_events(target, body, first_offset),
            false => stream_plain_body(target, body, is_delimited),
        };
        call::Answer { status: head.status, headers: head.headers, load, rate_limit, body }
    }
}

impl target::Target for Http {
    fn order(&self, order: order::Order) -> BoxFuture<'_, order::Result<order::Reply>> {
        Box::pin(async move {
            let body = serde_json::to_vec(&order)
                .map_err(|e| Report::new(e).change_context(self.order_error("encode order")))?;
            self.send_json(http::Method::POST, "/orders", body).await
        })
    }

    fn state(&self, fencing: order::Fencing) -> BoxFuture<'_, order::Result<order::State>> {
        let path = format!("/state?term={}&sequence={}", fencing.term, fencing.sequence);
        Box::pin(async move { self.send_json(http::Method::GET, &path, Vec::new()).await })
    }

    fn call(&self, attempt: call::Attempt) -> BoxFuture<'_, call::Result<call::Answer>> {
        Box::pin(async move {
            let is_head_request = attempt.method == http::Method::HEAD;
            let not_sent = self.call_error(call::Cause::Malformed, call::Written::No);
            let mut request = http::Request::builder()
                .method(attempt.method)
                .uri(format!("{}{}", self.base, attempt.path))
                .body(Full::new(attempt.body))
                .map_err(|error| Report::new(error).change_context(not_sent.clone()))?;
            *request.headers_mut() = attempt.headers;
            let id = http::HeaderValue::from_str(attempt.request.as_str())
                .map_err(|error| Report::new(error).change_context(not_sent))?;
            request.headers_mut().insert(REQUEST_ID, id);
            request.headers_mut().insert(PRIORITY, u16::from(attempt.priority).into());
            let response = self.send_call(request).await?;
            Ok(self.build_answer(response, is_head_request, 0))
        })
    }

    fn resume(&self, attempt: call::Resume) -> BoxFuture<'_, call::Result<call::Answer>> {
        self.replace_pool();
        Box::pin(async move {
            let (id, offset) = (attempt.request, attempt.offset);
            let error = self.call_error(call::Cause::Malformed, call::Written::No);
            let request = http::Request::get(format!("{}/streams/{id}?offset={offset}", self.base))
                .body(Full::default())
                .map_err(|e| Report::new(e).change_context(error))?;
            let response = self.send_call(request).await?;
            if response.status() == http::StatusCode::NOT_FOUND {
                let written = call::Written::Maybe;
                return Err(Report::new(self.call_error(call::Cause::UnknownStream, written)));
            }
            Ok(self.build_answer(response, false, offset))
        })
    }

    fn cancel(&self, request: &RequestId) -> BoxFuture<'_, call::Result<()>> {
        let uri = format!("{}/streams/{request}", self.base);
        Box::pin(async move {
            let error = self.call_error(call::Cause::Malformed, call::Written::No);
            let request = http::Request::delete(uri)
                .body(Full::default())
                .map_err(|e| Report::new(e).change_context(error))?;
            self.send_call(request).await.map(drop)
        })
    }
}

fn new_client(own_ip: IpAddr) -> Client {
    let mut connector = HttpConnector::new();
    connector.set_local_address(Some(own_ip));
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .build(connector)
}

/// Whether the end of the body is distinguishable from a broken connection.
fn is_delimited(head: &http::response::Parts) -> bool {
    let has_no_body = head.status == http::StatusCode::NO_CONTENT
        || head.status == http::StatusCode::NOT_MODIFIED;
    has_no_body
        || head.headers.contains_key(http::header::CONTENT_LENGTH)
        || head.headers.contains_key(http::header::TRANSFER_ENCODING)
}

fn is_event_stream(headers: &http::HeaderMap) -> bool {
    let kind = headers.get(http::header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

fn remove_hop_headers(headers: &mut http::HeaderMap) {
    let hop = ["connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade"];
    for name in hop.iter().chain(&LOAD).chain(&[RATE_LIMIT]) {
        headers.remove(*name);
    }
}

fn read_load(headers: &http::HeaderMap) -> Option<order::Load> {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.parse().ok();
    let [running, waiting, slots] = LOAD;
    Some(order::Load {
        running: number(running)?,
        waiting: number(waiting)?,
        slots: number(slots)?,
    })
}

/// Reads the rate limit that a target names. An invalid one neither sets nor ends a limit.
fn read_rate_limit(headers: &http::HeaderMap) -> rate_limit::Statement {
    match headers.get(RATE_LIMIT) {
        Some(value) => rate_limit::Statement::parse(value.as_bytes()),
        None => rate_limit::Statement::Unlimited,
    }
}

/// Decodes an event stream up to its end marker; each event gets its offset.
fn decode_events(
    target: TargetId,
    body: hyper::body::Incoming,
    first_offset: u64,
) -> BoxStream<'static, call::Result<call::BodyPart>> {
    let mut next_offset = first_offset;
    let source = limit_event_size(body).eventsource();
    let end = stream::once(async { None });
    let parts = source.map(Some).chain(end).map(move |event| match event {
        Some(Ok(event)) if event.data == END_OF_STREAM => Ok(call::BodyPart::End),
        Some(Ok(event)) => {
            let offset = event.id.parse().unwrap_or(next_offset);
            next_offset = offset + 1;
            Ok(call::BodyPart::Event { offset, data: event.data.into() })
        }
        Some(Err(_)) => Err(call_failed(&target, call::Cause::Broken)),
        None => Err(call_failed(&target, call::Cause::Truncated)),
    });
    until_end_or_error(parts)
}

/// Ends a stream after its first end marker or error; anything that a target sends after that is
/// not read.
fn until_end_or_error(
    parts: impl Stream<Item = call::Result<call::BodyPart>> + Send + 'static,
) -> BoxStream<'static, call::Result<call::BodyPart>> {
    let parts = stream::unfold(Some(parts.boxed()), |parts| async move {
        let mut parts = parts?;
        let part = parts.next().await?;
        let has_more = matches!(part, Ok(call::BodyPart::Event { .. } | call::BodyPart::Bytes(_)));
        Some((part, has_more.then_some(parts)))
    });
    parts.boxed()
}

/// Passes on the bytes of an event stream, and fails when an event exceeds [`MAX_EVENT_BYTES`]: the
/// decoder buffers an event in memory until its end.
fn limit_event_size(body: hyper::body::Incoming) -> impl Stream<Item = io::Result<Bytes>> {
    let (mut event_bytes, mut line_bytes) = (0, 0);
    body.into_data_stream().map(move |data| {
        let data = data.map_err(io::Error::other)?;
        for byte in &data {
            event_bytes += 1;
            match byte {
                // An empty line ends an event.
                b'\n' if line_bytes == 0 => event_bytes = 0,
                b'\n' => line_bytes = 0,
                b'\r' => {}
                _ => line_bytes += 1,
            }
            if event_bytes > MAX_EVENT_BYTES {
                return Err(io::Error::other("event exceeds the size limit"));
            }
        }
        Ok(data)
    })
}

/// Streams a plain body. [`call::BodyPart::End`] follows only if the body is delimited.
fn stream_plain_body(
    target: TargetId,
    body: hyper::body::Incoming,
    is_delimited: bool,
) -> BoxStream<'static, call::Result<call::BodyPart>> {
    let truncated_target = target.clone();
    let end = stream::once(async move {
        match is_delimited {
            true => Ok(call::BodyPart::End),
            false => Err(call_failed(&truncated_target, call::Cause::Truncated)),
        }
    });
    let bytes = body.into_data_stream().map(move |data| match data {
        Ok(data) => Ok(call::BodyPart::Bytes(data)),
        Err(_) => Err(call_failed(&target, call::Cause::Broken)),
    });
    // `until_end_or_error` stops at an error, so `End` is only reported after a complete body.
    until_end_or_error(bytes.chain(end))
}

fn call_failed(target: &TargetId, cause: call::Cause) -> Report<call::Error> {
    Report::new(call::Error { target: target.clone(), cause, written: call::Written::Maybe })
}
