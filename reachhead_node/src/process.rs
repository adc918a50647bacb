//! Sets up the process: its services, listeners, tasks and shutdown. Everything runs on one thread,
//! since a host gives the process a share of one core and no shared state needs a long lock.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use reachhead_jobs::{ports::Frontend, record::part_of};
use reachhead_ops::{
    client::HttpClient,
    connections::{Budget, BudgetLimits, ConnectionMetrics},
    event::{Event, emit},
    http,
    link_delay::CallLimit,
    runtime,
    server::Server,
    supervise::{RequiredTasks, TaskFailure},
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
use reachhead_types::size::{ByteRate, Bytes, Millis};
use thiserror::Error;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    time,
};

use crate::{
    admission, claim, election, failure_detector,
    follow::{self, Follower},
    frontend::NodeFrontend,
    handover, membership,
    metrics::Metrics,
    node::{Node, Services, bandwidth},
    observe::ObserveHandler,
    owner::{Input, ReleaseRequest},
    peer::{OwnLink, PeerClient, PeerHandler},
    registry,
};

/// Timeout of a call to the store. A slow store commits the transactions of a partition one
/// after the other, and one that is retried too soon is queued twice.
const STORE_TIMEOUT: Duration = Duration::from_millis(1800);

/// Timeout of a poll of the change feed beyond its wait; it detects a connection that has gone
/// silent.
const FEED_TIMEOUT: Duration = Duration::from_millis(1200);

/// Timeout of an order to a worker. An order without an answer is sent again, which has no effect
/// if it was carried out, and a task waits for that; workers usually answer within some
/// milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Bytes that may queue on this process's own link before an order, which its timeout then allows
/// for. On a link of 2 Mbit/s they take 0.4 s, and on one of 20 Mbit/s a tenth of that.
const MAX_QUEUED_BYTES: u64 = 100_000;

/// Timeout of a long poll of a worker beyond its wait. Workers answer within milliseconds, and
/// until a lost answer is detected the next steps of all jobs with a task there wait. It is longer
/// than the delay of a busy owner itself, which would otherwise count all its workers as silent.
const POLL_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a call about hosts.
const HOST_API_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum pause between two probes of a partition of the store that failed. All jobs of a pool
/// wait until the last of its partitions is back, and two probes a second by the owner cost the
/// store nothing.
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(400);

/// Maximum calls to the store per second by this process; all processes together share the store's
/// limit.
const MAX_STORE_CALLS_PER_S: u32 = 250;

/// Maximum size of a request body; the configuration's own limit holds for callers.
const MAX_BODY: Bytes = Bytes(4 << 20);

/// Port of the metrics, as in the deploy file.
const METRICS_PORT: u16 = 9464;

/// How long new callers are accepted after shutdown was requested: the platform notices after two
/// missed readiness checks, a second apart.
const DRAIN_PERIOD: Duration = Duration::from_millis(2400);

/// Interval between two checks whether all pools are released.
const RELEASE_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Part of the platform's grace period that is left unused at its end.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);

