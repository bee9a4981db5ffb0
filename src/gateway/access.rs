//! Decides for whom a request is, by the key that it carries.
//!
//! Worst-case load: keys are withdrawn while routers are cut off from the leader, and callers go on
//! sending with them.

use std::sync::Arc;

use super::{Credential, RequestInfo};
use crate::routes::access::Workspace;
use crate::routes::index::Index;

/// What a router does about keys while it is cut off from the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevocationSettings {
    /// Whether keys are refused once the document may be older than `max_age_ms`.
    pub fail_closed: bool,
    /// Time without news from a leader after which withdrawn keys may be unknown here.
    pub max_age_ms: u64,
}

/// For whom a request is.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Identity {
    /// Requests carry no keys.
    #[default]
    Unchecked,
    /// The route needs no key, and the request has none that is known.
    Anonymous,
    /// It is for this workspace.
    Workspace(Arc<Workspace>),
}

impl Identity {
    /// The workspace of the request.
    pub fn workspace(&self) -> Option<&Arc<Workspace>> {
        match self {
            Identity::Workspace(workspace) => Some(workspace),
            Identity::Unchecked | Identity::Anonymous => None,
        }
    }

    /// The rank of the request: that of its workspace goes before that of its route.
    pub fn rank(&self, route_rank: u8) -> u8 {
        self.workspace().and_then(|workspace| workspace.rank).unwrap_or(route_rank)
    }
}

/// Whether a request may be sent to a target.
#[derive(Clone, Debug, PartialEq)]
pub enum AccessDecision {
    /// It may, for this identity.
    Granted(Identity),
    /// It needs the key of a workspace and has none.
    Denied,
    /// Its key may have been withdrawn: this router has heard of no leader for too long.
    Unknown,
}

/// Decides on a request to the route at `route`. `age_ms` is the time since the last news from a leader.
pub fn decide(
    index: &Index,
    route: u32,
    info: &RequestInfo,
    age_ms: u64,
    settings: RevocationSettings,
) -> AccessDecision {
    let access = &index.document().access;
    if access.workspaces.is_none() {
        return AccessDecision::Granted(Identity::Unchecked);
    }
    let found = match &info.credential {
        Credential::Key(key) => index.workspace(key),
        Credential::Missing | Credential::Invalid => None,
    };
    match found {
        Some(_) if settings.fail_closed && age_ms > settings.max_age_ms => AccessDecision::Unknown,
        Some(workspace) => AccessDecision::Granted(Identity::Workspace(Arc::clone(workspace))),
        None if access.is_anonymous(route) => AccessDecision::Granted(Identity::Anonymous),
        None => AccessDecision::Denied,
    }
}

/// The identity of a request that another router has checked and forwards with the name of its workspace.
pub fn accept_forwarded(index: &Index, info: &RequestInfo) -> Identity {
    if index.document().access.workspaces.is_none() {
        return Identity::Unchecked;
    }
    let Some(name) = &info.workspace else { return Identity::Anonymous };
    match index.workspace_named(name.as_str()) {
        Some(workspace) => Identity::Workspace(Arc::clone(workspace)),
        // The document of the other router is newer or older than the one here.
        None => Identity::Workspace(Arc::new(Workspace {
            name: name.clone(),
            keys: Vec::new(),
            rank: None,
            quota: None,
        })),
    }
}
