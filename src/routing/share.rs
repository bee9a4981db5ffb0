//! What each tenant and class has waiting and in flight, and the limits on both.

use std::collections::VecDeque;

use crate::ids::{ClassName, TenantId};
use crate::routing::engine::Ticket;
use crate::routing::queue::RANKS;

/// One class of one tenant.
#[derive(Clone, Debug)]
pub struct Share {
    /// The place of its tenant.
    pub tenant: usize,
    /// Requests that wait, for a target or for the limit.
    pub waiting: u32,
    /// Requests at targets.
    pub in_flight: u32,
    /// Requests in a lane or at targets: those that count against the limit on work in flight.
    pub admitted: u32,
    /// Requests that wait because that limit is reached, oldest first.
    pub parked: VecDeque<Ticket>,
}

/// All shares. They come from the configuration and are few, so none is ever dropped and their
/// places are stable.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    shares: Vec<Share>,
    tenant_ends: Vec<[f64; RANKS]>,
    by_key: Vec<((TenantId, ClassName), usize)>,
    by_tenant: Vec<(TenantId, usize)>,
}

impl Shares {
    /// The place of the share of this tenant and class.
    pub fn place(&mut self, tenant: &TenantId, class: &ClassName) -> usize {
        let search =
            |((t, c), _): &((TenantId, ClassName), usize)| t.cmp(tenant).then_with(|| c.cmp(class));
        match self.by_key.binary_search_by(search) {
            Ok(at) => self.by_key[at].1,
            Err(at) => {
                let tenant_at = self.tenant_place(tenant);
                let place = self.shares.len();
                let parked = VecDeque::new();
                let share =
                    Share { tenant: tenant_at, waiting: 0, in_flight: 0, admitted: 0, parked };
                self.shares.push(share);
                self.by_key.insert(at, ((tenant.clone(), class.clone()), place));
                place
            }
        }
    }

    fn tenant_place(&mut self, tenant: &TenantId) -> usize {
        match self.by_tenant.binary_search_by(|(t, _)| t.cmp(tenant)) {
            Ok(at) => self.by_tenant[at].1,
            Err(at) => {
                let place = self.tenant_ends.len();
                self.tenant_ends.push([0.0; RANKS]);
                self.by_tenant.insert(at, (tenant.clone(), place));
                place
            }
        }
    }

    /// The share at `place`.
    pub fn get(&self, place: usize) -> &Share {
        &self.shares[place]
    }

    /// The share at `place`, to change it.
    pub fn get_mut(&mut self, place: usize) -> &mut Share {
        &mut self.shares[place]
    }

    /// Where the tenant of the share at `place` ended in the fair order of `rank`.
    pub fn tenant_end(&mut self, place: usize, rank: usize) -> &mut f64 {
        let tenant = self.shares[place].tenant;
        &mut self.tenant_ends[tenant][rank]
    }

    /// All shares by tenant and class.
    pub fn iter(&self) -> impl Iterator<Item = (&TenantId, &ClassName, &Share)> {
        self.by_key.iter().map(|((tenant, class), at)| (tenant, class, &self.shares[*at]))
    }
}
