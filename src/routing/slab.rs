//! A generational slab: slots are reused, and a stale ticket never finds the newer value.

use crate::routing::engine::Ticket;

#[derive(Clone, Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// A vector of slots with a list of free ones.
#[derive(Clone, Debug)]
pub struct Slab<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// The number of values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether there are no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All values.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().filter_map(|slot| slot.value.as_ref())
    }

    /// The ticket that the next value will get.
    pub fn next_ticket(&self) -> Ticket {
        match self.free.last() {
            Some(index) => {
                Ticket { index: *index, generation: self.slots[*index as usize].generation }
            }
            None => Ticket { index: self.slots.len() as u32, generation: 0 },
        }
    }

    /// Adds a value and returns its ticket.
    pub fn insert(&mut self, value: T) -> Ticket {
        match self.free.pop() {
            Some(index) => {
                let free = &mut self.slots[index as usize];
                free.value = Some(value);
                Ticket { index, generation: free.generation }
            }
            None => {
                let index = self.slots.len() as u32;
                self.slots.push(Slot { generation: 0, value: Some(value) });
                Ticket { index, generation: 0 }
            }
        }
    }

    fn slot(&self, ticket: Ticket) -> Option<&Slot<T>> {
        self.slots.get(ticket.index as usize).filter(|p| p.generation == ticket.generation)
    }

    /// The value of this ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&T> {
        self.slot(ticket)?.value.as_ref()
    }

    /// The value of this ticket, mutably.
    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut T> {
        self.slot(ticket)?;
        self.slots[ticket.index as usize].value.as_mut()
    }

    /// Removes the value of this ticket.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.slot(ticket)?;
        let slot = &mut self.slots[ticket.index as usize];
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(ticket.index);
        Some(value)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn stale_ticket_finds_nothing() {
        let mut slab = Slab::default();
        let old = slab.insert('a');
        assert_eq!(slab.remove(old), Some('a'));
        let new = slab.insert('b');
        assert_eq!(new.index, old.index);
        assert_eq!((slab.get(old), slab.get(new), slab.len()), (None, Some(&'b'), 1));
    }
}
