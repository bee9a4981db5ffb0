//! What operators and targets ask of a voter over HTTP, passed on to the leader.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;

use super::client::{Client, Failure};
use super::message::{Put, Reply, Request};
use crate::ids::{Incarnation, TargetId};
use crate::routes;
use crate::target::order;
use crate::web;

/// Largest body of a call, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Time for the body of a call.
const BODY_LIMIT: Duration = Duration::from_millis(5_000);
/// Bodies of calls that are in memory at once, in bytes.
pub const MAX_BODIES_BYTES: usize = 32 << 20;
/// Time for one try to reach the leader.
const TRY_MS: u64 = 800;
/// Time after which a call is answered that the leader is not there. Callers wait for a second.
const GIVE_UP_MS: u64 = 850;
/// The same for a document, which takes longer the larger it is.
const GIVE_UP_DOCUMENT_MS: u64 = 2_500;

/// A call that could be read.
#[derive(Clone, Debug)]
pub enum Call {
    /// Put the document of this text in force.
    PutRoutes(Bytes),
    /// Read the document in force.
    GetRoutes,
    /// A target announces itself.
    Announce(Box<order::State>),
    /// A target is gone.
    Leave(TargetId, Option<Incarnation>),
}

/// How a call is answered.
#[derive(Clone, Debug)]
pub enum Answer {
    /// It is done.
    Done,
    /// The announcement was taken, and later ones are best sent to this address.
    Announced(Option<SocketAddr>),
    /// The document in force.
    Document(Bytes),
    /// There is no document yet.
    NoDocument,
    /// The call is wrong, for this reason.
    Invalid(String),
    /// There is no such call.
    Unknown,
    /// Nobody can answer now; it may be sent again.
    Unavailable,
}

/// How calls are read and answers are written.
pub trait Protocol {
    /// Reads a call.
    ///
    /// # Errors
    /// The answer to a call that cannot be read.
    fn read(&self, head: &http::request::Parts, body: Bytes) -> Result<Call, Answer>;

    /// Writes an answer.
    fn write(&self, answer: Answer) -> http::Response<web::Body>;
}

/// Answers calls.
pub struct Api {
    /// The way to the leader.
    pub client: Rc<Client>,
    /// How calls are read.
    pub protocol: &'static dyn Protocol,
    /// How documents are read.
    pub decode: routes::Decode,
    /// The port at which every voter takes calls.
    pub port: u16,
    /// Reads the bodies of calls.
    pub intake: web::intake::Intake,
}

impl Api {
    /// Answers one request.
    pub async fn serve(
        self: Rc<Self>,
        request: http::Request<Incoming>,
    ) -> http::Response<web::Body> {
        let (head, body) = request.into_parts();
        let answer = match self.intake.collect(body, MAX_BODY_BYTES, BODY_LIMIT).await {
            Ok(body) => match self.protocol.read(&head, body.bytes().clone()) {
                Ok(call) => self.answer(call).await,
                Err(answer) => answer,
            },
            Err(web::Error::TooLarge) => Answer::Invalid("the body is too large".to_owned()),
            Err(error @ (web::Error::Full | web::Error::Timeout)) => {
                log::warn!("{} {} is not answered: {error}", head.method, head.uri.path());
                Answer::Unavailable
            }
            Err(error) => Answer::Invalid(format!("the body cannot be read: {error}")),
        };
        if let Answer::Invalid(reason) = &answer {
            log::warn!("{} {} is refused: {reason}", head.method, head.uri.path());
        }
        self.protocol.write(answer)
    }

    async fn answer(&self, call: Call) -> Answer {
        match call {
            Call::PutRoutes(text) => self.put_routes(text).await,
            Call::GetRoutes => self.get_routes().await,
            Call::Announce(state) => self.announce(*state).await,
            Call::Leave(target, incarnation) => {
                match self.ask(Request::Left(target, incarnation)).await {
                    Ok(Reply::Done) => Answer::Done,
                    _ => Answer::Unavailable,
                }
            }
        }
    }

    async fn ask(&self, request: Request) -> Result<Reply, Failure> {
        self.client.ask_leader(&request, TRY_MS, GIVE_UP_MS).await
    }

    async fn put_routes(&self, text: Bytes) -> Answer {
        let checked = (self.decode)(&text).and_then(|document| {
            routes::check::check(&document)?;
            Ok(document.version)
        });
        let version = match checked {
            Ok(version) => version,
            Err(report) => return Answer::Invalid(report.current_context().to_string()),
        };
        let command = routes::state::Command { version, text };
        let request = Request::PutRoutes(command);
        let put = self.client.ask_leader(&request, GIVE_UP_DOCUMENT_MS, GIVE_UP_DOCUMENT_MS).await;
        log::info!("document {version}: {:?}", put.as_ref().map(kind));
        match put {
            Ok(Reply::Put(Put::Acknowledged(_))) => Answer::Done,
            _ => Answer::Unavailable,
        }
    }

    async fn get_routes(&self) -> Answer {
        match self.ask(Request::GetRoutes).await {
            Ok(Reply::Routes(text)) if text.is_empty() => Answer::NoDocument,
            Ok(Reply::Routes(text)) => Answer::Document(text),
            _ => Answer::Unavailable,
        }
    }

    async fn announce(&self, state: order::State) -> Answer {
        let target = state.target.clone();
        match self.ask(Request::Announced(Box::new(state))).await {
            Ok(Reply::Done) => Answer::Announced(self.leader_address()),
            _ => {
                log::info!("the announcement of {target} reached no leader");
                Answer::Unavailable
            }
        }
    }

    /// Where the leader takes calls, which saves the way over this voter.
    fn leader_address(&self) -> Option<SocketAddr> {
        let ip: IpAddr = self.client.leader()?.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, self.port))
    }
}

/// The kind of a reply, for logs: its content may be large.
fn kind(reply: &Reply) -> &'static str {
    match reply {
        Reply::Put(Put::Acknowledged(routes::state::Outcome::Stored)) => "stored",
        Reply::Put(Put::Acknowledged(routes::state::Outcome::Kept(_))) => "overtaken",
        Reply::Put(Put::NotDone) => "not done",
        Reply::Put(Put::Unknown) => "unknown",
        _ => "another reply",
    }
}
