//! Tests of the validation and lookup of routes and services.

use protocol::routes::{Config, Error, Route, Service, Table, Target};
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
