//! The order in which waiting requests are served.

use super::WaitingRequest;
use super::shares::Shares;
use crate::ids::TenantId;

/// How urgent a request is within its rank, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Its last useful start is near.
    LastStart,
    /// It can still meet its latency target.
    OnTime,
    /// It has missed its latency target.
    Late,
}

/// The place of a request among those of its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// The less urgent ranks go after the first one, unless it is the turn of their requests.
    rank: u16,
    urgency: Urgency,
    /// When it has to begin, or its number if it is late.
    at: u64,
    number: u64,
}

/// The requests of one workspace in the order in which they are served, the last one first.
struct Lane {
    workspace: Option<TenantId>,
    places: Vec<(Place, usize)>,
}

/// Yields the indices of waiting requests in the order in which they are served.
pub(super) struct ServingOrder {
    now_ms: u64,
    /// Sorted by workspace.
    lanes: Vec<Lane>,
    /// The least urgent rank of a request whose last useful start is near.
    last_rank: Option<u8>,
}

impl ServingOrder {
    /// The order of requests that are sorted by rank. If it is the turn of the last, the request of the
    /// least urgent rank whose last useful start is near goes first.
    pub(super) fn new(now_ms: u64, waiters: &[WaitingRequest], is_turn_of_last: bool) -> Self {
        let is_near = |waiter: &&WaitingRequest| now_ms >= waiter.times.urgent_from_ms;
        let last_rank = waiters.iter().rev().find(is_near).map(|waiter| waiter.rank);
        let mut turn = last_rank.filter(|_| is_turn_of_last);
        let mut lanes: Vec<Lane> = Vec::new();
        for (index, waiter) in waiters.iter().enumerate() {
            let mut place = place_of(now_ms, waiter);
            if turn == Some(waiter.rank) && place.urgency == Urgency::LastStart {
                (place.rank, turn) = (0, None);
            }
            let at = match lanes.binary_search_by(|lane| lane.workspace.cmp(&waiter.workspace)) {
                Ok(at) => at,
                Err(at) => {
                    let workspace = waiter.workspace.clone();
                    lanes.insert(at, Lane { workspace, places: Vec::new() });
                    at
                }
            };
            lanes[at].places.push((place, index));
        }
        for lane in &mut lanes {
            lane.places.sort_unstable_by(|a, b| b.cmp(a));
        }
        Self { now_ms, lanes, last_rank }
    }

    /// The index of the next request.
    pub(super) fn next(&mut self, shares: &Shares) -> Option<usize> {
        let now_ms = self.now_ms;
        let first = self.lanes.iter_mut().filter_map(|lane| {
            let (place, _) = *lane.places.last()?;
            let quanta = match place.urgency {
                // Nobody is refused for the sake of equal shares.
                Urgency::LastStart => 0,
                Urgency::OnTime | Urgency::Late => shares.quanta(now_ms, lane.workspace.as_ref()),
            };
            Some(((place.rank, place.urgency, quanta, place.at, place.number), &mut lane.places))
        });
        let (_, places) = first.min_by(|(a, _), (b, _)| a.cmp(b))?;
        places.pop().map(|(_, index)| index)
    }

    /// Whether a request of this rank that is served passes one of a less urgent rank whose last useful
    /// start is near.
    pub(super) fn is_passing(&self, rank: u8) -> bool {
        self.last_rank.is_some_and(|last_rank| rank < last_rank)
    }
}

fn place_of(now_ms: u64, waiter: &WaitingRequest) -> Place {
    let times = &waiter.times;
    let number = waiter.id.0;
    let (urgency, at) = if now_ms >= times.urgent_from_ms {
        (Urgency::LastStart, times.last_start_ms)
    } else if now_ms <= times.start_by_ms {
        (Urgency::OnTime, times.start_by_ms)
    } else {
        (Urgency::Late, number)
    };
    Place { rank: u16::from(waiter.rank) + 1, urgency, at, number }
}
