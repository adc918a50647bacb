//! Metrics of the entry process.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, histogram::Histogram},
    registry::Registry,
};
use reachhead_ops::latency::{LatencyHistograms, latency_histograms};
use reachhead_types::{error::ErrorKind, id::RouteName};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ErrorLabels {
    kind: &'static str,
}

/// The metrics of the process.
#[derive(Clone)]
pub struct Metrics {
    ran: Family<RouteLabels, Counter>,
    latency: LatencyHistograms<RouteLabels>,
    errors: Family<ErrorLabels, Counter>,
    /// Requests sent to minions, retries included.
    pub sends: Counter,
    /// Responses replayed for an idempotency key.
    pub replays: Counter,
}

/// The metrics of one route, looked up once per configuration version.
#[derive(Clone)]
pub struct RouteMetrics {
    /// Requests that a minion answered.
    pub ran: Counter,
    /// Seconds from the request head to the response head.
    pub latency: Histogram,
}

impl Metrics {
    /// Returns the metrics, registered in `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            ran: Family::default(),
            latency: latency_histograms(),
            errors: Family::default(),
            sends: Counter::default(),
            replays: Counter::default(),
        };
        registry.register(
            "reachhead_entry_ran",
            "Requests that a minion answered",
            metrics.ran.clone(),
        );
        registry.register(
            "reachhead_entry_latency_seconds",
            "Time from request head to answer head",
            metrics.latency.clone(),
        );
        registry.register(
            "reachhead_entry_errors",
            "Answers that the system made itself, by error kind",
            metrics.errors.clone(),
        );
        registry.register(
            "reachhead_entry_sends",
            "Requests sent to minions, retries included",
            metrics.sends.clone(),
        );
        registry.register(
            "reachhead_entry_replays",
            "Answers replayed for an idempotency key",
            metrics.replays.clone(),
        );
        metrics
    }

    /// Returns the metrics of the route `name`.
    pub fn route(&self, name: &RouteName) -> RouteMetrics {
        let labels = RouteLabels { route: name.to_string() };
        RouteMetrics {
            ran: self.ran.get_or_create(&labels).clone(),
            latency: self.latency.get_or_create(&labels).clone(),
        }
    }

    /// Counts an error response of this system.
    pub fn count_error(&self, kind: ErrorKind) {
        self.errors.get_or_create(&ErrorLabels { kind: kind.as_str() }).inc();
    }
}
