//! Event loop of a voter: passes events to the Raft core and executes its actions.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use error_stack::{Report, ResultExt as _};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::Duration;

use super::handle::Handle;
use super::{Error, Result, Transport};
use crate::clock::BootClock;
use crate::consensus::Machine;
use crate::consensus::core::{self, Action, Config, Core, ProposalPosition, RoleKind, StoredState};
use crate::consensus::entry::{Entry, HardState, Payload, Snapshot, SnapshotMeta, VoterId};
use crate::ids::{DaemonId, LogIndex, Term};
use crate::storage::disk::Disk;
use crate::storage::store::Store;
use crate::storage::writer::{self, Writer, WriterJob};

/// The loop checks the clock at least this often.
const MAX_SLEEP_MS: u64 = 60_000;

/// The current term and leader as known to one voter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// The voter's current term.
    pub term: Term,
    /// The leader, if one is known.
    pub leader: Option<VoterId>,
    /// Whether this voter is the leader and has not failed.
    pub is_leader: bool,
}

/// A summary of the voter's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The voter's own id.
    pub id: VoterId,
    /// The state of the Raft protocol.
    pub core: core::Status,
    /// Remaining time of the lease; 0 unless this voter leads with a valid lease.
    pub lease_left_ms: u64,
    /// Why the voter stopped, if a write or sync failed.
    pub failure: Option<String>,
}

type OutcomeSender = oneshot::Sender<Result<Vec<u8>>>;

struct PendingProposal {
    term: Term,
    answer: OutcomeSender,
}

/// State shared by the event loop and the handles.
pub(super) struct Shared {
    core: Core,
    clock: BootClock,
    wakeup: Rc<Notify>,
    /// Uncommitted proposals by log index. A tree, because thousands are inserted and removed.
    pending_proposals: BTreeMap<LogIndex, PendingProposal>,
    reads: BTreeMap<u64, oneshot::Sender<Result<()>>>,
    next_ticket: u64,
    leadership: watch::Sender<Leadership>,
    failure: Option<String>,
    is_stopping: bool,
}

impl Shared {
    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// The Raft core for reading its state.
    pub(super) fn core(&self) -> &Core {
        &self.core
    }

    /// The daemon of this voter.
    pub(super) fn daemon(&self) -> &DaemonId {
        &self.core.id().daemon
    }

    /// The Raft core for a command. Wakes the event loop, which executes the resulting actions.
    pub(super) fn core_mut(&mut self) -> Result<&mut Core> {
        if let Some(failure) = &self.failure {
            return Err(Report::new(Error::Unavailable(failure.clone())));
        }
        if self.is_stopping {
            return Err(Report::new(Error::Unavailable("the voter is stopping".to_owned())));
        }
        self.wakeup.notify_one();
        Ok(&mut self.core)
    }

    pub(super) fn wait_for_commit(
        &mut self,
        proposed: ProposalPosition,
    ) -> oneshot::Receiver<Result<Vec<u8>>> {
        let (answer, answered) = oneshot::channel();
        self.pending_proposals
            .insert(proposed.index, PendingProposal { term: proposed.term, answer });
        answered
    }

    pub(super) fn pending_proposal_count(&self) -> usize {
        self.pending_proposals.len()
    }

    pub(super) fn next_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    pub(super) fn wait_for_read(&mut self, ticket: u64) -> oneshot::Receiver<Result<()>> {
        let (answer, answered) = oneshot::channel();
        self.reads.insert(ticket, answer);
        answered
    }