/// Errors that stop the process.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The settings are missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The system refused a listener, a signal or a thread.
    #[error(transparent)]
    System(#[from] io::Error),
    /// A task that the process needs has ended.
    #[error(transparent)]
    Task(#[from] TaskFailure),
}

/// Runs the process until shutdown is requested.
///
/// # Errors
///
/// Any [`ProcessError`].
pub fn run(settings: Settings) -> Result<(), ProcessError> {
    runtime::current_thread()?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), ProcessError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (stop, stopping) = watch::channel(false);
    let (close, closing) = watch::channel(false);
    let mut registry = prometheus_client::registry::Registry::default();
    let metrics = Metrics::new(&mut registry);
    let budgets = Budgets::new(&settings, &mut registry);
    let client = Arc::new(HttpClient::new());
    let services = services(&settings, &client);
    let peers = PeerClient::new(client);
    let node = Arc::new(Node::new(settings, services, peers, metrics, stopping));
    let mut tasks = RequiredTasks::new();
    let mut listeners = listen(&node, budgets, registry, &closing, &mut tasks).await?;
    start_tasks(&node, &mut tasks);
    emit(Event::Started, format_args!("node={} zone={}", node.settings.node, node.settings.zone));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hangup.recv() => reload(&node),
            failure = tasks.failure() => return Err(failure.into()),
            failure = listeners.failure() => return Err(failure.into()),
        }
    }
    emit(Event::ShutdownBegun, format_args!("node={}", node.settings.node));
    let begun = time::Instant::now();
    let _ = stop.send(true);
    let _ = time::timeout_at(begun + DRAIN_PERIOD, release_all(&node)).await;
    time::sleep_until(begun + DRAIN_PERIOD).await;
    let _ = close.send(true);
    let end = begun + node.settings.grace_period.duration().saturating_sub(SHUTDOWN_MARGIN);
    let drained = time::timeout_at(end, listeners.finish());
    match drained.await {
        Ok(result) => {
            result?;
            emit(Event::ShutdownDone, format_args!("node={}", node.settings.node));
        }
        Err(_) => emit(Event::ShutdownCut, format_args!("node={}", node.settings.node)),
    }
    Ok(())
}

/// Returns the limit of an order on a link with this bandwidth.
fn order_limit(bandwidth: ByteRate) -> CallLimit {
    let queued = Millis(1000 * MAX_QUEUED_BYTES / bandwidth.0.max(1));
    CallLimit::new(ORDER_TIMEOUT).with_longest(ORDER_TIMEOUT + queued.duration())
}

pub(crate) fn services(settings: &Settings, client: &Arc<HttpClient>) -> Services {
    let table = |deadline| TableStore::new(Arc::clone(client), settings.store, deadline);
    Services {
        store: Arc::new(
            GuardedStore::new(table(STORE_TIMEOUT), MAX_STORE_CALLS_PER_S)
                .with_partitions(part_of)
                .with_adaptive_timeouts()
                .with_max_probe_pause(MAX_PROBE_PAUSE)
                .with_link(Arc::new(OwnLink(Arc::clone(client)))),
        ),
        feed: Arc::new(table(FEED_TIMEOUT)),
        workers: Arc::new(HttpWorkers::new(
            Arc::clone(client),
            order_limit(bandwidth(settings)),
            POLL_TIMEOUT,
        )),
        hosts: settings.host_api.map(|hosts| {
            let node = settings.node.clone();
            Arc::new(HttpHostApi::new(Arc::clone(client), hosts.address, node, HOST_API_TIMEOUT))
                as _
        }),
        advisor: settings
            .advice
            .map(|address| Arc::new(HttpAdvisor::new(Arc::clone(client), address)) as _),
        row_format: Arc::new(PlatformRowFormat::new()),
    }
}

/// Limits on what clients hold, by who calls a listener.
struct Budgets {
    callers: Arc<Budget>,
    peers: Arc<Budget>,
    operators: Arc<Budget>,
}

impl Budgets {
    fn new(settings: &Settings, registry: &mut prometheus_client::registry::Registry) -> Self {
        let metrics = ConnectionMetrics::new(registry);
        let budget = |name, limits| Arc::new(Budget::new(name, limits).with_metrics(&metrics));
        let share = BudgetLimits::share_of(settings.memory, settings.descriptors);
        let bodiless = BudgetLimits::without_bodies(settings.memory, settings.descriptors);
        Self {
            callers: budget("callers", share),
            peers: budget("peers", share),
            operators: budget("operators", bodiless),
        }
    }
}

