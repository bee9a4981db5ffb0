//! Converts a job to a call, both at its submission and for each run.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, header};

use crate::ids::{Digest, ModelRef, ServiceName, TenantId};
use crate::routing::engine::Destination;
use crate::routing::refusal::{Refusal, RefusalCode};
use crate::traffic::call::Call;
use crate::traffic::edge::CallerHeaders;
use crate::traffic::handlers;
use crate::traffic::policy::{EffectivePolicy, RequestPurpose};
use crate::traffic::state::TrafficState;

/// The paths of inference requests.
const INFERENCE_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// The HTTP request that a job makes.
#[derive(Clone, Debug)]
pub(super) struct JobRequest {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) content_type: Box<str>,
    pub(super) body: Bytes,
}

/// Prepares the call of a job, and returns it with the settings that apply to it.
pub(super) fn prepare_call(
    shared: &Arc<TrafficState>,
    tenant: TenantId,
    caller_headers: &CallerHeaders,
    work: &JobRequest,
) -> Result<(Call, EffectivePolicy), Refusal> {
    let mut headers = HeaderMap::new();
    if let Ok(content_type) = HeaderValue::from_str(&work.content_type) {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    if INFERENCE_PATHS.contains(&work.path.as_str()) {
        let body = work.body.clone();
        let prepared =
            handlers::prepare_model(shared, tenant, caller_headers, &work.path, &headers, body)?;
        // A job stores a complete response, so a stream that the body may ask for is not relayed.
        let (call, effective, _is_stream) = prepared;
        return Ok((call, effective));
    }
    prepare_service(shared, tenant, caller_headers, work, &headers)
}

fn prepare_service(
    shared: &Arc<TrafficState>,
    tenant: TenantId,
    caller_headers: &CallerHeaders,
    work: &JobRequest,
    headers: &HeaderMap,
) -> Result<(Call, EffectivePolicy), Refusal> {
    let not_run = Refusal::not_run;
    let (service, path) =
        handlers::split_service_path(&work.path).ok_or(not_run(RefusalCode::NotFound))?;
    let service: ServiceName = service.parse().map_err(|_| not_run(RefusalCode::UnknownService))?;
    let method: Method = work.method.parse().map_err(|_| not_run(RefusalCode::Malformed))?;
    let is_offered = !shared.table.load().serving(&service).is_empty();
    if !is_offered && !shared.policy.is_service_configured(&service) {
        return Err(not_run(RefusalCode::UnknownService));
    }
    let parts = [service.as_str(), method.as_str(), work.path.as_str()].map(str::as_bytes);
    let digest = Digest::of(&[parts[0], parts[1], parts[2], &work.body]);
    let plain_path = path.split('?').next().unwrap_or(path).to_owned();
    let purpose = RequestPurpose::Service { service, method: method.clone(), path: plain_path };
    let body = work.body.clone();
    let (mut call, effective) =
        handlers::prepare(shared, tenant, caller_headers, purpose, digest, headers, body)?;
    // A target may offer several services at one address, so the path keeps the service name.
    call.path = work.path.clone();
    call.method = method;
    Ok((call, effective))
}

/// Returns the model that a call requests.
pub(super) fn requested_model(call: &Call) -> Option<ModelRef> {
    match &call.arrival.destination {
        Destination::Model(model) => Some(model.clone()),
        Destination::Service(_) => None,
    }
}
