//! The streams that began at one router, and when the leader has to be told of them.
//!
//! The leader is told of every stream, because the route of a stream may be split, and a second software version of its
//! service may come, while it runs and also after its router was lost.

use std::collections::VecDeque;

use super::message::{self, BegunStreams, Writer};
use super::{REMEMBER_MS, StreamKey};
use crate::ids::ServiceName;
use crate::membership::feed::FeedCursor;

/// Upper bound of streams that a router remembers. The oldest are dropped first.
const MAX_STREAMS: usize = 4_096;
/// Upper bound of streams in one report.
const MAX_REPORTED: usize = 1_024;

/// When the leader has to be told of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportTime {
    /// Together with others: one writer alone can have begun it now, which may change while it runs.
    Soon,
    /// Before its first event goes on: another writer can have begun it as well.
    BeforeFirstEvent,
}

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
    /// Remembers a stream that begins. Returns when the leader has to be told of it.
    pub fn record(
        &mut self,
        now_ms: u64,
        stream: StreamKey,
        writer: Writer,
        is_split: bool,
    ) -> ReportTime {
        let is_old = |recent: &RecentStream| now_ms >= recent.began_ms + REMEMBER_MS;
        while self.streams.front().is_some_and(is_old) || self.streams.len() >= MAX_STREAMS {
            self.streams.pop_front();
        }
        let began_ms = now_ms;
        let telling = Telling::Untold;
        let recent = RecentStream { began_ms, stream, writer, is_split, telling };
        let report_time = self.report_time(&recent);
        self.streams.push_back(recent);
        report_time
    }

    /// Replaces the services with more than one software version. The leader has to be told at once of streams
    /// that began before one of them became such a service.
    pub fn set_mixed(&mut self, cursor: FeedCursor, mut mixed: Vec<ServiceName>) {
        mixed.sort_unstable();
        self.mixed = mixed;
        self.cursor = cursor;
    }

    /// The last change of these services after which the leader was told of all their streams.
    pub fn told(&self) -> FeedCursor {
        self.cursor_without(|recent| recent.telling != Telling::Told)
    }

    /// The same once the report that is on its way has arrived.
    pub fn told_after_report(&self) -> FeedCursor {
        self.cursor_without(|recent| recent.telling == Telling::Untold)
    }

    fn cursor_without(&self, is_missing: impl Fn(&RecentStream) -> bool) -> FeedCursor {
        let mut mixed = self.streams.iter().filter(|recent| self.is_mixed(recent));
        if mixed.any(is_missing) { FeedCursor::default() } else { self.cursor }
    }

    /// Another leader has to be told of all streams again.
    pub fn begin_leader(&mut self) {
        self.streams.iter_mut().for_each(|recent| recent.telling = Telling::Untold);
    }

    /// Whether the first event of a stream can go on: the leader has been told of it, or can be told later.
    pub fn can_begin(&self, stream: StreamKey) -> bool {
        let found = self.streams.iter().rev().find(|recent| recent.stream == stream);
        found.is_none_or(|recent| recent.telling == Telling::Told || !self.is_mixed(recent))
    }

    /// When the leader has to be told next; `None` if there is nothing to tell.
    pub fn next_report_time(&self) -> Option<ReportTime> {
        let untold = self.streams.iter().filter(|recent| recent.telling == Telling::Untold);
        untold.map(|recent| self.report_time(recent)).max()
    }

    /// Takes the next streams to tell of, which are then on their way.
    pub fn take_report(&mut self) -> Vec<BegunStreams> {
        let mut report: Vec<BegunStreams> = Vec::new();
        let untold = self.streams.iter_mut().filter(|recent| recent.telling == Telling::Untold);
        for recent in untold.take(MAX_REPORTED) {
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

    fn report_time(&self, recent: &RecentStream) -> ReportTime {
        if self.is_mixed(recent) { ReportTime::BeforeFirstEvent } else { ReportTime::Soon }
    }
}
