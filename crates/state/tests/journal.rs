//! Tests of the write-ahead log on a real file system.

use state::disk::Disk;
use state::error::Storage;
use state::journal::{Journal, Log, Record, Recovery};
use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

fn entry(index: u64) -> Record {
    Record::Entry { index, body: vec![u8::try_from(index % 251).unwrap(); 40] }
}

fn recovered(folder: &Path) -> Recovery {
    Journal::open(folder).unwrap().1
}

fn indices(recovered: &Recovery) -> Vec<u64> {
    recovered.entries.iter().map(|(index, _)| *index).collect()
}

fn single_file(folder: &Path) -> PathBuf {
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    assert_eq!(files.len(), 1);
    files.remove(0)
}

fn journal_with_entries(count: u64) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    for index in 1..=count {
        journal.append(&[entry(index)]).unwrap();
    }
    let file = single_file(folder.path());
    (folder, file)
}

#[test]
fn appended_entries_are_recovered() {
    let (folder, _) = journal_with_entries(9);
    assert_eq!(indices(&recovered(folder.path())), (1..=9).collect::<Vec<_>>());
}

#[test]
fn truncated_entries_are_not_recovered() {
    let (folder, _) = journal_with_entries(9);
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal.append(&[Record::Truncate(5), entry(5)]).unwrap();
    assert_eq!(indices(&recovered(folder.path())), [1, 2, 3, 4, 5]);
}

#[test]
fn a_rewrite_replaces_older_files() {
    let (folder, _) = journal_with_entries(9);
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    let snapshot = Record::Snapshot { index: 8, meta: vec![1], state: vec![2] };
    journal.rewrite(&[snapshot, Record::Meta(vec![3]), entry(9)]).unwrap();
    journal.append(&[entry(10)]).unwrap();
    single_file(folder.path());
    let recovery = recovered(folder.path());
    assert_eq!(recovery.snapshot, Some((8, vec![1], vec![2])));
    assert_eq!(recovery.meta, Some(vec![3]));
    assert_eq!(indices(&recovery), [9, 10]);
}

#[test]
fn a_crash_between_rename_and_delete_replays_no_entry_twice() {
    let (folder, old) = journal_with_entries(9);
    let bytes = std::fs::read(&old).unwrap();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    let snapshot = Record::Snapshot { index: 5, meta: vec![], state: vec![] };
    journal.rewrite(&[snapshot, entry(6), entry(7), entry(8), entry(9)]).unwrap();
    std::fs::write(&old, bytes).unwrap();
    assert_eq!(indices(&recovered(folder.path())), [6, 7, 8, 9]);
}

#[test]
fn a_torn_tail_is_truncated_at_every_length() {
    let (_folder, file) = journal_with_entries(3);
    let bytes = std::fs::read(&file).unwrap();
    let record = bytes.len() / 3;
    for len in 0..bytes.len() {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("00000000.journal"), &bytes[..len]).unwrap();
        let recovery = recovered(folder.path());
        assert_eq!(recovery.entries.len(), len / record, "cut at {len}");
        let (mut journal, _) = Journal::open(folder.path()).unwrap();
        journal.append(&[entry(99)]).unwrap();
        assert_eq!(recovered(folder.path()).entries.len(), len / record + 1, "cut at {len}");
    }
}

#[test]
fn corruption_of_any_byte_is_detected() {
    let (_folder, file) = journal_with_entries(3);
    let bytes = std::fs::read(&file).unwrap();
    for offset in 0..bytes.len() {
        let folder = tempfile::tempdir().unwrap();
        let mut corrupt = bytes.clone();
        corrupt[offset] ^= 0x55;
        std::fs::write(folder.path().join("00000000.journal"), corrupt).unwrap();
        match Journal::open(folder.path()) {
            Err(Storage::Corrupt { .. }) => {}
            Err(other) => panic!("byte {offset}: {other}"),
            // A corrupt length in the last record looks like a torn write of that record.
            Ok((_, recovery)) => {
                let last = bytes.len() / 3 * 2;
                assert!(
                    offset >= last,
                    "corruption of byte {offset} of an inner record was not detected"
                );
                assert_eq!(indices(&recovery), [1, 2], "byte {offset}");
            }
        }
    }
}

