//! From a lane to a target.

use super::{Action, Context, Engine, Start, State, Ticket};
use crate::routing::choice::{self, Wish};
use crate::routing::hedge;
use crate::routing::queue::Item;
use crate::routing::refusal::Code;
use crate::routing::target::{Flight, Target};

/// How many requests that may not go to every target are passed over in a row of a lane.
const MAX_PASSED_OVER: usize = 8;

impl Engine {
    /// The place of the best target for a request, if one has room.
    pub(super) fn choose_for(&mut self, cx: &mut Context<'_>, ticket: Ticket) -> Option<u32> {
        let request = self.requests.get(ticket)?;
        let arrival = &request.arrival;
        let prefix_at = arrival
            .conversation
            .and_then(|conversation| self.affinity.target(cx.now_ms, conversation))
            .and_then(|number| self.place_of(number));
        let wish = Wish {
            is_long: request.is_long,
            long_share: self.settings.long_share,
            expected_first_ms: request.answer_ms,
            prefix_at,
            avoid: &request.avoid,
        };
        let is_suspect = self.is_suspect(cx.now_ms, ticket);
        let may_join = |target: &Target| !is_suspect || !self.runs_suspect(cx.now_ms, target);
        let candidates = match self.lane_place(&arrival.destination) {
            Ok(place) => self.lanes[place].candidates(),
            Err(_) => arrival.destination.candidates(&self.table),
        };
        choice::choose(cx.now_ms, &self.targets, candidates, &wish, may_join, cx.rng)
    }

    pub(super) fn is_suspect(&self, now_ms: u64, ticket: Ticket) -> bool {
        let Some(request) = self.requests.get(ticket) else { return false };
        request.arrival.is_suspect || self.suspects.is_suspect(now_ms, &request.arrival.digest)
    }

    /// Whether a suspect is in flight at a target.
    fn runs_suspect(&self, now_ms: u64, target: &Target) -> bool {
        let is_suspect = |flight: &Flight| self.is_suspect(now_ms, flight.ticket);
        target.flights.iter().any(is_suspect)
    }

    /// Sends the next attempt of a request to the target at `place`.
    pub(super) fn start(&mut self, cx: &mut Context<'_>, ticket: Ticket, place: u32) {
        self.uncount_waiting(ticket);
        let is_suspect = self.is_suspect(cx.now_ms, ticket);
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let target = &mut self.targets[place as usize];
        let attempt = request.attempts;
        request.attempts += 1;
        request.state = State::Running;
        if request.flights.iter().all(Option::is_none) {
            self.shares.get_mut(request.share).in_flight += 1;
        }
        let free = request.flights.iter_mut().find(|flight| flight.is_none());
        if let Some(free) = free {
            *free = Some((target.number, attempt));
        }
        target.start(Flight {
            ticket,
            attempt,
            started_ms: cx.now_ms,
            expected_first_ms: request.answer_ms,
            is_answering: false,
            is_long: request.is_long,
            digest: request.arrival.digest,
        });
        let waited_ms = cx.now_ms.saturating_sub(request.queued_ms);
        if request.predicted_ms.is_some() && request.raw_wait_ms > 0.0 {
            self.estimate.observe(request.raw_wait_ms, waited_ms as f64);
        }
        let hedge_after_ms = hedge::delay_ms(
            request.arrival.is_idempotent,
            request.expected.is_learned(),
            request.answer_ms,
        );
        cx.out.push(Action::Start(Start {
            ticket,
            table: self.table.clone(),
            place,
            attempt,
            waited_ms: cx.now_ms.saturating_sub(request.arrived_ms),
            predicted_ms: request.predicted_ms.take(),
            hedge_after_ms,
            is_suspect,
        }));
    }

    /// Sends what it can of the lane at `place`, best first.
    pub(super) fn serve_lane(&mut self, cx: &mut Context<'_>, place: usize) {
        while let Some((item, target)) = self.next_of_lane(cx, place) {
            self.dispatch(cx, place, item, target);
        }
    }

