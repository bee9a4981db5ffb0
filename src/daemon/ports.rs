//! The ports to targets, kept so that their connections are used again.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use crate::ids::{Incarnation, TargetId};
use crate::membership::table;
use crate::target::{Target, http};

#[derive(Clone)]
struct Port {
    target: TargetId,
    incarnation: Incarnation,
    address: SocketAddr,
    http: Arc<http::Http>,
}

/// HTTP adapters by target, sorted. Connections belong to the runtime that first used them, so
/// each runtime has ports of its own.
pub struct Ports {
    own_ip: IpAddr,
    order_token: String,
    ports: Mutex<Vec<Port>>,
}

impl Ports {
    /// Ports with connections from `own_ip`. Orders carry `order_token`.
    pub fn new(own_ip: IpAddr, order_token: String) -> Self {
        Self { own_ip, order_token, ports: Mutex::default() }
    }

    /// The port to a target. A new life or another address of it gets a new one.
    pub fn get(&self, entry: &table::TargetEntry) -> Arc<dyn Target> {
        let mut ports = self.ports.lock().unwrap_or_else(PoisonError::into_inner);
        let place = ports.binary_search_by(|port| port.target.cmp(&entry.target));
        if let Ok(at) = place
            && ports[at].incarnation == entry.incarnation
            && ports[at].address == entry.address
        {
            return Arc::clone(&ports[at].http) as Arc<dyn Target>;
        }
        let token = self.order_token.clone();
        let http = http::Http::new(entry.target.clone(), entry.address, self.own_ip, token);
        let port = Port {
            target: entry.target.clone(),
            incarnation: entry.incarnation,
            address: entry.address,
            http: Arc::new(http),
        };
        let found = Arc::clone(&port.http) as Arc<dyn Target>;
        match place {
            Ok(at) => ports[at] = port,
            Err(at) => ports.insert(at, port),
        }
        found
    }

    /// Drops the ports of targets that are not in `table`. Calls that run keep theirs.
    pub fn retain(&self, table: &table::RouteTable) {
        let mut ports = self.ports.lock().unwrap_or_else(PoisonError::into_inner);
        ports.retain(|port| table.find(&port.target).is_some());
    }
}
