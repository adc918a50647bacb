//! The metrics of the process.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use reachhead_jobs::ports::{Answer, WorkerError};
use reachhead_ops::latency::{LatencyHistograms, latency_histograms};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    order: &'static str,
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    call: &'static str,
    answer: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
}

/// The counters and histograms of the process.
pub struct Metrics {
    orders: Family<OrderLabels, Counter>,
    answers: Family<AnswerLabels, Counter>,
    latency: LatencyHistograms<CallLabels>,
    /// Number of times that this process took over a pool.
    pub pools_taken: Counter,
    /// Transactions that the store refused as invalid, such as a row that is too long.
    pub store_refusals: Counter,
    /// Number of times that this process was late itself.
    pub delays: Counter,
}

impl Metrics {
    /// Returns metrics that are registered with `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            orders: Family::default(),
            answers: Family::default(),
            latency: latency_histograms(),
            pools_taken: Counter::default(),
            store_refusals: Counter::default(),
            delays: Counter::default(),
        };
        registry.register(
            "reachhead_worker_orders",
            "Orders to workers by what came of them",
            metrics.orders.clone(),
        );
        registry.register("reachhead_answers", "Answers to callers", metrics.answers.clone());
        registry.register(
            "reachhead_answer_seconds",
            "Time from a caller's request to its answer",
            metrics.latency.clone(),
        );
        registry.register(
            "reachhead_pools_taken",
            "How often this process took charge of a pool",
            metrics.pools_taken.clone(),
        );
        registry.register(
            "reachhead_store_refusals",
            "Transactions that the store refused for what they are",
            metrics.store_refusals.clone(),
        );
        registry.register(
            "reachhead_process_delays",
            "How often this process checked the pools long after it was due",
            metrics.delays.clone(),
        );
        metrics
    }

    /// Counts an order to a worker by its result.
    pub fn order<T>(&self, order: &'static str, result: &Result<T, WorkerError>) {
        let result = match result {
            Ok(_) => "done",
            Err(WorkerError::Unreachable(_)) => "unreachable",
            Err(WorkerError::PortClosed(_)) => "deserted",
            Err(WorkerError::Lost(_) | WorkerError::Broken(_)) => "lost",
            Err(WorkerError::Replaced) => "replaced",
            Err(WorkerError::Rejected(_)) => "rejected",
        };
        self.orders.get_or_create(&OrderLabels { order, result }).inc();
    }

    /// Counts an answer to a caller, and records its latency in seconds.
    pub fn answer(&self, call: &'static str, answer: &Answer, seconds: f64) {
        let label = match answer {
            Answer::Accepted => "accepted",
            Answer::State(_) => "state",
            Answer::Cancelled => "cancelled",
            Answer::Gone => "gone",
            Answer::Waiting(_) => "waiting",
            Answer::Refused(kind) => kind.as_str(),
        };
        self.answers.get_or_create(&AnswerLabels { call, answer: label }).inc();
        self.latency.get_or_create(&CallLabels { call }).observe(seconds);
    }
}
