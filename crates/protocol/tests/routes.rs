//! Tests of the validation and lookup of routes and services.

use protocol::organisations::{KeyDigest, Organisation, Rate};
use protocol::routes::{Config, Error, Route, Service, Table, Target};
use std::sync::Arc;
use std::time::Duration;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "quotes.example".into(),
        prefix: prefix.into(),
        timeout: Duration::from_secs(1),
        targets: vec![Target { service: "model".into(), weight: 1 }],
        ..Route::default()
    }
}

fn table(routes: Vec<Route>) -> Result<Table, Error> {
    let services = vec![Service { name: "model".into(), ..Service::default() }];
    Table::new(Config { version: 1, routes, services, ..Config::default() })
}

#[test]
fn longest_matching_prefix_of_the_host_is_found() {
    let table = table(vec![route("short", "/a/"), route("long", "/a/b/")]).unwrap();
    let name = |host, path| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(name("quotes.example", "/a/b/c"), Some("long"));
    assert_eq!(name("Quotes.Example:8080", "/a/c"), Some("short"));
    assert_eq!(name("quotes.example", "/ab/"), None);
    assert_eq!(name("other.example", "/a/"), None);
}

#[test]
fn invalid_configurations_are_rejected_with_the_route_at_fault() {
    let unknown = Target { service: "gone".into(), weight: 1 };
    let cases = [
        (
            vec![Route { targets: vec![unknown], ..route("r", "/a/") }],
            Error::UnknownService { route: "r".into(), service: "gone".into() },
        ),
        (
            vec![route("r", "/a/"), route("s", "/a/")],
            Error::DuplicateRoute { first: "r".into(), second: "s".into() },
        ),
        (
            vec![Route {
                targets: vec![Target { service: "model".into(), weight: 0 }],
                ..route("r", "/a/")
            }],
            Error::ZeroWeight("r".into()),
        ),
        (
            vec![Route { timeout: Duration::ZERO, ..route("r", "/a/") }],
            Error::ZeroTimeout("r".into()),
        ),
        (vec![route("r", "/a")], Error::Prefix { route: "r".into(), prefix: "/a".into() }),
    ];
    for (routes, expected) in cases {
        assert_eq!(table(routes).unwrap_err(), expected);
    }
}

#[test]
fn requests_are_distributed_by_weight() {
    let targets = [("model", 90), ("other", 10)]
        .map(|(service, weight)| Target { service: service.into(), weight })
        .to_vec();
    let route = Route { targets, ..route("r", "/a/") };
    let count = (0..1_000).filter(|random| route.pick(*random) == "other").count();
    assert_eq!(count, 100);
}

#[test]
fn organisation_is_found_by_each_of_its_keys_without_a_copy() {
    let digest = |name: usize, key: usize| KeyDigest::new(format!("key-{name}-{key}").as_bytes());
    let organisation = |name: usize| Organisation {
        name: name.to_string(),
        keys: (0..5).map(|key| digest(name, key)).collect(),
        ..Organisation::default()
    };
    let organisations = (0..880).map(organisation).collect();
    let table =
        Table::new(Config { organisations: Some(organisations), ..Config::default() }).unwrap();
    let index = table.organisations().unwrap();
    assert_eq!(index.iter().count(), 880);
    for (name, organisation) in index.iter().enumerate() {
        for key in 0..5 {
            assert!(Arc::ptr_eq(index.find(&digest(name, key)).unwrap(), organisation));
        }
    }
    assert!(index.find(&digest(880, 0)).is_none());
}

#[test]
fn numbers_of_a_limit_must_be_finite_and_not_negative() {
    for (setting, per_second, burst) in
        [("rate", f64::NAN, 0.0), ("rate", f64::INFINITY, 0.0), ("burst", 1.0, f64::NEG_INFINITY)]
    {
        let rate = Some(Rate { per_second, burst });
        let organisation = Organisation { name: "a".into(), rate, ..Organisation::default() };
        let config = Config { organisations: Some(vec![organisation]), ..Config::default() };
        let error = Table::new(config).unwrap_err().to_string();
        assert!(error.contains(setting) && error.contains("accepted"), "{error}");
    }
}
