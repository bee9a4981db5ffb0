//! The configuration in force: defaults, exceptions and the catalogue of one revision.

use std::sync::Arc;

use super::change::{Accepted, Change, Edit};
use super::index::Index;
use super::{Catalogue, Effective, Exception, Key, Setting};
use crate::ids::{ExceptionId, OperatorName, Revision};

/// How long an exception that ended is still listed.
const LISTED_AFTER_END_MS: u64 = 86_400_000;

/// Fleet defaults that differ from the built-in values, sorted by key.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Defaults {
    settings: Vec<Setting>,
}

impl Defaults {
    /// What is set, sorted by key.
    pub fn settings(&self) -> &[Setting] {
        &self.settings
    }

    /// The value of a key, if it is set.
    pub fn get(&self, key: Key) -> Option<&Setting> {
        let place = self.settings.binary_search_by_key(&key, |setting| setting.key).ok()?;
        Some(&self.settings[place])
    }

    fn set(&mut self, setting: Setting) {
        match self.settings.binary_search_by_key(&setting.key, |other| other.key) {
            Ok(at) => self.settings[at] = setting,
            Err(at) => self.settings.insert(at, setting),
        }
    }

    fn reset(&mut self, key: Key) {
        self.settings.retain(|setting| setting.key != key);
    }
}

/// The configuration of one revision.
///
/// The catalogue is shared between revisions that do not change it, so that a clone is cheap.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(from = "Stored")]
pub struct Fleet {
    revision: Revision,
    defaults: Defaults,
    exceptions: Vec<Exception>,
    next_exception: ExceptionId,
    catalogue: Arc<Catalogue>,
    #[serde(skip)]
    base: Effective,
    #[serde(skip)]
    index: Index,
}

/// What is stored of a [`Fleet`]; the rest is derived from it.
#[derive(serde::Deserialize)]
struct Stored {
    revision: Revision,
    defaults: Defaults,
    exceptions: Vec<Exception>,
    next_exception: ExceptionId,
    catalogue: Arc<Catalogue>,
}

impl From<Stored> for Fleet {
    fn from(stored: Stored) -> Self {
        let Stored { revision, defaults, exceptions, next_exception, catalogue } = stored;
        let (base, index) = Default::default();
        let mut fleet =
            Self { revision, defaults, exceptions, next_exception, catalogue, base, index };
        fleet.derive();
        fleet
    }
}

impl PartialEq for Fleet {
    fn eq(&self, other: &Self) -> bool {
        self.revision == other.revision
            && self.defaults == other.defaults
            && self.exceptions == other.exceptions
            && self.next_exception == other.next_exception
            && self.catalogue == other.catalogue
    }
}

/// What became of a change that a router was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Followed {
    /// It is in force.
    Applied,
    /// It was in force already.
    Known,
    /// Changes before it are missing: the whole fleet must be fetched.
    Gap,
}

/// Queries.
impl Fleet {
    /// The revision. Revisions only rise.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Fleet defaults that differ from the built-in values.
    pub fn defaults(&self) -> &Defaults {
        &self.defaults
    }

    /// All exceptions, sorted by id. Some may have ended within the last day.
    pub fn exceptions(&self) -> &[Exception] {
        &self.exceptions
    }

    /// The exception of this id.
    pub fn exception(&self, id: ExceptionId) -> Option<&Exception> {
        let place = self.exceptions.binary_search_by_key(&id, |exception| exception.id).ok()?;
        Some(&self.exceptions[place])
    }

    /// What the fleet serves.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// The values that apply where no exception does, and the fleet-wide ones.
    pub fn base(&self) -> &Effective {
        &self.base
    }

    pub(super) fn index(&self) -> &Index {
        &self.index
    }
}

/// Commands.
impl Fleet {
    /// Follows an accepted change, as routers do. The result depends on nothing else.
    pub fn follow(&mut self, accepted: &Accepted) -> Followed {
        if accepted.revision <= self.revision {
            return Followed::Known;
        }
        if accepted.revision != self.revision.next() {
            return Followed::Gap;
        }
        self.make(&accepted.change, accepted.at_ms);
        Followed::Applied
    }

    /// Makes a checked change and returns the exceptions that it added.
    pub(super) fn make(&mut self, change: &Change, at_ms: u64) -> Vec<ExceptionId> {
        let is_listed = |exception: &Exception| match exception.end_ms {
            Some(end_ms) => at_ms < end_ms.saturating_add(LISTED_AFTER_END_MS),
            None => true,
        };
        self.exceptions.retain(is_listed);
        let mut added = Vec::new();
        for edit in &change.edits {
            added.extend(self.edit(edit, &change.author, at_ms));
        }
        self.revision = self.revision.next();
        self.derive();
        added
    }

    /// Makes one edit. [`Fleet::derive`] must follow before values are resolved.
    pub(super) fn edit(
        &mut self,
        edit: &Edit,
        author: &OperatorName,
        at_ms: u64,
    ) -> Option<ExceptionId> {
        match edit {
            Edit::SetDefault(setting) => self.defaults.set(setting.clone()),
            Edit::ResetDefault(key) => self.defaults.reset(*key),
            Edit::AddException(new) => {
                let id = self.next_exception.next();
                self.next_exception = id;
                let mut settings = new.settings.clone();
                settings.sort_by_key(|setting| setting.key);
                self.exceptions.push(Exception {
                    id,
                    scope: new.scope.clone(),
                    settings,
                    reason: new.reason.trim().to_owned(),
                    author: author.clone(),
                    created_ms: at_ms,
                    end_ms: new.end_ms,
                });
                return Some(id);
            }
            Edit::RemoveException(id) => self.exceptions.retain(|other| other.id != *id),
            Edit::PutModel(model) => self.catalogue_mut().put_model(model.clone()),
            Edit::RemoveModel(name) => self.catalogue_mut().remove_model(name),
            Edit::PutAdapter(model, adapter) => {
                self.catalogue_mut().put_adapter(model, adapter.clone());
            }
            Edit::RemoveAdapter(model, name) => self.catalogue_mut().remove_adapter(model, name),
            Edit::PutService(service) => self.catalogue_mut().put_service(service.clone()),
            Edit::RemoveService(name) => self.catalogue_mut().remove_service(name),
            Edit::PutClass(class) => self.catalogue_mut().put_class(class.clone()),
            Edit::RemoveClass(name) => self.catalogue_mut().remove_class(name),
        }
        None
    }

    fn catalogue_mut(&mut self) -> &mut Catalogue {
        Arc::make_mut(&mut self.catalogue)
    }

    /// Derives the base values and the index from the rest.
    pub(super) fn derive(&mut self) {
        self.base = Effective::default();
        for setting in &self.defaults.settings {
            self.base.set(setting.key, &setting.value);
        }
        self.index = Index::new(&self.exceptions);
    }
}
