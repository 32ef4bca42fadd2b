//! Prometheus metrics of an entry: counters of requests and attempts by outcome, and latencies.

use crate::member;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Outcome label. Outcomes are a fixed set, so the number of time series is bounded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Label {
    outcome: String,
}

/// Labels of what is counted by organisation. Names come from the configuration and reasons are a fixed
/// set, so the number of time series is bounded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OrganisationLabel {
    organisation: String,
    outcome: String,
}

/// All metrics of an entry.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<Label, Counter>,
    attempts: Family<Label, Counter>,
    resumptions: Family<Label, Counter>,
    forwarded: Family<Label, Counter>,
    losses: Family<Label, Counter>,
    probes: Family<Label, Counter>,
    silences: Family<Label, Counter>,
    organisations: Family<OrganisationLabel, Counter>,
    lease_age: Gauge,
    lease_held: Gauge,
    pub(crate) partitioned: Gauge,
    pub(crate) first_byte: Histogram,
    pub(crate) duration: Histogram,
    pub(crate) journal: Histogram,
    pub(crate) under_way: Gauge,
    pub(crate) connections: Counter,
    pub(crate) list_reads: Family<Label, Counter>,
    pub(crate) limited_servers: Gauge,
    leaving_servers: Family<Label, Gauge>,
    crossings: Family<Label, Counter>,
    pub(crate) waiting: Gauge,
    capped: Family<OrganisationLabel, Counter>,
}

