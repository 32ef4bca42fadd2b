//! Tests of parsing and validating the settings file.

use protocol::settings::{Fault, Settings};

fn faults(text: &str) -> Vec<Fault> {
    Settings::parse(text).unwrap_err().0
}

#[test]
fn documented_examples_are_accepted() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/examples");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|extension| extension == "toml") {
            let text = std::fs::read_to_string(&path).unwrap();
            let settings = Settings::parse(&text).unwrap_or_else(|e| panic!("{path:?}: {e}"));
            assert!(!settings.seed.deployments.is_empty(), "{path:?}");
            count += 1;
        }
    }
    assert_eq!(count, 2, "one example per documented deployment");
}

#[test]
fn default_settings_are_accepted() {
    assert_eq!(Settings::default().check(), []);
}

#[test]
fn replica_without_a_storage_table_is_rejected() {
    let found = faults("name = \"a\"\n");
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].key, "storage.folder");
}

#[test]
fn all_faults_are_reported_at_once_with_line_and_key() {
    let text = "\
name = \"a\"
colour = \"red\"

[storage]
folder = \"data\"

[journal]
shards = \"two\"

[limits]
body_bytes = -1
";
    let found = faults(text);
    let lines: Vec<(usize, &str)> = found.iter().map(|f| (f.line, f.key.as_str())).collect();
    assert_eq!(lines, [(2, "colour"), (8, "shards"), (11, "body_bytes")], "{found:#?}");
    assert!(found[0].detail.contains("expected one of"), "{}", found[0].detail);
}

#[test]
fn invalid_values_are_rejected_with_the_accepted_values() {
    let text = "\
name = \"a\"
failure_domain = \"x\"

[storage]
folder = \"data\"

[listen]
callers = \"somewhere\"
peers = \"0.0.0.0:1\"

[journal]
shards = 0
replicas = [\"a\", \"b\", \"c\"]

[lease]
renew_ms = 1900

[[peers]]
name = \"a\"
address = \"127.0.0.1:1\"
failure_domain = \"x\"

[[peers]]
name = \"b\"
address = \"127.0.0.1:2\"
failure_domain = \"x\"

[[peers]]
name = \"c\"
address = \"127.0.0.1:3\"
failure_domain = \"y\"
";
    let found = faults(text);
    let keys: Vec<&str> = found.iter().map(|fault| fault.key.as_str()).collect();
    let expected = [
        "listen.callers",
        "journal.shards",
        "journal.replicas",
        "access.peer_key_file",
        "lease.renew_ms",
    ];
    assert_eq!(keys, expected, "{found:#?}");
    assert!(found.iter().all(|f| f.detail.contains("accepted") || f.detail.contains("required")));
    assert_eq!(found[1].line, 12);
}
