//! A large table whose clone costs little: sorted vectors, shared until they change.
//!
//! A clone copies one pointer a shard. A shard that changes while a clone lives is copied first
//! (copy on write), so that a snapshot can be encoded on another thread.

use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;

use serde::de::{SeqAccess, Visitor};

use crate::ids::Digest;

/// Shards of a table, a power of two.
const SHARDS: usize = 1 << SHARD_BITS;
const SHARD_BITS: u32 = 12;

/// The key of an item: the first half of a SHA-256.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Key([u8; 16]);

impl Key {
    /// The lowest key.
    pub const MIN: Key = Key([0; 16]);

    /// The key of what `parts` name.
    pub fn of(parts: &[&[u8]]) -> Self {
        let digest = Digest::of(parts);
        let mut key = [0; 16];
        key.copy_from_slice(&digest.0[..16]);
        Self(key)
    }

    fn shard(&self) -> usize {
        usize::from(u16::from_be_bytes([self.0[0], self.0[1]]) >> (16 - SHARD_BITS))
    }
}

/// What a table holds.
pub trait Item: Clone {
    /// The key, unique in the table.
    fn key(&self) -> Key;
    /// Unix time from which [`Table::sweep`] visits the item.
    fn expires_ms(&self) -> u64;
}

#[derive(Clone, Debug)]
struct Shard<T> {
    items: Vec<T>,
    first_expiry_ms: u64,
}

impl<T: Item> Shard<T> {
    fn place(&self, key: &Key) -> Result<usize, usize> {
        self.items.binary_search_by(|item| item.key().cmp(key))
    }

    /// Grows by an eighth, to bound the memory that is held unused.
    fn make_room(&mut self) {
        if self.items.len() == self.items.capacity() {
            self.items.reserve_exact((self.items.len() / 8).max(4));
        }
    }
}

/// A table of items sorted by key. Its clone shares all items.
#[derive(Clone, Debug)]
pub struct Table<T> {
    shards: Vec<Arc<Shard<T>>>,
    len: usize,
    next_sweep: usize,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        let empty = Arc::new(Shard { items: Vec::new(), first_expiry_ms: u64::MAX });
        Self { shards: vec![empty; SHARDS], len: 0, next_sweep: 0 }
    }
}

impl<T: Item> Table<T> {
    /// Items in the table.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The item of this key.
    pub fn get(&self, key: &Key) -> Option<&T> {
        let shard = &self.shards[key.shard()];
        shard.place(key).ok().map(|at| &shard.items[at])
    }

    /// Puts an item in the place of the one with its key, which it returns.
    pub fn insert(&mut self, item: T) -> Option<T> {
        let key = item.key();
        let shard = Arc::make_mut(&mut self.shards[key.shard()]);
        shard.first_expiry_ms = shard.first_expiry_ms.min(item.expires_ms());
        match shard.place(&key) {
            Ok(at) => Some(std::mem::replace(&mut shard.items[at], item)),
            Err(at) => {
                shard.make_room();
                shard.items.insert(at, item);
                self.len += 1;
                None
            }
        }
    }

    /// Puts an item in, and takes the one that expires first out of a shard that is over its
    /// share of `max_items`.
    pub fn insert_bounded(&mut self, item: T, max_items: usize) {
        let at = item.key().shard();
        self.insert(item);
        if self.shards[at].items.len() <= max_items / SHARDS {
            return;
        }
        let shard = Arc::make_mut(&mut self.shards[at]);
        let first = (0..shard.items.len()).min_by_key(|at| shard.items[*at].expires_ms());
        if let Some(first) = first {
            shard.items.remove(first);
            self.len -= 1;
        }
    }

    /// Takes the item of this key out.
    pub fn remove(&mut self, key: &Key) -> Option<T> {
        let at = self.shards[key.shard()].place(key).ok()?;
        let shard = Arc::make_mut(&mut self.shards[key.shard()]);
        self.len -= 1;
        Some(shard.items.remove(at))
    }

    /// All items, sorted by key.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.shards.iter().flat_map(|shard| &shard.items)
    }

    /// The items after `key`, sorted by key.
    pub fn after(&self, key: Option<Key>) -> impl Iterator<Item = &T> {
        let first = key.map_or(0, |key| key.shard());
        let items = self.shards[first..].iter().flat_map(|shard| &shard.items);
        items.skip_while(move |item| key.is_some_and(|key| item.key() <= key))
    }

    /// Changes every item in place, for use before the table is shared.
    pub fn for_each(&mut self, mut change: impl FnMut(&mut T)) {
        for shard in self.shards.iter_mut().filter(|shard| !shard.items.is_empty()) {
            Arc::make_mut(shard).items.iter_mut().for_each(&mut change);
        }
    }

    /// Goes on through `shards` shards and passes each expired item to `expire`, which returns
    /// what stays in its place under the same key.
    pub fn sweep(&mut self, shards: usize, now_ms: u64, mut expire: impl FnMut(T) -> Option<T>) {
        for _ in 0..shards.min(SHARDS) {
            let at = self.next_sweep;
            self.next_sweep = (at + 1) % SHARDS;
            if self.shards[at].first_expiry_ms <= now_ms {
                self.sweep_shard(at, now_ms, &mut expire);
            }
        }
    }

    fn sweep_shard(&mut self, at: usize, now_ms: u64, expire: &mut impl FnMut(T) -> Option<T>) {
        let shard = Arc::make_mut(&mut self.shards[at]);
        let before = shard.items.len();
        let items = std::mem::take(&mut shard.items);
        shard.items = items
            .into_iter()
            .filter_map(|item| if item.expires_ms() <= now_ms { expire(item) } else { Some(item) })
            .collect();
        let expiries = shard.items.iter().map(Item::expires_ms);
        shard.first_expiry_ms = expiries.min().unwrap_or(u64::MAX);
        self.len -= before - shard.items.len();
    }
}

impl<T: Item + serde::Serialize> serde::Serialize for Table<T> {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeSeq as _;
        // The place of the sweep decides which expired items are left, so it is state as well.
        let mut seq = serializer.serialize_seq(Some(self.len + 1))?;
        seq.serialize_element(&self.next_sweep)?;
        self.iter().try_for_each(|item| seq.serialize_element(item))?;
        seq.end()
    }
}

struct TableVisitor<T>(PhantomData<T>);

impl<'de, T: Item + serde::Deserialize<'de>> Visitor<'de> for TableVisitor<T> {
    type Value = Table<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a table: the place of its sweep and its items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let next_sweep = seq.next_element::<usize>()?.unwrap_or(0) % SHARDS;
        let mut table = Table { next_sweep, ..Table::default() };
        while let Some(item) = seq.next_element::<T>()? {
            table.insert(item);
        }
        Ok(table)
    }
}

impl<'de, T: Item + serde::Deserialize<'de>> serde::Deserialize<'de> for Table<T> {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(TableVisitor(PhantomData))
    }
}
