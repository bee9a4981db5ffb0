//! Settings and startup of a voter.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;

use error_stack::{ResultExt as _, ensure};

use super::event_loop;
use super::handle::Handle;
use super::{Error, Result, Transport};
use crate::consensus::Machine;
use crate::consensus::core::{Config, StoredState};
use crate::consensus::entry::{Membership, Snapshot, SnapshotMeta, VoterId};
use crate::consensus::formation::FolderState;
use crate::consensus::log::Log;
use crate::consensus::timing::Timing;
use crate::ids::{DaemonId, GroupId, Incarnation};
use crate::storage::disk::{Disk, Folder};
use crate::storage::store::{Owner, Store};

/// Maximum number of entries that a restart replays.
const DEFAULT_SNAPSHOT_EVERY: u64 = 1000;

/// Settings of a voter.
#[derive(Clone, Debug)]
pub struct Settings {
    owner: Owner,
    folder: PathBuf,
    new_incarnation: Incarnation,
    initial_voters: Vec<VoterId>,
    timing: Timing,
    snapshot_every: u64,
}

impl Settings {
    /// Settings with the default timeouts and no initial voters.
    pub fn new(cluster: &str, group: GroupId, daemon: DaemonId, folder: PathBuf) -> Self {
        Self {
            owner: Owner { cluster: cluster.to_owned(), group, daemon },
            folder,
            new_incarnation: Incarnation(1),
            initial_voters: Vec::new(),
            timing: Timing::default(),
            snapshot_every: DEFAULT_SNAPSHOT_EVERY,
        }
    }

    /// Sets the incarnation for an empty folder. It must differ from that of every earlier folder
    /// of this daemon; the start time is a suitable value.
    pub fn new_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.new_incarnation = incarnation;
        self
    }

    /// Sets the voters of a new group, which must be the same list at each voter. Used only while
    /// the folder is empty; without the list, such a voter waits to be added as a learner.
    pub fn initial_voters(mut self, voters: Vec<VoterId>) -> Self {
        self.initial_voters = voters;
        self
    }

    /// Sets the timeouts and intervals of the protocol.
    pub fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Sets the maximum number of entries that a restart replays.
    pub fn snapshot_every(mut self, entries: u64) -> Self {
        self.snapshot_every = entries;
        self
    }

    /// Opens, locks and reads the folder.
    ///
    /// # Errors
    /// The folder cannot be used, or the timeouts violate a constraint.
    pub fn open(self) -> Result<OpenedVoter<Folder>> {
        let step = || Error::Start(format!("open the data folder {}", self.folder.display()));
        let disk = Folder::open(&self.folder).change_context_lazy(step)?;
        self.open_on(disk)
    }

    /// Reads a folder that is already open.
    ///
    /// # Errors
    /// As for [`Settings::open`].
    pub fn open_on<D: Disk>(self, disk: D) -> Result<OpenedVoter<D>> {
        self.timing.check().change_context(Error::Start("check the times".to_owned()))?;
        let step = || Error::Start(format!("read the data folder {}", self.folder.display()));
        let opened = Store::open(disk, &self.owner, self.new_incarnation);
        let (store, stored) = opened.change_context_lazy(step)?;
        let id = store.voter_id(&self.owner.daemon);
        Ok(OpenedVoter { settings: self, store, stored, id })
    }
}

/// A voter whose folder is open but which is not started yet.
pub struct OpenedVoter<D> {
    settings: Settings,
    store: Store<D>,
    stored: StoredState,
    id: VoterId,
}

impl<D: Disk + 'static> OpenedVoter<D> {
    /// The id of this voter.
    pub fn voter_id(&self) -> &VoterId {
        &self.id
    }

    /// Whether the folder holds a group, as a reply to other voters.
    pub fn folder_state(&self) -> FolderState {
        if !self.is_formed() {
            return FolderState::Empty(self.id.clone());
        }
        let log = Log::new(&self.stored.snapshot.meta, self.stored.entries.clone());
        FolderState::Formed(log.membership().clone())
    }

    /// Whether the folder holds a group, formed here or received from a leader.
    pub fn is_formed(&self) -> bool {
        let has_members = !self.stored.snapshot.meta.membership.voters.is_empty();
        has_members || !self.stored.entries.is_empty()
    }

    /// Number of entries to be replayed.
    pub fn replay_entries(&self) -> usize {
        self.stored.entries.len()
    }

    /// Forms a new group. Every voter of the group must be given the same list.
    ///
    /// # Errors
    /// The folder already holds a group, this voter is not in the list, or the write fails.
    pub fn form(&mut self, voters: Vec<VoterId>) -> Result<()> {
        let start = |reason: &str| Error::Start(format!("form a group: {reason}"));
        ensure!(!self.is_formed(), start("the folder already knows one"));
        ensure!(voters.contains(&self.id), start("this voter is not one of its voters"));
        let membership = Membership::of_voters(voters);
        let meta = SnapshotMeta { membership, ..SnapshotMeta::default() };
        let snapshot = Snapshot { meta, ..Snapshot::default() };
        let saved = self.store.snapshot_saver().save(&snapshot);
        saved.change_context_lazy(|| start("write the folder"))?;
        self.stored.snapshot = snapshot;
        Ok(())
    }

    /// Starts the voter on the current `LocalSet`.
    ///
    /// # Errors
    /// The machine cannot decode the snapshot, or the storage thread cannot start.
    pub fn start<M, T, R>(self, machine: Rc<RefCell<M>>, transport: T, rng: R) -> Result<Handle>
    where
        M: Machine + 'static,
        T: Transport + 'static,
        R: rand::RngCore + 'static,
    {
        let config = Config {
            group: self.settings.owner.group,
            id: self.id,
            timing: self.settings.timing,
            snapshot_every: self.settings.snapshot_every,
        };
        event_loop::start(config, self.store, self.stored, machine, transport, Box::new(rng))
    }
}

/// Opens the folder and starts the voter. If the folder is empty, forms the group of the initial
/// voters first.
///
/// # Errors
/// As for [`Settings::open`], [`OpenedVoter::form`] and [`OpenedVoter::start`].
pub fn start<M, T, R>(
    settings: Settings,
    machine: Rc<RefCell<M>>,
    transport: T,
    rng: R,
) -> Result<Handle>
where
    M: Machine + 'static,
    T: Transport + 'static,
    R: rand::RngCore + 'static,
{
    let voters = settings.initial_voters.clone();
    let mut opened = settings.open()?;
    if !opened.is_formed() && !voters.is_empty() {
        opened.form(voters)?;
    }
    opened.start(machine, transport, rng)
}
