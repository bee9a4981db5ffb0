//! Prefix affinity: remembers which target last served a conversation and likely caches its prefix.

use crate::routing::target::TargetNumber;

/// Number of conversations remembered; a power of two.
const ENTRIES: usize = 1 << 14;
/// Time for which a prefix is assumed to stay in a target's cache.
const PREFIX_TTL_MS: u64 = 600_000;

/// Identifies a conversation: a hash of its model, tenant and first message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConversationHash(pub u64);

#[derive(Clone, Copy, Debug, Default)]
struct AffinityEntry {
    conversation: u64,
    target: TargetNumber,
    used_ms: u64,
}

/// A fixed-size table from conversations to targets. On a collision the newer conversation replaces
/// the older one; a replaced conversation only costs a cache miss at the target.
#[derive(Clone, Debug)]
pub struct PrefixAffinity {
    entries: Box<[AffinityEntry]>,
}

impl Default for PrefixAffinity {
    fn default() -> Self {
        Self { entries: vec![AffinityEntry::default(); ENTRIES].into_boxed_slice() }
    }
}

fn entry_index(conversation: ConversationHash) -> usize {
    conversation.0 as usize & (ENTRIES - 1)
}

impl PrefixAffinity {
    /// The number of the target that last answered this conversation.
    pub fn target_of(&self, now_ms: u64, conversation: ConversationHash) -> Option<TargetNumber> {
        let entry = &self.entries[entry_index(conversation)];
        let is_known = entry.conversation == conversation.0 && entry.used_ms > 0;
        (is_known && now_ms.saturating_sub(entry.used_ms) <= PREFIX_TTL_MS).then_some(entry.target)
    }

    /// Records the target that answered the conversation.
    pub fn record_answer(
        &mut self,
        now_ms: u64,
        conversation: ConversationHash,
        target: TargetNumber,
    ) {
        let entry = AffinityEntry { conversation: conversation.0, target, used_ms: now_ms.max(1) };
        self.entries[entry_index(conversation)] = entry;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn entries_expire_and_do_not_match_colliding_conversations() {
        let mut affinity = PrefixAffinity::default();
        affinity.record_answer(10, ConversationHash(7), TargetNumber(3));
        assert_eq!(affinity.target_of(20, ConversationHash(7)), Some(TargetNumber(3)));
        assert_eq!(affinity.target_of(20, ConversationHash(7 + ENTRIES as u64)), None);
        assert_eq!(affinity.target_of(10 + PREFIX_TTL_MS + 1, ConversationHash(7)), None);
    }
}
