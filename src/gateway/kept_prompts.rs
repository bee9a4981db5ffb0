//! The beginnings of prompts that targets are believed to hold, as far as this router sent them there.
//!
//! Workload: many requests that share long leading parts of their prompts, for models that come and go on
//! engines with little memory. A part is of use only if all parts before it are held, too.

use xxhash_rust::xxh3;

use crate::ids::{ModelRef, TargetId};
use crate::rate_limit::TargetLife;

/// Parts that are remembered. At 100 bytes each, this is less than half a megabyte.
const MAX_PARTS: usize = 4_096;

/// The id of a part of a prompt together with all parts before it and the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartId(u64);

/// The leading parts of a prompt that other requests may share, with the tokens of each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedParts(Vec<(PartId, u32)>);

impl SharedParts {
    /// All parts of a prompt but the last, which is specific to the request.
    pub fn new(model: Option<&ModelRef>, prompt_parts: &[(u64, u32)]) -> Self {
        let shared = prompt_parts.len().saturating_sub(1);
        if shared == 0 {
            return Self::default();
        }
        let name = model.map(ModelRef::to_string).unwrap_or_default();
        let mut before = xxh3::xxh3_64(name.as_bytes());
        let parts = prompt_parts[..shared].iter().map(|(id, tokens)| {
            before = xxh3::xxh3_64_with_seed(&id.to_le_bytes(), before);
            (PartId(before), *tokens)
        });
        Self(parts.collect())
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The tokens of all parts.
    pub fn tokens(&self) -> u64 {
        self.0.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// The place between 0 and 1 of a target in the order that all routers have for prompts with this
    /// beginning.
    pub fn affinity(&self, target: &TargetId) -> f64 {
        self.0.first().map_or(0.0, |(first, _)| target.hash_fraction(first.0))
    }
}

#[derive(Clone, Debug)]
struct KeptPart {
    part: PartId,
    life: TargetLife,
    model: Option<ModelRef>,
    /// Tokens that this router had sent to the target when the part was last used there.
    sent_tokens: u64,
    /// The number of its last use, over all parts.
    last_use: u64,
}

/// The parts that targets are believed to hold.
#[derive(Clone, Debug, Default)]
pub struct KeptPrompts {
    /// Sorted by part and target.
    parts: Vec<KeptPart>,
    uses: u64,
}

impl KeptPrompts {
    /// Records that a target has read a prompt, when this router had sent it `sent_tokens` in total.
    pub fn record(
        &mut self,
        life: &TargetLife,
        model: Option<&ModelRef>,
        shared: &SharedParts,
        sent_tokens: u64,
    ) {
        // The last part is used first, so that it is forgotten before those that it depends on.
        for (part, _) in shared.0.iter().rev() {
            self.uses += 1;
            let kept = KeptPart {
                part: *part,
                life: life.clone(),
                model: model.cloned(),
                sent_tokens,
                last_use: self.uses,
            };
            match self.position(*part, life) {
                Ok(at) => self.parts[at] = kept,
                Err(at) => self.parts.insert(at, kept),
            }
        }
        while self.parts.len() > MAX_PARTS {
            let oldest = (0..self.parts.len()).min_by_key(|at| self.parts[*at].last_use);
            oldest.map(|at| self.parts.remove(at));
        }
    }

    /// Keeps only the parts at targets that `is_held` confirms: the incarnation is known and has the model.
    pub fn retain(&mut self, is_held: impl Fn(&TargetLife, Option<&ModelRef>) -> bool) {
        self.parts.retain(|kept| is_held(&kept.life, kept.model.as_ref()));
    }

    /// The tokens of a prompt that a target is believed to hold. A part counts as evicted once more than
    /// `evicted_after` tokens were sent to the target after its last use.
    pub fn tokens_at(
        &self,
        life: &TargetLife,
        shared: &SharedParts,
        sent_tokens: u64,
        evicted_after: u64,
    ) -> u64 {
        let is_held = |part: &PartId| {
            let at = self.position(*part, life).ok();
            let since = at.map(|at| sent_tokens.saturating_sub(self.parts[at].sent_tokens));
            since.is_some_and(|since| since <= evicted_after)
        };
        let held = shared.0.iter().take_while(|(part, _)| is_held(part));
        held.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    fn position(&self, part: PartId, life: &TargetLife) -> Result<usize, usize> {
        self.parts.binary_search_by(|kept| (kept.part, &kept.life).cmp(&(part, life)))
    }
}
