//! The HTTP client of the operators' API.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::problem::Problem;
use super::view;
use crate::ids::Revision;
use crate::settings::Secret;
use crate::units::Millis;

/// Time for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for an answer beyond what the request itself waits.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// The largest answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Times that a change is sent while its answer is lost.
const CHANGE_ATTEMPTS: u32 = 3;
/// The pause before a change is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(300);

/// Why a daemon gave no result.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// No answer came.
    Unreachable {
        /// The daemon that was asked.
        daemon: SocketAddr,
        /// The step that failed, such as `connect`.
        step: &'static str,
    },
    /// The daemon answered with a problem.
    Problem(Box<Problem>),
    /// The answer could not be read.
    Malformed {
        /// The daemon that answered.
        daemon: SocketAddr,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreachable { daemon, step } => {
                write!(f, "no answer from the daemon at {daemon}: {step} failed")
            }
            Error::Problem(problem) => write!(f, "{}: {}", problem.code, problem.detail),
            Error::Malformed { daemon } => {
                write!(f, "the answer of the daemon at {daemon} could not be read")
            }
        }
    }
}

impl std::error::Error for Error {}

/// The result of a call.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Calls the operators' API of one daemon.
#[derive(Debug)]
pub struct Client {
    daemon: SocketAddr,
    token: Secret,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// A client of the daemon whose operators' port is `daemon`.
    pub fn new(daemon: SocketAddr, token: Secret) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self { daemon, token, http }
    }

    /// Asks for JSON at a path below `/admin/v1`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let body = self.send(Method::GET, path, Bytes::new(), ANSWER_TIMEOUT).await?;
        self.read(&body)
    }

    /// Asks for text at a path below `/admin/v1`.
    pub async fn get_text(&self, path: &str) -> Result<String> {
        let body = self.send(Method::GET, path, Bytes::new(), ANSWER_TIMEOUT).await?;
        String::from_utf8(body.into()).change_context(Error::Malformed { daemon: self.daemon })
    }

    /// Sends a command whose answer is empty.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<()> {
        self.send(Method::POST, path, json(body), ANSWER_TIMEOUT).await.map(drop)
    }

    /// Makes a change. While its answer is lost it is sent again under the same change id.
    pub async fn change(&self, change: &view::NewChange) -> Result<view::Made> {
        let mut attempt = 1;
        loop {
            let sent = self.send(Method::POST, "/changes", json(change), ANSWER_TIMEOUT).await;
            match sent {
                Ok(body) => return self.read(&body),
                Err(report) if attempt < CHANGE_ATTEMPTS && is_lost(&report) => attempt += 1,
                Err(report) => return Err(report),
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
    }

    /// Waits until `revision` is in force everywhere, at most `wait_ms`.
    pub async fn wait(&self, revision: Revision, wait_ms: Millis) -> Result<view::Revisions> {
        let path = format!("/revision?at_least={revision}&wait_ms={}", wait_ms.0);
        let timeout = ANSWER_TIMEOUT + wait_ms.duration();
        let body = self.send(Method::GET, &path, Bytes::new(), timeout).await?;
        self.read(&body)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes> {
        let unreachable = |step| Error::Unreachable { daemon: self.daemon, step };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}/admin/v1{path}", self.daemon))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token.reveal()))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .change_context(unreachable("writing the request"))?;
        let answer = tokio::time::timeout(timeout, self.ask(request)).await;
        let (status, body) = answer.change_context(unreachable("waiting for the answer"))??;
        if status.is_success() { Ok(body) } else { Err(self.problem(status, &body)) }
    }

    async fn ask(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes)> {
        let unreachable = |step| Error::Unreachable { daemon: self.daemon, step };
        let response = self.http.request(request).await;
        let response = response.change_context(unreachable("connecting"))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|_| Report::new(unreachable("reading the answer")))?;
        Ok((status, body.to_bytes()))
    }

    fn problem(&self, status: StatusCode, body: &[u8]) -> Report<Error> {
        match serde_json::from_slice::<Problem>(body) {
            Ok(problem) => Report::new(Error::Problem(Box::new(problem))),
            Err(_) => Report::new(Error::Malformed { daemon: self.daemon })
                .attach(format!("HTTP status {status}")),
        }
    }

    fn read<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T> {
        serde_json::from_slice(body).change_context(Error::Malformed { daemon: self.daemon })
    }
}

fn json(body: &impl Serialize) -> Bytes {
    serde_json::to_vec(body).expect("a message always encodes").into()
}

/// Whether the daemon may have done what it was asked, or may do it when it is asked again.
fn is_lost(report: &Report<Error>) -> bool {
    match report.current_context() {
        Error::Unreachable { .. } => true,
        Error::Problem(problem) => problem.code == "unavailable",
        Error::Malformed { .. } => false,
    }
}

/// A name as one part of a path.
pub fn path_part(name: &impl fmt::Display) -> String {
    name.to_string().replace('/', "%2F")
}
