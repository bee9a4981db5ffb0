//! Models and adapters that can be loaded, with the memory and time that a load takes.

use crate::ids::{ModelRef, Version};
use crate::placement::policy;
use crate::target::order;
use crate::units::Bytes;

/// Weights that a target can hold: a model or adapter in one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Weights {
    /// The model or adapter.
    pub model: ModelRef,
    /// The version of its weights.
    pub version: Version,
}

impl From<&order::Held> for Weights {
    fn from(held: &order::Held) -> Self {
        Self { model: held.model.clone(), version: held.version.clone() }
    }
}

/// Where a load reads the weights from, the fastest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightSource {
    /// A copy in the memory of the target's VM.
    Memory,
    /// A copy on the disk of the target's VM.
    Disk,
    /// The weight store.
    Store,
}

impl From<Option<order::Tier>> for WeightSource {
    fn from(tier: Option<order::Tier>) -> Self {
        match tier {
            Some(order::Tier::Memory) => WeightSource::Memory,
            Some(order::Tier::Disk) => WeightSource::Disk,
            None => WeightSource::Store,
        }
    }
}

/// How long a load takes at full speed, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadTimes {
    /// From the memory of the target's VM.
    pub memory_ms: u64,
    /// From the disk of the target's VM.
    pub disk_ms: u64,
    /// From the weight store.
    pub store_ms: u64,
}

impl LoadTimes {
    /// The time from `source`, in milliseconds.
    pub fn from_source(&self, source: WeightSource) -> u64 {
        match source {
            WeightSource::Memory => self.memory_ms,
            WeightSource::Disk => self.disk_ms,
            WeightSource::Store => self.store_ms,
        }
    }
}

/// A model or adapter that requests may name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// Its name.
    pub model: ModelRef,
    /// The version that takes new work. Replicas of another version are replaced by it.
    pub version: Version,
    /// Accelerator memory of one replica, without KV cache.
    pub memory_bytes: Bytes,
    /// How long a load takes.
    pub load: LoadTimes,
    /// Time that a request takes on a replica, in milliseconds.
    pub service_ms: u64,
    /// Requests that one replica runs at once.
    pub slots: u32,
    /// The operators' policy for the model.
    pub policy: policy::ModelPolicy,
}

impl ModelSpec {
    /// The weights of its current version.
    pub fn weights(&self) -> Weights {
        Weights { model: self.model.clone(), version: self.version.clone() }
    }
}
