//! The data folder after damage, torn writes and misuse.

use std::sync::Arc;
use std::sync::mpsc::channel;

use pulley_core::process::MemberId;
use pulley_core::version::{
    LogCommand, LogEntry, LogIndex, LogTime, PersistBatch, PersistTicket, ReplicaIdentity, Term,
    VoteRecord,
};
use pulleyd::version::{DiskFolder, LogStorage, StorageFault, StorageWorker};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::fake_disk::FakeDisk;

const SEGMENT: &str = "log-00000000000000000001.segment";

fn identity(host: &str) -> ReplicaIdentity {
    let member = MemberId(1);
    let cluster = "test".parse().expect("a valid name");
    ReplicaIdentity { host: host.parse().expect("a valid name"), member, cluster }
}

fn entry(index: u64) -> Arc<LogEntry> {
    let command = LogCommand::Blank;
    Arc::new(LogEntry { index: LogIndex(index), term: Term(1), time: LogTime(index), command })
}

fn batch(ticket: u64, indices: std::ops::RangeInclusive<u64>) -> PersistBatch {
    PersistBatch {
        ticket: PersistTicket(ticket),
        entries: indices.map(entry).collect(),
        ..PersistBatch::default()
    }
}

/// Creates a folder with entries 1 to 9, written in three groups.
fn filled_disk() -> FakeDisk {
    let disk = FakeDisk::default();
    let (mut storage, _) =
        LogStorage::open_folder(disk.clone(), &identity("host"), None).expect("opens");
    for group in 0..3 {
        storage.write(&[batch(group, group * 3 + 1..=group * 3 + 3)]).expect("writes");
    }
    disk
}

// Power is lost during a write, so the last record is cut short or holds garbage. It was never
// acknowledged: the replica truncates it, starts, and continues after the last intact record.
#[test]
fn a_torn_tail_is_cut_off() {
    for seed in 0..200 {
        let disk = filled_disk();
        let mut random = StdRng::seed_from_u64(seed);
        let (mut storage, _) =
            LogStorage::open_folder(disk.clone(), &identity("host"), None).expect("opens");
        disk.fail_syncs(true);
        storage.write(&[batch(4, 10..=14)]).expect_err("the sync fails");
        disk.crash(&mut random);
        let (mut storage, recovered) =
            LogStorage::open_folder(disk.clone(), &identity("host"), None).expect("opens");
        let last = recovered.entries.last().map_or(0, |entry| entry.index.0);
        assert!((9..=14).contains(&last), "entries up to {last}");
        storage.write(&[batch(5, last + 1..=last + 2)]).expect("writes");
        let (_, again) =
            LogStorage::open_folder(disk, &identity("host"), None).expect("opens again");
        assert_eq!(again.entries.len() as u64, last + 2);
    }
}

// A sector of the disk fails in entries that were synced and acknowledged long ago. Truncating the
// log there would silently lose accepted changes. The replica must refuse to start and name the
// place, so that the operator replaces the disk and the host joins as a new member.
#[test]
fn damage_in_the_middle_is_refused_with_file_and_offset() {
    let length = filled_disk().read(SEGMENT).expect("reads").expect("is there").len();
    // All but the last group, because nothing after that group shows whether it was ever synced.
    for at in 0..length * 2 / 3 {
        let disk = filled_disk();
        disk.damage(SEGMENT, isize::try_from(at).expect("small"));
        let fault = LogStorage::open_folder(disk, &identity("host"), None).expect_err("damaged");
        let StorageFault::Damaged { file, offset, .. } = fault else { panic!("{fault}") };
        assert_eq!(file, SEGMENT);
        assert!(offset as usize <= at && at < offset as usize + 60, "{offset} for {at}");
    }
}

// After a failed sync the kernel may have dropped the pages, and the next sync reports success. A
// storage that retried would acknowledge entries that are on no disk.
#[test]
fn a_failed_sync_is_never_retried() {
    let disk = filled_disk();
    let (mut storage, _) =
        LogStorage::open_folder(disk.clone(), &identity("host"), None).expect("opens");
    disk.fail_syncs(true);
    storage.write(&[batch(4, 10..=10)]).expect_err("the sync fails");
    disk.fail_syncs(false);
    let fault = storage.write(&[batch(5, 11..=11)]).expect_err("stays refused");
    assert!(matches!(fault, StorageFault::EarlierWriteFailed));
    assert!(!storage.is_trusted());
}

// An operator starts a second process on the same data folder, or points a host at another host's
// folder. Two writers, or one voter with two votes, would corrupt the log.
#[test]
fn a_folder_serves_one_process_and_one_replica() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let first = LogStorage::open(folder.path(), &identity("host")).expect("opens");
    let fault = LogStorage::open(folder.path(), &identity("host")).expect_err("is locked");
    assert!(matches!(fault, StorageFault::Locked));
    drop(first);
    let fault = LogStorage::open(folder.path(), &identity("other")).expect_err("is foreign");
    assert!(matches!(fault, StorageFault::WrongOwner { .. }), "{fault}");
    LogStorage::open(folder.path(), &identity("host")).expect("still opens for its owner");
}

#[test]
fn the_worker_writes_to_a_real_folder() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (storage, _) = LogStorage::open(folder.path(), &identity("host")).expect("opens");
    let (done, results) = channel();
    let worker = StorageWorker::start(storage, move |ticket, result| {
        done.send((ticket, result.is_ok())).expect("the test waits");
    })
    .expect("starts");
    let vote = VoteRecord { term: Term(7), voted_for: Some(MemberId(2)) };
    worker.submit(PersistBatch { vote: Some(vote), ..batch(1, 1..=3) }).expect("has room");
    worker.submit(batch(2, 4..=5)).expect("has room");
    drop(worker);
    let results: Vec<(PersistTicket, bool)> = results.iter().collect();
    assert_eq!(results, vec![(PersistTicket(1), true), (PersistTicket(2), true)]);
    let (_, recovered) = LogStorage::open(folder.path(), &identity("host")).expect("opens");
    assert_eq!(recovered.vote, vote);
    assert_eq!(recovered.entries.len(), 5);
}

// Many questions arrive while the disk is busy. One sync must cover them all, otherwise the rate of
// claims would be limited to one per sync.
#[test]
fn waiting_batches_share_a_sync() {
    let disk = FakeDisk::default();
    let (mut storage, _) =
        LogStorage::open_folder(disk.clone(), &identity("host"), None).expect("opens");
    let before = disk.syncs();
    storage.write(&[batch(1, 1..=10), batch(2, 11..=20), batch(3, 21..=30)]).expect("writes");
    assert_eq!(disk.syncs() - before, 1);
}
