//! Reviews a document before it is sent: what can never match, what contradicts itself, and what it changes.
//!
//! Keys are compared by their digests and appear in findings as numbers of keys only.

use std::fmt::Display;

use super::access::{QuotaUnit, Workspace};
use super::{Document, Engine, Error, Kind, Route, Service, check};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Voters refuse the document.
    Error,
    /// The document is accepted, and part of it has no effect or not the one that was meant.
    Warning,
    /// It differs from the document in force.
    Change,
}

/// Something that was found in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The place in the document.
    pub place: String,
    /// What was found there.
    pub what: String,
}

impl Finding {
    /// The reason why a document is refused.
    pub fn of_error(error: &Error) -> Self {
        let Error { place, problem } = error.clone();
        Self { severity: Severity::Error, place, what: problem }
    }

    fn warning(place: impl Into<String>, what: impl Into<String>) -> Self {
        Self { severity: Severity::Warning, place: place.into(), what: what.into() }
    }

    fn change(place: impl Into<String>, what: impl Into<String>) -> Self {
        Self { severity: Severity::Change, place: place.into(), what: what.into() }
    }
}

/// Reviews a document: the first error, then all warnings in the order of the document.
pub fn review(document: &Document) -> Vec<Finding> {
    let checked = check::check(document).err();
    let mut findings: Vec<Finding> =
        checked.iter().map(|report| Finding::of_error(report.current_context())).collect();
    document.routes.iter().for_each(|route| review_route(route, &mut findings));
    document.services.iter().for_each(|service| review_service(document, service, &mut findings));
    let workspaces = document.access.workspaces.iter().flatten();
    workspaces.for_each(|workspace| review_workspace(workspace, &mut findings));
    findings
}

fn route_place(route: &Route) -> String {
    format!("route {}", route.name)
}

fn review_route(route: &Route, findings: &mut Vec<Finding>) {
    let place = route_place(route);
    let mut warn = |what: String| findings.push(Finding::warning(place.clone(), what));
    if let Some(reason) = host_problem(&route.host) {
        warn(format!("host {:?} can never match: {reason}", route.host));
    }
    let is_odd = |c: char| matches!(c, '?' | '#') || c.is_whitespace() || !c.is_ascii();
    if route.path_prefix.contains(is_odd) {
        warn(format!(
            "path prefix {:?} can never match: no path has such characters",
            route.path_prefix
        ));
    }
    if route.max_attempts == 0 {
        warn("it allows no attempt; one is made all the same".to_owned());
    }
    let (target_ms, timeout_ms) = (route.latency_target_ms, route.timeout_ms);
    if target_ms > timeout_ms {
        warn(format!(
            "the latency target of {target_ms} ms is above the timeout of {timeout_ms} ms"
        ));
    }
    if let Kind::Stream { gap_target_ms, .. } = route.kind
        && gap_target_ms > timeout_ms
    {
        warn(format!(
            "the gap target of {gap_target_ms} ms is above the timeout of {timeout_ms} ms"
        ));
    }
    for destination in route.destinations.iter().filter(|destination| destination.weight == 0) {
        warn(format!("service {} has no share of the requests", destination.service));
    }
}

/// Why no request has this host. Requests are compared in lower case and without their port.
fn host_problem(host: &str) -> Option<&'static str> {
    match host {
        "" => Some("it is empty"),
        _ if host.contains(char::is_uppercase) => Some("it has capital letters"),
        _ if host.contains(':') => Some("it has a port"),
        _ if host.contains(['/', '*', ' ']) => Some("it is no name of a host"),
        _ => None,
    }
}

fn review_service(document: &Document, service: &Service, findings: &mut Vec<Finding>) {
    let place = format!("service {}", service.name);
    let is_named = |route: &Route| route.destinations.iter().any(|it| it.service == service.name);
    if !document.routes.iter().any(is_named) {
        findings.push(Finding::warning(place.clone(), "no route leads to it"));
    }
    let Some(engine) = &service.engine else { return };
    if engine.slots == 0 {
        findings.push(Finding::warning(place.clone(), "its engines have no slots"));
    }
    for model in engine.models.iter().filter(|model| model.weights_mb > engine.weights_mb) {
        let what = format!(
            "model {} of {} MB does not fit into the {} MB of an engine",
            model.name, model.weights_mb, engine.weights_mb
        );
        findings.push(Finding::warning(place.clone(), what));
    }
}

