//! Start-up and shutdown of the process: a few threads around one shared view.
//!
//! - the main thread: polls the store, writes this host's heartbeat, cleans up old claims,
//!   reconciles pools.
//! - `gossip`: exchanges state with peers.
//! - `link`: answers this host's entry process, peers and operators' tools.
//! - `ops`: serves health, metrics and state to operators.

use std::{io, sync::Arc, thread, time::Duration};

use futures::future::{BoxFuture, FutureExt};
use prometheus_client::registry::Registry;
use reachhead_config::control::ControlSettings;
use reachhead_link::server::{self, LinkError};
use reachhead_ops::{
    event::{Event, emit},
    listener::{self, ProcessStatus},
    runtime,
    supervise::RequiredTasks,
};
use reachhead_store::{
    HostLister, Store, guarded::GuardedStore, http::HttpStore, platform::Platform,
};
use reachhead_types::{id::Incarnation, member::Member};
use serde_json::Value;
use tokio::sync::watch;

use crate::{
    claim_cleaner::ClaimCleaner, follower::Follower, gossiper::Gossiper, metrics::Metrics,
    pool_reconciler::PoolReconciler, responder::ControlResponder, timeouts::Timeouts, view::View,
};

struct ControlStatus {
    view: Arc<View>,
    metrics: Metrics,
}

impl ProcessStatus for ControlStatus {
    fn unready_reason(&self) -> Option<String> {
        if self.view.version().0 == 0 {
            return Some("no configuration yet".to_owned());
        }
        let is_expired =
            self.view.list_age().is_none_or(|age| age > self.view.propagation_timeout());
        is_expired.then(|| "cut off from the store and from all peers".to_owned())
    }

    fn state(&self) -> BoxFuture<'_, Value> {
        async move { serde_json::to_value(self.view.to_state()).unwrap_or_default() }.boxed()
    }

    fn refresh_metrics(&self) {
        self.metrics.refresh(&self.view);
    }
}

/// Runs the control process until a shutdown signal.
pub fn run(settings: ControlSettings) -> Result<(), LinkError> {
    let follow = settings.follow.clone();
    let view = View::new(settings.host.clone(), Timeouts::new(&settings));

    let mut registry = Registry::default();
    let metrics = Metrics::new(&mut registry);
    let status = ControlStatus { view: Arc::clone(&view), metrics };
    listener::start(settings.ops.address, Arc::new(status), registry)?;
    server::serve(settings.link.address, ControlResponder::new(Arc::clone(&view)))?;

    let period = Duration::from_millis(settings.link.gossip.get());
    let gossiper = Gossiper::new(Arc::clone(&view), settings.link.seeds, period);
    thread::Builder::new().name("gossip".to_owned()).spawn(move || gossiper.run())?;

    let connect = || HttpStore::new(settings.store.address, settings.store.deadline.duration());
    let hosts: Arc<dyn HostLister> = Arc::new(connect());
    let store: Arc<dyn Store> = Arc::new(GuardedStore::new(connect(), settings.store.rate.get()));
    let member = Member {
        host: settings.host.clone(),
        zone: settings.zone,
        incarnation: Incarnation(rand::random()),
        counter: 0,
        control: settings.link.advertise.unwrap_or(settings.link.address),
        entry: settings.link.entry,
    };
    let cleaner = ClaimCleaner::new(Arc::clone(&store), &settings.clean);
    let platform: Arc<dyn Platform> = Arc::new(connect());
    let reconciler =
        PoolReconciler::new(Arc::clone(&view), Arc::clone(&store), platform, &settings.pools);
    let follower = Follower::new(view, store, hosts, follow, member);
    emit(Event::Started, format_args!("control of {}", settings.host));
    run_on_store(follower, cleaner, reconciler)?;
    Ok(())
}

/// Runs the tasks that use the store on this thread until a shutdown signal.
fn run_on_store(
    follower: Follower,
    cleaner: ClaimCleaner,
    reconciler: PoolReconciler,
) -> io::Result<()> {
    runtime::current_thread()?.block_on(async move {
        let (stop, stopped) = watch::channel(false);
        let mut tasks = RequiredTasks::new();
        tasks.spawn("follower", follower.run(stopped.clone()));
        tasks.spawn("claim cleaner", cleaner.run(stopped.clone()));
        tasks.spawn("pool reconciler", reconciler.run(stopped));
        tokio::select! {
            signal = runtime::shutdown_signal() => signal?,
            failure = tasks.failure() => return Err(io::Error::other(failure)),
        }
        emit(Event::ShutdownBegun, "control: leaving the membership list");
        stop.send_replace(true);
        tasks.finish().await.map_err(io::Error::other)?;
        emit(Event::ShutdownDone, "control");
        Ok(())
    })
}
