//! Counters of the exchange between an instance and the control instances.

use crate::memory;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counters of one instance; clones share their values.
#[derive(Debug, Clone, Default)]
pub(crate) struct Metrics {
    /// Size of the registries sent to other instances, in bytes.
    pub(crate) registry_bytes_sent: Counter,
    /// Size of the registries received from control instances, in bytes.
    pub(crate) registry_bytes_received: Counter,
    /// Memory that is held for others.
    pub(crate) memory: memory::Metrics,
    /// Heartbeats to control instances without a reply in time.
    pub(crate) heartbeats_unanswered: Counter,
}

impl Metrics {
    /// Adds the counters to the metrics that the instance serves.
    pub(crate) fn register(&self, registry: &mut Registry) {
        crate::log::register(registry);
        self.memory.register(registry);
        let help = "Size of the registries sent to other instances, in bytes";
        registry.register("registry_bytes_sent", help, self.registry_bytes_sent.clone());
        let help = "Size of the registries received from control instances, in bytes";
        registry.register("registry_bytes_received", help, self.registry_bytes_received.clone());
        let help = "Heartbeats to control instances without a reply in time";
        registry.register("heartbeats_unanswered", help, self.heartbeats_unanswered.clone());
    }
}
