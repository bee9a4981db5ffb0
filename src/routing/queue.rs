//! Queues of waiting requests: one for each model or service, ordered by class rank and start tag.
//!
//! Tenants share capacity by start-time fair queueing (Goyal, Vin, Cheng 1996): the start tag of a
//! request is the later of the virtual time and the finish tag of its tenant's previous request,
//! and the lowest tag goes first. All queues share one virtual time, so a target can compare them.

use std::collections::VecDeque;

use crate::routing::engine::{Destination, Ticket};

/// Number of class ranks; rank 0 is served first.
pub const RANKS: usize = 8;

/// The sort key of a request in a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuePosition {
    /// The rank of the request's class, below [`RANKS`].
    pub rank: usize,
    /// Whether the request counts as long; long requests wait in a list of their own.
    pub is_long: bool,
    /// The start tag of fair queueing.
    pub tag: f64,
    /// Orders requests with the same tag by arrival.
    pub sequence: u64,
}

impl QueuePosition {
    /// Whether this position is before `other` of the same rank.
    fn is_before(&self, other: &QueuePosition) -> bool {
        (self.tag, self.sequence) < (other.tag, other.sequence)
    }
}

/// A request that waits in a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest {
    /// The position in the queue.
    pub position: QueuePosition,
    /// The request.
    pub ticket: Ticket,
}

/// The waiting requests of one model or service.
#[derive(Clone, Debug)]
pub struct DestinationQueue {
    /// The model or service of the requests.
    pub destination: Destination,
    candidates: Vec<u32>,
    lists: [[VecDeque<QueuedRequest>; 2]; RANKS],
    len: usize,
}

impl DestinationQueue {
    /// Creates an empty queue with the sorted indices of the targets that can serve it.
    pub fn new(destination: Destination, candidates: Vec<u32>) -> Self {
        Self { destination, candidates, lists: Default::default(), len: 0 }
    }

    /// Sorted indices of the targets that can serve the queue.
    pub fn candidates(&self) -> &[u32] {
        &self.candidates
    }

    /// Replaces the candidates after a route table update.
    pub fn set_candidates(&mut self, candidates: Vec<u32>) {
        self.candidates = candidates;
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
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

    /// Removes the request at `position`, if there is one.
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

    /// The short or the long requests of `rank`, in order.
    pub fn requests_of(&self, rank: usize, is_long: bool) -> impl Iterator<Item = &QueuedRequest> {
        self.lists[rank][usize::from(is_long)].iter()
    }

    /// The number of waiting requests of `rank`.
    pub fn len_of(&self, rank: usize) -> usize {
        self.lists[rank].iter().map(VecDeque::len).sum()
    }

    /// The number of requests before `position`: those of better ranks and those before it in its
    /// rank.
    pub fn count_before(&self, position: &QueuePosition) -> usize {
        let better: usize = (0..position.rank).map(|rank| self.len_of(rank)).sum();
        let count = |list: &VecDeque<QueuedRequest>| {
            list.partition_point(|other| other.position.is_before(position))
        };
        better + self.lists[position.rank].iter().map(count).sum::<usize>()
    }

    /// All requests of one rank, short ones first, each list in the order of tags.
    pub fn requests_of_rank(&self, rank: usize) -> impl Iterator<Item = &QueuedRequest> {
        self.lists[rank].iter().flatten()
    }

    /// All requests.
    pub fn requests(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.lists.iter().flatten().flatten()
    }
}

/// Assigns start and finish tags, and guarantees lower ranks a minimum share of dispatches.
#[derive(Clone, Debug, Default)]
pub struct FairScheduler {
    virtual_time: [f64; RANKS],
    credit: [f64; RANKS],
}

impl FairScheduler {
    /// The start tag of a request that costs `cost_ms`, and its finish tag, which is the earliest
    /// start tag of the tenant's next request.
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

    /// The ranks in the order in which they are served next.
    pub fn rank_order(&self) -> impl Iterator<Item = usize> + use<> {
        let owed_rank = (0..RANKS).rev().find(|rank| self.credit[*rank] >= 1.0);
        owed_rank.into_iter().chain((0..RANKS).filter(move |rank| Some(*rank) != owed_rank))
    }

    /// The virtual time of `rank`: the highest start tag dispatched so far.
    pub fn virtual_time(&self, rank: usize) -> f64 {
        self.virtual_time[rank]
    }

    /// Records the dispatch of a request; `waiting` counts the waiting requests of each rank.
    ///
    /// Every lower rank with waiting requests earns `floor_share` of a dispatch.
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
    fn queue_keeps_order_after_insert_and_remove() {
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
    fn lowest_rank_gets_its_minimum_share() {
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