    pub(super) fn status(&self) -> Status {
        let now_ms = self.now_ms();
        let core = self.core.status(now_ms);
        let lease_left_ms =
            core.lease_valid_until_ms.map_or(0, |until_ms| until_ms.saturating_sub(now_ms));
        let failure = self.failure.clone();
        Status { id: self.core.id().clone(), core, lease_left_ms, failure }
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Leadership> {
        self.leadership.subscribe()
    }

    pub(super) fn stop(&mut self) {
        self.is_stopping = true;
        self.wakeup.notify_one();
    }

    /// Fails proposals whose outcome this voter can no longer observe; they may still be committed.
    fn fail_proposals(&mut self, is_lost: impl Fn(&PendingProposal) -> bool) {
        for (_, lost) in self.pending_proposals.extract_if(.., |_, pending| is_lost(pending)) {
            let _ = lost.answer.send(Err(Report::new(Error::Unknown)));
        }
    }

    fn fail_reads(&mut self) {
        for (_, read) in std::mem::take(&mut self.reads) {
            let _ = read.send(Err(Report::new(Error::NotLeader(None))));
        }
    }

    /// Fails proposals of lost terms and notifies subscribers of a change of leadership.
    fn publish_leadership(&mut self) {
        let status = self.core.status(self.now_ms());
        let is_leader = status.role == RoleKind::Leader && self.failure.is_none();
        let leadership = Leadership { term: status.term, leader: status.leader, is_leader };
        let led = leadership.is_leader.then_some(leadership.term);
        self.fail_proposals(|pending| Some(pending.term) != led);
        let is_changed = self.leadership.send_if_modified(|known| {
            let is_changed = *known != leadership;
            *known = leadership.clone();
            is_changed
        });
        if is_changed && leadership.leader.is_some() {
            metrics::counter!("consensus_leader_changes_total").increment(1);
            let id = self.core.id();
            log::info!("{id}: term {}, leader {:?}", status.term, leadership.leader);
        }
    }
}

/// State owned by the event loop alone.
struct EventLoop<M, T> {
    shared: Rc<RefCell<Shared>>,
    machine: Rc<RefCell<M>>,
    transport: T,
    writer: Writer,
    reports: mpsc::UnboundedReceiver<writer::Report>,
    wakeup: Rc<Notify>,
}

/// Restores the machine from the snapshot and starts the event loop.
pub(super) fn start<M, T, D>(
    config: Config,
    store: Store<D>,
    stored: StoredState,
    machine: Rc<RefCell<M>>,
    transport: T,
    rng: Box<dyn rand::RngCore>,
) -> Result<Handle>
where
    M: Machine + 'static,
    T: Transport + 'static,
    D: Disk + 'static,
{
    restore(&machine, &stored.snapshot).map_err(|error| Report::new(Error::Start(error)))?;
    let (sender, reports) = mpsc::unbounded_channel();
    let step = || Error::Start("start the storage thread".to_owned());
    let writer = Writer::start(store, sender).change_context_lazy(step)?;
    let wakeup = Rc::new(Notify::new());
    let shared = Rc::new(RefCell::new(Shared {
        core: Core::new(config, stored, 0, rng),
        clock: BootClock::system(),
        wakeup: wakeup.clone(),
        pending_proposals: BTreeMap::new(),
        reads: BTreeMap::new(),
        next_ticket: 0,
        leadership: watch::channel(Leadership::default()).0,
        failure: None,
        is_stopping: false,
    }));
    let (stopped_sender, stopped) = watch::channel(false);
    let event_loop =
        EventLoop { shared: shared.clone(), machine, transport, writer, reports, wakeup };
    tokio::task::spawn_local(async move {
        event_loop.run().await;
        let _ = stopped_sender.send(true);
    });
    Ok(Handle::new(shared, stopped))
}

fn restore<M: Machine>(
    machine: &RefCell<M>,
    snapshot: &Snapshot,
) -> std::result::Result<(), String> {
    if snapshot.meta.index == LogIndex(0) {
        return Ok(());
    }
    machine.borrow_mut().restore(&snapshot.data)
}

impl<M: Machine, T: Transport> EventLoop<M, T> {
    async fn run(mut self) {
        loop {
            if let Some(report) = self.next_report().await {
                self.handle_report(report);
                while let Ok(report) = self.reports.try_recv() {
                    self.handle_report(report);
                }
            }
            self.step();
            let shared = self.shared.borrow();
            if shared.is_stopping || shared.failure.is_some() {
                break;
            }
        }
        let mut shared = self.shared.borrow_mut();
        shared.fail_proposals(|_| true);
        shared.fail_reads();
        shared.publish_leadership();
        drop(shared);
        self.writer.finish();
    }

