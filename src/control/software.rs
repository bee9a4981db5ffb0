//! Records which software versions of targets have served in each service.
//!
//! A version is committed to the log before any router learns of a target that has it. So whoever reads
//! the state knows every version that can have begun a stream, also after all daemons have restarted.

use crate::ids::{ServiceName, SoftwareVersion};

/// Maximum number of versions of a service. The one that was recorded first is dropped first.
pub const MAX_VERSIONS: usize = 32;
/// Maximum number of services.
pub const MAX_SERVICES: usize = 1_024;

/// Changes the recorded versions.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// A target of this version is about to serve.
    Add(ServiceName, SoftwareVersion),
    /// No target of this version has served for so long that no stream of it can be continued. The last
    /// version of a service stays.
    Remove(ServiceName, SoftwareVersion),
}

/// The versions of each service in the order in which they were recorded, sorted by service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    services: Vec<(ServiceName, Vec<SoftwareVersion>)>,
}

impl State {
    /// The recorded versions of a service.
    pub fn versions(&self, service: &ServiceName) -> &[SoftwareVersion] {
        match self.place(service) {
            Ok(at) => &self.services[at].1,
            Err(_) => &[],
        }
    }

    /// Whether a version of a service is on record.
    pub fn has(&self, service: &ServiceName, software: &SoftwareVersion) -> bool {
        self.versions(service).contains(software)
    }

    /// The services with more than one version, sorted.
    pub fn mixed(&self) -> impl Iterator<Item = (&ServiceName, &[SoftwareVersion])> {
        let services = self.services.iter().filter(|(_, versions)| versions.len() > 1);
        services.map(|(service, versions)| (service, versions.as_slice()))
    }

    /// Applies a command.
    pub fn apply(&mut self, command: Command) {
        match command {
            Command::Add(service, software) => self.add(service, software),
            Command::Remove(service, software) => self.remove(&service, &software),
        }
    }

    fn add(&mut self, service: ServiceName, software: SoftwareVersion) {
        if self.has(&service, &software) {
            return;
        }
        let at = match self.place(&service) {
            Ok(at) => at,
            Err(_) if self.services.len() >= MAX_SERVICES => return,
            Err(at) => {
                self.services.insert(at, (service, Vec::new()));
                at
            }
        };
        let versions = &mut self.services[at].1;
        if versions.len() >= MAX_VERSIONS {
            versions.remove(0);
        }
        versions.push(software);
    }

    fn remove(&mut self, service: &ServiceName, software: &SoftwareVersion) {
        let Ok(at) = self.place(service) else { return };
        let versions = &mut self.services[at].1;
        if versions.len() > 1 {
            versions.retain(|known| known != software);
        }
    }

    fn place(&self, service: &ServiceName) -> Result<usize, usize> {
        self.services.binary_search_by(|(known, _)| known.cmp(service))
    }
}
