//! Tests of the control journal: tickets, instances, quarantine, trials and orders.

use crate::util;
use state::budget::Amount;
use state::control::{
    CRASH_LIMIT, Change, Command, Config, Control, Deployment, Reply, Role, Server, Service,
    Standing, Ticket, Weights,
};
use state::error::Kind;
use state::id::{Digest, Holder};
use state::machine::StateMachine;

fn service(version: &str) -> Service {
    Service {
        role: Role::Engine,
        version: version.into(),
        is_urgent: false,
        can_look_up: false,
        timeout_ms: 1_000,
        prompt_bytes_per_token: 3,
    }
}

fn server() -> Server {
    Server {
        service: "model".into(),
        address: "127.0.0.1:1".into(),
        failure_domain: "a".into(),
        slots: 1,
        checks_fencing: true,
    }
}

fn deployment(servers: &[&str]) -> Deployment {
    Deployment {
        servers: servers.iter().map(|name| (*name).to_owned()).collect(),
        failure_domains: vec!["a".into()],
        labels: [("health".to_owned(), vec!["a".to_owned()])].into(),
        cap: Amount::default(),
        weights: Weights { latency: 1, cache: 1 },
    }
}

fn control() -> Control {
    let mut control = Control::default();
    let config = Config {
        services: [("model".to_owned(), service("v1"))].into(),
        servers: [("m1".to_owned(), server()), ("m2".to_owned(), server())].into(),
        deployments: [("dep".to_owned(), deployment(&["m1", "m2"]))].into(),
    };
    control.execute(Command::Seed(config));
    control
}

fn register(nonce: u64) -> Command {
    Command::Register {
        instance: "h".into(),
        nonce,
        address: String::new(),
        failure_domain: String::new(),
    }
}

fn allow(number: u64, servers: &[&str]) -> Command {
    let state = Some(deployment(servers));
    let changes = vec![Change::Deployment { name: "dep".into(), state }];
    Command::Ticket { ticket: Ticket { number, changes }, now_ms: 1 }
}

fn kind(reply: &Reply) -> Option<Kind> {
    match reply {
        Reply::Refused(refusal) => Some(refusal.kind),
        _ => None,
    }
}

#[test]
fn a_resent_ticket_gets_the_recorded_answer() {
    let mut control = control();
    let first = control.execute(allow(5, &["m1"]));
    let version = control.snapshot().version;
    assert_eq!(control.execute(allow(5, &["m1"])), first);
    assert_eq!(control.snapshot().version, version);
}

#[test]
fn equal_number_with_other_content_is_a_conflict_and_lower_is_stale() {
    let mut control = control();
    control.execute(allow(5, &["m1"]));
    assert_eq!(kind(&control.execute(allow(5, &["m2"]))), Some(Kind::Conflict));
    assert_eq!(kind(&control.execute(allow(4, &["m2"]))), Some(Kind::Stale));
    assert!(control.snapshot().config.allows("dep", "m1", &[]));
    assert!(!control.snapshot().config.allows("dep", "m2", &[]));
}

#[test]
fn a_ticket_is_applied_completely_or_not_at_all() {
    let mut control = control();
    let before = control.snapshot().clone();
    let bad = Server { slots: 0, address: "nowhere".into(), ..server() };
    let changes = vec![
        Change::Deployment { name: "dep".into(), state: Some(deployment(&["m1"])) },
        Change::Server { name: "m3".into(), state: Some(bad) },
    ];
    let reply =
        control.execute(Command::Ticket { ticket: Ticket { number: 9, changes }, now_ms: 1 });
    let Reply::Refused(refusal) = reply else { panic!("{reply:?}") };
    assert_eq!(refusal.kind, Kind::Invalid);
    assert!(refusal.detail.contains("slots") && refusal.detail.contains("nowhere"), "{refusal:?}");
    assert_eq!(*control.snapshot(), before);
}

#[test]
fn removing_a_server_that_a_deployment_names_is_refused() {
    let mut control = control();
    let changes = vec![Change::Server { name: "m1".into(), state: None }];
    let reply =
        control.execute(Command::Ticket { ticket: Ticket { number: 2, changes }, now_ms: 1 });
    assert_eq!(kind(&reply), Some(Kind::Invalid));
}

#[test]
fn labels_narrow_the_placement() {
    let mut config = control().snapshot().config.clone();
    let mut elsewhere = server();
    elsewhere.failure_domain = "b".into();
    config.servers.insert("m2".into(), elsewhere);
    config.deployments.get_mut("dep").unwrap().failure_domains.push("b".into());
    assert!(config.allows("dep", "m2", &[]));
    assert!(!config.allows("dep", "m2", &["health".to_owned()]));
    assert!(!config.allows("other", "m1", &[]));
}

