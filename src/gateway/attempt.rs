//! A request on its way through the router, and its attempts at targets.

use std::rc::Rc;

use http::{HeaderMap, Method};
use hyper::body::Incoming;

use super::access::Identity;
use super::balancer::TargetQuery;
use super::continuation::Continuation;
use super::refusal::{self, RefusalReason};
use super::reservation::SlotReservation;
use super::retry::{RequestFailure, UnsentAttempts};
use super::state::RouterState;
use super::{RequestInfo, poison};
use crate::ids::{ServiceName, SoftwareVersion, TargetId};
use crate::poison::{ContentHash, Subject};
use crate::quota::pool::Charge;
use crate::rate_limit::TargetLife;
use crate::routes::{Route, Version};
use crate::web::client::Connection;
use crate::web::read_ahead::Caller;
use crate::web::server::ConnectionEnd;
use crate::web::{self, Body};

/// Callers may stop reading for this long, also those whose requests have less time.
const MIN_CALLER_PAUSE_MS: u64 = 5_000;

/// A request that was matched to a route.
pub(super) struct RoutedRequest {
    pub info: RequestInfo,
    pub route: Rc<Route>,
    pub service: ServiceName,
    /// For whom it is.
    pub identity: Identity,
    /// Its priority; 0 is served first.
    pub rank: u8,
    pub method: Method,
    pub uri: http::Uri,
    pub headers: HeaderMap,
    pub body: web::intake::Held,
    /// Whether the service is one of model engines.
    pub is_engine: bool,
    /// The document that its route is from.
    pub document_version: Version,
    /// The same for each repetition of the request.
    pub content: ContentHash,
    pub arrived_ms: u64,
    pub deadline_ms: u64,
    /// Tokens that it needs in the memory of an engine; 0 if it is not known.
    pub need_tokens: u64,
    /// Targets at which attempts failed.
    pub avoided_targets: std::cell::RefCell<Vec<TargetId>>,
    /// Which targets may write the next events of the stream.
    pub continuation: std::cell::RefCell<Continuation>,
    /// Number of attempts that a target may have run.
    pub possible_runs: std::cell::Cell<u32>,
    /// Attempts that could not be sent to a target.
    pub unsent_attempts: std::cell::RefCell<UnsentAttempts>,
    /// Whether another router sent it, so that it stays here.
    pub is_forwarded: bool,
    /// Number of attempts that were sent.
    pub attempts: std::cell::Cell<u32>,
    /// What of it may crash targets.
    pub subjects: Vec<Subject>,
    /// Whether a connection broke before an answer had begun.
    pub is_suspect: std::cell::Cell<bool>,
    /// The trial that it was permitted, while that is under way.
    pub trial: std::cell::RefCell<Option<poison::Trial>>,
    /// What it cost of the quota of its workspace.
    pub charge: std::cell::RefCell<Option<Charge>>,
    /// Ends the connection that it came on.
    pub connection: Option<ConnectionEnd>,
}

/// An attempt that was sent to a target.
pub(super) struct SentAttempt {
    /// The target.
    pub life: TargetLife,
    /// When it was sent.
    pub sent_ms: u64,
    /// Whether the target went on after it had begun to answer.
    pub has_answered: bool,
}

impl SentAttempt {
    /// An attempt that begins now.
    pub fn begin(router: &RouterState, reservation: &SlotReservation) -> Self {
        Self { life: reservation.life(), sent_ms: router.now_ms(), has_answered: false }
    }
}

impl RoutedRequest {
    /// Number of prompt tokens.
    pub fn prompt_tokens(&self) -> u64 {
        self.info.prompt_parts.iter().map(|(_, prompt_tokens)| u64::from(*prompt_tokens)).sum()
    }

    pub fn elapsed_ms(&self, router: &RouterState) -> u64 {
        router.now_ms().saturating_sub(self.arrived_ms)
    }

    pub fn remaining_ms(&self, router: &RouterState) -> u64 {
        self.deadline_ms.saturating_sub(router.now_ms())
    }

    /// The caller, for whom its response is held.
    pub fn caller(&self) -> Caller {
        let total_ms = self.deadline_ms.saturating_sub(self.arrived_ms);
        Caller {
            request: self.info.id.clone(),
            connection: self.connection.clone(),
            deadline_ms: self.deadline_ms,
            max_stall_ms: total_ms.max(MIN_CALLER_PAUSE_MS),
        }
    }

    /// Builds the error response to the request when it is given up.
    pub fn give_up(
        &self,
        router: &RouterState,
        failure: RequestFailure,
        reason: RefusalReason,
    ) -> http::Response<Body> {
        if failure == RequestFailure::NotRun {
            self.refund_quota(router);
        }
        refusal::refuse_failed(&self.info.id, failure, reason, self.elapsed_ms(router))
    }

    /// Describes the request to the balancer.
    pub fn query<'a>(
        &'a self,
        avoided_targets: &'a [TargetId],
        continuation: &'a Continuation,
    ) -> TargetQuery<'a> {
        TargetQuery {
            service: &self.service,
            model: self.info.model.as_ref(),
            prompt_parts: &self.info.prompt_parts,
            need_tokens: self.need_tokens,
            avoided_targets,
            continuation,
            rank: self.rank,
            salt: 0,
        }
    }

    /// Whether a target other than `target` could take the request now.
    pub fn has_other_target(&self, router: &RouterState, target: &TargetId) -> bool {
        let avoided_targets = [target.clone()];
        let continuation = self.continuation.borrow();
        let query = self.query(&avoided_targets, &continuation);
        router.balancer.borrow().has_other_target(router.now_ms(), &query, target)
    }

    /// Records the software version that writes the first events of the stream.
    pub fn begin_stream(&self, software: Option<SoftwareVersion>) {
        let mut continuation = self.continuation.borrow_mut();
        if *continuation == Continuation::Unbound {
            *continuation = Continuation::of(software);
        }
    }

    /// Whether a target may still run the request.
    pub fn has_attempts_left(&self) -> bool {
        self.possible_runs.get() < self.route.max_attempts.max(1)
    }
}

/// A response of a target whose head has arrived.
pub(super) struct TargetResponse {
    pub reservation: SlotReservation,
    pub connection: Connection,
    pub head: http::response::Parts,
    pub body: Incoming,
    pub sent_ms: u64,
}
