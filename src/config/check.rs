//! Whether a change can be made: every problem of it, named.

use super::catalogue::{Adapter, Class, Model};
use super::change::{Change, Edit, Problem};
use super::scope::{self, Mask, Scope};
use super::{Fleet, Key, NewException, Reach, Setting, Value, consistency};
use crate::ids::{ExceptionId, TargetId, TenantId, Zone};
use crate::units::Bytes;

/// The most edits of one change.
pub const MAX_EDITS: usize = 5_000;
/// The most exceptions of a fleet.
pub const MAX_EXCEPTIONS: usize = 5_000;
/// The longest reason, in bytes.
pub const MAX_REASON_BYTES: usize = 500;

/// What the leader knows beside the configuration. What is not known is not checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// The availability zones, sorted.
    pub zones: Option<Vec<Zone>>,
    /// The targets, sorted.
    pub targets: Option<Vec<TargetId>>,
    /// The tenants, sorted.
    pub tenants: Option<Vec<TenantId>>,
    /// Accelerator memory of all targets together.
    pub memory_bytes: Option<Bytes>,
    /// Accelerator memory of the largest target.
    pub largest_target_bytes: Option<Bytes>,
}

impl Facts {
    /// What is known from the targets, each with its zone and accelerator memory, from the zones
    /// of daemons, and from the tenants. Without any target, targets and memory are not known.
    pub fn new(
        targets: impl IntoIterator<Item = (TargetId, Zone, Bytes)>,
        mut zones: Vec<Zone>,
        tenants: Vec<TenantId>,
    ) -> Self {
        let (mut ids, mut memory) = (Vec::new(), Vec::new());
        for (id, zone, memory_bytes) in targets {
            ids.push(id);
            zones.push(zone);
            memory.push(memory_bytes.0);
        }
        let has_targets = !ids.is_empty();
        Self {
            zones: (!zones.is_empty()).then(|| sorted(zones)),
            targets: has_targets.then(|| sorted(ids)),
            tenants: Some(sorted(tenants)),
            memory_bytes: has_targets.then(|| Bytes(memory.iter().sum())),
            largest_target_bytes: memory.iter().max().map(|largest| Bytes(*largest)),
        }
    }
}

fn sorted<T: Ord>(mut list: Vec<T>) -> Vec<T> {
    list.sort_unstable();
    list.dedup();
    list
}

/// Collects the problems of one edit.
struct Found<'a> {
    problems: &'a mut Vec<Problem>,
    edit: u32,
}

impl Found<'_> {
    fn add(&mut self, what: impl Into<String>) {
        self.problems.push(Problem { edit: self.edit, what: what.into() });
    }
}

/// Every problem of a change that is made on `fleet` at Unix time `now_ms`.
pub(super) fn problems(fleet: &Fleet, change: &Change, facts: &Facts, now_ms: u64) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut found = Found { problems: &mut problems, edit: 0 };
    if change.edits.is_empty() {
        found.add("it changes nothing");
    }
    if change.edits.len() > MAX_EDITS {
        found.add(format!("it has {} edits, {MAX_EDITS} are the most", change.edits.len()));
        return problems;
    }
    if change.reason.len() > MAX_REASON_BYTES {
        found.add(format!("the reason is over {MAX_REASON_BYTES} bytes"));
    }
    let mut next = fleet.clone();
    for (place, edit) in change.edits.iter().enumerate() {
        found.edit = place as u32 + 1;
        check_edit(&next, edit, facts, now_ms, &mut found);
        next.edit(edit, &change.author, now_ms);
    }
    next.derive();
    // What was wrong before, as when an exception ended or a zone was lost, must not stop a change.
    let before = consistency::contradictions(fleet, facts, now_ms);
    let after = consistency::contradictions(&next, facts, now_ms);
    found.edit = 0;
    after.into_iter().filter(|what| !before.contains(what)).for_each(|what| found.add(what));
    if let Some(what) = consistency::overcommitment(fleet, &next, facts, now_ms) {
        found.add(what);
    }
    problems
}

