//! Counts of waiting and in-flight requests per tenant and class, against which limits are checked.

use std::collections::VecDeque;

use crate::ids::{ClassName, TenantId};
use crate::routing::engine::Ticket;
use crate::routing::queue::RANKS;

/// The requests of one class of one tenant.
#[derive(Clone, Debug)]
pub struct TenantClassUsage {
    /// The index of the tenant.
    pub tenant_index: usize,
    /// Requests that wait for a target, for the in-flight limit or for a retry.
    pub waiting: u32,
    /// Requests with an attempt in flight.
    pub in_flight: u32,
    /// Requests that count against the in-flight limit, from queueing or dispatch until their end.
    pub admitted: u32,
    /// Requests that wait because the in-flight limit is reached, oldest first.
    pub parked: VecDeque<Ticket>,
}

/// The usage of all tenants and classes. Both come from the configuration and are few, so entries
/// are never removed and their indices are stable.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    usages: Vec<TenantClassUsage>,
    tenant_finish_tags: Vec<[f64; RANKS]>,
    by_key: Vec<((TenantId, ClassName), usize)>,
    by_tenant: Vec<(TenantId, usize)>,
}

impl UsageTable {
    /// The index of the usage of this tenant and class, which is added if it is new.
    pub fn index_of(&mut self, tenant: &TenantId, class: &ClassName) -> usize {
        let search =
            |((t, c), _): &((TenantId, ClassName), usize)| t.cmp(tenant).then_with(|| c.cmp(class));
        match self.by_key.binary_search_by(search) {
            Ok(at) => self.by_key[at].1,
            Err(at) => {
                let tenant_index = self.tenant_index(tenant);
                let index = self.usages.len();
                let parked = VecDeque::new();
                let usage = TenantClassUsage {
                    tenant_index,
                    waiting: 0,
                    in_flight: 0,
                    admitted: 0,
                    parked,
                };
                self.usages.push(usage);
                self.by_key.insert(at, ((tenant.clone(), class.clone()), index));
                index
            }
        }
    }

    fn tenant_index(&mut self, tenant: &TenantId) -> usize {
        match self.by_tenant.binary_search_by(|(t, _)| t.cmp(tenant)) {
            Ok(at) => self.by_tenant[at].1,
            Err(at) => {
                let index = self.tenant_finish_tags.len();
                self.tenant_finish_tags.push([0.0; RANKS]);
                self.by_tenant.insert(at, (tenant.clone(), index));
                index
            }
        }
    }

    /// The usage at `index`.
    pub fn get(&self, index: usize) -> &TenantClassUsage {
        &self.usages[index]
    }

    /// The usage at `index`, mutably.
    pub fn get_mut(&mut self, index: usize) -> &mut TenantClassUsage {
        &mut self.usages[index]
    }

    /// The finish tag of the latest request of the tenant of the usage at `index` in `rank`.
    pub fn tenant_finish_tag(&mut self, index: usize, rank: usize) -> &mut f64 {
        let tenant = self.usages[index].tenant_index;
        &mut self.tenant_finish_tags[tenant][rank]
    }

    /// All usages, ordered by tenant and class.
    pub fn iter(&self) -> impl Iterator<Item = (&TenantId, &ClassName, &TenantClassUsage)> {
        self.by_key.iter().map(|((tenant, class), at)| (tenant, class, &self.usages[*at]))
    }
}
