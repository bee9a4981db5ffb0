//! Decides at a delegate whether an order may be sent.

use super::{CONTACT_VALID_MS, ContactId, Permit};
use crate::ids::{TargetId, Term};

/// A contact that the leader may still refer to.
#[derive(Clone, Copy, Debug)]
struct Issued {
    id: ContactId,
    at_ms: u64,
}

/// The promises and orders of one delegate.
#[derive(Clone, Debug)]
pub struct Sender {
    /// Nothing is sent for earlier terms.
    promised: Term,
    last_id: u64,
    /// Contacts of the promised term, oldest first.
    issued: Vec<Issued>,
    /// Orders under way, each with its term.
    under_way: Vec<(TargetId, Term)>,
}

impl Sender {
    /// The sender of a process. Contacts are numbered after `first_id`, which is drawn for each process.
    pub fn new(first_id: u64) -> Self {
        Self { promised: Term(0), last_id: first_id, issued: Vec::new(), under_way: Vec::new() }
    }

    /// Promises the leader of `term` to send nothing for earlier terms, and returns a new contact. `None` if a
    /// later term was promised.
    pub fn promise(&mut self, now_ms: u64, term: Term) -> Option<ContactId> {
        if term < self.promised {
            return None;
        }
        if term > self.promised {
            self.promised = term;
            self.issued.clear();
        }
        self.issued.retain(|issued| now_ms < issued.at_ms + CONTACT_VALID_MS);
        self.last_id = self.last_id.wrapping_add(1);
        let id = ContactId(self.last_id);
        self.issued.push(Issued { id, at_ms: now_ms });
        Some(id)
    }

    /// Whether an order with this permit may be sent now. Checked again right before its bytes leave.
    pub fn is_permitted(&self, now_ms: u64, permit: &Permit) -> bool {
        let valid_ms = permit.valid_ms.min(CONTACT_VALID_MS);
        let is_valid = |issued: &Issued| {
            issued.id == permit.contact && now_ms < issued.at_ms.saturating_add(valid_ms)
        };
        permit.term == self.promised && self.issued.iter().any(is_valid)
    }

    /// Starts to send an order. Returns whether it may be sent: an engine gets no order while one of an
    /// earlier term is under way to it, since the later one could arrive first.
    pub fn begin(&mut self, now_ms: u64, permit: &Permit, target: &TargetId) -> bool {
        let is_overtaking =
            self.under_way.iter().any(|(known, term)| known == target && *term != permit.term);
        let may_send = !is_overtaking && self.is_permitted(now_ms, permit);
        if may_send {
            self.under_way.push((target.clone(), permit.term));
        }
        may_send
    }

    /// An order was answered, or given up and its connection reset.
    pub fn end(&mut self, permit: &Permit, target: &TargetId) {
        let is_same = |(known, term): &(TargetId, Term)| known == target && *term == permit.term;
        if let Some(at) = self.under_way.iter().position(is_same) {
            self.under_way.swap_remove(at);
        }
    }
}