fn check_edit(fleet: &Fleet, edit: &Edit, facts: &Facts, now_ms: u64, found: &mut Found<'_>) {
    match edit {
        Edit::SetDefault(Setting { key, .. }) if key.reach() == Reach::Targets => {
            found.add(format!("{key} is no default: add an exception for a target or zone"));
        }
        Edit::SetDefault(_) | Edit::ResetDefault(_) => {}
        Edit::AddException(new) => check_exception(fleet, new, facts, now_ms, found),
        Edit::RemoveException(id) if fleet.exception(*id).is_none() => {
            found.add(format!("there is no exception {id}"));
        }
        Edit::RemoveException(_) => {}
        Edit::PutModel(model) => check_model(model, facts, found),
        Edit::RemoveModel(name) if fleet.catalogue().model(name).is_none() => {
            found.add(format!("there is no model {name}"));
        }
        Edit::RemoveModel(name) => {
            check_unused(fleet, found, |scope| scope.model.as_ref() == Some(name));
        }
        Edit::PutAdapter(model, adapter) => {
            if fleet.catalogue().model(model).is_none() {
                found.add(format!("there is no model {model}"));
            }
            check_adapter(adapter, facts, found);
        }
        Edit::RemoveAdapter(model, name) => {
            let known = fleet.catalogue().model(model).and_then(|model| model.adapter(name));
            if known.is_none() {
                found.add(format!("there is no adapter {model}:{name}"));
            }
            check_unused(fleet, found, |scope| {
                scope.model.as_ref() == Some(model) && scope.adapter.as_ref() == Some(name)
            });
        }
        Edit::PutService(service) => {
            for route in &service.idempotent {
                if route.method.is_empty() || route.method != route.method.to_ascii_uppercase() {
                    found.add(format!("{:?} is no HTTP method in capitals", route.method));
                }
                if !route.path.starts_with('/') {
                    found.add(format!("the path {:?} does not begin with /", route.path));
                }
            }
        }
        Edit::RemoveService(name) if fleet.catalogue().service(name).is_none() => {
            found.add(format!("there is no service {name}"));
        }
        Edit::RemoveService(name) => {
            check_unused(fleet, found, |scope| scope.service.as_ref() == Some(name));
        }
        Edit::PutClass(class) => check_class(class, found),
        Edit::RemoveClass(name) if fleet.catalogue().class(name).is_none() => {
            found.add(format!("there is no class {name}"));
        }
        Edit::RemoveClass(name) => {
            check_unused(fleet, found, |scope| scope.class.as_ref() == Some(name));
        }
    }
}

fn check_unused(fleet: &Fleet, found: &mut Found<'_>, uses: impl Fn(&Scope) -> bool) {
    for exception in fleet.exceptions().iter().filter(|exception| uses(&exception.scope)) {
        found.add(format!("exception {} still names it: {}", exception.id, exception.scope));
    }
}

fn check_model(model: &Model, facts: &Facts, found: &mut Found<'_>) {
    check_weights(&model.name.to_string(), model.memory_bytes, facts, found);
    if model.slots == 0 {
        found.add(format!("{} has no slots: write 1 or more", model.name));
    }
    model.adapters.iter().for_each(|adapter| check_adapter(adapter, facts, found));
}

fn check_adapter(adapter: &Adapter, facts: &Facts, found: &mut Found<'_>) {
    check_weights(&adapter.name.to_string(), adapter.memory_bytes, facts, found);
}

fn check_weights(name: &str, memory_bytes: Bytes, facts: &Facts, found: &mut Found<'_>) {
    if memory_bytes == Bytes(0) {
        found.add(format!("{name} takes no memory: write its size"));
    }
    if let Some(largest) = facts.largest_target_bytes
        && memory_bytes > largest
    {
        found.add(format!("{name} takes {memory_bytes}, the largest target has {largest}"));
    }
}

fn check_class(class: &Class, found: &mut Found<'_>) {
    let settings = [
        (Key::Rank, Value::Count(class.rank)),
        (Key::Weight, Value::Count(class.weight)),
        (Key::Deadline, Value::Millis(class.deadline_ms)),
    ];
    for (key, value) in settings {
        if let Err(what) = key.read(&value.to_string()) {
            found.add(format!("class {}: {key}: {what}", class.name));
        }
    }
}

