//! Metrics of the control process.

use std::sync::Arc;

use prometheus_client::{metrics::gauge::Gauge, registry::Registry};

use crate::view::View;

/// Gauges set from the [`View`].
#[derive(Debug, Default)]
pub struct Metrics {
    version: Gauge,
    entry_version: Gauge,
    members: Gauge,
    pools: Gauge,
}

impl Metrics {
    /// Returns the metrics, registered in `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let mut register = |name: &str, help: &str, gauge: &Gauge| {
            registry.register(format!("reachhead_control_{name}"), help, gauge.clone());
        };
        register("version", "Configuration version here", &metrics.version);
        register("entry_version", "Version in the entry process", &metrics.entry_version);
        register("members", "Entry hosts taken for alive", &metrics.members);
        register("pools", "Pools that this host is in charge of", &metrics.pools);
        metrics
    }

    /// Sets the gauges from `view`.
    pub fn refresh(&self, view: &Arc<View>) {
        self.version.set(view.version().0 as i64);
        self.entry_version.set(view.entry_version().0 as i64);
        self.members.set(view.members().len() as i64);
        self.pools.set(view.pool_count() as i64);
    }
}