fn review_workspace(workspace: &Workspace, findings: &mut Vec<Finding>) {
    let place = format!("workspace {}", workspace.name);
    if workspace.keys.is_empty() {
        findings.push(Finding::warning(place.clone(), "it has no keys, so it can send nothing"));
    }
    let Some(quota) = &workspace.quota else { return };
    let (cost, unit) = match quota.unit {
        QuotaUnit::Requests => (1.0, "requests"),
        QuotaUnit::Tokens { default_tokens } => (default_tokens as f64, "tokens"),
    };
    if quota.burst < cost {
        let burst = quota.burst;
        let what = format!("a burst of {burst} {unit} is less than the {cost} of one request");
        findings.push(Finding::warning(place, what));
    }
}

/// What `new` changes about `old`, the document in force.
pub fn compare(old: &Document, new: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    if new.version <= old.version {
        let what = format!("version {} is in force, so this one takes no effect", old.version);
        findings.push(Finding::warning("version", what));
    }
    let routes = Names {
        kind: "route",
        old: names(&old.routes, |it| it.name.clone()),
        new: names(&new.routes, |it| it.name.clone()),
    };
    routes.compare(&mut findings, |old_at, new_at| {
        let mut changes = route_changes(&old.routes[old_at], &new.routes[new_at]);
        let is_open = |document: &Document, at: usize| document.access.is_anonymous(at as u32);
        changes.note("open to requests without a key", is_open(old, old_at), is_open(new, new_at));
        changes
    });
    let services = Names {
        kind: "service",
        old: names(&old.services, |it| it.name.to_string()),
        new: names(&new.services, |it| it.name.to_string()),
    };
    services.compare(&mut findings, |old_at, new_at| {
        service_changes(&old.services[old_at], &new.services[new_at])
    });
    let workspaces = |document: &Document| document.access.workspaces.clone().unwrap_or_default();
    let (old_workspaces, new_workspaces) = (workspaces(old), workspaces(new));
    let compared = Names {
        kind: "workspace",
        old: names(&old_workspaces, |it| it.name.to_string()),
        new: names(&new_workspaces, |it| it.name.to_string()),
    };
    compared.compare(&mut findings, |old_at, new_at| {
        workspace_changes(&old_workspaces[old_at], &new_workspaces[new_at])
    });
    let mut changes = Changes::default();
    let has_keys = |document: &Document| document.access.workspaces.is_some();
    changes.note("keys are checked", has_keys(old), has_keys(new));
    changes.note("longest head", old.limits.max_head_bytes, new.limits.max_head_bytes);
    changes.note("longest body", old.limits.max_body_bytes, new.limits.max_body_bytes);
    changes.note("head timeout", old.limits.head_timeout_ms, new.limits.head_timeout_ms);
    changes.note("idle timeout", old.limits.idle_timeout_ms, new.limits.idle_timeout_ms);
    findings.extend(changes.0.into_iter().map(|what| Finding::change("limits", what)));
    findings
}

/// Names with their positions in a document, sorted.
fn names<T>(items: &[T], name: impl Fn(&T) -> String) -> Vec<(String, usize)> {
    let mut names: Vec<_> = items.iter().enumerate().map(|(at, item)| (name(item), at)).collect();
    names.sort_unstable();
    names
}

/// The entries of one kind in two documents.
struct Names {
    kind: &'static str,
    old: Vec<(String, usize)>,
    new: Vec<(String, usize)>,
}

impl Names {
    fn compare(&self, findings: &mut Vec<Finding>, changes: impl Fn(usize, usize) -> Changes) {
        let find = |names: &[(String, usize)], name: &str| {
            let at = names.binary_search_by(|(known, _)| known.as_str().cmp(name)).ok()?;
            Some(names[at].1)
        };
        let place = |name: &str| format!("{} {name}", self.kind);
        for (name, _) in self.old.iter().filter(|(name, _)| find(&self.new, name).is_none()) {
            findings.push(Finding::change(place(name), "removed"));
        }
        for (name, new_at) in &self.new {
            match find(&self.old, name) {
                None => findings.push(Finding::change(place(name), "added")),
                Some(old_at) => {
                    let changes = changes(old_at, *new_at).0.into_iter();
                    findings.extend(changes.map(|what| Finding::change(place(name), what)));
                }
            }
        }
    }
}

/// The changed fields of one entry.
#[derive(Default)]
struct Changes(Vec<String>);

