//! Which targets take requests of this router, by what they said in their answers.
//!
//! Load at its worst: a release under full load while no leader can be heard, and targets that are so
//! full that they ask to be left alone for a time. What a target said itself holds whatever the route
//! table shows, for as long as that life of the target lasts. After the time that it asked for,
//! requests come back one at first, and more as it answers.

use crate::ids::{Incarnation, TargetId};

/// Targets that are kept in mind. The oldest word goes first.
pub const MAX_GATES: usize = 2_048;
/// Requests that a target gets at first when the time that it asked for has passed.
const FIRST_CREDITS: u32 = 1;
/// Requests that follow for each one that it answers.
const CREDITS_PER_ANSWER: u32 = 2;
/// Requests at once from which it takes all again.
const OPEN_CREDITS: u32 = 16;

/// Whether a target takes requests of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// It said nothing against it.
    Open,
    /// It leaves.
    Leaving,
    /// It wants nothing until then.
    Paused {
        /// When it opens.
        until_ms: u64,
    },
    /// The time that it asked for has passed, and it answers what it got since.
    Reopening {
        /// Requests that it may get now.
        credits: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Word {
    Leaving,
    Pause { until_ms: u64, credits: u32 },
}

#[derive(Clone, Debug)]
struct Known {
    target: TargetId,
    life: Incarnation,
    word: Word,
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
    /// Whether no target has said anything.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whether this life of a target takes requests.
    pub fn of(&self, now_ms: u64, target: &TargetId, life: Incarnation) -> Gate {
        let place = self.place(target);
        let Some(known) = place.ok().map(|at| &self.known[at]).filter(|known| known.life == life)
        else {
            return Gate::Open;
        };
        match known.word {
            Word::Leaving => Gate::Leaving,
            Word::Pause { until_ms, .. } if now_ms < until_ms => Gate::Paused { until_ms },
            Word::Pause { credits, .. } => Gate::Reopening { credits },
        }
    }

    /// Whether this life of a target leaves.
    pub fn is_leaving(&self, target: &TargetId, life: Incarnation) -> bool {
        self.word(target, life) == Some(Word::Leaving)
    }

    /// A target said that it leaves. Returns whether that is new.
    pub fn leaves(&mut self, target: &TargetId, life: Incarnation) -> bool {
        match self.word(target, life) {
            Some(Word::Leaving) => false,
            Some(Word::Pause { .. }) | None => self.set(target, life, Word::Leaving),
        }
    }

    /// A target wants nothing until `until_ms`. Of several such times the latest holds. Returns
    /// whether that is new.
    pub fn pauses(&mut self, target: &TargetId, life: Incarnation, until_ms: u64) -> bool {
        match self.word(target, life) {
            Some(Word::Leaving) => false,
            Some(Word::Pause { until_ms: known_ms, .. }) if until_ms <= known_ms => false,
            Some(Word::Pause { .. }) | None => {
                self.set(target, life, Word::Pause { until_ms, credits: FIRST_CREDITS })
            }
        }
    }

    /// A request was given to a target.
    pub fn begin(&mut self, now_ms: u64, target: &TargetId, life: Incarnation) {
        self.change_credits(now_ms, target, life, |credits| credits.saturating_sub(1));
    }

    /// A target answered a request that was given to it at `begun_ms`.
    pub fn answered(&mut self, begun_ms: u64, target: &TargetId, life: Incarnation) {
        self.change_credits(begun_ms, target, life, |credits| credits + CREDITS_PER_ANSWER);
    }

    /// A request that was given to a target at `begun_ms` came to nothing.
    pub fn failed(&mut self, begun_ms: u64, target: &TargetId, life: Incarnation) {
        self.change_credits(begun_ms, target, life, |credits| credits + 1);
    }

    /// The targets that said that they leave.
    pub fn leaving(&self) -> impl Iterator<Item = (&TargetId, Incarnation)> {
        let leaving = self.known.iter().filter(|known| known.word == Word::Leaving);
        leaving.map(|known| (&known.target, known.life))
    }

    /// Changes the credits of a target that reopens, for a request that was given to it at
    /// `begun_ms`. What it got before the time that it asked for counts for nothing.
    fn change_credits(
        &mut self,
        begun_ms: u64,
        target: &TargetId,
        life: Incarnation,
        change: impl FnOnce(u32) -> u32,
    ) {
        let Ok(at) = self.place(target) else { return };
        let known = &mut self.known[at];
        let Word::Pause { until_ms, credits } = known.word else { return };
        if known.life != life || begun_ms < until_ms {
            return;
        }
        let credits = change(credits);
        if credits >= OPEN_CREDITS {
            self.known.remove(at);
        } else {
            known.word = Word::Pause { until_ms, credits };
        }
    }

    fn word(&self, target: &TargetId, life: Incarnation) -> Option<Word> {
        let known = &self.known[self.place(target).ok()?];
        (known.life == life).then_some(known.word)
    }

    /// Notes the word of a life, unless a later life is known. Returns whether it was noted.
    fn set(&mut self, target: &TargetId, life: Incarnation, word: Word) -> bool {
        let place = self.place(target);
        if place.is_ok_and(|at| self.known[at].life > life) {
            return false;
        }
        self.last += 1;
        let known = Known { target: target.clone(), life, word, number: self.last };
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
