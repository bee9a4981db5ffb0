//! Waiting requests: one queue for each model or service, ordered by class rank and fair tag.
//!
//! FairScheduler between tenants is start-time fair queueing (Goyal, Vin, Cheng 1996): a request's tag is
//! the later of the virtual time and the end of its tenant's previous request, and the lowest tag
//! goes first. Tags of all lanes share one virtual time, so lanes can be compared at a target.

use std::collections::VecDeque;

use crate::routing::engine::{Destination, Ticket};

/// TargetNumber of class ranks; rank 0 goes first.
pub const RANKS: usize = 8;

/// Where a request stands in a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuePosition {
    /// The rank of its class, below [`RANKS`].
    pub rank: usize,
    /// Whether it is long work, which waits in a list of its own.
    pub is_long: bool,
    /// Its fair tag.
    pub tag: f64,
    /// Orders requests of one tag by arrival.
    pub sequence: u64,
}

impl QueuePosition {
    /// Whether this goes before `other` of the same rank.
    fn is_before(&self, other: &QueuePosition) -> bool {
        (self.tag, self.sequence) < (other.tag, other.sequence)
    }
}

/// A request in a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest {
    /// Where it stands.
    pub position: QueuePosition,
    /// The request.
    pub ticket: Ticket,
}

/// The waiting requests of one model or service.
#[derive(Clone, Debug)]
pub struct DestinationQueue {
    /// What they wait for.
    pub destination: Destination,
    candidates: Vec<u32>,
    lists: [[VecDeque<QueuedRequest>; 2]; RANKS],
    len: usize,
}

impl DestinationQueue {
    /// An empty queue, with the places of the targets that can serve it, sorted.
    pub fn new(destination: Destination, candidates: Vec<u32>) -> Self {
        Self { destination, candidates, lists: Default::default(), len: 0 }
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

    fn list(&mut self, position: &QueuePosition) -> &mut VecDeque<QueuedRequest> {
        &mut self.lists[position.rank][usize::from(position.is_long)]
    }

    /// Adds a request at its position.
    pub fn insert(&mut self, item: QueuedRequest) {
        let list = self.list(&item.position);
        let at = list.partition_point(|other| other.position.is_before(&item.position));
        list.insert(at, item);
        self.len += 1;
    }

    /// Takes out the request at `position`, if it is there.
    pub fn remove(&mut self, position: &QueuePosition) -> Option<QueuedRequest> {
        let list = self.list(position);
        let at = list.partition_point(|other| other.position.is_before(position));
        if list.get(at)?.position != *position {
            return None;
        }
        let item = list.remove(at);
        self.len -= 1;
        item
    }

    /// The short or the long requests of `rank` in their order.
    pub fn requests_of(&self, rank: usize, is_long: bool) -> impl Iterator<Item = &QueuedRequest> {
        self.lists[rank][usize::from(is_long)].iter()
    }

    /// How many of `rank` wait.
    pub fn len_of(&self, rank: usize) -> usize {
        self.lists[rank].iter().map(VecDeque::len).sum()
    }

    /// How many go before `position`: those of better ranks and those before it in its own.
    pub fn count_before(&self, position: &QueuePosition) -> usize {
        let better: usize = (0..position.rank).map(|rank| self.len_of(rank)).sum();
        let count = |list: &VecDeque<QueuedRequest>| {
            list.partition_point(|other| other.position.is_before(position))
        };
        better + self.lists[position.rank].iter().map(count).sum::<usize>()
    }

    /// All requests of one rank in the order of their tags, short ones first.
    pub fn requests_of_rank(&self, rank: usize) -> impl Iterator<Item = &QueuedRequest> {
        self.lists[rank].iter().flatten()
    }

    /// All requests.
    pub fn requests(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.lists.iter().flatten().flatten()
    }
}

/// Gives fair tags, and ranks a floor.
#[derive(Clone, Debug, Default)]
pub struct FairScheduler {
    virtual_time: [f64; RANKS],
    credit: [f64; RANKS],
}

impl FairScheduler {
    /// The tag of a request that costs `cost_ms`, and the tag at which its tenant's next one starts.
    pub fn start_and_finish_tags(
        &self,
        rank: usize,
        tenant_finish_tag: f64,
        cost_ms: f64,
        weight: f64,
    ) -> (f64, f64) {
        let start = self.virtual_time[rank].max(tenant_finish_tag);
        (start, start + cost_ms / weight.max(1e-3))
    }

    /// The ranks in the order in which they are to be served now.
    pub fn rank_order(&self) -> impl Iterator<Item = usize> + use<> {
        let owed_rank = (0..RANKS).rev().find(|rank| self.credit[*rank] >= 1.0);
        owed_rank.into_iter().chain((0..RANKS).filter(move |rank| Some(*rank) != owed_rank))
    }

    /// The tag of the request of `rank` that was dispatched last.
    pub fn virtual_time(&self, rank: usize) -> f64 {
        self.virtual_time[rank]
    }

    /// Records that a request was dispatched while the ranks of `waiting` had requests waiting.
    ///
    /// Every lower rank that was passed over earns `floor_share` of a turn.
    pub fn record_dispatch(
        &mut self,
        position: &QueuePosition,
        waiting: &[u32; RANKS],
        floor_share: f64,
    ) {
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

    fn queued(rank: usize, tag: f64, sequence: u64) -> QueuedRequest {
        let position = QueuePosition { rank, is_long: false, tag, sequence };
        QueuedRequest { position, ticket: Ticket { index: sequence as u32, generation: 0 } }
    }

    #[test]
    fn a_lane_keeps_order_and_forgets_what_is_removed() {
        let mut queue = DestinationQueue::new(Destination::Model("quill".parse().unwrap()), vec![]);
        for (tag, sequence) in [(2.0, 1), (1.0, 2), (1.0, 3)] {
            queue.insert(queued(1, tag, sequence));
        }
        assert_eq!(queue.requests_of(1, false).next().unwrap().position.sequence, 2);
        assert!(queue.remove(&queued(1, 1.0, 2).position).is_some());
        assert!(queue.remove(&queued(1, 1.0, 2).position).is_none());
        assert_eq!(queue.count_before(&queued(1, 2.0, 1).position), 1);
        assert_eq!(queue.len(), 2);
    }

    #[test]
    fn the_lowest_rank_has_a_floor() {
        let mut fairness = FairScheduler::default();
        let mut waiting = [0; RANKS];
        waiting[0] = 1;
        waiting[3] = 1;
        let mut served = [0; RANKS];
        for _ in 0..1000 {
            let rank = fairness.rank_order().find(|rank| waiting[*rank] > 0).unwrap();
            served[rank] += 1;
            fairness.record_dispatch(&queued(rank, 0.0, 0).position, &waiting, 0.02);
        }
        assert!((15..=25).contains(&served[3]), "{served:?}");
    }
}
