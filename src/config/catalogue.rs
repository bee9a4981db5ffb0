//! What the fleet serves: models with their adapters, plain services, and classes of work.

use std::sync::Arc;

use crate::ids::{AdapterName, ClassName, ModelName, ModelRef, ServiceName, Version};
use crate::units::{Bytes, Millis};

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Adapter {
    /// Its name, unique within the model.
    pub name: AdapterName,
    /// The version of its weights.
    pub version: Version,
    /// Accelerator memory that it takes.
    pub memory_bytes: Bytes,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Model {
    /// Its name.
    pub name: ModelName,
    /// The version of its weights.
    pub version: Version,
    /// Accelerator memory that one replica takes.
    pub memory_bytes: Bytes,
    /// Calls that one replica runs at once well, where the target does not say.
    pub slots: u32,
    /// Its adapters, sorted by name.
    pub adapters: Vec<Adapter>,
}

impl Model {
    /// The model itself, then its adapters.
    pub fn refs(&self) -> impl Iterator<Item = ModelRef> {
        let base = ModelRef { model: self.name.clone(), adapter: None };
        let adapter = |adapter: &Adapter| ModelRef {
            model: self.name.clone(),
            adapter: Some(adapter.name.clone()),
        };
        std::iter::once(base).chain(self.adapters.iter().map(adapter))
    }

    /// The adapter of this name.
    pub fn adapter(&self, name: &AdapterName) -> Option<&Adapter> {
        let place = self.adapters.binary_search_by(|adapter| adapter.name.cmp(name)).ok()?;
        Some(&self.adapters[place])
    }
}

/// A method and path of a plain service that may be called again.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The beginning of the path, such as `/quotes/`.
    pub path: String,
}

/// A plain service beside the model engines.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Calls that are idempotent although their method is not.
    pub idempotent: Vec<Route>,
}

impl Service {
    /// Whether a call may be sent again: `GET` and `HEAD`, and what the routes name.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let is_named = |route: &Route| route.method == method && path.starts_with(&route.path);
        matches!(method, "GET" | "HEAD") || self.idempotent.iter().any(is_named)
    }
}

/// A class of work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Class {
    /// Its name.
    pub name: ClassName,
    /// Order between classes: 0 goes first.
    pub rank: u32,
    /// Share of service beside others of the same rank.
    pub weight: u32,
    /// Time from arrival to the end of the answer.
    pub deadline_ms: Millis,
    /// Whether its requests are kept as jobs until their answers were fetched.
    pub is_important: bool,
}

/// What the fleet serves. Every list is sorted by name. Models are shared between revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Catalogue {
    /// The models.
    pub models: Vec<Arc<Model>>,
    /// The plain services.
    pub services: Vec<Service>,
    /// The classes of work.
    pub classes: Vec<Class>,
}

impl Catalogue {
    /// The model of this name.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        let place = self.models.binary_search_by(|model| model.name.cmp(name)).ok()?;
        Some(&self.models[place])
    }

    /// The version and memory of a model or adapter.
    pub fn weights(&self, model: &ModelRef) -> Option<(&Version, Bytes)> {
        let base = self.model(&model.model)?;
        match &model.adapter {
            None => Some((&base.version, base.memory_bytes)),
            Some(name) => {
                let adapter = base.adapter(name)?;
                Some((&adapter.version, adapter.memory_bytes))
            }
        }
    }

    /// The service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let place = self.services.binary_search_by(|service| service.name.cmp(name)).ok()?;
        Some(&self.services[place])
    }

    /// The class of this name.
    pub fn class(&self, name: &ClassName) -> Option<&Class> {
        let place = self.classes.binary_search_by(|class| class.name.cmp(name)).ok()?;
        Some(&self.classes[place])
    }

    /// Whether a call to a service may be sent again; an unknown service knows `GET` and `HEAD`.
    pub fn is_idempotent(&self, service: &ServiceName, method: &str, path: &str) -> bool {
        match self.service(service) {
            Some(service) => service.is_idempotent(method, path),
            None => matches!(method, "GET" | "HEAD"),
        }
    }

    /// Adds or replaces a model. Adapters of a model that is replaced stay; those given with it
    /// are added to them.
    pub(super) fn put_model(&mut self, mut model: Model) {
        let added = std::mem::take(&mut model.adapters);
        match self.models.binary_search_by(|other| other.name.cmp(&model.name)) {
            Ok(at) => {
                model.adapters.clone_from(&self.models[at].adapters);
                model.put_adapters(added);
                self.models[at] = Arc::new(model);
            }
            Err(at) => {
                model.put_adapters(added);
                self.models.insert(at, Arc::new(model));
            }
        }
    }

    /// Removes a model and its adapters.
    pub(super) fn remove_model(&mut self, name: &ModelName) {
        self.models.retain(|model| model.name != *name);
    }

    /// Adds or replaces an adapter of a known model.
    pub(super) fn put_adapter(&mut self, model: &ModelName, adapter: Adapter) {
        if let Ok(at) = self.models.binary_search_by(|other| other.name.cmp(model)) {
            Arc::make_mut(&mut self.models[at]).put_adapters(vec![adapter]);
        }
    }

    /// Removes an adapter.
    pub(super) fn remove_adapter(&mut self, model: &ModelName, adapter: &AdapterName) {
        if let Ok(at) = self.models.binary_search_by(|other| other.name.cmp(model)) {
            Arc::make_mut(&mut self.models[at]).adapters.retain(|other| other.name != *adapter);
        }
    }

    /// Adds or replaces a service.
    pub(super) fn put_service(&mut self, service: Service) {
        put(&mut self.services, service, |service| &service.name);
    }

    /// Removes a service.
    pub(super) fn remove_service(&mut self, name: &ServiceName) {
        self.services.retain(|service| service.name != *name);
    }

    /// Adds or replaces a class.
    pub(super) fn put_class(&mut self, class: Class) {
        put(&mut self.classes, class, |class| &class.name);
    }

    /// Removes a class.
    pub(super) fn remove_class(&mut self, name: &ClassName) {
        self.classes.retain(|class| class.name != *name);
    }
}

impl Model {
    fn put_adapters(&mut self, adapters: Vec<Adapter>) {
        self.adapters.reserve_exact(adapters.len());
        for adapter in adapters {
            put(&mut self.adapters, adapter, |adapter| &adapter.name);
        }
    }
}

/// Inserts into a list that is sorted by name, or replaces what has the same name.
fn put<T, N: Ord>(list: &mut Vec<T>, item: T, name: impl Fn(&T) -> &N) {
    match list.binary_search_by(|other| name(other).cmp(name(&item))) {
        Ok(at) => list[at] = item,
        Err(at) => list.insert(at, item),
    }
}
