//! The model engine of a stand-in: its replicas, its memory and the orders that it takes.

use std::net::SocketAddr;

use crate::ids::{ModelRef, OrderId, Version};
use crate::target::order;
use crate::units::Bytes;

/// Order ids that an engine remembers, so that a repeat is acted on once.
const REMEMBERED_ORDERS: usize = 4_096;

/// What the caller of [`Engine::order`] does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing but to answer.
    Answer(order::Reply),
    /// Answer that it is accepted, and call [`Engine::finish_load`] when the load is done.
    Load(ModelRef, Version),
}

/// Replicas and their memory, and the orders that changed them.
#[derive(Debug)]
pub struct Engine {
    memory_bytes: Bytes,
    checks_fencing: bool,
    highest: order::Fencing,
    held: Vec<order::Held>,
    cached: Vec<order::Cached>,
    orders: Vec<OrderId>,
    sequence: u64,
    is_leaving: bool,
    peak: Bytes,
}

impl Engine {
    /// An engine without replicas.
    pub fn new(memory_bytes: Bytes, checks_fencing: bool) -> Self {
        Self {
            memory_bytes,
            checks_fencing,
            highest: order::Fencing::default(),
            held: Vec::new(),
            cached: Vec::new(),
            orders: Vec::new(),
            sequence: 0,
            is_leaving: false,
            peak: Bytes(0),
        }
    }

    /// Takes an order, or refuses it.
    pub fn order(&mut self, order: &order::Order, now_ms: u64) -> Next {
        if self.orders.contains(&order.order_id) {
            return Next::Answer(order::Reply::Accepted);
        }
        if now_ms > order.expires_ms {
            return Next::Answer(order::Reply::Expired);
        }
        if self.checks_fencing && order.fencing < self.highest {
            return Next::Answer(order::Reply::StaleFencing);
        }
        self.raise(order.fencing);
        let next = match order.action {
            order::Action::Load => self.load(order),
            order::Action::Unload | order::Action::CancelLoad => self.unload(order),
        };
        let was_taken = next != Next::Answer(order::Reply::NoMemory);
        if was_taken {
            self.remember(order.order_id.clone());
        }
        next
    }

    /// Raises the fencing number, as a question about the state does.
    pub fn raise(&mut self, fencing: order::Fencing) {
        self.highest = self.highest.max(fencing);
    }

    /// Marks a replica as loaded, unless its load was cancelled meanwhile.
    pub fn finish_load(&mut self, model: &ModelRef, version: &Version) {
        let held = self.held.iter_mut().find(|h| h.model == *model && h.version == *version);
        if let Some(held) = held {
            held.phase = order::Phase::Loaded;
        }
    }

    /// Whether a replica of `model` is ready.
    pub fn is_ready(&self, model: &ModelRef) -> bool {
        self.held.iter().any(|h| h.model == *model && h.phase == order::Phase::Loaded)
    }

    /// From now on it tells that it is about to stop.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// The next announcement has a higher number.
    pub fn count_announcement(&mut self) {
        self.sequence += 1;
    }

    /// The largest sum of replica memory so far.
    pub fn peak_memory_bytes(&self) -> Bytes {
        self.peak
    }

    /// The state as it is told to daemons.
    pub fn state(
        &self,
        settings: &super::Settings,
        address: SocketAddr,
        load: order::Load,
    ) -> order::State {
        order::State {
            software: None,
            target: settings.target.clone(),
            incarnation: settings.incarnation,
            sequence: self.sequence,
            kind: settings.kind,
            availability_zone: settings.availability_zone.clone(),
            address,
            memory_bytes: self.memory_bytes,
            accelerators: u32::from(settings.kind == order::Kind::Assistant),
            holds: self.held.clone(),
            cached: self.cached.clone(),
            services: settings.services.clone(),
            checks_fencing: self.checks_fencing,
            load,
            leaving: self.is_leaving,
        }
    }

    fn used(&self) -> u64 {
        self.held.iter().map(|held| held.memory_bytes.0).sum()
    }

    fn load(&mut self, order: &order::Order) -> Next {
        let is_held =
            self.held.iter().any(|h| h.model == order.model && h.version == order.version);
        if is_held {
            return Next::Answer(order::Reply::Accepted);
        }
        if self.used() + order.memory_bytes.0 > self.memory_bytes.0 {
            return Next::Answer(order::Reply::NoMemory);
        }
        self.held.push(order::Held {
            model: order.model.clone(),
            version: order.version.clone(),
            phase: order::Phase::Loading,
            memory_bytes: order.memory_bytes,
        });
        self.peak = self.peak.max(Bytes(self.used()));
        Next::Load(order.model.clone(), order.version.clone())
    }

    fn unload(&mut self, order: &order::Order) -> Next {
        let place = self
            .held
            .iter()
            .position(|held| held.model == order.model && held.version == order.version);
        let Some(at) = place else { return Next::Answer(order::Reply::Unknown) };
        let held = self.held.remove(at);
        let cached =
            order::Cached { model: held.model, version: held.version, tier: order::Tier::Memory };
        if !self.cached.contains(&cached) {
            self.cached.push(cached);
        }
        Next::Answer(order::Reply::Accepted)
    }

    fn remember(&mut self, order: OrderId) {
        if self.orders.len() == REMEMBERED_ORDERS {
            self.orders.remove(0);
        }
        self.orders.push(order);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::Term;

    fn load(term: u64, sequence: u64, expires_ms: u64) -> order::Order {
        order::Order {
            fencing: order::Fencing { term: Term(term), sequence },
            order_id: format!("o-{term}-{sequence}").parse().unwrap(),
            action: order::Action::Load,
            model: format!("m-{sequence}").parse().unwrap(),
            version: "1".parse().unwrap(),
            memory_bytes: Bytes(6),
            expires_ms,
        }
    }

    #[test]
    fn old_late_and_oversized_orders_are_refused() {
        let mut engine = Engine::new(Bytes(10), true);
        assert!(matches!(engine.order(&load(2, 1, 100), 50), Next::Load(..)));
        let accepted = Next::Answer(order::Reply::Accepted);
        assert_eq!(engine.order(&load(2, 1, 100), 50), accepted, "a repeat");
        let cases = [
            (load(1, 9, 100), 50, order::Reply::StaleFencing),
            (load(2, 2, 40), 50, order::Reply::Expired),
            (load(2, 3, 100), 50, order::Reply::NoMemory),
        ];
        for (order, now_ms, reply) in cases {
            assert_eq!(engine.order(&order, now_ms), Next::Answer(reply));
        }
        assert_eq!(engine.peak_memory_bytes(), Bytes(6));
    }
}
