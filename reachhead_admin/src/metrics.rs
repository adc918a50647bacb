//! Counters of the admin process.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabels {
    result: &'static str,
}

/// Counts changes by their result.
#[derive(Clone, Default)]
pub struct Metrics {
    changes: Family<ResultLabels, Counter>,
}

impl Metrics {
    /// Returns the counters, registered in `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register("reachhead_admin_changes", "Changes by result", metrics.changes.clone());
        metrics
    }

    /// Counts a change with `result`.
    pub fn change(&self, result: &'static str) {
        self.changes.get_or_create(&ResultLabels { result }).inc();
    }
}
