//! Tests of the memory that is given out, and of the upload that gives way.

use coordination::memory::{self, Pace};
use std::collections::BTreeMap;

const MB: u64 = 1024 * 1024;

#[test]
fn budget_leaves_what_the_process_needs_itself() {
    assert_eq!(memory::budget(116 * MB, 0, 75), (100 * MB) / 100 * 75);
    assert!(memory::budget(110 * MB, 12 * MB, 75) < (110 - 12) * MB);
    assert_eq!(memory::budget(10 * MB, 12 * MB, 75), 0);
}

#[test]
fn upload_at_an_ordinary_rate_never_gives_way() {
    let mut uploads = BTreeMap::from([(1, Pace::new(0))]);
    for now in (100..60_000).step_by(100) {
        uploads.get_mut(&1).unwrap().advance(now, 100 * 64);
        assert_eq!(memory::choose(now + 99, &uploads), None, "at {now} ms");
    }
}

#[test]
fn upload_that_stands_still_the_longest_gives_way() {
    let mut uploads = BTreeMap::from([(1, Pace::new(0)), (2, Pace::new(0)), (3, Pace::new(0))]);
    uploads.get_mut(&1).unwrap().advance(400, 4 * MB);
    uploads.get_mut(&2).unwrap().advance(200, 4 * MB);
    uploads.get_mut(&3).unwrap().advance(900, 4 * MB);
    assert_eq!(memory::choose(600, &uploads), None);
    assert_eq!(memory::choose(1_000, &uploads), Some(2));
    uploads.remove(&2);
    assert_eq!(memory::choose(1_000, &uploads), Some(1));
    uploads.remove(&1);
    assert_eq!(memory::choose(1_000, &uploads), None);
}

#[test]
fn early_bytes_and_single_bytes_do_not_cover_a_standstill() {
    let mut pace = Pace::new(0);
    pace.advance(100, 4 * MB);
    for now in (110..2_000).step_by(100) {
        pace.advance(now, 1);
    }
    assert!(pace.lag(2_000) > 1_500, "{}", pace.lag(2_000));
    assert_eq!(memory::choose(2_000, [(&7, &pace)]), Some(7));
}

#[test]
fn older_of_two_equal_uploads_gives_way() {
    let uploads = BTreeMap::from([(4, Pace::new(0)), (5, Pace::new(0))]);
    assert_eq!(memory::choose(10_000, &uploads), Some(4));
}

#[test]
fn endless_responses_leave_room_for_ordinary_ones() {
    const LIMIT: usize = 20 * 1024 * 1024;
    const PART: usize = 16 * 1024;
    for count in [1, 4, 50] {
        let mut granted = vec![0; count];
        let mut has_grown = true;
        while std::mem::take(&mut has_grown) {
            for index in 0..count {
                let (held, own) = (granted.iter().sum(), granted[index]);
                if memory::may_grow(LIMIT, held, own, own + PART) {
                    granted[index] += PART;
                    has_grown = true;
                }
            }
        }
        let held: usize = granted.iter().sum();
        assert!(LIMIT - held >= LIMIT / (count + 1), "{count}: {held} of {LIMIT} held");
        assert!(memory::may_grow(LIMIT, held, 0, PART), "{count}: no room for another response");
        assert!(granted.iter().all(|own| *own > PART), "{count}: {granted:?}");
    }
}

#[test]
fn ordinary_response_depends_on_nothing_that_others_hold() {
    let ordinary = memory::counted(12 * 1024, 3);
    assert!(memory::may_grow(0, 0, 0, ordinary));
    assert!(!memory::may_grow(0, 0, 0, memory::counted(64 * 1024, 3)));
}
