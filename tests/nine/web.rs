//! A small HTTP client for the black-box tests.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt as _;
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Longest time for one answer.
const LIMIT: Duration = Duration::from_secs(60);

/// An answer as a caller got it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    /// The header that tells whether a refused request was run.
    pub ran: Option<String>,
    pub body: String,
    /// Whether the body came whole.
    pub is_whole: bool,
}

/// Sends a request over a connection of its own. `None`: no answer came.
pub async fn call(method: &str, url: &str, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
    let client = legacy::Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .build::<_, Full<Bytes>>(HttpConnector::new());
    let mut request = http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).unwrap();
    tokio::time::timeout(LIMIT, async {
        let response = client.request(request).await.ok()?;
        let status = response.status().as_u16();
        let ran = response.headers().get("fescuebay-ran");
        let ran = ran.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let mut parts = response.into_body().into_data_stream();
        let mut text = Vec::new();
        let mut is_whole = true;
        while let Some(part) = parts.next().await {
            match part {
                Ok(bytes) => text.extend_from_slice(&bytes),
                Err(_) => is_whole = false,
            }
        }
        let body = String::from_utf8_lossy(&text).into_owned();
        Some(Answer { status, ran, body, is_whole })
    })
    .await
    .ok()?
}

/// Asks a model for a stream of `tokens` tokens.
pub async fn stream(address: std::net::SocketAddr, model: &str, tokens: u32) -> Option<Answer> {
    let body = serde_json::json!({
        "model": model, "stream": true, "max_tokens": tokens, "prompt": "one two three",
    });
    let url = format!("http://{address}/v1/completions");
    call("POST", &url, &[("content-type", "application/json")], &body.to_string()).await
}

impl Answer {
    /// Whether this is a whole stream of so many tokens.
    pub fn is_stream_of(&self, tokens: usize) -> bool {
        let events = self.body.matches("\"content\"").count();
        self.status == 200 && self.is_whole && events == tokens && self.body.contains("[DONE]")
    }
}
