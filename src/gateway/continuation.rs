//! Which targets may write the next events of a stream.
//!
//! Worst-case load: two software versions of a service serve side by side, and many streams break off at
//! once. What two versions write does not fit together, and targets do not check it.

use crate::ids::{ServiceName, SoftwareVersion};
use crate::membership::table::TargetEntry;
use crate::origins::message::Writer;
use crate::rate_limit::TargetLife;
use crate::routes::{Route, index};

/// The targets that may write the next events of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Continuation {
    /// Any target: the caller has no events yet.
    #[default]
    Unbound,
    /// Targets of the software version that wrote the first events.
    Version {
        /// The version.
        software: SoftwareVersion,
        /// Incarnations whose connections broke. Such a target may have restarted under its id with
        /// another version, so it has to announce itself first.
        broken: Vec<TargetLife>,
    },
    /// None: the version that wrote the first events is not known.
    Nowhere,
}

impl Continuation {
    /// The continuation of a stream whose first events a target of this version wrote.
    pub fn of(software: Option<SoftwareVersion>) -> Self {
        match software {
            Some(software) => Self::Version { software, broken: Vec::new() },
            None => Self::Nowhere,
        }
    }

    /// The version that has to write the next events, if it is known.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Version { software, .. } => Some(software),
            Self::Unbound | Self::Nowhere => None,
        }
    }

    /// Whether a target may write the next events.
    pub fn admits(&self, entry: &TargetEntry) -> bool {
        match self {
            Self::Unbound => true,
            Self::Version { software, broken } => {
                let is_entry = |life: &TargetLife| {
                    life.target == entry.target && life.incarnation == entry.incarnation
                };
                entry.software.as_ref() == Some(software) && !broken.iter().any(is_entry)
            }
            Self::Nowhere => false,
        }
    }

    /// Records that the connection to an incarnation broke.
    pub fn record_broken(&mut self, life: &TargetLife) {
        if let Self::Version { broken, .. } = self
            && !broken.contains(life)
        {
            broken.push(life.clone());
        }
    }
}

/// Chooses the service that continues a stream: the one that began it, if the route still leads there. Else the
/// route has changed since, and one of its services that has targets of the writer's version. `None` if there is none.
pub fn choose_service<'a>(
    route: &'a Route,
    writer: &Writer,
    draw: u64,
    has_software: impl Fn(&ServiceName) -> bool,
) -> Option<&'a ServiceName> {
    let own = index::destination_among(route, draw, |share| share.service == writer.service);
    let other = || index::destination_among(route, draw, |share| has_software(&share.service));
    own.or_else(other).map(|share| &share.service)
}
