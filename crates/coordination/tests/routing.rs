//! Tests of the routing of programs to instances.

use coordination::routing::pick;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("entry-{at}")).collect()
}

fn owner(key: usize, names: &[String]) -> String {
    pick(&format!("program-{key}"), names.iter().map(String::as_str)).unwrap().to_owned()
}

#[test]
fn removing_an_instance_moves_at_most_twice_its_share_of_programs() {
    const KEYS: usize = 4_000;
    for count in [3, 8, 40] {
        let all = names(count);
        for removed in 0..count {
            let mut remaining = all.clone();
            remaining.remove(removed);
            let moved =
                (0..KEYS).filter(|key| owner(*key, &all) != owner(*key, &remaining)).count();
            assert!(moved * count <= 2 * KEYS, "{moved} of {KEYS} moved with {count} instances");
        }
    }
}

#[test]
fn programs_are_spread_over_the_instances() {
    let all = names(8);
    for name in &all {
        let share = (0..8_000).filter(|key| owner(*key, &all) == *name).count();
        assert!((500..2_000).contains(&share), "{name} has {share} of 8000");
    }
}
