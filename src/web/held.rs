//! The account of the bytes that a process holds for callers that have not read them yet.
//!
//! The load that it answers: callers that read slowly or not at all, while targets end answers that nobody reads. A
//! bounded part of each answer is read ahead. Once the process holds as much as it may, nothing more is read for
//! anybody, and the callers end first that use more than an equal share and have read nothing for the longest time.

/// Bytes that are read ahead for one caller. Targets end an answer that stays unread for some seconds; the events of
/// a stream of some seconds fit into this.
pub const MAX_AHEAD_BYTES: usize = 64 << 10;
/// Time without progress after which a caller may be ended to make room. A caller that reads at all does so more often.
pub const MIN_STALL_MS: u64 = 1_000;
/// At this number of times the limit, callers are ended however long they have read nothing. What responses begin with
/// is counted once it has been read, so many that begin at one moment exceed the limit.
const HARD_LIMIT_FACTOR: usize = 2;
/// A longer time between two looks at the account means that this process stood still, not that callers did.
const MAX_STEP_MS: u64 = 1_000;
/// Upper bound of held bytes, and of request bodies, where no memory limit is set.
const DEFAULT_MAX_BYTES: usize = 32 << 20;
/// Each of the two gets this part of the memory, if it is limited. More than half is left for all else.
const MEMORY_PARTS: usize = 5;
/// The send buffer of one connection of a caller is this part of the memory.
const SEND_BUFFER_PARTS: usize = 1_000;
/// Lower and upper bound of such a send buffer. Less slows down callers that are far away, more is not needed.
const SEND_BUFFER_BYTES: (usize, usize) = (64 << 10, 256 << 10);

/// The bounds of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBounds {
    /// Request bodies.
    pub bodies_bytes: usize,
    /// Bytes that callers have not read yet.
    pub held_bytes: usize,
    /// The send buffer of one connection of a caller; `None` leaves it to the operating system.
    pub send_buffer_bytes: Option<usize>,
}

impl MemoryBounds {
    /// The bounds of a process with this much memory.
    pub fn of_memory(memory_mb: Option<u64>) -> Self {
        let Some(memory_mb) = memory_mb else {
            let (bodies_bytes, held_bytes) = (DEFAULT_MAX_BYTES, DEFAULT_MAX_BYTES);
            return Self { bodies_bytes, held_bytes, send_buffer_bytes: None };
        };
        let memory_bytes = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20);
        let (least, most) = SEND_BUFFER_BYTES;
        Self {
            bodies_bytes: memory_bytes / MEMORY_PARTS,
            held_bytes: memory_bytes / MEMORY_PARTS,
            send_buffer_bytes: Some((memory_bytes / SEND_BUFFER_PARTS).clamp(least, most)),
        }
    }
}

/// A response in the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(u64);

/// Whether more of an answer is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadDecision {
    /// Read on.
    Read,
    /// Wait until this caller, or another one, has read some of what is held.
    Wait,
    /// End this response to make room, then decide again.
    End(HolderId),
}

/// What is held for one response.
#[derive(Clone, Debug)]
struct Holder {
    id: HolderId,
    bytes: usize,
    /// When the caller last read, or when something was first there to read.
    progress_ms: u64,
    is_ending: bool,
}

/// The bytes that a process holds for all of its callers.
#[derive(Clone, Debug)]
pub struct HeldBytes {
    limit_bytes: usize,
    /// Sorted by id.
    holders: Vec<Holder>,
    next_id: u64,
    held_bytes: usize,
    seen_ms: u64,
}

