//! What an exception applies to, and what values are asked for.

use std::cmp::Ordering;
use std::fmt;
use std::str::FromStr;

use crate::ids::{
    AdapterName, ClassName, ModelName, ModelRef, ServiceName, TargetId, TenantId, Zone,
};

/// What an exception applies to: everything that matches each of the fields that are set.
///
/// Written as `tenant=desk,model=quill`, or `adapter=quill:tower-7` for an adapter of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Scope {
    /// Requests of a tenant.
    pub tenant: Option<TenantId>,
    /// Requests of a class.
    pub class: Option<ClassName>,
    /// Requests to a service.
    pub service: Option<ServiceName>,
    /// A model, and for keys of requests also its adapters.
    pub model: Option<ModelName>,
    /// An adapter of that model.
    pub adapter: Option<AdapterName>,
    /// An availability zone.
    pub availability_zone: Option<Zone>,
    /// A target.
    pub target: Option<TargetId>,
}

/// The fields of a scope that are set. A higher mask is more specific: of the fields, target
/// counts most, then availability zone, adapter, model, service, class, and tenant least.
pub(super) type Mask = u8;

/// Bit of [`Scope::tenant`].
pub(super) const TENANT: Mask = 1;
/// Bit of [`Scope::class`].
pub(super) const CLASS: Mask = 1 << 1;
/// Bit of [`Scope::service`].
pub(super) const SERVICE: Mask = 1 << 2;
/// Bit of [`Scope::model`].
pub(super) const MODEL: Mask = 1 << 3;
/// Bit of [`Scope::adapter`].
pub(super) const ADAPTER: Mask = 1 << 4;
/// Bit of [`Scope::availability_zone`].
pub(super) const ZONE: Mask = 1 << 5;
/// Bit of [`Scope::target`].
pub(super) const TARGET: Mask = 1 << 6;

fn bit<T>(field: &Option<T>, bit: Mask) -> Mask {
    if field.is_some() { bit } else { 0 }
}

/// Orders two fields that are both set, and ignores one that is not.
fn order<T: Ord>(scope: &Option<T>, subject: Option<&T>) -> Ordering {
    match (scope, subject) {
        (Some(scope), Some(subject)) => scope.cmp(subject),
        _ => Ordering::Equal,
    }
}

impl Scope {
    /// The fields that are set.
    pub(super) fn mask(&self) -> Mask {
        bit(&self.tenant, TENANT)
            | bit(&self.class, CLASS)
            | bit(&self.service, SERVICE)
            | bit(&self.model, MODEL)
            | bit(&self.adapter, ADAPTER)
            | bit(&self.availability_zone, ZONE)
            | bit(&self.target, TARGET)
    }

    /// Orders this scope beside the part of `subject` that it speaks of.
    pub(super) fn order(&self, subject: &Subject<'_>) -> Ordering {
        order(&self.tenant, subject.tenant)
            .then_with(|| order(&self.class, subject.class))
            .then_with(|| order(&self.service, subject.service))
            .then_with(|| order(&self.model, subject.model))
            .then_with(|| order(&self.adapter, subject.adapter))
            .then_with(|| order(&self.availability_zone, subject.availability_zone))
            .then_with(|| order(&self.target, subject.target))
    }

    /// The model or adapter that it names.
    pub fn model_ref(&self) -> Option<ModelRef> {
        let model = self.model.clone()?;
        Some(ModelRef { model, adapter: self.adapter.clone() })
    }

    /// The subject that matches this scope and names nothing else.
    pub fn subject(&self, now_ms: u64) -> Subject<'_> {
        Subject {
            tenant: self.tenant.as_ref(),
            class: self.class.as_ref(),
            service: self.service.as_ref(),
            model: self.model.as_ref(),
            adapter: self.adapter.as_ref(),
            availability_zone: self.availability_zone.as_ref(),
            target: self.target.as_ref(),
            now_ms,
        }
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut comma = "";
        let mut field = |name: &str, value: Option<&dyn fmt::Display>| match value {
            Some(value) => {
                let written = write!(f, "{comma}{name}={value}");
                comma = ",";
                written
            }
            None => Ok(()),
        };
        field("tenant", self.tenant.as_ref().map(|name| name as _))?;
        field("class", self.class.as_ref().map(|name| name as _))?;
        field("service", self.service.as_ref().map(|name| name as _))?;
        match (&self.model, &self.adapter) {
            (Some(model), Some(adapter)) => {
                field("adapter", Some(&format_args!("{model}:{adapter}")))?;
            }
            (model, _) => field("model", model.as_ref().map(|name| name as _))?,
        }
        field("zone", self.availability_zone.as_ref().map(|name| name as _))?;
        field("target", self.target.as_ref().map(|name| name as _))
    }
}

