//! Exceptions to the fleet defaults.

use super::{Scope, Setting};
use crate::ids::{ExceptionId, OperatorName};

/// Other values for a part of the fleet, with a written reason.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Exception {
    /// Its id, never given twice.
    pub id: ExceptionId,
    /// What it applies to.
    pub scope: Scope,
    /// The values that it sets, sorted by key.
    pub settings: Vec<Setting>,
    /// Why it is there, as the operator wrote it.
    pub reason: String,
    /// Who made it.
    pub author: OperatorName,
    /// Unix time at which it was made.
    pub created_ms: u64,
    /// Unix time at which it ends by itself.
    pub end_ms: Option<u64>,
}

impl Exception {
    /// Whether it applies at a Unix time.
    pub fn is_in_force(&self, now_ms: u64) -> bool {
        self.end_ms.is_none_or(|end_ms| now_ms < end_ms)
    }
}

/// An exception that is asked for.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct NewException {
    /// What it applies to.
    pub scope: Scope,
    /// The values that it sets.
    pub settings: Vec<Setting>,
    /// Why it is needed.
    pub reason: String,
    /// Unix time at which it ends by itself.
    pub end_ms: Option<u64>,
}
