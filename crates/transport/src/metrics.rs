//! Metrics of the instance, rendered in the OpenMetrics format.
//!
//! Counters and most gauges are set where the events occur; the gauges of the journals are set
//! when the metrics are read.

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use state::error::Kind;

/// Label with an error kind; the kinds are a fixed set, which bounds the number of series.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabel {
    kind: String,
}

/// Label with the number of a journal's replica group.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct GroupLabel {
    group: u32,
}

/// All metrics of the instance, with the registry that renders them.
#[derive(Default)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) answers: Counter,
    refusals: Family<KindLabel, Counter>,
    pub(crate) dispatches: Counter,
    pub(crate) retries: Counter,
    pub(crate) queued: Gauge,
    pub(crate) calls: Gauge,
    pub(crate) slots_used: Gauge,
    pub(crate) lease_ms: Gauge,
    pub(crate) version: Gauge,
    pub(crate) revision: Gauge,
    pub(crate) quarantined: Gauge,
    pub(crate) releases: Counter,
    pub(crate) release_backlog: Gauge,
    pub(crate) spent_tokens: Counter,
    commit: Family<GroupLabel, Gauge>,
    lag: Family<GroupLabel, Gauge>,
    log_bytes: Family<GroupLabel, Gauge>,
    refused_full: Family<GroupLabel, Gauge>,
    answered: Family<GroupLabel, Gauge>,
    answer_micros: Family<GroupLabel, Gauge>,
    overdue: Family<GroupLabel, Gauge>,
    unanswered: Family<GroupLabel, Gauge>,
    syncs: Family<GroupLabel, Gauge>,
    sync_micros: Family<GroupLabel, Gauge>,
    bytes: Family<GroupLabel, Gauge>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics =
            Self { registry: Registry::with_prefix("buckthornshelf"), ..Self::default() };
        metrics.register_calls();
        metrics.register_state();
        metrics.register_journals();
        metrics
    }

    /// Lets other parts of the instance add their metrics.
    pub(crate) fn register(&mut self, add: impl FnOnce(&mut Registry)) {
        add(&mut self.registry);
    }

    fn register_calls(&mut self) {
        let registry = &mut self.registry;
        registry.register("answers", "Calls answered", self.answers.clone());
        registry.register("refusals", "Calls refused or failed, by kind", self.refusals.clone());
        registry.register(
            "dispatches",
            "Attempts handed to backend servers",
            self.dispatches.clone(),
        );
        registry.register("retries", "Attempts after the first", self.retries.clone());
        registry.register("queued", "Calls waiting for a backend server", self.queued.clone());
        registry.register("calls", "Calls under way", self.calls.clone());
        registry.register(
            "slots_used",
            "Attempts running on backend servers",
            self.slots_used.clone(),
        );
        registry.register(
            "spent_tokens",
            "Tokens drawn by answered calls",
            self.spent_tokens.clone(),
        );
    }

    fn register_state(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "lease_ms",
            "Time left of the lease, in milliseconds",
            self.lease_ms.clone(),
        );
        registry.register("version", "Version of the control state obeyed", self.version.clone());
        registry.register("config_revision", "Tickets in the control state", self.revision.clone());
        registry.register("quarantined", "Contents in quarantine", self.quarantined.clone());
        registry.register("releases", "Memory releases acknowledged", self.releases.clone());
        registry.register(
            "release_backlog",
            "Memory releases pending",
            self.release_backlog.clone(),
        );
    }

    fn register_journals(&mut self) {
        let registry = &mut self.registry;
        registry.register("journal_commit", "Commit index", self.commit.clone());
        registry.register("journal_lag", "Entries appended and not applied", self.lag.clone());
        let help = "Bytes of entries in memory";
        registry.register("journal_log_bytes", help, self.log_bytes.clone());
        let help = "Commands refused because too many bytes wait for a quorum or are retained";
        registry.register("journal_refused_full", help, self.refused_full.clone());
        let help = "Commands and queries with a result";
        registry.register("journal_answered", help, self.answered.clone());
        let help = "Time from the arrival of commands and queries to the result, in microseconds";
        registry.register("journal_answer_micros", help, self.answer_micros.clone());
        let help = "Commands and queries that took longer than their senders wait";
        registry.register("journal_overdue", help, self.overdue.clone());
        let help = "Commands and queries without a result";
        registry.register("journal_unanswered", help, self.unanswered.clone());
        registry.register("journal_syncs", "Syncs", self.syncs.clone());
        registry.register(
            "journal_sync_micros",
            "Time in syncs, in microseconds",
            self.sync_micros.clone(),
        );
        registry.register("journal_bytes", "Bytes written", self.bytes.clone());
    }

    /// Counts a refused or failed call.
    pub(crate) fn count_refusal(&self, kind: Kind) {
        let kind = format!("{kind:?}");
        self.refusals.get_or_create(&KindLabel { kind }).inc();
    }

    /// Sets the gauges of a replica group.
    pub(crate) fn update_journal(&self, group: u32, status: &crate::replica::Status) {
        let label = GroupLabel { group };
        let lag = status.last_index.saturating_sub(status.applied);
        let rows = [
            (&self.commit, status.commit),
            (&self.lag, lag),
            (&self.log_bytes, status.log_bytes),
            (&self.refused_full, status.refused_full),
            (&self.answered, status.answered),
            (&self.answer_micros, status.answer_micros),
            (&self.overdue, status.overdue),
            (&self.unanswered, status.unanswered as u64),
            (&self.syncs, status.syncs),
            (&self.sync_micros, status.sync_micros),
            (&self.bytes, status.bytes_written),
        ];
        for (family, value) in rows {
            family.get_or_create(&label).set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