impl FromStr for Scope {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let mut scope = Scope::default();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let (field, name) = part.split_once('=').ok_or_else(|| {
                format!(
                    "{part:?} is no scope: write such as model=quill or tenant=desk,class=quote"
                )
            })?;
            scope.set(field, name)?;
        }
        Ok(scope)
    }
}

impl Scope {
    fn set(&mut self, field: &str, name: &str) -> std::result::Result<(), String> {
        let is_new = match field {
            "tenant" => self.tenant.replace(read(name)?).is_none(),
            "class" => self.class.replace(read(name)?).is_none(),
            "service" => self.service.replace(read(name)?).is_none(),
            "model" => self.model.replace(read(name)?).is_none(),
            "adapter" => {
                let ModelRef { model, adapter } = read(name)?;
                let Some(adapter) = adapter else {
                    return Err(format!("write adapter=MODEL:ADAPTER, not adapter={name}"));
                };
                self.adapter = Some(adapter);
                self.model.replace(model).is_none()
            }
            "zone" => self.availability_zone.replace(read(name)?).is_none(),
            "target" => self.target.replace(read(name)?).is_none(),
            _ => {
                return Err(format!(
                    "{field:?} is no scope: write tenant, class, service, model, adapter, zone or \
                     target"
                ));
            }
        };
        if is_new { Ok(()) } else { Err(format!("{field} is given twice")) }
    }
}

fn read<T>(name: &str) -> std::result::Result<T, String>
where
    T: FromStr<Err = error_stack::Report<crate::ids::Error>>,
{
    name.parse().map_err(|report: T::Err| report.current_context().to_string())
}

impl TryFrom<String> for Scope {
    type Error = String;

    fn try_from(text: String) -> std::result::Result<Self, String> {
        text.parse()
    }
}

impl From<Scope> for String {
    fn from(scope: Scope) -> String {
        scope.to_string()
    }
}

/// What values are asked for: a request, a model, or a place for one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Subject<'a> {
    /// The tenant of the request.
    pub tenant: Option<&'a TenantId>,
    /// The class of the request.
    pub class: Option<&'a ClassName>,
    /// The plain service that is called.
    pub service: Option<&'a ServiceName>,
    /// The model that is called or placed.
    pub model: Option<&'a ModelName>,
    /// The adapter that is called or placed.
    pub adapter: Option<&'a AdapterName>,
    /// The availability zone of the target.
    pub availability_zone: Option<&'a Zone>,
    /// The target.
    pub target: Option<&'a TargetId>,
    /// Unix time; exceptions that ended at it or before do not apply.
    pub now_ms: u64,
}

impl<'a> Subject<'a> {
    /// A model or adapter, wherever it may be placed.
    pub fn model(model: &'a ModelRef, now_ms: u64) -> Self {
        let (model, adapter) = (Some(&model.model), model.adapter.as_ref());
        Self { model, adapter, now_ms, ..Self::default() }
    }

    /// The same at one target.
    pub fn at(self, availability_zone: &'a Zone, target: &'a TargetId) -> Self {
        Self { availability_zone: Some(availability_zone), target: Some(target), ..self }
    }

    /// The same in one availability zone.
    pub fn in_zone(self, availability_zone: &'a Zone) -> Self {
        Self { availability_zone: Some(availability_zone), ..self }
    }

    /// The fields that are set.
    pub(super) fn mask(&self) -> Mask {
        bit(&self.tenant, TENANT)
            | bit(&self.class, CLASS)
            | bit(&self.service, SERVICE)
            | bit(&self.model, MODEL)
            | bit(&self.adapter, ADAPTER)
            | bit(&self.availability_zone, ZONE)
            | bit(&self.target, TARGET)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_scope_reads_what_it_prints() {
        for text in ["", "tenant=desk", "class=quote,adapter=quill:tower-7", "model=quill,zone=a"] {
            assert_eq!(text.parse::<Scope>().unwrap().to_string(), text);
        }
        for text in ["desk", "colour=red", "tenant=a,tenant=b", "adapter=tower-7", "model=a b"] {
            assert!(text.parse::<Scope>().is_err(), "{text:?} was accepted");
        }
    }
}
