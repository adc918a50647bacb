//! Start-up and shutdown: the API on the main thread, beside the ops listener and the status query
//! thread.

use std::{io, sync::Arc};

use futures::future::{BoxFuture, FutureExt};
use prometheus_client::registry::Registry;
use reachhead_config::admin::AdminSettings;
use reachhead_ops::{
    connections::{Budget, BudgetLimits, ConnectionMetrics},
    event::{Event, emit},
    http,
    listener::{self, ProcessStatus},
    runtime,
    server::Server,
    supervise::RequiredTasks,
};
use reachhead_store::{Store, guarded::GuardedStore, http::HttpStore};
use reachhead_types::size::Connections;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::{
    api::{Api, Services},
    metrics::Metrics,
    status::StatusReader,
};

struct AdminStatus {
    api: Arc<Api>,
    store: Arc<GuardedStore<HttpStore>>,
    stopping: watch::Receiver<bool>,
}

impl ProcessStatus for AdminStatus {
    fn unready_reason(&self) -> Option<String> {
        if *self.stopping.borrow() {
            return Some("shutting down".to_owned());
        }
        self.store.is_down().then(|| "the store does not answer".to_owned())
    }

    fn state(&self) -> BoxFuture<'_, Value> {
        async move {
            json!({ "version": self.api.version().await, "store_down": self.store.is_down() })
        }
        .boxed()
    }
}

/// Runs the admin process until a shutdown signal.
pub fn run(settings: AdminSettings) -> io::Result<()> {
    let mut registry = Registry::default();
    let metrics = Metrics::new(&mut registry);
    let connections = ConnectionMetrics::new(&mut registry);
    let http = HttpStore::new(settings.store.address, settings.store.deadline.duration());
    let store = Arc::new(GuardedStore::new(http, settings.store.rate.get()));
    let shared: Arc<dyn Store> = Arc::<GuardedStore<HttpStore>>::clone(&store);
    let connect = || HttpStore::new(settings.store.address, settings.store.deadline.duration());
    let services =
        Services { store: shared, platform: Arc::new(connect()), lister: Arc::new(connect()) };
    let api = Api::new(services, &settings.api, metrics, StatusReader::start()?);
    let api = Arc::new(api);
    let (stop, stopping) = watch::channel(false);
    let status = AdminStatus { api: Arc::clone(&api), store, stopping: stopping.clone() };
    listener::start(settings.ops.address, Arc::new(status), registry)?;
    runtime::current_thread()?.block_on(async move {
        let listener = http::listen(settings.api.address).await?;
        emit(Event::Started, format_args!("admin on {}", settings.api.address));
        let limits =
            BudgetLimits::new(Connections(settings.api.connections.get()), settings.api.memory);
        let budget = Arc::new(Budget::new("operators", limits).with_metrics(&connections));
        let server = Server::new(api).with_body_limit(settings.api.body).with_budget(budget);
        let mut tasks = RequiredTasks::new();
        tasks.spawn("listener", server.serve(listener, stopping));
        tokio::select! {
            signal = runtime::shutdown_signal() => signal?,
            failure = tasks.failure() => return Err(io::Error::other(failure)),
        }
        emit(Event::ShutdownBegun, "admin");
        stop.send_replace(true);
        tasks.finish().await.map_err(io::Error::other)?;
        emit(Event::ShutdownDone, "admin");
        Ok(())
    })
}