impl HeldBytes {
    /// An empty account with this limit.
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, holders: Vec::new(), next_id: 0, held_bytes: 0, seen_ms: 0 }
    }

    /// Bytes that are held now.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Bytes that may be held.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Bytes that are held for one response.
    pub fn bytes_of(&self, id: HolderId) -> usize {
        self.find(id).map_or(0, |at| self.holders[at].bytes)
    }

    /// Adds a response.
    pub fn open(&mut self, now_ms: u64) -> HolderId {
        self.observe(now_ms);
        let id = HolderId(self.next_id);
        self.next_id += 1;
        self.holders.push(Holder { id, bytes: 0, progress_ms: now_ms, is_ending: false });
        id
    }

    /// Counts bytes that were read for a response.
    pub fn take(&mut self, now_ms: u64, id: HolderId, bytes: usize) {
        self.observe(now_ms);
        let Some(at) = self.find(id) else { return };
        let holder = &mut self.holders[at];
        if holder.bytes == 0 {
            holder.progress_ms = now_ms;
        }
        holder.bytes += bytes;
        self.held_bytes += bytes;
    }

    /// Counts bytes that the caller's connection has taken.
    pub fn release(&mut self, now_ms: u64, id: HolderId, bytes: usize) {
        self.observe(now_ms);
        let Some(at) = self.find(id) else { return };
        let holder = &mut self.holders[at];
        let released = bytes.min(holder.bytes);
        holder.bytes -= released;
        holder.progress_ms = now_ms;
        self.held_bytes -= released;
    }

    /// Removes a response.
    pub fn close(&mut self, id: HolderId) {
        if let Some(at) = self.find(id) {
            self.held_bytes -= self.holders.remove(at).bytes;
        }
    }

    /// Time for which the caller of a response has read nothing of what is held for it.
    pub fn stalled_ms(&mut self, now_ms: u64, id: HolderId) -> u64 {
        self.observe(now_ms);
        let holder = self.find(id).map(|at| &self.holders[at]);
        let holder = holder.filter(|holder| holder.bytes > 0);
        holder.map_or(0, |holder| now_ms.saturating_sub(holder.progress_ms))
    }

    /// Decides whether more of a response is to be read.
    pub fn decide(&mut self, now_ms: u64, id: HolderId) -> ReadDecision {
        self.observe(now_ms);
        if self.held_bytes >= self.limit_bytes {
            return match self.choose_ended(now_ms) {
                Some(at) => {
                    self.holders[at].is_ending = true;
                    ReadDecision::End(self.holders[at].id)
                }
                None => ReadDecision::Wait,
            };
        }
        match self.bytes_of(id) < MAX_AHEAD_BYTES {
            true => ReadDecision::Read,
            false => ReadDecision::Wait,
        }
    }

    /// Whom to end first: among those that use more than an equal share, the one without progress for the longest time.
    fn choose_ended(&self, now_ms: u64) -> Option<usize> {
        let ending = self.holders.iter().filter(|holder| holder.is_ending);
        let ending_bytes: usize = ending.map(|holder| holder.bytes).sum();
        if self.held_bytes - ending_bytes < self.limit_bytes {
            return None;
        }
        let users = self.holders.iter().filter(|holder| holder.bytes > 0).count().max(1);
        let share_bytes = self.limit_bytes / users;
        let is_beyond = self.held_bytes - ending_bytes >= HARD_LIMIT_FACTOR * self.limit_bytes;
        let min_stall_ms = if is_beyond { 0 } else { MIN_STALL_MS };
        let stalled_ms = |holder: &Holder| now_ms.saturating_sub(holder.progress_ms);
        let may_end = |holder: &Holder| {
            let is_above_share = holder.bytes >= share_bytes.max(1);
            !holder.is_ending && is_above_share && stalled_ms(holder) >= min_stall_ms
        };
        let candidates = self.holders.iter().enumerate().filter(|(_, holder)| may_end(holder));
        let first = candidates.max_by_key(|(_, holder)| (stalled_ms(holder), holder.bytes));
        first.map(|(at, _)| at)
    }

    /// Notes the time. Callers are not blamed for a time in which this process stood still.
    fn observe(&mut self, now_ms: u64) {
        let step_ms = now_ms.saturating_sub(self.seen_ms);
        if step_ms > MAX_STEP_MS {
            self.holders.iter_mut().for_each(|holder| holder.progress_ms += step_ms);
        }
        self.seen_ms = self.seen_ms.max(now_ms);
    }

    fn find(&self, id: HolderId) -> Option<usize> {
        self.holders.binary_search_by_key(&id, |holder| holder.id).ok()
    }
}
