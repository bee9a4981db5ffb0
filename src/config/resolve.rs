//! Finds the values that apply to one subject.
//!
//! Order of precedence, the strongest last: built-in values; fleet defaults; the class of the
//! request in the catalogue; exceptions, by the most specific field of their scopes: tenant,
//! class, service, model, adapter, availability zone, target. A scope with several fields is
//! stronger than one that lacks its most specific field. Two exceptions in force never set one
//! key for one scope, so there is no tie.

use std::fmt;

use super::index::is_applied;
use super::scope::Subject;
use super::{Effective, Fleet, Key, Setting, Value};
use crate::ids::{ClassName, ExceptionId};

/// The line that a value comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The program itself.
    BuiltIn,
    /// A fleet default.
    Default,
    /// A class of the catalogue.
    Class(ClassName),
    /// An exception.
    Exception(ExceptionId),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::BuiltIn => f.pad("built in"),
            Source::Default => f.pad("default"),
            Source::Class(name) => f.pad(&format!("class {name}")),
            Source::Exception(id) => f.pad(&format!("exception {id}")),
        }
    }
}

/// Why one value applies.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Explained {
    /// The key and the value that applies.
    #[serde(flatten)]
    pub setting: Setting,
    /// Where the value comes from.
    pub decided_by: Source,
    /// What it went before, the strongest first.
    pub instead_of: Vec<(Source, String)>,
}

/// The values that apply to `subject`.
pub fn resolve(fleet: &Fleet, subject: &Subject<'_>) -> Effective {
    let mut effective = fleet.base().clone();
    if let Some(class) = subject.class.and_then(|name| fleet.catalogue().class(name)) {
        effective.rank = class.rank;
        effective.weight = class.weight;
        effective.deadline_ms = class.deadline_ms;
        effective.is_important = class.is_important;
    }
    for exception in fleet.index().matching(fleet.exceptions(), subject) {
        for Setting { key, value } in &exception.settings {
            if is_applied(exception, *key, subject) {
                effective.set(*key, value);
            }
        }
    }
    effective
}

/// Why each value applies to `subject`, by key.
pub fn explain(fleet: &Fleet, subject: &Subject<'_>) -> Vec<Explained> {
    Key::ALL.iter().map(|key| explain_key(fleet, subject, *key)).collect()
}

fn explain_key(fleet: &Fleet, subject: &Subject<'_>, key: Key) -> Explained {
    let mut layers = vec![(Source::BuiltIn, Effective::default().get(key))];
    if let Some(default) = fleet.defaults().get(key) {
        layers.push((Source::Default, default.value.clone()));
    }
    if let Some(class) = subject.class.and_then(|name| fleet.catalogue().class(name)) {
        let value = match key {
            Key::Rank => Some(Value::Count(class.rank)),
            Key::Weight => Some(Value::Count(class.weight)),
            Key::Deadline => Some(Value::Millis(class.deadline_ms)),
            Key::Important => Some(Value::Flag(class.is_important)),
            _ => None,
        };
        layers.extend(value.map(|value| (Source::Class(class.name.clone()), value)));
    }
    for exception in fleet.index().matching(fleet.exceptions(), subject) {
        let applied =
            |setting: &&Setting| setting.key == key && is_applied(exception, key, subject);
        if let Some(setting) = exception.settings.iter().find(applied) {
            layers.push((Source::Exception(exception.id), setting.value.clone()));
        }
    }
    let (decided_by, value) = layers.pop().expect("the built-in layer");
    let instead_of = layers.into_iter().rev().map(|(source, value)| (source, value.to_string()));
    Explained { setting: Setting { key, value }, decided_by, instead_of: instead_of.collect() }
}
