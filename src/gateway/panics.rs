//! Answers callers whose requests end in a panic.
//!
//! A panic ends the task of a connection, and with it all that its caller still waits for.

use std::panic::AssertUnwindSafe;

use futures::FutureExt as _;

use super::refusal::{self, RefusalReason};
use super::retry::RequestFailure;
use crate::web::server::Answer;

/// Handles the request `id`. A panic is answered as a failure of a request that may have run, as it is not known how
/// far it came.
pub async fn answer_or_fail(id: &str, handling: impl Future<Output = Answer>) -> Answer {
    // What a panic may leave behind is in cells that are borrowed for one step each, and in guards that are dropped.
    match AssertUnwindSafe(handling).catch_unwind().await {
        Ok(answer) => answer,
        Err(_) => {
            metrics::counter!("fescuebay_request_panics_total").increment(1);
            let (failure, reason) = (RequestFailure::TargetFailed, RefusalReason::Panicked);
            Answer::Send(refusal::refuse_failed(id, failure, reason, 0))
        }
    }
}
