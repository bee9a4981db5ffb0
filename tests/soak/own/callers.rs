//! Callers of our own interface: look-ups, reservations under a key, and streams, over connections
//! that they keep.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt as _;
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use super::{MODEL, SERVICE, Seen};

/// Longest time that a caller waits for the end of an answer.
const PATIENCE: Duration = Duration::from_secs(20);
/// Part of the reservations without a final answer that are sent again under their key.
const REPEATED_PART: f64 = 0.5;

/// What a caller asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    LookUp,
    /// Under this key.
    Reservation(String),
    /// So many tokens.
    Stream(usize),
}

/// A request with its end.
#[derive(Clone, Debug)]
pub struct Asked {
    pub kind: Kind,
    pub daemon: SocketAddr,
    pub sent: Instant,
    pub ended: Instant,
    /// `None`: no answer came.
    pub answer: Option<Answer>,
}

/// An answer as the caller got it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    /// Whether the daemon says that a refused request was run.
    pub ran: Option<String>,
    pub body: String,
    /// Whether the body came whole.
    pub is_whole: bool,
}

/// One caller at one daemon.
pub struct Caller {
    pub daemon: SocketAddr,
    pub seed: u64,
    pub is_open: Rc<Cell<bool>>,
    pub seen: Rc<Seen>,
}

type Client = legacy::Client<HttpConnector, Full<Bytes>>;

impl Caller {
    pub async fn run(self) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let client: Client = legacy::Client::builder(TokioExecutor::new()).build_http();
        while self.is_open.get() {
            tokio::time::sleep(Duration::from_millis(rng.random_range(20..250))).await;
            let kind = match rng.random_range(0..3) {
                0 => Kind::LookUp,
                1 => Kind::Reservation(format!("{:x}", rng.random::<u64>())),
                _ => Kind::Stream(rng.random_range(5..40)),
            };
            let status = self.ask(&client, kind.clone()).await;
            let is_final = matches!(status, Some(200 | 201));
            if !is_final && matches!(kind, Kind::Reservation(_)) && rng.random_bool(REPEATED_PART) {
                tokio::time::sleep(Duration::from_millis(rng.random_range(20..900))).await;
                self.ask(&client, kind).await;
            }
        }
    }

    async fn ask(&self, client: &Client, kind: Kind) -> Option<u16> {
        let sent = Instant::now();
        let request = build(self.daemon, &kind);
        let answer = tokio::time::timeout(PATIENCE, read(client, request)).await.ok().flatten();
        let status = answer.as_ref().map(|answer| answer.status);
        let asked = Asked { kind, daemon: self.daemon, sent, ended: Instant::now(), answer };
        self.seen.asked.borrow_mut().push(asked);
        status
    }
}

fn build(daemon: SocketAddr, kind: &Kind) -> http::Request<Full<Bytes>> {
    let request = http::Request::builder();
    let (request, body) = match kind {
        Kind::LookUp => {
            (request.uri(format!("http://{daemon}/services/{SERVICE}/look")), String::new())
        }
        Kind::Reservation(key) => {
            let uri = format!("http://{daemon}/services/{SERVICE}/reservations");
            (request.method("POST").uri(uri).header("idempotency-key", key), "{}".to_owned())
        }
        Kind::Stream(tokens) => {
            let body = serde_json::json!({
                "model": MODEL, "stream": true, "max_tokens": tokens, "prompt": "one two three",
            });
            let uri = format!("http://{daemon}/v1/completions");
            let request = request.method("POST").uri(uri);
            (request.header("content-type", "application/json"), body.to_string())
        }
    };
    request.body(Full::new(Bytes::from(body))).expect("a valid request")
}

async fn read(client: &Client, request: http::Request<Full<Bytes>>) -> Option<Answer> {
    let response = client.request(request).await.ok()?;
    let status = response.status().as_u16();
    let ran = response.headers().get("fescuebay-ran");
    let ran = ran.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let mut parts = response.into_body().into_data_stream();
    let (mut bytes, mut is_whole) = (Vec::new(), true);
    while let Some(part) = parts.next().await {
        match part {
            Ok(part) => bytes.extend_from_slice(&part),
            Err(_) => is_whole = false,
        }
    }
    Some(Answer { status, ran, body: String::from_utf8_lossy(&bytes).into_owned(), is_whole })
}
