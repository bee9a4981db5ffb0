//! What happens because time passes.

use super::{Action, Context, Destination, Engine, State, Ticket};
use crate::ids::ModelRef;
use crate::routing::admission;
use crate::routing::queue::RANKS;
use crate::routing::refusal::Code;

/// Time between two looks at what waits.
const PERIOD_MS: u64 = 20;

/// What waits until the next look waits at least as long, a late timer included: its refusal must
/// not come after its deadline.
const LOOK_MS: f64 = PERIOD_MS as f64 + 5.0;

impl Engine {
    /// When [`Engine::tick`] is due; `None` if nothing depends on time.
    pub fn next_tick_ms(&self, now_ms: u64) -> Option<u64> {
        let look_ms = self.has_waiting().then_some(now_ms + PERIOD_MS);
        let pause_ms = self.pauses.iter().map(|(until_ms, _)| *until_ms).min();
        [look_ms, pause_ms, self.demand.next_ms()].into_iter().flatten().min()
    }

    /// Retries that are due, refusals of what cannot be answered in time any more, and reports of
    /// demand.
    pub fn tick(&mut self, cx: &mut Context<'_>, ready_at: impl Fn(&ModelRef) -> Option<u64>) {
        self.end_pauses(cx);
        self.refuse_parked(cx);
        self.refuse_late(cx, ready_at);
        self.serve_lanes(cx);
        for model in self.demand.due(cx.now_ms) {
            let demand = self.demand_of(cx.now_ms, model);
            cx.out.push(Action::Demand(demand));
        }
        self.report_waiting(cx);
        self.demand.prune(cx.now_ms);
        self.settle(cx);
    }

    fn end_pauses(&mut self, cx: &mut Context<'_>) {
        let mut at = 0;
        while at < self.pauses.len() {
            if self.pauses[at].0 <= cx.now_ms {
                let (_, ticket) = self.pauses.swap_remove(at);
                self.forgive_targets(ticket);
                self.enqueue(cx, ticket, None);
            } else {
                at += 1;
            }
        }
    }

    /// Lets a request go to targets that failed it, if there are no others. The one that was
    /// closed to it only for now comes before those that failed.
    fn forgive_targets(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let candidates = request.arrival.destination.candidates(&self.table);
        let is_avoided =
            |place: &u32| request.avoid.contains(&self.targets[*place as usize].number);
        if !candidates.iter().all(is_avoided) {
            return;
        }
        match request.untried_at.take() {
            Some(number) => request.avoid.retain(|avoided| *avoided != number),
            None => request.avoid.clear(),
        }
    }

    /// Refuses parked requests whose deadline is too near.
    fn refuse_parked(&mut self, cx: &mut Context<'_>) {
        let is_late = |engine: &Engine, ticket: &Ticket| {
            engine
                .requests
                .get(*ticket)
                .is_some_and(|request| !request.is_in_time(cx.now_ms, LOOK_MS))
        };
        let mut late: Vec<Ticket> = Vec::new();
        for (_, _, share) in self.shares.iter() {
            late.extend(share.parked.iter().filter(|ticket| is_late(self, ticket)));
        }
        for ticket in late {
            self.refuse(cx, ticket, Code::NotInTime, 0.0);
        }
    }

    /// Refuses requests in lanes that are not expected to be answered in time any more.
    fn refuse_late(&mut self, cx: &mut Context<'_>, ready_at: impl Fn(&ModelRef) -> Option<u64>) {
        let mut late: Vec<(Ticket, f64)> = Vec::new();
        for lane in &self.lanes {
            let candidates = lane.candidates();
            let ready_ms = match &lane.destination {
                Destination::Model(model) if candidates.is_empty() => ready_at(model),
                _ => None,
            };
            let ready_in_ms = ready_ms.map_or(0, |ms| ms.saturating_sub(cx.now_ms)) as f64;
            let slots = admission::slots(&self.targets, candidates);
            let mut ahead = 0;
            for rank in 0..RANKS {
                for item in lane.items_of(rank) {
                    let Some(request) = self.requests.get(item.ticket) else { continue };
                    let wait_ms = if candidates.is_empty() {
                        ready_in_ms.max(LOOK_MS)
                    } else {
                        request.queue_wait_ms(ahead, slots, &self.estimate).1.max(LOOK_MS)
                    };
                    if request.is_in_time(cx.now_ms, wait_ms) {
                        ahead += 1;
                    } else {
                        late.push((item.ticket, wait_ms));
                    }
                }
            }
        }
        for (ticket, wait_ms) in late {
            self.refuse(cx, ticket, Code::NotInTime, wait_ms);
        }
    }

    /// Reports models that are waited for or in use without new arrivals, once a period.
    fn report_waiting(&mut self, cx: &mut Context<'_>) {
        let mut due: Vec<ModelRef> = Vec::new();
        for lane in &self.lanes {
            if let Destination::Model(model) = &lane.destination
                && self.demand.is_due(cx.now_ms, model)
            {
                due.push(model.clone());
            }
        }
        // Long work keeps its replica in use without new arrivals.
        for request in self.requests.iter() {
            if let Destination::Model(model) = &request.arrival.destination
                && self.demand.is_due(cx.now_ms, model)
                && !due.contains(model)
            {
                due.push(model.clone());
            }
        }
        for model in due {
            let demand = self.demand_of(cx.now_ms, model);
            cx.out.push(Action::Demand(demand));
        }
    }

    /// Whether a request waits.
    pub fn is_waiting(&self, ticket: Ticket) -> bool {
        let state = self.requests.get(ticket).map(|request| request.state);
        matches!(state, Some(State::Waiting(_) | State::Parked | State::Pausing))
    }
}