/// Guards against a program that runs in every failure domain, since the rule of its label was removed or
/// its label is misspelt.
#[test]
fn label_without_a_rule_allows_every_failure_domain() {
    let mut config = control().snapshot().config.clone();
    assert!(config.allows("dep", "m1", &["health".to_owned()]));
    assert!(!config.allows("dep", "m1", &["heath".to_owned()]));
    assert!(!config.allows("dep", "m1", &["health".to_owned(), "heath".to_owned()]));
    let rules = config.deployments.get_mut("dep").unwrap();
    rules.labels.insert("nowhere".into(), Vec::new());
    assert!(!config.allows("dep", "m1", &["nowhere".to_owned()]));
    config.deployments.get_mut("dep").unwrap().labels.clear();
    assert!(!config.allows("dep", "m1", &["health".to_owned()]));
    assert!(config.allows("dep", "m1", &[]));
}

#[test]
fn a_new_incarnation_waits_for_the_old_lease() {
    let mut control = control();
    let Reply::Registered { epoch } = control.execute(register(1)) else { panic!() };
    assert_eq!(control.execute(register(1)), Reply::Registered { epoch });
    assert_eq!(kind(&control.execute(register(2))), Some(Kind::Busy));
    let holder = Holder { instance: "h".into(), epoch };
    control.execute(Command::Expire(holder.clone()));
    assert!(control.snapshot().is_expired(&holder));
    assert_eq!(control.snapshot().instances["h"].standing, Standing::Expired);
    assert_eq!(control.execute(register(2)), Reply::Registered { epoch: epoch + 1 });
    assert!(control.snapshot().is_expired(&holder));
}

#[test]
fn two_crashes_quarantine_content_until_it_is_lifted() {
    let mut control = control();
    let digest = Digest::of(b"poison");
    let crash = |server: &str, incarnation| Command::ReportCrash {
        digest,
        server: server.into(),
        incarnation,
        now_ms: 10,
        quarantine_ms: 1_000,
    };
    assert_eq!(CRASH_LIMIT, 2);
    assert_eq!(control.execute(crash("m1", 1)), Reply::Done);
    assert_eq!(
        control.execute(crash("m1", 1)),
        Reply::Done,
        "a crash that is reported twice counts once"
    );
    assert_eq!(control.execute(crash("m1", 2)), Reply::Quarantined);
    assert_eq!(control.snapshot().quarantine[&digest].until_ms, 1_010);
    assert_eq!(control.execute(Command::LiftQuarantine(digest)), Reply::Done);
    assert!(control.snapshot().quarantine.is_empty());
    assert_eq!(kind(&control.execute(Command::LiftQuarantine(digest))), Some(Kind::NotFound));
}

#[test]
fn only_one_trial_runs_at_a_time() {
    let mut control = control();
    control.execute(register(1));
    let holder = Holder { instance: "h".into(), epoch: 1 };
    let request = |content: &[u8]| Command::Trial {
        digest: Digest::of(content),
        server: "m1".into(),
        holder: holder.clone(),
    };
    assert_eq!(control.execute(request(b"one")), Reply::Done);
    assert_eq!(kind(&control.execute(request(b"two"))), Some(Kind::Busy));
    control.execute(Command::Expire(holder.clone()));
    assert_eq!(control.execute(request(b"two")), Reply::Done);
}

#[test]
fn a_new_version_creates_one_order_per_engine_with_increasing_numbers() {
    let mut control = control();
    let numbers: Vec<u64> = control.orders().values().map(|order| order.number).collect();
    assert_eq!(numbers, [1, 2]);
    control.execute(Command::ConfirmOrder { server: "m1".into(), number: 1 });
    let changes = vec![Change::Service { name: "model".into(), state: Some(service("v2")) }];
    control.execute(Command::Ticket { ticket: Ticket { number: 1, changes }, now_ms: 1 });
    let order = &control.orders()["m1"];
    assert_eq!((order.number, order.version.as_str(), order.is_done), (3, "v2", false));
    control.execute(Command::ConfirmOrder { server: "m1".into(), number: 1 });
    assert!(!control.orders()["m1"].is_done, "a confirmation of an earlier order is ignored");
}

#[test]
fn an_export_contains_the_complete_state() {
    let mut control = control();
    (1..=50).for_each(|number| drop(control.execute(allow(number, &["m1"]))));
    let mut other = Control::default();
    other.import(&util::export_state(&control)).unwrap();
    assert_eq!(other, control);
    assert_eq!(other.execute(allow(50, &["m1"])), control.execute(allow(50, &["m1"])));
}
