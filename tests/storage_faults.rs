//! The data folder under crashes, power loss, damage and foreign owners.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use fescuebay::consensus::core::StoredState;
use fescuebay::consensus::entry::{
    Entry, HardState, Membership, Payload, Snapshot, SnapshotMeta, VoterId,
};
use fescuebay::ids::{DaemonId, GroupId, Incarnation, LogIndex, Term};
use fescuebay::storage::disk::{Disk, Folder};
use fescuebay::storage::record::Record;
use fescuebay::storage::store::{Owner, Store};
use fescuebay::storage::writer::{Report, Writer, WriterJob};
use fescuebay::storage::{Error, frame};

#[derive(Clone, Default)]
struct File {
    data: Vec<u8>,
    synced: Vec<u8>,
}

/// What a power loss leaves of unsynced bytes and names.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kept {
    Nothing,
    HalfOfBytes,
    BytesWithoutNames,
    NamesWithoutBytes,
    /// Of the files that were removed, every other one comes back.
    HalfOfRemovals,
    All,
}

/// The operation that fails, counted from 0, and how.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The machine stops before the operation.
    PowerLossAt(usize),
    /// Only half of an append fits.
    FullAt(usize),
}

#[derive(Default)]
struct State {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    operations: usize,
    fault: Option<Fault>,
}

impl State {
    fn operate(&mut self) -> io::Result<()> {
        let at = self.operations;
        self.operations += 1;
        match self.fault {
            Some(Fault::PowerLossAt(due)) if at >= due => Err(io::ErrorKind::Other.into()),
            _ => Ok(()),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let at = self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.files[*at])
    }

    fn lose_power(&mut self, kept: Kept) {
        if kept == Kept::HalfOfRemovals {
            let is_gone = |name: &&String| !self.names.contains_key(*name);
            let removed: Vec<String> = self.synced_names.keys().filter(is_gone).cloned().collect();
            for name in removed.into_iter().step_by(2) {
                self.names.insert(name.clone(), self.synced_names[&name]);
            }
        } else if !matches!(kept, Kept::All | Kept::NamesWithoutBytes) {
            self.names = self.synced_names.clone();
        }
        for file in &mut self.files {
            let extra = file.data.len().saturating_sub(file.synced.len());
            match kept {
                Kept::All | Kept::BytesWithoutNames => {}
                Kept::HalfOfBytes if extra > 0 => file.data.truncate(file.synced.len() + extra / 2),
                _ => file.data = file.synced.clone(),
            }
            file.synced = file.data.clone();
        }
        self.synced_names = self.names.clone();
        self.fault = None;
    }
}

/// A folder in memory.
#[derive(Clone, Default)]
struct FakeDisk(Arc<Mutex<State>>);

impl FakeDisk {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }
}

impl Disk for FakeDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.state().file(name)?.data.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        state.files.push(File::default());
        let at = state.files.len() - 1;
        state.names.insert(name.to_owned(), at);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let is_full = state.fault == Some(Fault::FullAt(state.operations));
        state.operate()?;
        let written = if is_full { bytes.len() / 2 } else { bytes.len() };
        state.file(name)?.data.extend_from_slice(&bytes[..written]);
        if is_full { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn truncate(&mut self, name: &str, length_bytes: u64) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        state.file(name)?.data.truncate(length_bytes as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        let is_full = state.fault == Some(Fault::FullAt(state.operations));
        state.operate()?;
        if is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let file = state.file(name)?;
        file.synced = file.data.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        let at = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), at);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        state.names.remove(name).map(|_| ()).ok_or(io::ErrorKind::NotFound.into())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.operate()?;
        state.synced_names = state.names.clone();
        Ok(())
    }
}

fn daemon() -> DaemonId {
    "andina-a-1".parse().unwrap()
}

fn owner() -> Owner {
    Owner { cluster: "sanctuary".to_owned(), group: GroupId(1), daemon: daemon() }
}

fn open<D: Disk>(disk: D) -> fescuebay::storage::Result<(Store<D>, StoredState)> {
    Store::open(disk, &owner(), Incarnation(5))
}

fn entry(index: u64, term: u64) -> Entry {
    let payload = Payload::Command(vec![index as u8; 40].into());
    Entry { index: LogIndex(index), term: Term(term), payload }
}

