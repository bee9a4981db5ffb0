//! Decides at the leader which delegate sends an order, and when the engines of a lost one move to others.

use super::{CONTACT_VALID_MS, ContactId, ORDER_TIMEOUT_MS, Permit};
use crate::ids::{DaemonId, TargetId, Term};
use crate::placement::swap::order_slots::{ClosedSlots, ORDER_SLOTS, OrderSlot};

/// Time after its last contact in which bytes of a lost delegate may still arrive at an engine.
const LOST_MARGIN_MS: u64 = CONTACT_VALID_MS + ORDER_TIMEOUT_MS;

/// Who sends an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// This delegate, with this permit.
    Via(DaemonId, Permit),
    /// Nobody may send it now.
    Closed,
}

/// What a leader knows of a delegate. Times are by the clock of the leader.
#[derive(Clone, Debug)]
struct Contact {
    daemon: DaemonId,
    id: ContactId,
    /// When the answer arrived, which is later than the contact.
    received_ms: u64,
}

/// The senders of all slots, as the leader of one term knows them.
#[derive(Clone, Debug)]
pub struct Book {
    term: Term,
    leading_since_ms: u64,
    takeover_ms: u64,
    /// The recorded sender of each slot; empty until it is known.
    slots: Vec<DaemonId>,
    /// The daemon that was given orders of this term for each slot. Another one must not use the same
    /// fencing number there.
    used: Vec<Option<DaemonId>>,
    /// Senders that are about to be recorded. The slots that change are closed.
    moving: Option<Vec<DaemonId>>,
    /// Sorted by daemon.
    contacts: Vec<Contact>,
    is_draining: bool,
}

impl Book {
    /// The book of the leader of `term`. `takeover_ms` is the minimum time between the orders of two daemons.
    pub fn new(term: Term, now_ms: u64, takeover_ms: u64, slots: Vec<DaemonId>) -> Self {
        let slots = if slots.len() == ORDER_SLOTS { slots } else { Vec::new() };
        Self {
            term,
            leading_since_ms: now_ms,
            takeover_ms,
            slots,
            used: vec![None; ORDER_SLOTS],
            moving: None,
            contacts: Vec::new(),
            is_draining: false,
        }
    }

    /// The recorded sender of each slot.
    pub fn slots(&self) -> &[DaemonId] {
        &self.slots
    }

    /// Deals all slots to the daemons that have answered, for a first record. `None` unless there are two.
    pub fn deal(&self, now_ms: u64, voters: &[DaemonId]) -> Option<Vec<DaemonId>> {
        let senders = self.reachable(now_ms, voters);
        (senders.len() >= 2)
            .then(|| (0..ORDER_SLOTS).map(|at| senders[at % senders.len()].clone()).collect())
    }

    /// A delegate has promised to send nothing for earlier terms, and answered with a contact.
    pub fn record_contact(&mut self, now_ms: u64, daemon: &DaemonId, id: ContactId) {
        let contact = Contact { daemon: daemon.clone(), id, received_ms: now_ms };
        match self.find(daemon) {
            Ok(at) => self.contacts[at] = contact,
            Err(at) => self.contacts.insert(at, contact),
        }
    }

    /// Decides who sends an order now. `lease_left_ms` is read at the same moment.
    pub fn route(&mut self, now_ms: u64, lease_left_ms: u64, target: &TargetId) -> Route {
        let slot = OrderSlot::of(target);
        if self.is_draining || self.is_moving(slot) {
            return Route::Closed;
        }
        let Some(daemon) = self.slots.get(slot.0).cloned() else { return Route::Closed };
        let Ok(at) = self.find(&daemon) else { return Route::Closed };
        let contact = &self.contacts[at];
        let age_ms = now_ms.saturating_sub(contact.received_ms);
        // The delegate counts from the contact, which is at least this old, so the permit ends with the lease.
        let valid_ms = CONTACT_VALID_MS.min(lease_left_ms.saturating_add(age_ms));
        let permit = Permit { term: self.term, contact: contact.id, valid_ms };
        if lease_left_ms == 0 || age_ms >= valid_ms || self.is_used_by_other(slot) {
            return Route::Closed;
        }
        self.used[slot.0] = Some(daemon.clone());
        Route::Via(daemon, permit)
    }