async fn listen(
    node: &Arc<Node>,
    budgets: Budgets,
    registry: prometheus_client::registry::Registry,
    closing: &watch::Receiver<bool>,
    tasks: &mut RequiredTasks,
) -> Result<RequiredTasks, ProcessError> {
    let frontend: Arc<dyn Frontend> = Arc::new(NodeFrontend(Arc::clone(node)));
    let mut listeners = RequiredTasks::new();
    let mut servers = Vec::new();
    if let Some(address) = node.settings.front {
        let handler = Arc::new(FrontHandler::new(Arc::clone(&frontend)));
        let server = Server::new(handler).with_body_limit(MAX_BODY).with_budget(budgets.callers);
        servers.push((address, server));
    }
    if let Some(address) = node.settings.ready {
        let server = Server::new(Arc::new(ReadyHandler::new(frontend)))
            .with_budget(Arc::clone(&budgets.operators));
        servers.push((address, server));
    }
    for (address, server) in servers {
        let listener = http::listen(address).await?;
        listeners.spawn(format!("listener {address}"), server.serve(listener, closing.clone()));
    }
    // Peers and operators are served until the process ends.
    let metrics = SocketAddr::new(node.settings.peer.ip(), METRICS_PORT);
    let observe = Arc::new(ObserveHandler::new(Arc::clone(node), registry));
    let peers = Server::new(Arc::new(PeerHandler(Arc::clone(node))));
    let internal = [
        (node.settings.peer, peers.with_body_limit(MAX_BODY).with_budget(budgets.peers)),
        (metrics, Server::new(observe).with_budget(budgets.operators)),
    ];
    for (address, server) in internal {
        let listener = http::listen(address).await?;
        let never_closing = watch::channel(false);
        tasks.spawn(format!("listener {address}"), async move {
            let _keep = never_closing.0;
            server.serve(listener, never_closing.1).await;
        });
    }
    Ok(listeners)
}

fn start_tasks(node: &Arc<Node>, tasks: &mut RequiredTasks) {
    let followers: [Arc<dyn Follower>; 3] = [
        Arc::new(follow::Operators(Arc::clone(node))),
        Arc::new(follow::Leases(Arc::clone(node))),
        Arc::new(follow::Workers(Arc::clone(node))),
    ];
    for follower in followers {
        let name = format!("follower of table {}", follower.table());
        tasks.spawn(name, follow::follow(Arc::clone(node), follower));
    }
    tasks.spawn("membership", membership::run(Arc::clone(node)));
    tasks.spawn("removal of dead members", membership::remove_dead_members(Arc::clone(node)));
    tasks.spawn("election", election::run(Arc::clone(node)));
    tasks.spawn("claims", claim::run(Arc::clone(node)));
    tasks.spawn("failure detector", failure_detector::run(Arc::clone(node)));
    tasks.spawn("reports of reads", failure_detector::report_reads(Arc::clone(node)));
    tasks.spawn("registry", registry::run(Arc::clone(node)));
    tasks.spawn("handover", handover::run(Arc::clone(node)));
    tasks.spawn("admission", admission::keep_config_current(Arc::clone(node)));
}

/// Reads the settings file again and logs whether it changed. A running process can't apply
/// changes; they need a restart.
fn reload(node: &Node) {
    match Settings::load() {
        Ok(settings) if settings == node.settings => {
            log::info!("settings reloaded, nothing changed");
        }
        Ok(_) => log::warn!("settings changed; they take effect at the next start"),
        Err(error) => log::error!("settings can't be reloaded, keeping the old ones: {error}"),
    }
}

/// Releases all pools, so that peers can take them over. Takeovers under way end by themselves, or with an
/// owner that is released here.
pub(crate) async fn release_all(node: &Node) {
    while node.owns_any() {
        let handles: Vec<_> = node.owned().values().cloned().collect();
        let mut waits = Vec::new();
        for handle in handles {
            let (request, receiver) = ReleaseRequest::new(node.now());
            handle.send(Input::Release(request));
            waits.push(receiver);
        }
        for wait in waits {
            // An owner that has ended on its own drops its side of the channel.
            let _ = wait.await;
        }
        time::sleep(RELEASE_CHECK_PERIOD).await;
    }
}

#[cfg(test)]
#[path = "process_tests.rs"]
mod tests;
