//! The process: its listeners, its tasks and its end. Everything is on one thread, since a machine
//! gives the process a part of one core, and nothing that it shares needs a lock for long.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use reachhead_jobs::{ports::Frontend, record::part_of};
use reachhead_ops::{
    client::HttpClient,
    event::{Event, emit},
    http::{self, Handler},
    runtime,
};
use reachhead_platform::{
    advice::HttpAdvisor,
    front::{FrontHandler, ReadyHandler},
    hosts::HttpHostApi,
    row_format::PlatformRowFormat,
    settings::{Settings, SettingsError},
    store::TableStore,
    workers::HttpWorkers,
};
use reachhead_store::guarded::GuardedStore;
use thiserror::Error;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::{oneshot, watch},
    task::JoinSet,
    time,
};

use crate::{
    admission, claims, follow,
    frontend::NodeFrontend,
    membership,
    metrics::Metrics,
    node::{Node, Services},
    owner::Input,
    peer::{PeerClient, PeerHandler},
    registry, relief, sight,
};

/// Longest wait for an answer of the store. A slow store carries transactions of a part out one after
/// the other, and one that is sent again too soon stands in line twice.
const STORE_TIME: Duration = Duration::from_millis(1800);

/// Longest wait for an answer of the feed beyond what it was asked to wait; a connection that has fallen
/// silent is noticed by this.
const FEED_TIME: Duration = Duration::from_millis(1200);

/// Longest wait for a worker's answer to an order. An order without an answer is sent again, which changes nothing if it was
/// carried out, and a task waits for that; answers usually come within some milliseconds.
const ORDER_TIME: Duration = Duration::from_millis(200);

/// Longest wait for a worker's answer to a poll beyond what it was asked to wait. Workers answer within milliseconds; until a
/// lost answer is noticed, the next steps of all jobs with a task there wait. It is more than an owner with much to do is
/// late itself, since it would take all its workers for silent.
const POLL_TIME: Duration = Duration::from_millis(700);

/// Longest wait for an answer about hosts.
const MACHINE_TIME: Duration = Duration::from_millis(1500);

/// Longest wait for advice: a call of thirty workers, with some that wait before it.
const ADVICE_TIME: Duration = Duration::from_millis(4000);

/// Longest pause between two looks whether a part of the store is back. All jobs of a pool wait for the one of its parts that
/// is back last; two looks a second by its owner cost the store nothing.
const PROBE_PAUSE: Duration = Duration::from_millis(400);

/// Calls to the store a second that one process makes at most; all together share the limit.
const STORE_CALLS: u32 = 250;

/// Largest body that is read; the configuration's own limit is checked then.
const BODY_MOST: usize = 4 << 20;

/// Port of the metrics, as the deploy file has it.
const METRICS_PORT: u16 = 9464;

/// How long new callers are still taken after the process was asked to end: the platform notices
/// after two misses, a second apart.
const DRAIN_TIME: Duration = Duration::from_millis(2400);

/// Part of the platform's patience that is left unused at the end.
const END_MARGIN: Duration = Duration::from_millis(700);

/// Why the process can't run.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// There are no settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The system refused a listener, a signal or a thread.
    #[error(transparent)]
    System(#[from] io::Error),
}

/// Runs the process until it is asked to end.
///
/// # Errors
///
/// Any [`ProcessError`].
pub fn run(settings: Settings) -> Result<(), ProcessError> {
    runtime::single()?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), ProcessError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (stop, stopping) = watch::channel(false);
    let (close, closing) = watch::channel(false);
    let mut registry = prometheus_client::registry::Registry::default();
    let metrics = Metrics::new(&mut registry);
    let client = Arc::new(HttpClient::new());
    let services = services(&settings, &client);
    let peers = PeerClient::new(client);
    let node = Arc::new(Node::new(settings, services, peers, metrics, stopping));
    let mut listeners = listen(&node, registry, &closing).await?;
    start_tasks(&node);
    emit(Event::Started, format_args!("node={} zone={}", node.settings.node, node.settings.zone));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hangup.recv() => reload(&node),
        }
    }
    emit(Event::ShutdownBegun, format_args!("node={}", node.settings.node));
    let begun = time::Instant::now();
    let _ = stop.send(true);
    release_all(&node).await;
    time::sleep_until(begun + DRAIN_TIME).await;
    let _ = close.send(true);
    let end = begun + node.settings.grace_period.duration().saturating_sub(END_MARGIN);
    let drained = time::timeout_at(end, async { while listeners.join_next().await.is_some() {} });
    match drained.await {
        Ok(()) => emit(Event::ShutdownDone, format_args!("node={}", node.settings.node)),
        Err(_) => emit(Event::ShutdownCut, format_args!("node={}", node.settings.node)),
    }
    Ok(())
}

