//! The metrics of dispatch.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use reachhead_types::{
    id::{NodeName, PoolName},
    size::Millis,
};

/// Number of buckets of the orders of a batch; the largest bound is the length of a full batch.
const BATCH_BUCKETS: u16 = 7;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DispatcherLabels {
    pool: String,
    dispatcher: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    order: &'static str,
}

/// The counters, gauges and histograms of dispatch, of both its sides.
#[derive(Debug, Clone)]
pub struct DispatchMetrics {
    outstanding: Family<DispatcherLabels, Gauge>,
    oldest: Family<DispatcherLabels, Gauge>,
    orders: Family<OrderLabels, Counter>,
    /// Orders of each batch that was sent.
    pub batch_orders: Histogram,
    /// Bytes of payloads that were sent to dispatchers.
    pub payload_bytes: Counter,
    /// Orders for which a dispatcher gave no result.
    pub unanswered: Counter,
    /// Orders that this process dropped as a dispatcher.
    pub dropped: Counter,
}

impl DispatchMetrics {
    /// Returns metrics that are not registered.
    pub fn new() -> Self {
        Self {
            outstanding: Family::default(),
            oldest: Family::default(),
            orders: Family::default(),
            batch_orders: Histogram::new(exponential_buckets(1.0, 2.0, BATCH_BUCKETS)),
            payload_bytes: Counter::default(),
            unanswered: Counter::default(),
            dropped: Counter::default(),
        }
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "reachhead_dispatch_outstanding",
            "Orders given to a dispatcher that have no result yet",
            self.outstanding.clone(),
        );
        registry.register(
            "reachhead_dispatch_oldest_milliseconds",
            "Age of the oldest order given to a dispatcher that has no result yet",
            self.oldest.clone(),
        );
        registry.register(
            "reachhead_dispatch_orders",
            "Orders given to dispatchers",
            self.orders.clone(),
        );
        registry.register(
            "reachhead_dispatch_payload_bytes",
            "Bytes of payloads sent to dispatchers",
            self.payload_bytes.clone(),
        );
        registry.register(
            "reachhead_dispatch_batch_orders",
            "Orders in each batch sent to a dispatcher",
            self.batch_orders.clone(),
        );
        registry.register(
            "reachhead_dispatch_unanswered",
            "Orders for which a dispatcher gave no result",
            self.unanswered.clone(),
        );
        registry.register(
            "reachhead_dispatch_dropped",
            "Orders that this process dropped as a dispatcher without sending them",
            self.dropped.clone(),
        );
    }

    /// Counts an order given to a dispatcher.
    pub fn record_order(&self, order: &'static str) {
        self.orders.get_or_create(&OrderLabels { order }).inc();
    }

    /// Sets the gauges of a dispatcher.
    pub fn record_session(
        &self,
        pool: &PoolName,
        node: &NodeName,
        outstanding: usize,
        oldest: Millis,
    ) {
        let labels = labels(pool, node);
        self.outstanding.get_or_create(&labels).set(outstanding as i64);
        self.oldest.get_or_create(&labels).set(oldest.0 as i64);
    }

    /// Removes the gauges of a dispatcher that is not one any more.
    pub fn remove_session(&self, pool: &PoolName, node: &NodeName) {
        let labels = labels(pool, node);
        self.outstanding.remove(&labels);
        self.oldest.remove(&labels);
    }
}

fn labels(pool: &PoolName, node: &NodeName) -> DispatcherLabels {
    DispatcherLabels { pool: pool.to_string(), dispatcher: node.to_string() }
}
