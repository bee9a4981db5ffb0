//! Which targets take requests of this router, by what they said in their answers.
//!
//! Load at its worst: a release under full load while no leader can be heard. What a target said
//! itself holds whatever the route table shows, for as long as that life of the target lasts.

use crate::ids::{Incarnation, TargetId};

/// Targets that are kept in mind. The oldest word goes first.
pub const MAX_GATES: usize = 2_048;

/// Whether a target takes requests of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// It said nothing against it.
    Open,
    /// It leaves.
    Leaving,
}

#[derive(Clone, Debug)]
struct Known {
    target: TargetId,
    life: Incarnation,
    gate: Gate,
    /// Rises with each word.
    number: u64,
}

/// What targets said, sorted by target.
#[derive(Clone, Debug, Default)]
pub struct Gates {
    known: Vec<Known>,
    last: u64,
}

impl Gates {
    /// Whether this life of a target takes requests.
    pub fn of(&self, target: &TargetId, life: Incarnation) -> Gate {
        match self.place(target) {
            Ok(at) if self.known[at].life == life => self.known[at].gate,
            Ok(_) | Err(_) => Gate::Open,
        }
    }

    /// A target said that it leaves. Returns whether that is new.
    pub fn leaves(&mut self, target: &TargetId, life: Incarnation) -> bool {
        self.set(target, life, Gate::Leaving)
    }

    /// The targets that said that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = (&TargetId, Incarnation)> {
        let leaving = self.known.iter().filter(|known| known.gate == Gate::Leaving);
        leaving.map(|known| (&known.target, known.life))
    }

    /// Notes the gate of a life, unless a later life is known. Returns whether it was another one.
    fn set(&mut self, target: &TargetId, life: Incarnation, gate: Gate) -> bool {
        let place = self.place(target);
        if let Ok(at) = place
            && (self.known[at].life > life
                || self.known[at].life == life && self.known[at].gate == gate)
        {
            return false;
        }
        self.last += 1;
        let known = Known { target: target.clone(), life, gate, number: self.last };
        match place {
            Ok(at) => self.known[at] = known,
            Err(at) => self.known.insert(at, known),
        }
        if self.known.len() > MAX_GATES {
            self.forget_oldest();
        }
        true
    }

    fn place(&self, target: &TargetId) -> Result<usize, usize> {
        self.known.binary_search_by(|known| known.target.cmp(target))
    }

    fn forget_oldest(&mut self) {
        let known = self.known.iter().enumerate();
        if let Some((at, _)) = known.min_by_key(|(_, known)| known.number) {
            self.known.remove(at);
        }
    }
}
