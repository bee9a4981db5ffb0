//! Requests in places that are used again, named so that an old name never finds a newer request.

use crate::routing::engine::Ticket;

#[derive(Clone, Debug)]
struct Place<T> {
    generation: u32,
    value: Option<T>,
}

/// A vector with a list of its free places.
#[derive(Clone, Debug)]
pub struct Slab<T> {
    places: Vec<Place<T>>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self { places: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// How many values it holds.
    pub fn len(&self) -> usize {
        self.places.len() - self.free.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All values.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.places.iter().filter_map(|place| place.value.as_ref())
    }

    /// The name that the next value will get.
    pub fn next(&self) -> Ticket {
        match self.free.last() {
            Some(place) => {
                Ticket { place: *place, generation: self.places[*place as usize].generation }
            }
            None => Ticket { place: self.places.len() as u32, generation: 0 },
        }
    }

    /// Adds a value and returns its name.
    pub fn insert(&mut self, value: T) -> Ticket {
        match self.free.pop() {
            Some(place) => {
                let free = &mut self.places[place as usize];
                free.value = Some(value);
                Ticket { place, generation: free.generation }
            }
            None => {
                let place = self.places.len() as u32;
                self.places.push(Place { generation: 0, value: Some(value) });
                Ticket { place, generation: 0 }
            }
        }
    }

    fn at(&self, ticket: Ticket) -> Option<&Place<T>> {
        self.places.get(ticket.place as usize).filter(|p| p.generation == ticket.generation)
    }

    /// The value of this name.
    pub fn get(&self, ticket: Ticket) -> Option<&T> {
        self.at(ticket)?.value.as_ref()
    }

    /// The value of this name, to change it.
    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut T> {
        self.at(ticket)?;
        self.places[ticket.place as usize].value.as_mut()
    }

    /// Takes the value of this name out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.at(ticket)?;
        let place = &mut self.places[ticket.place as usize];
        let value = place.value.take()?;
        place.generation = place.generation.wrapping_add(1);
        self.free.push(ticket.place);
        Some(value)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_old_name_finds_nothing() {
        let mut slab = Slab::default();
        let old = slab.insert('a');
        assert_eq!(slab.remove(old), Some('a'));
        let new = slab.insert('b');
        assert_eq!(new.place, old.place);
        assert_eq!((slab.get(old), slab.get(new), slab.len()), (None, Some(&'b'), 1));
    }
}
