//! Which target holds the prefix of a conversation.

use crate::routing::target::Number;

/// Most conversations remembered; a power of two.
const PLACES: usize = 1 << 14;
/// How long a prefix is believed to stay in a target's cache.
const FRESH_MS: u64 = 600_000;

/// Finds a conversation again: a hash of its model, tenant and first message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conversation(pub u64);

#[derive(Clone, Copy, Debug, Default)]
struct Memory {
    conversation: u64,
    target: Number,
    used_ms: u64,
}

/// A table of fixed size from conversations to targets. A newer conversation takes the place of an
/// older one; a forgotten conversation only costs a cache miss at the engine.
#[derive(Clone, Debug)]
pub struct Affinity {
    places: Box<[Memory]>,
}

impl Default for Affinity {
    fn default() -> Self {
        Self { places: vec![Memory::default(); PLACES].into_boxed_slice() }
    }
}

fn place(conversation: Conversation) -> usize {
    conversation.0 as usize & (PLACES - 1)
}

impl Affinity {
    /// The number of the target that last answered this conversation.
    pub fn target(&self, now_ms: u64, conversation: Conversation) -> Option<Number> {
        let memory = &self.places[place(conversation)];
        let is_known = memory.conversation == conversation.0 && memory.used_ms > 0;
        (is_known && now_ms.saturating_sub(memory.used_ms) <= FRESH_MS).then_some(memory.target)
    }

    /// Remembers which target answered.
    pub fn remember(&mut self, now_ms: u64, conversation: Conversation, target: Number) {
        let memory = Memory { conversation: conversation.0, target, used_ms: now_ms.max(1) };
        self.places[place(conversation)] = memory;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn forgets_after_a_while_and_never_mixes_conversations() {
        let mut affinity = Affinity::default();
        affinity.remember(10, Conversation(7), Number(3));
        assert_eq!(affinity.target(20, Conversation(7)), Some(Number(3)));
        assert_eq!(affinity.target(20, Conversation(7 + PLACES as u64)), None);
        assert_eq!(affinity.target(10 + FRESH_MS + 1, Conversation(7)), None);
    }
}