#[test]
fn a_failed_sync_stops_the_journal_permanently() {
    let folder = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal.append(&[entry(1)]).unwrap();
    // Removing the folder makes the rewrite fail, as a full disk would.
    std::fs::remove_dir_all(folder.path()).unwrap();
    assert!(journal.rewrite(&[entry(2)]).is_err());
    assert!(matches!(journal.append(&[entry(3)]), Err(Storage::Stopped)));
}

#[test]
fn zeros_after_the_last_record_are_treated_as_a_torn_write() {
    let (folder, file) = journal_with_entries(2);
    let handle = OpenOptions::new().write(true).open(&file).unwrap();
    let len = handle.metadata().unwrap().len();
    handle.write_all_at(&[0; 64], len).unwrap();
    let (mut journal, recovery) = Journal::open(folder.path()).unwrap();
    assert_eq!(indices(&recovery), [1, 2]);
    journal.append(&[entry(3)]).unwrap();
    assert_eq!(indices(&recovered(folder.path())), [1, 2, 3]);
}

#[test]
fn a_hole_in_the_last_batch_drops_the_records_after_it() {
    let (folder, file) = journal_with_entries(2);
    let before = std::fs::metadata(&file).unwrap().len();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal.append(&[entry(3), entry(4), entry(5)]).unwrap();
    let handle = OpenOptions::new().write(true).open(&file).unwrap();
    handle.write_all_at(&[0; 30], before + 5).unwrap();
    let (_, recovery) = Journal::open(folder.path()).unwrap();
    assert_eq!(indices(&recovery), [1, 2]);
}

#[test]
fn a_hole_before_a_later_batch_is_corruption() {
    let (folder, file) = journal_with_entries(2);
    let before = std::fs::metadata(&file).unwrap().len();
    let (mut journal, _) = Journal::open(folder.path()).unwrap();
    journal.append(&[entry(3), entry(4)]).unwrap();
    journal.append(&[entry(5)]).unwrap();
    let handle = OpenOptions::new().write(true).open(&file).unwrap();
    handle.write_all_at(&[0; 30], before + 5).unwrap();
    assert!(matches!(Journal::open(folder.path()), Err(Storage::Corrupt { .. })));
}

/// A disk whose syncs fail from the `failing`th on; counts them.
#[derive(Debug, Default)]
struct Faulty {
    syncs: AtomicUsize,
    failing: AtomicUsize,
}

impl Faulty {
    fn sync(&self) -> std::io::Result<()> {
        let number = self.syncs.fetch_add(1, Ordering::Relaxed);
        if number < self.failing.load(Ordering::Relaxed) {
            return Ok(());
        }
        Err(std::io::Error::other("the disk does not respond"))
    }
}

impl Disk for Faulty {
    fn sync_data(&self, _file: &File) -> std::io::Result<()> {
        self.sync()
    }

    fn sync_all(&self, _file: &File) -> std::io::Result<()> {
        self.sync()
    }
}

#[test]
fn append_is_acknowledged_without_a_sync() {
    let folder = tempfile::tempdir().unwrap();
    let disk = Arc::new(Faulty { failing: AtomicUsize::new(usize::MAX), ..Faulty::default() });
    let (mut journal, _) = Journal::open_on(disk.clone(), folder.path()).unwrap();
    for number in 1..4 {
        let before = disk.syncs.load(Ordering::Relaxed);
        journal.append(&[entry(number)]).unwrap();
        assert_eq!(disk.syncs.load(Ordering::Relaxed), before + 1);
    }
}

#[test]
fn append_after_a_failed_sync_is_acknowledged() {
    let folder = tempfile::tempdir().unwrap();
    let disk = Arc::new(Faulty { failing: AtomicUsize::new(2), ..Faulty::default() });
    let (mut journal, _) = Journal::open_on(disk.clone(), folder.path()).unwrap();
    journal.append(&[entry(1)]).unwrap();
    assert!(journal.append(&[entry(2)]).is_err());
    disk.failing.store(usize::MAX, Ordering::Relaxed);
    assert!(matches!(journal.append(&[entry(3)]), Err(Storage::Stopped)));
    assert!(matches!(journal.rewrite(&[entry(3)]), Err(Storage::Stopped)));
}
