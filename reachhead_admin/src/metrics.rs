//! Metrics of the admin process.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabels {
    result: &'static str,
}

/// Counters of configuration changes by result.
#[derive(Clone, Default)]
pub struct Metrics {
    changes: Family<ResultLabels, Counter>,
}

impl Metrics {
    /// Returns the metrics, registered in `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register("reachhead_admin_changes", "Changes by result", metrics.changes.clone());
        metrics
    }

    /// Counts a configuration change with `result`.
    pub fn count_change(&self, result: &'static str) {
        self.changes.get_or_create(&ResultLabels { result }).inc();
    }
}