    /// Waits for a storage report, a wakeup or the next tick. Returns the report, if any.
    async fn next_report(&mut self) -> Option<writer::Report> {
        let due = {
            let shared = self.shared.borrow();
            let left_ms = shared.core.next_tick_ms().saturating_sub(shared.now_ms());
            Duration::from_millis(left_ms.min(MAX_SLEEP_MS))
        };
        tokio::select! {
            report = self.reports.recv() => report,
            () = self.wakeup.notified() => None,
            () = tokio::time::sleep(due) => None,
        }
    }

    fn handle_report(&mut self, report: writer::Report) {
        let mut shared = self.shared.borrow_mut();
        let now_ms = shared.now_ms();
        match report {
            writer::Report::Synced(write) => shared.core.synced(now_ms, write),
            writer::Report::SnapshotSaved(snapshot) => {
                shared.core.snapshot_saved(now_ms, snapshot);
            }
            writer::Report::Failed(error) => {
                metrics::counter!("storage_failures_total").increment(1);
                log::error!("{}: the voter stops: {error:?}", shared.core.id());
                shared.failure = Some(error.current_context().to_string());
            }
        }
    }

    fn step(&mut self) {
        let actions = {
            let mut shared = self.shared.borrow_mut();
            if shared.failure.is_some() {
                return;
            }
            let now_ms = shared.now_ms();
            if now_ms >= shared.core.next_tick_ms() {
                shared.core.tick(now_ms);
            }
            VecDeque::from(shared.core.take_actions(now_ms))
        };
        for action in actions {
            self.execute(action);
        }
        self.shared.borrow_mut().publish_leadership();
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Persist { write, records } => {
                self.writer.submit(WriterJob::Append { write, records });
            }
            Action::Install { write, snapshot, hard } => self.install(write, snapshot, hard),
            Action::Send(message) => {
                let to = message.to.daemon.clone();
                self.transport.send(&to, message.encode());
            }
            Action::Apply(entries) => self.apply(entries),
            Action::TakeSnapshot(meta) => self.take_snapshot(meta),
            Action::ReadReady(ticket) => self.answer_read(ticket, Ok(())),
            Action::ReadFailed(ticket) => {
                self.answer_read(ticket, Err(Report::new(Error::NotLeader(None))));
            }
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let outcome = match &entry.payload {
                Payload::Command(command) => self.machine.borrow_mut().apply(entry.index, command),
                Payload::Blank | Payload::Membership(_) => Vec::new(),
            };
            let pending = self.shared.borrow_mut().pending_proposals.remove(&entry.index);
            let Some(PendingProposal { term, answer }) = pending else { continue };
            let is_own = term == entry.term;
            let replaced = || Error::Unavailable("another leader replaced the entry".to_owned());
            let _ = answer.send(if is_own { Ok(outcome) } else { Err(Report::new(replaced())) });
        }
    }

    fn take_snapshot(&mut self, meta: SnapshotMeta) {
        let data = self.machine.borrow().snapshot().into();
        self.writer.submit(WriterJob::SaveSnapshot(Snapshot { meta, data }));
    }

    fn install(&mut self, write: u64, snapshot: Snapshot, hard: HardState) {
        if let Err(reason) = restore(&self.machine, &snapshot) {
            let mut shared = self.shared.borrow_mut();
            log::error!("{}: the leader's snapshot cannot be read: {reason}", shared.core.id());
            shared.failure = Some(reason);
            return;
        }
        self.writer.submit(WriterJob::Install { write, snapshot, hard });
    }

    fn answer_read(&mut self, ticket: u64, result: Result<()>) {
        if let Some(read) = self.shared.borrow_mut().reads.remove(&ticket) {
            let _ = read.send(result);
        }
    }
}
