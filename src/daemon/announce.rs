//! The HTTP side towards targets: they announce themselves here.

use std::sync::Arc;

use axum::Router;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Json, Response};
use axum::routing::put;
use serde_json::json;

use crate::daemon::bridge::Bridge;
use crate::ids::{Incarnation, TargetId};
use crate::membership::targets::AnnouncementOutcome;
use crate::settings::Tokens;
use crate::target::order;

/// Largest announcement, in bytes: a target may hold thousands of adapters.
const MAX_ANNOUNCEMENT_BYTES: usize = 4 << 20;

/// Tells a target where to announce itself from now on. A target that does not heed it is served
/// as well, by one more message between daemons.
pub const HOME: &str = "fescuebay-home";

/// What the handlers share.
pub struct Shared {
    /// The way to the control thread.
    pub bridge: Bridge,
    /// Who may announce a target.
    pub tokens: Tokens,
}

/// The routes for targets.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/targets/v1/{target}", put(announce).delete(leave))
        .layer(DefaultBodyLimit::max(MAX_ANNOUNCEMENT_BYTES))
        .with_state(shared)
}

/// What a target reads when its announcement was not taken.
fn refusal(status: StatusCode, why: &str) -> Response {
    let body = json!({ "status": status.as_u16(), "title": why });
    let kind = [(header::CONTENT_TYPE, "application/problem+json")];
    (status, kind, Json(body)).into_response()
}

fn is_allowed(shared: &Shared, headers: &HeaderMap) -> bool {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    token.is_some_and(|token| shared.tokens.is_target(token))
}

async fn announce(
    State(shared): State<Arc<Shared>>,
    Path(target): Path<TargetId>,
    headers: HeaderMap,
    Json(state): Json<order::State>,
) -> Response {
    if !is_allowed(&shared, &headers) {
        return refusal(StatusCode::UNAUTHORIZED, "a target's bearer token is needed");
    }
    if state.target != target {
        return refusal(StatusCode::BAD_REQUEST, "the path names another target than the body");
    }
    let home = (state.availability_zone.clone(), target);
    let run = |core: std::rc::Rc<super::core::Core>| async move {
        let taken = std::rc::Rc::clone(&core).announced(state).await;
        (taken, core.home_address(&home.0, &home.1))
    };
    match shared.bridge.run(move |core| Box::pin(run(core))).await {
        Some((taken, Some(home))) => ([(HOME, home.to_string())], answer(taken)).into_response(),
        Some((taken, None)) => answer(taken),
        None => answer(None),
    }
}

#[derive(serde::Deserialize)]
struct Life {
    incarnation: Incarnation,
}

async fn leave(
    State(shared): State<Arc<Shared>>,
    Path(target): Path<TargetId>,
    Query(life): Query<Life>,
    headers: HeaderMap,
) -> Response {
    if !is_allowed(&shared, &headers) {
        return refusal(StatusCode::UNAUTHORIZED, "a target's bearer token is needed");
    }
    let left = move |core: std::rc::Rc<super::core::Core>| core.left(target, life.incarnation);
    let taken = shared.bridge.run(|core| Box::pin(left(core))).await;
    answer(taken.flatten())
}

fn answer(taken: Option<AnnouncementOutcome>) -> Response {
    match taken {
        Some(AnnouncementOutcome::Accepted) => StatusCode::NO_CONTENT.into_response(),
        Some(AnnouncementOutcome::Stale) => {
            refusal(StatusCode::CONFLICT, "a later announcement is known")
        }
        Some(AnnouncementOutcome::Unknown) => {
            refusal(StatusCode::NOT_FOUND, "this target is not known")
        }
        None => refusal(StatusCode::SERVICE_UNAVAILABLE, "no daemon can watch this target now"),
    }
}