fn check_exception(
    fleet: &Fleet,
    new: &NewException,
    facts: &Facts,
    now_ms: u64,
    found: &mut Found<'_>,
) {
    if new.reason.trim().is_empty() {
        found.add("an exception needs a written reason");
    }
    if new.reason.len() > MAX_REASON_BYTES {
        found.add(format!("the reason is over {MAX_REASON_BYTES} bytes"));
    }
    if new.settings.is_empty() {
        found.add("the exception sets nothing");
    }
    if new.end_ms.is_some_and(|end_ms| end_ms <= now_ms) {
        found.add("the exception ends before it begins");
    }
    if fleet.exceptions().len() >= MAX_EXCEPTIONS {
        found.add(format!("there are {MAX_EXCEPTIONS} exceptions already: remove some"));
    }
    check_scope(fleet, &new.scope, facts, found);
    for (place, setting) in new.settings.iter().enumerate() {
        if new.settings[..place].iter().any(|other| other.key == setting.key) {
            found.add(format!("{} is set twice", setting.key));
        }
        if let Err(what) = check_reach(setting.key.reach(), &new.scope) {
            found.add(format!("{}: {what}", setting.key));
        }
        for other in contradicted(fleet, new, setting, now_ms) {
            found.add(format!(
                "exception {other} sets {} for {} already: remove it first",
                setting.key, new.scope
            ));
        }
    }
}

/// Exceptions in force that set the same key for the same scope.
fn contradicted<'a>(
    fleet: &'a Fleet,
    new: &'a NewException,
    setting: &'a Setting,
    now_ms: u64,
) -> impl Iterator<Item = ExceptionId> + 'a {
    let same = fleet.exceptions().iter().filter(move |other| {
        other.is_in_force(now_ms)
            && other.scope == new.scope
            && other.settings.iter().any(|theirs| theirs.key == setting.key)
    });
    same.map(|other| other.id)
}

fn check_scope(fleet: &Fleet, scope: &Scope, facts: &Facts, found: &mut Found<'_>) {
    if scope.mask() == 0 {
        found.add("the exception names nothing: for the whole fleet set a default");
    }
    let catalogue = fleet.catalogue();
    if let Some(name) = &scope.model {
        let model = catalogue.model(name);
        match (&scope.adapter, model) {
            (_, None) => found.add(format!("there is no model {name}")),
            (Some(adapter), Some(model)) if model.adapter(adapter).is_none() => {
                found.add(format!("there is no adapter {name}:{adapter}"));
            }
            _ => {}
        }
    }
    if let Some(name) = &scope.class
        && catalogue.class(name).is_none()
    {
        found.add(format!("there is no class {name}"));
    }
    if let Some(name) = &scope.service
        && catalogue.service(name).is_none()
    {
        found.add(format!("there is no service {name}"));
    }
    check_known("tenant", &scope.tenant, &facts.tenants, found);
    check_known("availability zone", &scope.availability_zone, &facts.zones, found);
    check_known("target", &scope.target, &facts.targets, found);
}

fn check_known<T: Ord + std::fmt::Display>(
    what: &str,
    name: &Option<T>,
    known: &Option<Vec<T>>,
    found: &mut Found<'_>,
) {
    if let (Some(name), Some(known)) = (name, known)
        && known.binary_search(name).is_err()
    {
        found.add(format!("there is no {what} {name}"));
    }
}

/// Whether keys of `reach` may be set for `scope`.
fn check_reach(reach: Reach, scope: &Scope) -> Result<(), &'static str> {
    const REQUEST: Mask =
        scope::TENANT | scope::CLASS | scope::SERVICE | scope::MODEL | scope::ADAPTER;
    const MODEL: Mask = scope::MODEL | scope::ADAPTER;
    const PLACE: Mask = scope::ZONE | scope::TARGET;
    let mask = scope.mask();
    let is_within = |allowed: Mask| mask & !allowed == 0;
    match reach {
        Reach::Requests if !is_within(REQUEST) => {
            Err("it governs requests: name a tenant, class, service, model or adapter")
        }
        Reach::Models if !is_within(MODEL) => Err("it governs replicas: name a model or adapter"),
        Reach::Places if !is_within(MODEL | PLACE) || mask & PLACE == 0 => {
            Err("it governs places: name a zone or target, and a model or adapter if it is for one")
        }
        Reach::Targets if !is_within(PLACE) => Err("it governs targets: name a zone or target"),
        Reach::Fleet => Err("it is for the whole fleet: set a default"),
        _ => Ok(()),
    }
}
