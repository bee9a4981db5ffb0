//! Changes of the configuration, and what becomes of them.

use std::fmt;

use super::catalogue::{Adapter, Class, Model, Service};
use super::{Key, NewException, Setting};
use crate::ids::{
    AdapterName, ChangeId, ClassName, ExceptionId, ModelName, OperatorName, Revision, ServiceName,
};

/// One step of a change.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Sets a fleet default.
    SetDefault(Setting),
    /// Goes back to the built-in value of a key.
    ResetDefault(Key),
    /// Adds an exception.
    AddException(NewException),
    /// Removes an exception.
    RemoveException(ExceptionId),
    /// Adds or replaces a model. Adapters that it has already stay.
    PutModel(Model),
    /// Removes a model with its adapters.
    RemoveModel(ModelName),
    /// Adds or replaces an adapter.
    PutAdapter(ModelName, Adapter),
    /// Removes an adapter.
    RemoveAdapter(ModelName, AdapterName),
    /// Adds or replaces a plain service.
    PutService(Service),
    /// Removes a plain service.
    RemoveService(ServiceName),
    /// Adds or replaces a class of work.
    PutClass(Class),
    /// Removes a class of work.
    RemoveClass(ClassName),
}

/// What an operator asks for. All of it comes into force, or none.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// The same when the change is sent again.
    pub id: ChangeId,
    /// The revision that the operator saw.
    pub base: Revision,
    /// Who asks.
    pub author: OperatorName,
    /// Why, for the audit trail; may be empty where no exception is added.
    pub reason: String,
    /// What to do, in order.
    pub edits: Vec<Edit>,
}

/// What the control group replicates for the configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Make this change.
    Change(Change),
}

/// A change that is in force, as the audit trail and the routers get it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Accepted {
    /// The revision that it made.
    pub revision: Revision,
    /// Unix time at which it was accepted.
    pub at_ms: u64,
    /// The change.
    pub change: Change,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is accepted and will be in force everywhere within seconds.
    Accepted {
        /// The revision that it made.
        revision: Revision,
        /// The exceptions that it added, in order.
        exceptions: Vec<ExceptionId>,
    },
    /// Another change came first. Nothing was done.
    Conflict {
        /// The revision now.
        current: Revision,
        /// The newest changes since the operator's revision, oldest first.
        since: Vec<Accepted>,
    },
    /// It cannot be made. Nothing was done.
    Refused {
        /// Everything that is wrong with it.
        problems: Vec<Problem>,
    },
}

/// Why a change cannot be made.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// The place of the edit, from 1; 0 if it concerns the change as a whole.
    pub edit: u32,
    /// What is wrong, and what would be right.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.edit {
            0 => f.write_str(&self.what),
            edit => write!(f, "edit {edit}: {}", self.what),
        }
    }
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Edit::SetDefault(setting) => write!(f, "default {setting}"),
            Edit::ResetDefault(key) => write!(f, "default {key} back to built in"),
            Edit::AddException(new) => {
                write!(f, "exception for {}:", new.scope)?;
                new.settings.iter().try_for_each(|setting| write!(f, " {setting};"))?;
                write!(f, " {}", new.reason)
            }
            Edit::RemoveException(id) => write!(f, "exception {id} removed"),
            Edit::PutModel(model) => write!(f, "model {} version {}", model.name, model.version),
            Edit::RemoveModel(name) => write!(f, "model {name} removed"),
            Edit::PutAdapter(model, adapter) => {
                write!(f, "adapter {model}:{} version {}", adapter.name, adapter.version)
            }
            Edit::RemoveAdapter(model, name) => write!(f, "adapter {model}:{name} removed"),
            Edit::PutService(service) => write!(f, "service {}", service.name),
            Edit::RemoveService(name) => write!(f, "service {name} removed"),
            Edit::PutClass(class) => write!(f, "class {} rank {}", class.name, class.rank),
            Edit::RemoveClass(name) => write!(f, "class {name} removed"),
        }
    }
}
