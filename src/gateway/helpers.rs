//! Chooses the router that is to handle a request for this one, which reaches no target.
//!
//! Worst-case load: all requests of this router are forwarded for seconds, while other routers do the same. They
//! are spread over the helpers that the leader names, by the requests in flight at each.

use std::net::SocketAddr;

use crate::ids::ServiceName;

/// Time for which the leader's answer is used.
pub const REFRESH_MS: u64 = 1_000;
/// Time for which a helper is passed over that could not be reached or that refused.
const AVOID_MS: u64 = 1_000;

/// A router that forwards requests for this one.
#[derive(Clone, Debug)]
struct Helper {
    address: SocketAddr,
    in_flight: u32,
    avoid_until_ms: u64,
}

/// The routers that reach targets of one service, as the leader named them.
#[derive(Clone, Debug)]
struct NamedHelpers {
    service: ServiceName,
    named_ms: u64,
    addresses: Vec<SocketAddr>,
}

/// What one router knows of the others.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    /// Sorted by service.
    named: Vec<NamedHelpers>,
    /// Sorted by address.
    helpers: Vec<Helper>,
    /// Services that the leader is asked about now.
    asked: Vec<ServiceName>,
}

impl Helpers {
    /// Whether what the leader said of a service is recent.
    pub fn is_fresh(&self, now_ms: u64, service: &ServiceName) -> bool {
        self.find(service).is_some_and(|known| now_ms < known.named_ms + REFRESH_MS)
    }

    /// Whether the leader has to be asked now: its answer is old and it is not being asked.
    pub fn begin_asking(&mut self, now_ms: u64, service: &ServiceName) -> bool {
        if self.is_fresh(now_ms, service) || self.asked.contains(service) {
            return false;
        }
        self.asked.push(service.clone());
        true
    }

    /// Records the leader's answer; `None` if there was none, and the one before is used on.
    pub fn end_asking(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        addresses: Option<Vec<SocketAddr>>,
    ) {
        self.asked.retain(|asked| asked != service);
        let Some(addresses) = addresses else { return };
        for address in &addresses {
            if let Err(at) = self.place(*address) {
                let helper = Helper { address: *address, in_flight: 0, avoid_until_ms: 0 };
                self.helpers.insert(at, helper);
            }
        }
        let named = NamedHelpers { service: service.clone(), named_ms: now_ms, addresses };
        match self.named.binary_search_by(|known| known.service.cmp(service)) {
            Ok(at) => self.named[at] = named,
            Err(at) => self.named.insert(at, named),
        }
        let named = &self.named;
        self.helpers.retain(|helper| {
            helper.in_flight > 0
                || named.iter().any(|list| list.addresses.contains(&helper.address))
        });
    }

    /// The helper with the fewest requests in flight that has not failed lately and is not one of `tried`.
    /// Those that the leader named first go before equal ones.
    pub fn choose(
        &self,
        now_ms: u64,
        service: &ServiceName,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let named = &self.find(service)?.addresses;
        let known =
            named.iter().filter_map(|address| Some(&self.helpers[self.place(*address).ok()?]));
        let usable = known
            .filter(|helper| now_ms >= helper.avoid_until_ms && !tried.contains(&helper.address));
        Some(usable.min_by_key(|helper| helper.in_flight)?.address)
    }

    /// Records that a request is forwarded.
    pub fn begin_request(&mut self, helper: SocketAddr) {
        if let Ok(at) = self.place(helper) {
            self.helpers[at].in_flight += 1;
        }
    }

    /// Records that a forwarded request has ended.
    pub fn end_request(&mut self, helper: SocketAddr) {
        if let Ok(at) = self.place(helper) {
            self.helpers[at].in_flight = self.helpers[at].in_flight.saturating_sub(1);
        }
    }

    /// Records that a helper could not be reached, or did not handle a request.
    pub fn record_failure(&mut self, now_ms: u64, helper: SocketAddr) {
        if let Ok(at) = self.place(helper) {
            self.helpers[at].avoid_until_ms = now_ms + AVOID_MS;
        }
    }

    fn find(&self, service: &ServiceName) -> Option<&NamedHelpers> {
        let at = self.named.binary_search_by(|known| known.service.cmp(service)).ok()?;
        Some(&self.named[at])
    }

    fn place(&self, address: SocketAddr) -> Result<usize, usize> {
        self.helpers.binary_search_by_key(&address, |helper| helper.address)
    }
}
