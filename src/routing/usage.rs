//! What each tenant and class has waiting and in flight, and the limits on both.

use std::collections::VecDeque;

use crate::ids::{ClassName, TenantId};
use crate::routing::engine::Ticket;
use crate::routing::queue::RANKS;

/// One class of one tenant.
#[derive(Clone, Debug)]
pub struct TenantClassUsage {
    /// The index of its tenant.
    pub tenant_index: usize,
    /// Requests that wait, for a target or for the limit.
    pub waiting: u32,
    /// Requests at targets.
    pub in_flight: u32,
    /// Requests in a lane or at targets: those that count against the limit on work in flight.
    pub admitted: u32,
    /// Requests that wait because that limit is reached, oldest first.
    pub parked: VecDeque<Ticket>,
}

/// All usages. They come from the configuration and are few, so none is ever dropped and their
/// places are stable.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    usages: Vec<TenantClassUsage>,
    tenant_finish_tags: Vec<[f64; RANKS]>,
    by_key: Vec<((TenantId, ClassName), usize)>,
    by_tenant: Vec<(TenantId, usize)>,
}

impl UsageTable {
    /// The index of the share of this tenant and class.
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

    /// The share at `index`.
    pub fn get(&self, index: usize) -> &TenantClassUsage {
        &self.usages[index]
    }

    /// The share at `index`, to change it.
    pub fn get_mut(&mut self, index: usize) -> &mut TenantClassUsage {
        &mut self.usages[index]
    }

    /// Where the tenant of the share at `index` ended in the fair order of `rank`.
    pub fn tenant_finish_tag(&mut self, index: usize, rank: usize) -> &mut f64 {
        let tenant = self.usages[index].tenant_index;
        &mut self.tenant_finish_tags[tenant][rank]
    }

    /// All usages by tenant and class.
    pub fn iter(&self) -> impl Iterator<Item = (&TenantId, &ClassName, &TenantClassUsage)> {
        self.by_key.iter().map(|((tenant, class), at)| (tenant, class, &self.usages[*at]))
    }
}