fn services(settings: &Settings, client: &Arc<HttpClient>) -> Services {
    let table = |deadline| TableStore::new(Arc::clone(client), settings.store, deadline);
    Services {
        store: Arc::new(
            GuardedStore::new(table(STORE_TIME), STORE_CALLS)
                .with_parts(part_of)
                .with_adaptive_timeouts()
                .with_longest_pause(PROBE_PAUSE),
        ),
        feed: Arc::new(table(FEED_TIME)),
        workers: Arc::new(HttpWorkers::new(Arc::clone(client), ORDER_TIME, POLL_TIME)),
        machines: settings.host_api.map(|machines| {
            let node = settings.node.clone();
            Arc::new(HttpHostApi::new(Arc::clone(client), machines.address, node, MACHINE_TIME))
                as _
        }),
        advisor: settings.advice.map(|address| {
            Arc::new(HttpAdvisor::new(Arc::clone(client), address, ADVICE_TIME)) as _
        }),
        row_format: Arc::new(PlatformRowFormat::new()),
    }
}

async fn listen(
    node: &Arc<Node>,
    registry: prometheus_client::registry::Registry,
    closing: &watch::Receiver<bool>,
) -> Result<JoinSet<()>, ProcessError> {
    let frontend: Arc<dyn Frontend> = Arc::new(NodeFrontend(Arc::clone(node)));
    let mut listeners = JoinSet::new();
    let mut handlers: Vec<(SocketAddr, Arc<dyn Handler>)> = Vec::new();
    if let Some(address) = node.settings.front {
        handlers.push((address, Arc::new(FrontHandler::new(Arc::clone(&frontend)))));
    }
    if let Some(address) = node.settings.ready {
        handlers.push((address, Arc::new(ReadyHandler::new(frontend))));
    }
    for (address, handler) in handlers {
        let listener = http::listen(address).await?;
        listeners.spawn(http::serve(listener, handler, BODY_MOST, closing.clone()));
    }
    // Peers and operators are answered to the very end.
    let metrics = SocketAddr::new(node.settings.peer.ip(), METRICS_PORT);
    let inner: [(SocketAddr, Arc<dyn Handler>); 2] = [
        (node.settings.peer, Arc::new(PeerHandler(Arc::clone(node)))),
        (metrics, Arc::new(crate::observe::ObserveHandler::new(Arc::clone(node), registry))),
    ];
    for (address, handler) in inner {
        let listener = http::listen(address).await?;
        let never = watch::channel(false);
        tokio::spawn(async move {
            let _keep = never.0;
            http::serve(listener, handler, BODY_MOST, never.1).await;
        });
    }
    Ok(listeners)
}

fn start_tasks(node: &Arc<Node>) {
    tokio::spawn(follow::follow(Arc::clone(node), Arc::new(follow::Operators(Arc::clone(node)))));
    tokio::spawn(follow::follow(Arc::clone(node), Arc::new(follow::Leases(Arc::clone(node)))));
    tokio::spawn(follow::follow(Arc::clone(node), Arc::new(follow::Workers(Arc::clone(node)))));
    tokio::spawn(membership::run(Arc::clone(node)));
    tokio::spawn(membership::check(Arc::clone(node)));
    tokio::spawn(claims::run(Arc::clone(node)));
    tokio::spawn(sight::run(Arc::clone(node)));
    tokio::spawn(registry::run(Arc::clone(node)));
    tokio::spawn(relief::run(Arc::clone(node)));
    tokio::spawn(admission::keep_current(Arc::clone(node)));
}

/// Reads the settings file again. What a running process can't change needs a restart.
fn reload(node: &Node) {
    match Settings::load() {
        Ok(settings) if settings == node.settings => {
            log::info!("settings are reloaded, nothing changed");
        }
        Ok(_) => log::warn!("settings changed; they come into force at the next start"),
        Err(error) => log::error!("settings can't be reloaded, the old ones stay: {error}"),
    }
}

/// Gives all pools back.
async fn release_all(node: &Node) {
    let handles: Vec<_> = node.owned().values().cloned().collect();
    let mut waits = Vec::new();
    for handle in handles {
        let (sender, receiver) = oneshot::channel();
        handle.send(Input::Release(sender));
        waits.push(receiver);
    }
    for wait in waits {
        // An owner that has ended on its own drops its side.
        let _ = wait.await;
    }
}
