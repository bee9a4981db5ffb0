//! From the work of a job to a call, for the door and for each run.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, header};

use crate::ids::{Digest, ModelRef, ServiceName, TenantId};
use crate::routing::engine::Destination;
use crate::routing::refusal::{Refusal, RefusalCode};
use crate::traffic::call::Call;
use crate::traffic::edge::Stated;
use crate::traffic::handle;
use crate::traffic::policy::{Effective, Use};
use crate::traffic::shared::Shared;

/// The paths of inference.
const INFERENCE_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// What is to be called.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) content_type: Box<str>,
    pub(super) body: Bytes,
}

/// The call of some work, with what the configuration says of it.
pub(super) fn call(
    shared: &Arc<Shared>,
    tenant: TenantId,
    stated: &Stated,
    work: &Work,
) -> Result<(Call, Effective), Refusal> {
    let mut headers = HeaderMap::new();
    if let Ok(content_type) = HeaderValue::from_str(&work.content_type) {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    if INFERENCE_PATHS.contains(&work.path.as_str()) {
        let body = work.body.clone();
        let prepared = handle::prepare_model(shared, tenant, stated, &work.path, &headers, body)?;
        // What is kept is a whole answer, so the stream that the body may ask for is not relayed.
        let (call, effective, _is_stream) = prepared;
        return Ok((call, effective));
    }
    service(shared, tenant, stated, work, &headers)
}

fn service(
    shared: &Arc<Shared>,
    tenant: TenantId,
    stated: &Stated,
    work: &Work,
    headers: &HeaderMap,
) -> Result<(Call, Effective), Refusal> {
    let not_run = Refusal::not_run;
    let (service, path) = handle::split_path(&work.path).ok_or(not_run(RefusalCode::NotFound))?;
    let service: ServiceName = service.parse().map_err(|_| not_run(RefusalCode::UnknownService))?;
    let method: Method = work.method.parse().map_err(|_| not_run(RefusalCode::Malformed))?;
    let is_offered = !shared.table.load().serving(&service).is_empty();
    if !is_offered && !shared.policy.knows_service(&service) {
        return Err(not_run(RefusalCode::UnknownService));
    }
    let parts = [service.as_str(), method.as_str(), work.path.as_str()].map(str::as_bytes);
    let digest = Digest::of(&[parts[0], parts[1], parts[2], &work.body]);
    let plain_path = path.split('?').next().unwrap_or(path).to_owned();
    let purpose = Use::Service { service, method: method.clone(), path: plain_path };
    let body = work.body.clone();
    let (mut call, effective) =
        handle::prepare(shared, tenant, stated, purpose, digest, headers, body)?;
    // A target may offer several services at one address, so it is told which one.
    call.path = work.path.clone();
    call.method = method;
    Ok((call, effective))
}

/// The model that a call asks for.
pub(super) fn model(call: &Call) -> Option<ModelRef> {
    match &call.arrival.destination {
        Destination::Model(model) => Some(model.clone()),
        Destination::Service(_) => None,
    }
}