fn hard(term: u64) -> HardState {
    let vote = Some(VoterId { daemon: daemon(), incarnation: Incarnation(5) });
    HardState { term: Term(term), vote }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    let membership = Membership::default();
    let meta = SnapshotMeta { index: LogIndex(index), term: Term(term), membership };
    Snapshot { meta, data: vec![index as u8; 100].into() }
}

/// One acknowledged operation of a voter's life.
enum Work {
    Append(Vec<Record>),
    Save(Snapshot),
    Install(Snapshot, HardState),
}

/// Appends, a conflict that replaces entries, snapshots of both kinds, and appends after them.
fn life() -> Vec<Work> {
    let entries = |from: u64, to: u64, term| {
        Work::Append((from..=to).map(|at| Record::Entry(entry(at, term))).collect())
    };
    vec![
        Work::Append(vec![Record::Hard(hard(1))]),
        entries(1, 5, 1),
        entries(6, 9, 1),
        Work::Save(snapshot(4, 1)),
        Work::Append(vec![Record::Hard(hard(2)), Record::Entry(entry(8, 2))]),
        entries(9, 12, 2),
        Work::Save(snapshot(10, 2)),
        entries(13, 20, 2),
        entries(21, 36, 2),
        Work::Install(snapshot(30, 3), hard(3)),
        entries(31, 33, 3),
        Work::Save(snapshot(32, 3)),
        entries(34, 34, 3),
    ]
}

fn perform(store: &mut Store<FakeDisk>, work: &Work) -> fescuebay::storage::Result<()> {
    match work {
        Work::Append(records) => store.append(records),
        Work::Save(snapshot) => {
            store.snapshot_saver().save(snapshot)?;
            store.drop_covered(snapshot.meta.index)
        }
        Work::Install(snapshot, hard) => store.install(snapshot, hard),
    }
}

/// What a folder must hold after some work.
fn expected(work: &[Work]) -> StoredState {
    let mut stored = StoredState::default();
    for work in work {
        match work {
            Work::Append(records) => {
                for record in records {
                    match record {
                        Record::Hard(hard) => stored.hard = hard.clone(),
                        Record::Entry(entry) => {
                            stored.entries.retain(|held| held.index < entry.index);
                            stored.entries.push(entry.clone());
                        }
                        Record::Reset { .. } => {}
                    }
                }
            }
            Work::Save(snapshot) => {
                stored.snapshot = snapshot.clone();
                stored.entries.retain(|entry| entry.index > snapshot.meta.index);
            }
            Work::Install(snapshot, hard) => {
                let (hard, snapshot) = (hard.clone(), snapshot.clone());
                stored = StoredState { hard, snapshot, entries: Vec::new() };
            }
        }
    }
    stored
}

fn is_same(a: &StoredState, b: &StoredState) -> bool {
    a.hard == b.hard && a.snapshot == b.snapshot && a.entries == b.entries
}

/// Works until the fault strikes. Returns how much was acknowledged.
fn live(disk: &FakeDisk) -> usize {
    let Ok((mut store, _)) = open(disk.clone()) else { return 0 };
    let life = life();
    let done = life.iter().take_while(|work| perform(&mut store, work).is_ok()).count();
    if matches!(life.get(done), Some(Work::Save(_))) {
        // The saver's failure stops the voter by its report, not by the log.
        return done;
    }
    for work in &life[done..] {
        // A voter that failed once acknowledges nothing more, whatever the disk says by then.
        disk.state().fault = None;
        let refused = match work {
            // The saver of snapshots is another thread's; what it does is not an acknowledgement.
            Work::Save(snapshot) => store.drop_covered(snapshot.meta.index),
            work => perform(&mut store, work),
        };
        let refused = refused.unwrap_err();
        assert_eq!(*refused.current_context(), Error::Stopped);
    }
    done
}

#[test]
fn nothing_acknowledged_is_lost_at_any_operation() {
    let whole = FakeDisk::default();
    assert_eq!(live(&whole), life().len());
    let operations = whole.state().operations;
    assert!(operations > 40, "{operations} operations");
    let every = [
        Kept::Nothing,
        Kept::HalfOfBytes,
        Kept::BytesWithoutNames,
        Kept::NamesWithoutBytes,
        Kept::HalfOfRemovals,
        Kept::All,
    ];
    for at in 0..=operations {
        for fault in [Fault::PowerLossAt(at), Fault::FullAt(at)] {
            for kept in every {
                let disk = FakeDisk::default();
                disk.state().fault = Some(fault);
                let done = live(&disk);
                disk.state().lose_power(kept);
                let (store, stored) = open(disk.clone())
                    .unwrap_or_else(|error| panic!("{fault:?} {kept:?}: {error:?}"));
                go_on(disk, store, &stored);
                // The work that was under way may be there or not.
                let life = life();
                let also = (done + 1).min(life.len());
                let is_known = is_same(&stored, &expected(&life[..done]))
                    || is_same(&stored, &expected(&life[..also]))
                    || is_half_installed(&stored, &life[..also]);
                assert!(is_known, "{fault:?} {kept:?} after {done}: {stored:?}");
            }
        }
    }
}