impl Changes {
    fn note<T: PartialEq + Display>(&mut self, field: &str, old: T, new: T) {
        if old != new {
            self.0.push(format!("{field}: {old} -> {new}"));
        }
    }
}

fn route_changes(old: &Route, new: &Route) -> Changes {
    let shares = |route: &Route| {
        let share = |it: &super::Destination| format!("{} {}", it.service, it.weight);
        route.destinations.iter().map(share).collect::<Vec<_>>().join(", ")
    };
    let kind = |route: &Route| match route.kind {
        Kind::Idempotent => "may be repeated".to_owned(),
        Kind::AtMostOnce => "runs at most once".to_owned(),
        Kind::Stream { is_resumable, gap_target_ms, .. } => {
            let how = if is_resumable { "resumable" } else { "not resumable" };
            format!("stream, {how}, gap target {gap_target_ms} ms")
        }
    };
    let mut changes = Changes::default();
    changes.note("host", &old.host, &new.host);
    changes.note("path prefix", &old.path_prefix, &new.path_prefix);
    changes.note("kind", kind(old), kind(new));
    changes.note("timeout in ms", old.timeout_ms, new.timeout_ms);
    changes.note("latency target in ms", old.latency_target_ms, new.latency_target_ms);
    changes.note("rank", old.rank, new.rank);
    changes.note("services", shares(old), shares(new));
    changes.note("attempts", old.max_attempts, new.max_attempts);
    changes
}

fn service_changes(old: &Service, new: &Service) -> Changes {
    let mut changes = Changes::default();
    changes.note("health path", &old.health_path, &new.health_path);
    changes.note("connections", old.max_connections, new.max_connections);
    changes.note("has engines", old.engine.is_some(), new.engine.is_some());
    let (Some(old), Some(new)) = (&old.engine, &new.engine) else { return changes };
    changes.note("slots", old.slots, new.slots);
    changes.note("tokens of the KV cache", old.kv_capacity_tokens, new.kv_capacity_tokens);
    changes.note("memory in MB", old.weights_mb, new.weights_mb);
    changes.note("adapters", old.adapter_slots, new.adapter_slots);
    changes.note("loads from the store per s", old.store_loads_per_s, new.store_loads_per_s);
    model_changes(old, new, &mut changes);
    changes
}

fn model_changes(old: &Engine, new: &Engine, changes: &mut Changes) {
    let name = |model: &super::Model| model.name.to_string();
    let (old_names, new_names) = (names(&old.models, name), names(&new.models, name));
    let find = |names: &[(String, usize)], name: &str| {
        names.binary_search_by(|(known, _)| known.as_str().cmp(name)).ok().map(|at| names[at].1)
    };
    let added = new_names.iter().filter(|(name, _)| find(&old_names, name).is_none()).count();
    let removed = old_names.iter().filter(|(name, _)| find(&new_names, name).is_none()).count();
    let differs = |(name, at): &&(String, usize)| {
        find(&old_names, name).is_some_and(|old_at| old.models[old_at] != new.models[*at])
    };
    let changed = new_names.iter().filter(differs).count();
    if added + removed + changed > 0 {
        changes.0.push(format!("models: {added} added, {removed} removed, {changed} changed"));
    }
}

fn workspace_changes(old: &Workspace, new: &Workspace) -> Changes {
    let missing = |keys: &Workspace, from: &Workspace| {
        keys.keys.iter().filter(|key| from.keys.binary_search(key).is_err()).count()
    };
    let (added, removed) = (missing(new, old), missing(old, new));
    let rank = |workspace: &Workspace| match workspace.rank {
        Some(rank) => rank.to_string(),
        None => "that of the route".to_owned(),
    };
    let quota = |workspace: &Workspace| match &workspace.quota {
        None => "none".to_owned(),
        Some(quota) => {
            let unit = match quota.unit {
                QuotaUnit::Requests => "requests".to_owned(),
                QuotaUnit::Tokens { default_tokens } => {
                    format!("tokens ({default_tokens} if not stated)")
                }
            };
            format!("{} per s, burst {}, in {unit}", quota.rate_per_s, quota.burst)
        }
    };
    let mut changes = Changes::default();
    if added + removed > 0 {
        changes.0.push(format!("keys: {added} added, {removed} removed"));
    }
    changes.note("rank", rank(old), rank(new));
    changes.note("quota", quota(old), quota(new));
    changes
}
