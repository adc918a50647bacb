//! The metrics of the process.

use std::collections::BTreeMap;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use reachhead_jobs::{
    advice_pace::CallOutcome,
    clock::Tick,
    ports::{Answer, WorkerError},
};
use reachhead_ops::latency::{LatencyHistograms, latency_histograms};
use reachhead_types::{id::PoolName, size::Millis};

use crate::{dispatch::DispatchMetrics, owner::OwnerHandle, view::View};

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

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TableLabels {
    table: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UnplacedLabels {
    pool: String,
    why: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PoolLabels {
    pool: String,
}

/// The counters, gauges and histograms of the process.
pub struct Metrics {
    orders: Family<OrderLabels, Counter>,
    answers: Family<AnswerLabels, Counter>,
    latency: LatencyHistograms<CallLabels>,
    config_version: Gauge,
    config_row: Gauge,
    table_age: Family<TableLabels, Gauge>,
    unplaced: Family<UnplacedLabels, Gauge>,
    ended_workers: Family<PoolLabels, Gauge>,
    advice_waiting: Family<PoolLabels, Gauge>,
    advice_calls: LatencyHistograms<OutcomeLabels>,
    /// Number of times that this process took over a pool.
    pub pools_taken: Counter,
    /// Transactions that the store refused as invalid, such as a row that is too long.
    pub store_refusals: Counter,
    /// Number of times that this process was late itself.
    pub delays: Counter,
    /// The metrics of dispatch.
    pub dispatch: DispatchMetrics,
}

impl Metrics {
    /// Returns metrics that are registered with `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            orders: Family::default(),
            answers: Family::default(),
            latency: latency_histograms(),
            config_version: Gauge::default(),
            config_row: Gauge::default(),
            table_age: Family::default(),
            unplaced: Family::default(),
            ended_workers: Family::default(),
            advice_waiting: Family::default(),
            advice_calls: latency_histograms(),
            pools_taken: Counter::default(),
            store_refusals: Counter::default(),
            delays: Counter::default(),
            dispatch: DispatchMetrics::new(),
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
        registry.register(
            "reachhead_configuration_version",
            "Version of the configuration in force",
            metrics.config_version.clone(),
        );
        registry.register(
            "reachhead_configuration_row",
            "Revision of the row of the configuration in force",
            metrics.config_row.clone(),
        );
        registry.register(
            "reachhead_table_age_milliseconds",
            "Time since a followed table was last confirmed to be current",
            metrics.table_age.clone(),
        );
        registry.register(
            "reachhead_unplaced_tasks",
            "Long-running tasks without a run in the pools that this process owns, by the reason",
            metrics.unplaced.clone(),
        );
        registry.register(
            "reachhead_ended_workers",
            "Registered workers of the pools that this process owns that are not used, as their registered incarnations have ended",
            metrics.ended_workers.clone(),
        );
        registry.register(
            "reachhead_advice_waiting_steps",
            "Steps that wait for a call to the service that approves placements, in the pools that this process owns",
            metrics.advice_waiting.clone(),
        );
        registry.register(
            "reachhead_advice_call_seconds",
            "Time of calls to the service that approves placements, by what came of them",
            metrics.advice_calls.clone(),
        );
        metrics.dispatch.register(registry);
        metrics
    }

    /// Sets the gauges from `view`.
    pub fn record_view(&self, view: &View, now: Tick) {
        let version = view.config.as_ref().map(|config| config.version).unwrap_or_default();
        self.config_version.set(version.0 as i64);
        self.config_row.set(view.config_row.0 as i64);
        let set_age = |table, current_at| {
            let age = now.since(current_at).0 as i64;
            self.table_age.get_or_create(&TableLabels { table }).set(age);
        };
        set_age("operators", view.config_current_at);
        set_age("leases", view.leases_current_at);
        let workers = TableLabels { table: "workers" };
        if view.follows_workers {
            set_age(workers.table, view.workers_current_at);
        } else {
            self.table_age.remove(&workers);
        }
    }

    /// Sets the gauges of what waits and of workers that are not used from the owners of pools in this
    /// process. Those of other pools are removed: their owners count them.
    pub fn record_waiting(&self, owners: &BTreeMap<PoolName, OwnerHandle>) {
        self.unplaced.clear();
        self.ended_workers.clear();
        self.advice_waiting.clear();
        for (pool, owner) in owners {
            let summary = owner.unplaced();
            let labels = PoolLabels { pool: pool.to_string() };
            self.ended_workers.get_or_create(&labels).set(summary.ended.into());
            self.advice_waiting.get_or_create(&labels).set(owner.advice().steps as i64);
            for (why, tasks) in summary.reasons {
                let labels = UnplacedLabels { pool: pool.to_string(), why: why.name() };
                self.unplaced.get_or_create(&labels).set(tasks.into());
            }
        }
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

    /// Records a call for approvals.
    pub fn advice_call(&self, outcome: CallOutcome, time: Millis) {
        let labels = OutcomeLabels { outcome: outcome.name() };
        self.advice_calls.get_or_create(&labels).observe(time.duration().as_secs_f64());
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

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