/// What is acknowledged after a restart survives the next one.
fn go_on(disk: FakeDisk, mut store: Store<FakeDisk>, stored: &StoredState) {
    let last = stored.entries.last().map_or(stored.snapshot.meta.index, |entry| entry.index);
    let next = entry(last.0 + 1, 9);
    store.append(&[Record::Hard(hard(9)), Record::Entry(next.clone())]).unwrap();
    drop(store);
    disk.state().lose_power(Kept::Nothing);
    let mut expected = stored.clone();
    expected.hard = hard(9);
    expected.entries.push(next);
    let again = open(disk).unwrap().1;
    assert!(is_same(&again, &expected), "{again:?} in place of {expected:?}");
}

/// The snapshot of an unfinished install, before term and vote are written.
fn is_half_installed(stored: &StoredState, work: &[Work]) -> bool {
    let Some(Work::Install(snapshot, _)) = work.last() else { return false };
    let before = expected(&work[..work.len() - 1]);
    stored.snapshot == *snapshot && stored.hard == before.hard && stored.entries.is_empty()
}

#[test]
fn power_may_fail_again_while_starting() {
    for torn_at in 0..12 {
        for at in 0..12 {
            let disk = FakeDisk::default();
            let (mut store, _) = open(disk.clone()).unwrap();
            store.append(&[Record::Hard(hard(1)), Record::Entry(entry(1, 1))]).unwrap();
            let name = last_segment(&disk);
            disk.state().file(&name).unwrap().data.extend_from_slice(&vec![0xee; torn_at]);
            disk.state().lose_power(Kept::All);
            disk.state().operations = 0;
            disk.state().fault = Some(Fault::PowerLossAt(at));
            let _ = open(disk.clone());
            disk.state().lose_power(Kept::HalfOfBytes);
            let (_, stored) = open(disk).unwrap();
            assert_eq!((stored.hard, stored.entries), (hard(1), vec![entry(1, 1)]));
        }
    }
}

fn last_segment(disk: &FakeDisk) -> String {
    let state = disk.state();
    state.names.keys().rfind(|name| name.starts_with("log-")).unwrap().clone()
}

#[test]
fn a_torn_end_is_cut_and_a_damaged_middle_is_refused_with_its_place() {
    let whole = FakeDisk::default();
    let (mut store, _) = open(whole.clone()).unwrap();
    for at in 1..=3 {
        store.append(&[Record::Entry(entry(at, 1))]).unwrap();
    }
    let name = last_segment(&whole);
    let bytes = whole.state().file(&name).unwrap().data.clone();
    let mut starts = vec![0];
    while let frame::FrameRead::Frame { end, .. } = frame::read(&bytes, starts[starts.len() - 1]) {
        starts.push(end);
    }
    let last = starts[starts.len() - 2];
    for at in 0..bytes.len() {
        let disk = FakeDisk::default();
        disk.state().names = whole.state().names.clone();
        disk.state().files = whole.state().files.clone();
        disk.state().file(&name).unwrap().data[at] ^= 0x20;
        match open(disk) {
            Ok((_, stored)) => {
                assert!(at >= last, "damage at {at} was passed over");
                assert_eq!(stored.entries, [entry(1, 1), entry(2, 1)]);
            }
            Err(error) => {
                assert!(at < last, "a torn end at {at} was refused");
                let start = starts[starts.partition_point(|start| *start <= at) - 1] as u64;
                let Error::Damaged { file, offset, .. } = error.current_context() else {
                    panic!("{error:?}")
                };
                assert_eq!((file, *offset), (&name, start));
            }
        }
    }
    for length in last..bytes.len() {
        let disk = FakeDisk::default();
        disk.state().names = whole.state().names.clone();
        disk.state().files = whole.state().files.clone();
        disk.state().file(&name).unwrap().data.truncate(length);
        assert_eq!(open(disk).unwrap().1.entries, [entry(1, 1), entry(2, 1)]);
    }
}

