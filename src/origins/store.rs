//! A voter's memory of the streams that began, bounded in time and number.

use std::collections::VecDeque;

use super::message::{BegunStreams, Writer};
use super::{REMEMBER_MS, StreamKey};

/// Time that one part of the memory covers. Parts are dropped as a whole.
const PART_MS: u64 = 10_000;
/// Upper bound of remembered streams. Beyond it, the oldest part is dropped.
const MAX_STREAMS: usize = 400_000;
/// Upper bound of streams in one part.
const MAX_PART_STREAMS: usize = MAX_STREAMS / 8;

/// Streams that began at about the same time.
#[derive(Clone, Debug)]
struct Part {
    since_ms: u64,
    /// Streams with the positions of their writers. Sorted when they are looked at.
    streams: Vec<(StreamKey, u16)>,
    is_sorted: bool,
}

/// The remembered streams.
#[derive(Clone, Debug, Default)]
pub struct OriginStore {
    writers: Vec<Writer>,
    /// Oldest first.
    parts: VecDeque<Part>,
}

impl OriginStore {
    /// Remembers streams that began.
    pub fn record(&mut self, now_ms: u64, begun: &BegunStreams) {
        self.drop_old(now_ms);
        let Some(writer) = self.position(&begun.writer) else { return };
        for stream in &begun.streams {
            let part = self.current_part(now_ms);
            part.streams.push((*stream, writer));
            part.is_sorted = false;
        }
    }

    /// Who began a stream. What was recorded last counts.
    pub fn find(&mut self, now_ms: u64, stream: StreamKey) -> Option<&Writer> {
        self.drop_old(now_ms);
        let found = self.parts.iter_mut().rev().find_map(|part| part.find(stream))?;
        self.writers.get(usize::from(found))
    }

    /// The number of remembered streams. One that was recorded again counts again.
    pub fn len(&self) -> usize {
        self.parts.iter().map(|part| part.streams.len()).sum()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn position(&mut self, writer: &Writer) -> Option<u16> {
        if let Some(at) = self.writers.iter().position(|known| known == writer) {
            return u16::try_from(at).ok();
        }
        self.writers.push(writer.clone());
        u16::try_from(self.writers.len() - 1).ok()
    }

    fn current_part(&mut self, now_ms: u64) -> &mut Part {
        let is_open =
            |part: &Part| now_ms < part.since_ms + PART_MS && part.streams.len() < MAX_PART_STREAMS;
        if !self.parts.back().is_some_and(is_open) {
            self.parts.push_back(Part { since_ms: now_ms, streams: Vec::new(), is_sorted: true });
        }
        self.parts.back_mut().expect("a part was just added")
    }

    fn drop_old(&mut self, now_ms: u64) {
        let is_old = |part: &Part| now_ms >= part.since_ms + PART_MS + REMEMBER_MS;
        while self.parts.front().is_some_and(is_old) || self.len() > MAX_STREAMS {
            self.parts.pop_front();
        }
        if self.parts.is_empty() {
            self.writers.clear();
        }
    }
}

impl Part {
    /// The position of the writer that was recorded last for a stream.
    fn find(&mut self, stream: StreamKey) -> Option<u16> {
        if !std::mem::replace(&mut self.is_sorted, true) {
            // Stable, so that the last record of a stream stays the last one.
            self.streams.sort_by_key(|(known, _)| *known);
        }
        let end = self.streams.partition_point(|(known, _)| *known <= stream);
        let (known, writer) = self.streams[..end].last()?;
        (*known == stream).then_some(*writer)
    }
}
