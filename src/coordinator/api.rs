//! The HTTP interface of a voter for operators and targets. Requests are forwarded to the leader.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;

use super::client::{RequestError, VoterClient};
use super::message::{PutRoutesOutcome, Reply, Request};
use crate::ids::{Incarnation, TargetId};
use crate::routes;
use crate::target::order;
use crate::web;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Maximum size of all request bodies in memory, in bytes.
pub const MAX_BUFFERED_BODY_BYTES: usize = 32 << 20;
/// Timeout of one attempt to reach the leader.
const ATTEMPT_TIMEOUT_MS: u64 = 800;
/// Time after which a request is answered as unavailable. Clients wait for one second.
const REQUEST_TIMEOUT_MS: u64 = 850;
/// The same for a route document, whose replication takes longer the larger it is.
const PUT_ROUTES_TIMEOUT_MS: u64 = 2_500;

/// A parsed request.
#[derive(Clone, Debug)]
pub enum ApiRequest {
    /// Store this route document.
    PutRoutes(Bytes),
    /// Read the route document in force.
    GetRoutes,
    /// A target announces itself.
    Announce(Box<order::State>),
    /// A target has left.
    Leave(TargetId, Option<Incarnation>),
}

/// The response to a request, independent of the HTTP protocol.
#[derive(Clone, Debug)]
pub enum ApiResponse {
    /// The request was carried out.
    Done,
    /// The announcement was accepted. Later ones are best sent to this address, the leader's.
    Announced(Option<SocketAddr>),
    /// The document in force.
    Document(Bytes),
    /// No route document has been stored yet.
    NoDocument,
    /// The request is invalid for this reason.
    Invalid(String),
    /// There is no such endpoint.
    NotFound,
    /// The leader cannot be reached. The request may be retried.
    Unavailable,
}

/// Parses requests and encodes responses.
pub trait Protocol {
    /// Parses a request.
    ///
    /// # Errors
    /// The response to a request that cannot be parsed.
    fn parse_request(
        &self,
        head: &http::request::Parts,
        body: Bytes,
    ) -> Result<ApiRequest, ApiResponse>;

    /// Encodes a response.
    fn encode_response(&self, answer: ApiResponse) -> http::Response<web::Body>;
}

/// Serves the requests of operators and targets.
pub struct Api {
    /// The client through which the leader is reached.
    pub client: Rc<VoterClient>,
    /// The wire protocol.
    pub protocol: &'static dyn Protocol,
    /// The decoder of route documents.
    pub decode: routes::Decode,
    /// The port at which every voter accepts requests.
    pub port: u16,
    /// Receives request bodies within the memory limit.
    pub intake: web::intake::Intake,
}

impl Api {
    /// Serves one request.
    pub async fn serve(
        self: Rc<Self>,
        request: http::Request<Incoming>,
    ) -> http::Response<web::Body> {
        let (head, body) = request.into_parts();
        let answer = match self.intake.collect(body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
            Ok(body) => match self.protocol.parse_request(&head, body.bytes().clone()) {
                Ok(call) => self.answer(call).await,
                Err(answer) => answer,
            },
            Err(web::Error::TooLarge) => ApiResponse::Invalid("the body is too large".to_owned()),
            Err(error @ (web::Error::Full | web::Error::Timeout)) => {
                log::warn!("{} {} is not answered: {error}", head.method, head.uri.path());
                ApiResponse::Unavailable
            }
            Err(error) => ApiResponse::Invalid(format!("the body cannot be read: {error}")),
        };
        if let ApiResponse::Invalid(reason) = &answer {
            log::warn!("{} {} is refused: {reason}", head.method, head.uri.path());
        }
        self.protocol.encode_response(answer)
    }

    async fn answer(&self, call: ApiRequest) -> ApiResponse {
        match call {
            ApiRequest::PutRoutes(text) => self.put_routes(text).await,
            ApiRequest::GetRoutes => self.get_routes().await,
            ApiRequest::Announce(state) => self.announce(*state).await,
            ApiRequest::Leave(target, incarnation) => {
                match self.ask(Request::Leave(target, incarnation)).await {
                    Ok(Reply::Done) => ApiResponse::Done,
                    _ => ApiResponse::Unavailable,
                }
            }
        }
    }

    async fn ask(&self, request: Request) -> Result<Reply, RequestError> {
        self.client.ask_leader(&request, ATTEMPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS).await
    }

    async fn put_routes(&self, text: Bytes) -> ApiResponse {
        let checked = (self.decode)(&text).and_then(|document| {
            routes::check::check(&document)?;
            Ok(document.version)
        });
        let version = match checked {
            Ok(version) => version,
            Err(report) => return ApiResponse::Invalid(report.current_context().to_string()),
        };
        let command = routes::state::Command { version, text };
        let request = Request::PutRoutes(command);
        let put =
            self.client.ask_leader(&request, PUT_ROUTES_TIMEOUT_MS, PUT_ROUTES_TIMEOUT_MS).await;
        log::info!("document {version}: {:?}", put.as_ref().map(outcome_name));
        match put {
            Ok(Reply::PutRoutes(PutRoutesOutcome::Acknowledged(_))) => ApiResponse::Done,
            _ => ApiResponse::Unavailable,
        }
    }

    async fn get_routes(&self) -> ApiResponse {
        match self.ask(Request::GetRoutes).await {
            Ok(Reply::Routes(text)) if text.is_empty() => ApiResponse::NoDocument,
            Ok(Reply::Routes(text)) => ApiResponse::Document(text),
            _ => ApiResponse::Unavailable,
        }
    }

    async fn announce(&self, state: order::State) -> ApiResponse {
        let target = state.target.clone();
        match self.ask(Request::Announce(Box::new(state))).await {
            Ok(Reply::Done) => ApiResponse::Announced(self.leader_address()),
            _ => {
                log::info!("the announcement of {target} reached no leader");
                ApiResponse::Unavailable
            }
        }
    }

    /// The address at which the leader accepts requests. Using it avoids forwarding by this voter.
    fn leader_address(&self) -> Option<SocketAddr> {
        let ip: IpAddr = self.client.leader()?.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, self.port))
    }
}

/// Names the outcome of a reply for log lines. The reply itself may be too large to log.
fn outcome_name(reply: &Reply) -> &'static str {
    match reply {
        Reply::PutRoutes(PutRoutesOutcome::Acknowledged(routes::state::Outcome::Stored)) => {
            "stored"
        }
        Reply::PutRoutes(PutRoutesOutcome::Acknowledged(routes::state::Outcome::Kept(_))) => {
            "overtaken"
        }
        Reply::PutRoutes(PutRoutesOutcome::NotDone) => "not done",
        Reply::PutRoutes(PutRoutesOutcome::Unknown) => "unknown",
        _ => "another reply",
    }
}
