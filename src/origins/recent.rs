//! The streams that began at one router, and which of them the leader has to be told of.

use std::collections::VecDeque;

use super::message::{self, BegunStreams, Writer};
use super::{REMEMBER_MS, StreamKey};
use crate::ids::ServiceName;
use crate::membership::feed::FeedCursor;

/// Upper bound of streams that a router remembers. The oldest are dropped first.
const MAX_STREAMS: usize = 4_096;
/// Upper bound of streams in one report.
const MAX_REPORTED: usize = 1_024;

/// Whether the leader has been told of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Telling {
    Untold,
    /// The report is on its way.
    Underway,
    Told,
}

/// A stream that began at this router.
#[derive(Clone, Debug)]
struct RecentStream {
    began_ms: u64,
    stream: StreamKey,
    writer: Writer,
    /// Whether its route leads to several services.
    is_split: bool,
    telling: Telling,
}

/// The streams of one router.
#[derive(Clone, Debug, Default)]
pub struct RecentStreams {
    /// Services in which more than one software version has served, sorted.
    mixed: Vec<ServiceName>,
    /// The last change of these services.
    cursor: FeedCursor,
    /// Oldest first.
    streams: VecDeque<RecentStream>,
}

impl RecentStreams {
    /// Remembers a stream that begins. Returns whether the leader has to be told of it.
    pub fn record(
        &mut self,
        now_ms: u64,
        stream: StreamKey,
        writer: Writer,
        is_split: bool,
    ) -> bool {
        let is_old = |recent: &RecentStream| now_ms >= recent.began_ms + REMEMBER_MS;
        while self.streams.front().is_some_and(is_old) || self.streams.len() >= MAX_STREAMS {
            self.streams.pop_front();
        }
        let began_ms = now_ms;
        let telling = Telling::Untold;
        let recent = RecentStream { began_ms, stream, writer, is_split, telling };
        let is_due = self.is_due(&recent);
        self.streams.push_back(recent);
        is_due
    }

    /// Replaces the services with more than one software version. Streams that began before one of them
    /// became such a service have to be told of from now on.
    pub fn set_mixed(&mut self, cursor: FeedCursor, mut mixed: Vec<ServiceName>) {
        mixed.sort_unstable();
        self.mixed = mixed;
        self.cursor = cursor;
    }

    /// The last change of these services after which the leader was told of all streams.
    pub fn told(&self) -> FeedCursor {
        let is_underway = |recent: &RecentStream| recent.telling == Telling::Underway;
        match self.streams.iter().any(is_underway) {
            true => FeedCursor::default(),
            false => self.told_after_report(),
        }
    }

    /// The same once the report that is on its way has arrived.
    pub fn told_after_report(&self) -> FeedCursor {
        if self.has_report() { FeedCursor::default() } else { self.cursor }
    }

    /// Another leader has to be told of all streams again.
    pub fn begin_leader(&mut self) {
        self.streams.iter_mut().for_each(|recent| recent.telling = Telling::Untold);
    }

    /// Whether the leader has been told of a stream that has to be told of.
    pub fn is_told(&self, stream: StreamKey) -> bool {
        let found = self.streams.iter().rev().find(|recent| recent.stream == stream);
        found.is_none_or(|recent| recent.telling == Telling::Told || !self.is_mixed(recent))
    }

    /// Whether there are streams to tell of.
    pub fn has_report(&self) -> bool {
        self.streams.iter().any(|recent| self.is_due(recent))
    }

    /// Takes the next streams to tell of, which are then on their way.
    pub fn take_report(&mut self) -> Vec<BegunStreams> {
        let mut report: Vec<BegunStreams> = Vec::new();
        let due = (0..self.streams.len()).filter(|at| self.is_due(&self.streams[*at]));
        for at in due.take(MAX_REPORTED).collect::<Vec<_>>() {
            let recent = &mut self.streams[at];
            recent.telling = Telling::Underway;
            message::add_stream(&mut report, recent.stream, recent.writer.clone());
        }
        report
    }

    /// Records that the leader has the report.
    pub fn confirm_report(&mut self) {
        self.end_report(Telling::Told);
    }

    /// Records that the report reached no leader.
    pub fn put_back(&mut self) {
        self.end_report(Telling::Untold);
    }

    fn end_report(&mut self, telling: Telling) {
        let underway = self.streams.iter_mut().filter(|recent| recent.telling == Telling::Underway);
        underway.for_each(|recent| recent.telling = telling);
    }

    fn is_mixed(&self, recent: &RecentStream) -> bool {
        recent.is_split || self.mixed.binary_search(&recent.writer.service).is_ok()
    }

    fn is_due(&self, recent: &RecentStream) -> bool {
        recent.telling == Telling::Untold && self.is_mixed(recent)
    }
}
