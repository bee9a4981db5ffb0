//! Waiting requests: one lane for each model or service, ordered by class rank and fair tag.
//!
//! Fairness between tenants is start-time fair queueing (Goyal, Vin, Cheng 1996): a request's tag is
//! the later of the virtual time and the end of its tenant's previous request, and the lowest tag
//! goes first. Tags of all lanes share one virtual time, so lanes can be compared at a target.

use std::collections::VecDeque;

use crate::routing::engine::{Destination, Ticket};

/// Number of class ranks; rank 0 goes first.
pub const RANKS: usize = 8;

/// Where a request stands in a lane.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Position {
    /// The rank of its class, below [`RANKS`].
    pub rank: usize,
    /// Whether it is long work, which waits in a row of its own.
    pub is_long: bool,
    /// Its fair tag.
    pub tag: f64,
    /// Orders requests of one tag by arrival.
    pub sequence: u64,
}

impl Position {
    /// Whether this goes before `other` of the same rank.
    fn is_before(&self, other: &Position) -> bool {
        (self.tag, self.sequence) < (other.tag, other.sequence)
    }
}

/// A request in a lane.
#[derive(Clone, Copy, Debug)]
pub struct Item {
    /// Where it stands.
    pub position: Position,
    /// The request.
    pub ticket: Ticket,
}

/// The waiting requests of one model or service.
#[derive(Clone, Debug)]
pub struct Lane {
    /// What they wait for.
    pub destination: Destination,
    candidates: Vec<u32>,
    rows: [[VecDeque<Item>; 2]; RANKS],
    len: usize,
}

impl Lane {
    /// An empty lane, with the places of the targets that can serve it, sorted.
    pub fn new(destination: Destination, candidates: Vec<u32>) -> Self {
        Self { destination, candidates, rows: Default::default(), len: 0 }
    }

    /// Places of the targets that can serve it, sorted.
    pub fn candidates(&self) -> &[u32] {
        &self.candidates
    }

    /// Takes over the places after a change of the route table.
    pub fn set_candidates(&mut self, candidates: Vec<u32>) {
        self.candidates = candidates;
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn row(&mut self, position: &Position) -> &mut VecDeque<Item> {
        &mut self.rows[position.rank][usize::from(position.is_long)]
    }

    /// Adds a request at its position.
    pub fn insert(&mut self, item: Item) {
        let row = self.row(&item.position);
        let at = row.partition_point(|other| other.position.is_before(&item.position));
        row.insert(at, item);
        self.len += 1;
    }

    /// Takes out the request at `position`, if it is there.
    pub fn remove(&mut self, position: &Position) -> Option<Item> {
        let row = self.row(position);
        let at = row.partition_point(|other| other.position.is_before(position));
        if row.get(at)?.position != *position {
            return None;
        }
        let item = row.remove(at);
        self.len -= 1;
        item
    }

    /// The short or the long requests of `rank` in their order.
    pub fn row_of(&self, rank: usize, is_long: bool) -> impl Iterator<Item = &Item> {
        self.rows[rank][usize::from(is_long)].iter()
    }

    /// How many of `rank` wait.
    pub fn len_of(&self, rank: usize) -> usize {
        self.rows[rank].iter().map(VecDeque::len).sum()
    }

    /// How many go before `position`: those of better ranks and those before it in its own.
    pub fn ahead_of(&self, position: &Position) -> usize {
        let better: usize = (0..position.rank).map(|rank| self.len_of(rank)).sum();
        let count =
            |row: &VecDeque<Item>| row.partition_point(|other| other.position.is_before(position));
        better + self.rows[position.rank].iter().map(count).sum::<usize>()
    }

    /// All requests of one rank in the order of their tags, short ones first.
    pub fn items_of(&self, rank: usize) -> impl Iterator<Item = &Item> {
        self.rows[rank].iter().flatten()
    }

    /// All requests.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.rows.iter().flatten().flatten()
    }
}

/// Gives fair tags, and ranks a floor.
#[derive(Clone, Debug, Default)]
pub struct Fairness {
    virtual_time: [f64; RANKS],
    credit: [f64; RANKS],
}

impl Fairness {
    /// The tag of a request that costs `cost_ms`, and the tag at which its tenant's next one starts.
    pub fn tag(&self, rank: usize, tenant_end: f64, cost_ms: f64, weight: f64) -> (f64, f64) {
        let start = self.virtual_time[rank].max(tenant_end);
        (start, start + cost_ms / weight.max(1e-3))
    }

    /// The ranks in the order in which they are to be served now.
    pub fn order(&self) -> impl Iterator<Item = usize> + use<> {
        let owed = (0..RANKS).rev().find(|rank| self.credit[*rank] >= 1.0);
        owed.into_iter().chain((0..RANKS).filter(move |rank| Some(*rank) != owed))
    }

    /// The tag of the request of `rank` that was dispatched last.
    pub fn virtual_time(&self, rank: usize) -> f64 {
        self.virtual_time[rank]
    }

    /// Records that a request was dispatched while the ranks of `waiting` had requests waiting.
    ///
    /// Every lower rank that was passed over earns `floor_share` of a turn.
    pub fn dispatched(&mut self, position: &Position, waiting: &[u32; RANKS], floor_share: f64) {
        let rank = position.rank;
        self.virtual_time[rank] = self.virtual_time[rank].max(position.tag);
        self.credit[rank] = (self.credit[rank] - 1.0).max(0.0);
        for (credit, waiting) in self.credit.iter_mut().zip(waiting).skip(rank + 1) {
            *credit = if *waiting > 0 { (*credit + floor_share).min(2.0) } else { 0.0 };
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn item(rank: usize, tag: f64, sequence: u64) -> Item {
        let position = Position { rank, is_long: false, tag, sequence };
        Item { position, ticket: Ticket { place: sequence as u32, generation: 0 } }
    }

    #[test]
    fn a_lane_keeps_order_and_forgets_what_is_removed() {
        let mut lane = Lane::new(Destination::Model("quill".parse().unwrap()), vec![]);
        for (tag, sequence) in [(2.0, 1), (1.0, 2), (1.0, 3)] {
            lane.insert(item(1, tag, sequence));
        }
        assert_eq!(lane.row_of(1, false).next().unwrap().position.sequence, 2);
        assert!(lane.remove(&item(1, 1.0, 2).position).is_some());
        assert!(lane.remove(&item(1, 1.0, 2).position).is_none());
        assert_eq!(lane.ahead_of(&item(1, 2.0, 1).position), 1);
        assert_eq!(lane.len(), 2);
    }

    #[test]
    fn the_lowest_rank_has_a_floor() {
        let mut fairness = Fairness::default();
        let mut waiting = [0; RANKS];
        waiting[0] = 1;
        waiting[3] = 1;
        let mut served = [0; RANKS];
        for _ in 0..1000 {
            let rank = fairness.order().find(|rank| waiting[*rank] > 0).unwrap();
            served[rank] += 1;
            fairness.dispatched(&item(rank, 0.0, 0).position, &waiting, 0.02);
        }
        assert!((15..=25).contains(&served[3]), "{served:?}");
    }
}