fn latency() -> Histogram {
    // Buckets from 1 ms to 8.192 s, since callers wait for up to 8 s.
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

impl Metrics {
    /// Creates the metrics of an entry, together with those of its exchange with the control
    /// instances.
    pub(crate) fn new(member: &member::Metrics) -> Self {
        let mut registry = Registry::with_prefix("buckthornshelf");
        member.register(&mut registry);
        let requests = Family::<Label, Counter>::default();
        registry.register("requests", "Requests of callers by outcome", requests.clone());
        let attempts = Family::<Label, Counter>::default();
        registry.register("attempts", "Attempts on servers by outcome", attempts.clone());
        let resumptions = Family::<Label, Counter>::default();
        let help = "Requests that take up a stream, by outcome";
        registry.register("resumptions", help, resumptions.clone());
        let forwarded = Family::<Label, Counter>::default();
        let help = "Requests forwarded to other entries, by outcome";
        registry.register("forwarded", help, forwarded.clone());
        let losses = Family::<Label, Counter>::default();
        let help = "Responses that were lost, by what became of the server";
        registry.register("lost_responses", help, losses.clone());
        let probes = Family::<Label, Counter>::default();
        let help = "Probes of servers that may have fallen silent, by what they showed";
        registry.register("silence_probes", help, probes.clone());
        let silences = Family::<Label, Counter>::default();
        let help = "Servers that had fallen silent, by what became of them";
        registry.register("silent_servers", help, silences.clone());
        let organisations = Family::<OrganisationLabel, Counter>::default();
        let help = "Requests with the key of an organisation, and refusals by reason";
        registry.register("organisation_requests", help, organisations.clone());
        let lease_age = Gauge::default();
        let help =
            "Time since the configuration was last confirmed as the newest, -1 before, in ms";
        registry.register("lease_age_milliseconds", help, lease_age.clone());
        let lease_held = Gauge::default();
        let help = "1 while keys are accepted, otherwise 0; 0 if that needs no lease";
        registry.register("lease_held", help, lease_held.clone());
        let partitioned = Gauge::default();
        let help = "1 while no backend server is reached, otherwise 0";
        registry.register("partitioned", help, partitioned.clone());
        let first_byte = latency();
        let help = "Time to the head of the answer";
        registry.register("first_byte_seconds", help, first_byte.clone());
        let duration = latency();
        registry.register("whole_seconds", "Time to the end of the answer", duration.clone());
        let journal = latency();
        let help = "Time for the program journal to answer";
        registry.register("journal_seconds", help, journal.clone());
        let under_way = Gauge::default();
        registry.register("under_way", "Requests under way", under_way.clone());
        let connections = Counter::default();
        let help = "Connections opened to backend servers";
        registry.register("backend_connections", help, connections.clone());
        let list_reads = Family::<Label, Counter>::default();
        let help = "Reads of the list of backend servers by outcome";
        registry.register("list_reads", help, list_reads.clone());
        let limited_servers = Gauge::default();
        let help = "Backend servers that announce a rate limit";
        registry.register("limited_servers", help, limited_servers.clone());
        let crossings = Family::<Label, Counter>::default();
        let help = "Requests sent to servers of other failure domains, by reason";
        registry.register("crossings", help, crossings.clone());
        let leaving_servers = Family::<Label, Gauge>::default();
        let help = "Backend servers that leave, by where that was announced";
        registry.register("leaving_servers", help, leaving_servers.clone());
        let waiting = Gauge::default();
        registry.register("waiting", "Requests that wait for a backend server", waiting.clone());
        let capped = Family::<OrganisationLabel, Counter>::default();
        let help = "Requests of organisations with a limit, by outcome of the admission";
        registry.register("capped_requests", help, capped.clone());
        Self {
            registry,
            requests,
            attempts,
            resumptions,
            forwarded,
            losses,
            probes,
            silences,
            organisations,
            lease_age,
            lease_held,
            partitioned,
            first_byte,
            duration,
            journal,
            under_way,
            connections,
            list_reads,
            limited_servers,
            leaving_servers,
            crossings,
            waiting,
            capped,
        }
    }

    pub(crate) fn request(&self, outcome: &str) {
        self.requests.get_or_create(&Label { outcome: outcome.to_owned() }).inc();
    }

    /// Counts an admission within the limit of an organisation, or its refusal or return.
    pub(crate) fn capped(&self, name: &str, outcome: &str) {
        let (organisation, outcome) = (name.to_owned(), outcome.to_owned());
        self.capped.get_or_create(&OrganisationLabel { organisation, outcome }).inc();
    }

    pub(crate) fn attempt(&self, outcome: &str) {
        self.attempts.get_or_create(&Label { outcome: outcome.to_owned() }).inc();
    }

    pub(crate) fn resumption(&self, outcome: &str) {
        self.resumptions.get_or_create(&Label { outcome: outcome.to_owned() }).inc();
    }

    pub(crate) fn crossing(&self, reason: &str) {
        self.crossings.get_or_create(&Label { outcome: reason.to_owned() }).inc();
    }

    pub(crate) fn forwarded(&self, outcome: &str) {
        self.forwarded.get_or_create(&Label { outcome: outcome.to_owned() }).inc();
    }

    pub(crate) fn loss(&self, outcome: &str) {
        self.losses.get_or_create(&Label { outcome: outcome.to_owned() }).inc();
    }

    pub(crate) fn probed(&self, verdict: &str) {
        self.probes.get_or_create(&Label { outcome: verdict.to_owned() }).inc();
    }

    /// Counts a server that had fallen silent.
    pub(crate) fn silence(&self, fate: &str) {
        self.silences.get_or_create(&Label { outcome: fate.to_owned() }).inc();
    }

    /// Counts a request that carries the key of an organisation.
    pub(crate) fn organisation_request(&self, organisation: &str) {
        self.count_for_organisation(organisation, "accepted");
    }

    /// Counts a refusal; the name is empty if the key belongs to no organisation.
    pub(crate) fn organisation_refusal(&self, organisation: &str, reason: &str) {
        self.count_for_organisation(organisation, reason);
    }

    fn count_for_organisation(&self, organisation: &str, outcome: &str) {
        let (organisation, outcome) = (organisation.to_owned(), outcome.to_owned());
        self.organisations.get_or_create(&OrganisationLabel { organisation, outcome }).inc();
    }

    /// Sets the age of the lease on the configuration.
    pub(crate) fn lease(&self, age_ms: Option<u64>, is_held: bool) {
        let age_ms = age_ms.map_or(-1, |age| i64::try_from(age).unwrap_or(i64::MAX));
        self.lease_age.set(age_ms);
        self.lease_held.set(i64::from(is_held));
    }

    pub(crate) fn leaving(&self, source: &str, count: usize) {
        let label = Label { outcome: source.to_owned() };
        self.leaving_servers.get_or_create(&label).set(count as i64);
    }

    pub(crate) fn list_read(&self, outcome: &str) {
        self.list_reads.get_or_create(&Label { outcome: outcome.to_owned() }).inc();
    }

    /// Renders all metrics in the OpenMetrics format.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
