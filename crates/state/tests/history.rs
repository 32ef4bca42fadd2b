//! Tests of the history store in segment files.

use state::error::Storage;
use state::history::{Files, Position, Store};

#[test]
fn items_are_read_back_after_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let mut files = Files::open(folder.path()).unwrap();
    let locators: Vec<_> =
        (0..50u8).map(|at| files.append(&vec![at; usize::from(at)]).unwrap()).collect();
    files.sync().unwrap();
    let files = Files::open(folder.path()).unwrap();
    for (at, locator) in locators.iter().enumerate() {
        assert_eq!(files.read(locator).unwrap(), vec![u8::try_from(at).unwrap(); at]);
    }
}

#[test]
fn a_rewound_store_overwrites_later_items() {
    let folder = tempfile::tempdir().unwrap();
    let mut files = Files::open(folder.path()).unwrap();
    let kept = files.append(b"kept").unwrap();
    let position = files.sync().unwrap();
    files.append(b"lost").unwrap();
    files.rewind(position).unwrap();
    let next = files.append(b"next").unwrap();
    assert_eq!(next.offset, position.offset);
    assert_eq!(files.read(&kept).unwrap(), b"kept");
    assert_eq!(files.read(&next).unwrap(), b"next");
}

#[test]
fn a_corrupt_item_is_not_returned() {
    let folder = tempfile::tempdir().unwrap();
    let mut files = Files::open(folder.path()).unwrap();
    let locator = files.append(b"whole").unwrap();
    files.sync().unwrap();
    let path = folder.path().join("00000000.history");
    std::fs::write(path, b"whOle").unwrap();
    assert!(matches!(files.read(&locator), Err(Storage::Corrupt { .. })));
}

#[test]
fn an_empty_store_rewinds_to_its_start() {
    let folder = tempfile::tempdir().unwrap();
    let mut files = Files::open(folder.path()).unwrap();
    files.append(b"stale").unwrap();
    files.rewind(Position::default()).unwrap();
    assert_eq!(files.append(b"first").unwrap().offset, 0);
}
