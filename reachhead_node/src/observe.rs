//! Serves the metrics and the state of the process to its operators.

use std::sync::{Arc, Mutex, PoisonError};

use futures::future::{BoxFuture, FutureExt};
use hyper::StatusCode;
use prometheus_client::{encoding::text::encode, registry::Registry};
use reachhead_jobs::clock::Tick;
use reachhead_ops::http::{self, BufferedRequest, BufferedResponse, Handler};
use reachhead_types::id::PoolName;
use serde_json::{Value, json};

use crate::{
    claim::Takeover,
    dispatch::{ServedStatus, SessionStatus},
    node::Node,
};

/// Media type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Handler of the operators' port.
pub struct ObserveHandler {
    node: Arc<Node>,
    registry: Mutex<Registry>,
}

impl ObserveHandler {
    /// Returns a handler for the process's state and the metrics of `registry`.
    pub fn new(node: Arc<Node>, registry: Registry) -> Self {
        Self { node, registry: Mutex::new(registry) }
    }

    fn metrics(&self) -> BufferedResponse {
        // The gauges of waiting tasks are replaced as a whole, so no other request may be encoding.
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        self.node.metrics.record_view(&self.node.view(), self.node.now());
        self.node.metrics.record_waiting(&self.node.owned());
        let mut body = String::new();
        match encode(&mut body, &registry) {
            Ok(()) => http::with_content_type(StatusCode::OK, METRICS_TYPE, body.into_bytes()),
            Err(error) => http::text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Returns which processes send the orders of a pool's owner, to how many workers.
    fn dispatchers(&self, pool: &PoolName) -> Vec<Value> {
        let status = self.node.dispatched(pool).map(|workers| workers.status());
        let value = |status: SessionStatus| {
            json!({ "node": status.node, "workers": status.workers,
                "outstanding": status.outstanding, "oldest_ms": status.oldest })
        };
        status.into_iter().flatten().map(value).collect()
    }

    /// Returns for which owners this process sends orders.
    fn dispatching(&self) -> Vec<Value> {
        let value = |status: ServedStatus| {
            json!({ "pool": status.pool, "owner": status.owner,
                "outstanding": status.outstanding, "age_ms": status.age })
        };
        self.node.dispatch_server.status().into_iter().map(value).collect()
    }

    fn state(&self) -> Value {
        let now = self.node.now();
        let age = |at: Tick| now.since(at);
        let owned: Vec<String> = self.node.owned().keys().map(ToString::to_string).collect();
        let owners: Vec<Value> = self
            .node
            .owned()
            .iter()
            .map(|(pool, owner)| {
                json!({ "pool": pool, "token": owner.token,
                    "turned_age_ms": age(owner.pulse.turned()),
                    "recorded_age_ms": owner.pulse.recorded().map(age),
                    "dispatchers": self.dispatchers(pool), "unplaced": owner.unplaced(),
                    "advice": owner.advice() })
            })
            .collect();
        let loading: Vec<Value> = self
            .node
            .loading()
            .iter()
            .map(|(pool, takeover)| {
                json!({ "pool": pool, "token": takeover.token, "age_ms": age(takeover.started),
                    "progress_age_ms": age(takeover.progressed), "rows": takeover.rows, "shards": takeover.shards,
                    "shard_count": Takeover::shard_count(), "roster": takeover.roster.is_some(),
                    "error": takeover.error.as_ref().map(ToString::to_string) })
            })
            .collect();
        let view = self.node.view();
        let leases: Vec<Value> = view
            .leases
            .iter()
            .map(|(pool, lease)| {
                json!({ "pool": pool, "owner": lease.record.owner, "term": lease.record.term,
                    "token": lease.revision })
            })
            .collect();
        json!({
            "node": self.node.settings.node,
            "configuration": view.config.as_ref().map(|config| config.version),
            "configuration_row": view.config_row,
            "configuration_age_ms": now.since(view.config_current_at),
            "configuration_revision": view.config_revision,
            "leases_age_ms": now.since(view.leases_current_at),
            "leases_revision": view.leases_revision,
            "workers_age_ms":
                view.follows_workers.then(|| now.since(view.workers_current_at)),
            "store_age_ms": now.since(view.store_answers.last()),
            "owned": owned,
            "owners": owners,
            "loading": loading,
            "dispatching": self.dispatching(),
            "advice": self.node.advice_pacer().status(now),
            "leases": leases,
            "members": view.members.len(),
            "workers": view.workers.len(),
            "waves": view.waves.len(),
            "stopping": self.node.is_stopping(),
        })
    }
}

impl Handler for ObserveHandler {
    fn handle(&self, request: BufferedRequest) -> BoxFuture<'_, BufferedResponse> {
        async move {
            match request.path.as_str() {
                "/metrics" => self.metrics(),
                "/state" => http::json(StatusCode::OK, &self.state()),
                _ => http::text(StatusCode::NOT_FOUND, "/metrics /state\n"),
            }
        }
        .boxed()
    }
}
