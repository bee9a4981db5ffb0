//! Remembers which software version began the streams that routers tell of.

use std::rc::Rc;
use std::time::Duration;

use super::Voter;
use crate::control::{commands, software};
use crate::coordinator::leader::SoftwareRecord;
use crate::coordinator::message::{Reply, Request};
use crate::ids::{DaemonId, ServiceName, SoftwareVersion};
use crate::origins::StreamKey;
use crate::origins::message::{self, BegunStreams, Origin, OriginQuery, Writer};

/// Pause before streams are passed on to the other voters, so that many routers cause one message.
const COPY_PAUSE: Duration = Duration::from_millis(25);
/// Timeout of passing streams on.
const COPY_TIMEOUT_MS: u64 = 500;
/// Timeout of asking another voter for what it remembers. Requests wait for it.
const RECALL_TIMEOUT_MS: u64 = 150;
/// Pause before a failed change of the record is tried again.
const RECORD_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The software versions in the log of a voter.
pub(super) struct LoggedSoftware {
    pub(super) voter: std::rc::Weak<Voter>,
}

impl LoggedSoftware {
    fn read<T: Default>(&self, read: impl FnOnce(&software::State) -> T) -> T {
        let Some(voter) = self.voter.upgrade() else { return T::default() };
        let machine = Rc::clone(&voter.machine.borrow());
        let machine = machine.borrow();
        read(&machine.state().software)
    }
}

impl SoftwareRecord for LoggedSoftware {
    fn versions(&self, service: &ServiceName) -> Vec<SoftwareVersion> {
        self.read(|state| state.versions(service).to_vec())
    }

    fn mixed(&self) -> Vec<(ServiceName, Vec<SoftwareVersion>)> {
        self.read(|state| {
            let mixed = state.mixed();
            mixed.map(|(service, versions)| (service.clone(), versions.to_vec())).collect()
        })
    }

    fn record(&self, command: software::Command) {
        let Some(voter) = self.voter.upgrade() else { return };
        tokio::task::spawn_local(async move {
            if !voter.record(commands::Command::Software(command)).await {
                tokio::time::sleep(RECORD_RETRY_PAUSE).await;
            }
            let leader = voter.leader.borrow().clone();
            if let Some(leader) = leader.filter(|leader| !leader.is_stopped()) {
                leader.handle_software_change();
            }
        });
    }
}

impl Voter {
    /// Remembers streams that routers told this leader of, and passes them on.
    pub(super) fn record_streams(self: &Rc<Self>, begun: Vec<BegunStreams>) {
        self.remember_streams(&begun);
        let is_first = {
            let mut copies = self.copies.borrow_mut();
            let is_first = copies.is_empty();
            copies.extend(begun);
            is_first
        };
        if is_first {
            tokio::task::spawn_local(Rc::clone(self).copy_streams());
        }
    }

    /// Remembers streams that the leader was told of.
    pub(super) fn answer_copy(&self, begun: &[BegunStreams]) -> Reply {
        self.remember_streams(begun);
        Reply::Done
    }

    fn remember_streams(&self, begun: &[BegunStreams]) {
        let now_ms = self.config.clock.now_ms();
        let mut origins = self.origins.borrow_mut();
        begun.iter().for_each(|begun| origins.record(now_ms, begun));
        metrics::gauge!("fescuebay_stream_origins").set(origins.len() as f64);
    }

    /// Passes the collected streams on to the other voters.
    async fn copy_streams(self: Rc<Self>) {
        tokio::time::sleep(COPY_PAUSE).await;
        let begun = self.copies.take();
        let copies = self.other_voters().into_iter().map(|voter| {
            let request = Request::CopyStreams(begun.clone());
            let client = Rc::clone(&self.client);
            async move {
                if client.ask(&voter, request, COPY_TIMEOUT_MS).await.is_err() {
                    metrics::counter!("fescuebay_stream_copies_lost_total").increment(1);
                    log::debug!("voter {voter} does not remember streams that were told");
                }
            }
        });
        futures::future::join_all(copies).await;
    }

    /// Answers who began streams. Only a leader with a lease knows all versions that can have.
    pub(super) async fn find_streams(&self, queries: &[OriginQuery]) -> Reply {
        if self.lease_left_ms().is_none_or(|left_ms| left_ms == 0) {
            return Reply::NotLeader(None);
        }
        let is_unknown = |query: &&OriginQuery| self.find_origin(query) == Origin::Unknown;
        let unknown: Vec<StreamKey> =
            queries.iter().filter(is_unknown).filter_map(|query| query.stream).collect();
        if !unknown.is_empty() {
            self.recall_streams(unknown).await;
        }
        let origins: Vec<Origin> = queries.iter().map(|query| self.find_origin(query)).collect();
        for (query, _) in queries.iter().zip(&origins).filter(|(_, o)| **o == Origin::Unknown) {
            log::info!(
                stream:? = query.stream.map(|stream| stream.to_string()),
                remembered = self.origins.borrow().len();
                "nobody told who began a stream"
            );
        }
        Reply::Origins(origins)
    }

    /// Asks the other voters for streams that this one does not remember: it may have started after they
    /// were told.
    async fn recall_streams(&self, streams: Vec<StreamKey>) {
        let asked = self.other_voters().into_iter().map(|voter| {
            let request = Request::RecallStreams(streams.clone());
            let client = Rc::clone(&self.client);
            async move { client.ask(&voter, request, RECALL_TIMEOUT_MS).await }
        });
        for reply in futures::future::join_all(asked).await {
            if let Ok(Reply::Recalled(begun)) = reply {
                self.remember_streams(&begun);
            }
        }
    }

    /// Answers which of these streams this voter remembers.
    pub(super) fn answer_recall(&self, streams: &[StreamKey]) -> Reply {
        let now_ms = self.config.clock.now_ms();
        let mut origins = self.origins.borrow_mut();
        let mut recalled: Vec<BegunStreams> = Vec::new();
        for stream in streams {
            let Some(writer) = origins.find(now_ms, *stream).cloned() else { continue };
            message::add_stream(&mut recalled, *stream, writer);
        }
        Reply::Recalled(recalled)
    }

    fn other_voters(&self) -> Vec<DaemonId> {
        let mut voters = self.voters();
        voters.retain(|voter| *voter != self.config.own_id);
        voters
    }

    fn find_origin(&self, query: &OriginQuery) -> Origin {
        let now_ms = self.config.clock.now_ms();
        let mut origins = self.origins.borrow_mut();
        let told = query.stream.and_then(|stream| origins.find(now_ms, stream).cloned());
        match told.or_else(|| self.only_writer(&query.services)) {
            Some(writer) => Origin::Known(writer),
            None => Origin::Unknown,
        }
    }

    /// The only software version that can have begun a stream of these services.
    fn only_writer(&self, services: &[ServiceName]) -> Option<Writer> {
        let [service] = services else { return None };
        let machine = Rc::clone(&self.machine.borrow());
        let machine = machine.borrow();
        let [software] = machine.state().software.versions(service) else { return None };
        Some(Writer { service: service.clone(), software: software.clone() })
    }
}
