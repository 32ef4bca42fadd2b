//! Tests of lists with entries that cannot be decoded.

use protocol::backend::InstanceList;

#[test]
fn odd_entry_makes_the_instance_list_unreadable() {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    for odd in [nested.as_str(), "1e999", "17", "null", r#"{"a": 1e999}"#, r#""\ud800""#] {
        let text = format!(r#"{{"leaving": ["first", {odd}, "last"]}}"#);
        let list: InstanceList = serde_json::from_str(&text).unwrap();
        assert_eq!(list.leaving.valid, ["first", "last"], "{odd:.20}");
        assert_eq!(list.leaving.faults.len(), 1, "{odd:.20}");
    }
}

#[test]
fn list_that_is_cut_off_looks_complete() {
    for text in
        [r#"{"leaving": ["first""#, r#"{"leaving": ["first", [}"#, "{}", r#"{"leaving": 1}"#]
    {
        assert!(serde_json::from_str::<InstanceList>(text).is_err(), "{text}");
    }
}

#[test]
fn description_of_a_fault_grows_with_the_entry() {
    let text = format!(r#"{{"leaving": [{{"{}": 1}}]}}"#, "x".repeat(100_000));
    let list: InstanceList = serde_json::from_str(&text).unwrap();
    assert!(list.leaving.faults[0].len() < 1_000);
}