#[test]
fn damage_in_other_files_is_refused() {
    for prefix in ["meta", "snapshot-", "log-00000000000000000001"] {
        let disk = FakeDisk::default();
        let (mut store, _) = open(disk.clone()).unwrap();
        store.append(&[Record::Entry(entry(1, 1)), Record::Entry(entry(2, 1))]).unwrap();
        store.snapshot_saver().save(&snapshot(1, 1)).unwrap();
        store.drop_covered(LogIndex(1)).unwrap();
        // Another segment follows, so that the end of the first is no torn end.
        let bytes = disk.read("log-00000000000000000001").unwrap();
        disk.clone().create("log-00000000000000000002").unwrap();
        disk.clone().append("log-00000000000000000002", &bytes).unwrap();
        let name = {
            let state = disk.state();
            state.names.keys().find(|name| name.starts_with(prefix)).unwrap().clone()
        };
        let length = disk.state().file(&name).unwrap().data.len();
        disk.state().file(&name).unwrap().data[length - 1] ^= 1;
        let error = open(disk).map(|_| ()).unwrap_err();
        let Error::Damaged { file, .. } = error.current_context() else { panic!("{error:?}") };
        assert_eq!(*file, name);
    }
    let disk = FakeDisk::default();
    open(disk.clone()).unwrap();
    disk.state().names.remove("meta");
    assert!(open(disk).is_err(), "a folder that lost its meta file is not taken for empty");
}

#[test]
fn a_folder_of_another_owner_or_format_is_refused_by_name() {
    let foreign = |what, expected: &str, found: &str| Error::Foreign {
        what,
        expected: expected.to_owned(),
        found: found.to_owned(),
    };
    let other: DaemonId = "andina-b-1".parse().unwrap();
    let cases = [
        (
            Owner { cluster: "gilders".to_owned(), ..owner() },
            foreign("cluster", "gilders", "sanctuary"),
        ),
        (Owner { group: GroupId(2), ..owner() }, foreign("group", "2", "1")),
        (Owner { daemon: other, ..owner() }, foreign("daemon", "andina-b-1", "andina-a-1")),
    ];
    let disk = FakeDisk::default();
    let (store, _) = open(disk.clone()).unwrap();
    assert_eq!(store.incarnation(), Incarnation(5));
    for (owner, expected) in cases {
        let error = Store::open(disk.clone(), &owner, Incarnation(6)).map(|_| ()).unwrap_err();
        assert_eq!(*error.current_context(), expected);
    }
    disk.state().file("meta").unwrap().data[0] = 9;
    let error = open(disk).map(|_| ()).unwrap_err();
    assert_eq!(*error.current_context(), Error::NewerFormat { found: 9, known: 1 });
}

#[test]
fn a_second_process_is_kept_out_and_the_incarnation_stays() {
    let name = format!("storage-{:016x}", rand::random::<u64>());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let first = Folder::open(&path).unwrap();
    let error = Folder::open(&path).unwrap_err();
    let folder = path.display().to_string();
    assert_eq!(*error.current_context(), Error::Locked { folder });
    let (store, _) = open(first).unwrap();
    drop(store);
    let again = Folder::open(&path).unwrap();
    let (store, _) = Store::open(again, &owner(), Incarnation(6)).unwrap();
    assert_eq!(store.incarnation(), Incarnation(5));
    std::fs::remove_dir_all(&path).unwrap();
}

#[test]
fn a_failing_disk_stops_the_writer_and_acknowledges_nothing() {
    for fails_after in 0..2 {
        let disk = FakeDisk::default();
        let (store, _) = open(disk.clone()).unwrap();
        let due = disk.state().operations + fails_after;
        disk.state().fault = Some(Fault::FullAt(due));
        let (sender, mut reports) = tokio::sync::mpsc::unbounded_channel();
        let writer = Writer::start(store, sender).unwrap();
        for write in 1..=3 {
            writer
                .submit(WriterJob::Append { write, records: vec![Record::Entry(entry(write, 1))] });
        }
        writer.finish();
        assert!(matches!(reports.blocking_recv(), Some(Report::Failed(_))));
        assert!(reports.blocking_recv().is_none());
    }
}