    /// The first request of a lane that some target has room for.
    fn next_of_lane(&mut self, cx: &mut Context<'_>, place: usize) -> Option<(Item, u32)> {
        for rank in self.fairness.order() {
            for is_long in self.kinds(place, rank) {
                for at in 0..MAX_PASSED_OVER {
                    let item = self.lanes[place].row_of(rank, is_long).nth(at).copied();
                    let Some(item) = item else { break };
                    if let Some(target) = self.choose_for(cx, item.ticket) {
                        return Some((item, target));
                    }
                    if !self.is_restricted(cx.now_ms, item.ticket) {
                        break;
                    }
                }
            }
        }
        None
    }

    /// Short and long work of a rank, the one whose first request has the lower tag first.
    fn kinds(&self, place: usize, rank: usize) -> [bool; 2] {
        let lane = &self.lanes[place];
        let tag = |is_long| lane.row_of(rank, is_long).next().map(|item| item.position.tag);
        match (tag(false), tag(true)) {
            (Some(short), Some(long)) if long < short => [true, false],
            _ => [false, true],
        }
    }

    /// Whether a request may not go to every target, so that others may pass it.
    fn is_restricted(&self, now_ms: u64, ticket: Ticket) -> bool {
        let avoids = self.requests.get(ticket).is_some_and(|r| !r.avoid.is_empty());
        avoids || self.is_suspect(now_ms, ticket)
    }

    /// Takes a request out of its lane and sends it, or refuses it if its time has run out.
    fn dispatch(&mut self, cx: &mut Context<'_>, lane: usize, item: Item, target: u32) {
        self.lanes[lane].remove(&item.position);
        self.has_empty_lane |= self.lanes[lane].is_empty();
        let Some(request) = self.requests.get(item.ticket) else { return };
        if !request.is_in_time(cx.now_ms, 0.0) {
            return self.refuse(cx, item.ticket, Code::NotInTime, 0.0);
        }
        self.start(cx, item.ticket, target);
        let waiting = &self.waiting_by_rank;
        self.fairness.dispatched(&item.position, waiting, self.settings.floor_share);
    }

    /// Gives the free room of the target at `place` to whoever waits for it, over all lanes.
    pub(super) fn serve_target(&mut self, cx: &mut Context<'_>, place: u32) {
        while let Some((lane, item)) = self.next_for_target(cx.now_ms, place) {
            self.dispatch(cx, lane, item, place);
        }
    }

    /// The first request over all lanes that the target at `place` may take.
    fn next_for_target(&self, now_ms: u64, place: u32) -> Option<(usize, Item)> {
        let target = &self.targets[place as usize];
        let long_share = self.settings.long_share;
        let kinds = [false, true].map(|is_long| target.has_room(now_ms, is_long, long_share));
        if target.standing != crate::membership::table::Standing::Up || kinds == [false; 2] {
            return None;
        }
        for rank in self.fairness.order() {
            let mut best: Option<(usize, Item)> = None;
            for (at, lane) in self.lanes.iter().enumerate() {
                if lane.len_of(rank) == 0 || lane.candidates().binary_search(&place).is_err() {
                    continue;
                }
                let allowed = [false, true].into_iter().filter(|l| kinds[usize::from(*l)]);
                for is_long in allowed {
                    let mut row = lane.row_of(rank, is_long).take(MAX_PASSED_OVER);
                    let open = row.find(|item| self.may_take(now_ms, item.ticket, target));
                    let Some(item) = open else { continue };
                    if best.is_none_or(|(_, b)| item.position.tag < b.position.tag) {
                        best = Some((at, *item));
                    }
                }
            }
            if best.is_some() {
                return best;
            }
        }
        None
    }

    /// Whether a target may get this request, room apart.
    fn may_take(&self, now_ms: u64, ticket: Ticket, target: &Target) -> bool {
        let Some(request) = self.requests.get(ticket) else { return false };
        let is_avoided = request.avoid.contains(&target.number);
        let is_suspect = self.is_suspect(now_ms, ticket);
        !is_avoided && (!is_suspect || !self.runs_suspect(now_ms, target))
    }
}