    /// The slots whose engines cannot get orders now.
    pub fn closed(&self, now_ms: u64) -> ClosedSlots {
        let mut closed = ClosedSlots::default();
        for slot in (0..ORDER_SLOTS).map(OrderSlot) {
            let is_reachable = self.slots.get(slot.0).is_some_and(|d| self.is_reachable(now_ms, d));
            let is_open = is_reachable && !self.is_moving(slot) && !self.is_used_by_other(slot);
            if !is_open || self.is_draining {
                closed.close(slot);
            }
        }
        closed
    }

    /// The delegates without a recent contact, each with the time since the last one or since the election.
    pub fn lost(&self, now_ms: u64) -> Vec<(DaemonId, u64)> {
        let mut daemons = self.slots.clone();
        daemons.sort_unstable();
        daemons.dedup();
        daemons.retain(|daemon| !self.is_reachable(now_ms, daemon));
        let silent_ms = |daemon: &DaemonId| now_ms.saturating_sub(self.last_contact_ms(daemon));
        daemons.into_iter().map(|daemon| (daemon.clone(), silent_ms(&daemon))).collect()
    }

    /// The senders to record now that the orders of lost delegates have ended. Their slots go to those of
    /// `voters` that answer and have the fewest, and stay closed until [`Book::finish_move`].
    pub fn begin_move(&mut self, now_ms: u64, voters: &[DaemonId]) -> Option<Vec<DaemonId>> {
        if self.moving.is_some() || self.is_draining {
            return None;
        }
        let senders = self.reachable(now_ms, voters);
        let is_due = |daemon: &DaemonId| {
            let ended_ms = self.last_contact_ms(daemon) + LOST_MARGIN_MS + self.takeover_ms;
            !self.is_reachable(now_ms, daemon) && now_ms >= ended_ms
        };
        let due: Vec<bool> = self.slots.iter().map(is_due).collect();
        if senders.is_empty() || !due.contains(&true) {
            return None;
        }
        let mut slots = self.slots.clone();
        let mut shares: Vec<(usize, DaemonId)> = senders
            .into_iter()
            .map(|sender| (slots.iter().filter(|known| **known == sender).count(), sender))
            .collect();
        for at in (0..ORDER_SLOTS).filter(|at| due[*at]) {
            shares.sort_unstable();
            shares[0].0 += 1;
            slots[at] = shares[0].1.clone();
        }
        self.moving = Some(slots.clone());
        Some(slots)
    }

    /// The senders of a first record or of [`Book::begin_move`] are on record.
    pub fn finish_move(&mut self, slots: Vec<DaemonId>) {
        self.slots = slots;
        self.moving = None;
    }

    /// Whether a slot has moved to a daemon that cannot send orders before the next term, because the one
    /// before has used this one's fencing number.
    pub fn needs_new_term(&self) -> bool {
        let mut slots = (0..self.slots.len()).map(OrderSlot);
        self.moving.is_none() && slots.any(|slot| self.is_used_by_other(slot))
    }

    /// Passes on no more orders, because leadership is handed over before the end of the lease.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Passes orders on again, because leadership was not handed over.
    pub fn stop_draining(&mut self) {
        self.is_draining = false;
    }

    fn find(&self, daemon: &DaemonId) -> Result<usize, usize> {
        self.contacts.binary_search_by(|contact| contact.daemon.cmp(daemon))
    }

    /// When a delegate answered last. An earlier leader may have passed orders to it until the election.
    fn last_contact_ms(&self, daemon: &DaemonId) -> u64 {
        let received_ms = self.find(daemon).map_or(0, |at| self.contacts[at].received_ms);
        received_ms.max(self.leading_since_ms)
    }

    fn is_reachable(&self, now_ms: u64, daemon: &DaemonId) -> bool {
        let contact = self.find(daemon).ok().map(|at| &self.contacts[at]);
        contact.is_some_and(|contact| now_ms < contact.received_ms + CONTACT_VALID_MS)
    }

    fn reachable(&self, now_ms: u64, voters: &[DaemonId]) -> Vec<DaemonId> {
        let contacts = self.contacts.iter().map(|contact| &contact.daemon);
        let is_sender =
            |daemon: &&DaemonId| voters.contains(daemon) && self.is_reachable(now_ms, daemon);
        contacts.filter(is_sender).cloned().collect()
    }

    fn is_moving(&self, slot: OrderSlot) -> bool {
        let next = self.moving.as_ref().and_then(|slots| slots.get(slot.0));
        next.is_some_and(|next| Some(next) != self.slots.get(slot.0))
    }

    fn is_used_by_other(&self, slot: OrderSlot) -> bool {
        let used = self.used[slot.0].as_ref();
        used.is_some_and(|used| Some(used) != self.slots.get(slot.0))
    }
}
