//! Divides engines into slots that are the same at every leader. The engines of one slot get their orders
//! from the same daemon.

use xxhash_rust::xxh3;

use crate::ids::TargetId;

/// Number of slots. With five senders of orders, a lost one leaves four slots, which the others share evenly.
pub const ORDER_SLOTS: usize = 20;

/// The slot of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderSlot(pub usize);

impl OrderSlot {
    /// The slot of an engine, which depends on its id alone.
    pub fn of(target: &TargetId) -> Self {
        Self((xxh3::xxh3_64(target.as_str().as_bytes()) % ORDER_SLOTS as u64) as usize)
    }
}

/// The slots whose engines cannot get orders now, as bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClosedSlots(u32);

impl ClosedSlots {
    /// Adds a slot.
    pub fn close(&mut self, slot: OrderSlot) {
        self.0 |= 1 << slot.0;
    }

    /// Whether the engines of a slot cannot get orders.
    pub fn contains(self, slot: OrderSlot) -> bool {
        self.0 & (1 << slot.0) != 0
    }

    /// Number of closed slots.
    pub fn count(self) -> u32 {
        self.0.count_ones()
    }
}
