//! Tests of the HTTP responses to errors.

use protocol::answer::{Refusal, TABLE, row_of};
use state::error::{Executed, Kind};
use std::collections::HashSet;

#[test]
fn each_error_kind_has_exactly_one_row() {
    let distinct_kinds: HashSet<Kind> = TABLE.iter().map(|row| row.kind).collect();
    assert_eq!(distinct_kinds.len(), TABLE.len());
    assert!(TABLE.iter().all(|row| (400..=504).contains(&row.status)));
    assert_ne!(row_of(Kind::Failed).status, 500, "the last kind of the enum must have a row");
}

#[test]
fn refusal_is_serialized_as_documented() {
    let text =
        serde_json::to_string(&Refusal::new(Kind::Overloaded, Executed::No, "full")).unwrap();
    let expected = r#"{"error":"overloaded","ran":"no","detail":"full","may_resend":true}"#;
    assert_eq!(text, expected);
}
