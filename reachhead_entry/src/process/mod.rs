//! The threads of the process and the state that they share.
//!
//! The threads communicate over bounded channels:
//!
//! - the path thread (the main thread) handles callers, queues and minions. It owns all state that
//!   a request needs, so this state has no locks.
//! - `follow` polls the control process of this host for configuration and membership.
//! - `claims` writes idempotency claims to the store in batches.
//! - `asks` queries other entry hosts about their claims and borrows slots from them.
//! - `link` answers requests of other entry hosts.
//! - `ops` answers operators.

pub mod claim_writer;
mod control_follower;
pub mod metrics;
pub mod minion;
pub mod peer_client;
mod peer_server;
pub mod proxy;
pub mod service;
pub mod slot_borrower;
mod status;

use std::{io, rc::Rc, sync::Arc};

use log::debug;
use prometheus_client::registry::Registry;
use reachhead_config::entry::EntrySettings;
use reachhead_link::server::{self, LinkError};
use reachhead_ops::{
    connections::{Budget, BudgetLimits, ConnectionMetrics},
    event::{Event, emit},
    listener, runtime,
};
use reachhead_types::{id::Incarnation, size::Connections};
use tokio::{
    sync::{mpsc, watch},
    task::LocalSet,
    time,
};

use crate::{
    connection::accept,
    process::{
        control_follower::ControlUpdates, metrics::Metrics, peer_server::PathRequest, proxy::Proxy,
        status::EntryStatus,
    },
};

/// Capacity of the channel of requests to the path thread.
const CHANNEL_CAPACITY: usize = 64;

/// Runs the entry process until a shutdown signal, then drains the requests in flight.
pub fn run(settings: EntrySettings) -> Result<(), LinkError> {
    let mut registry = Registry::default();
    let metrics = Metrics::new(&mut registry);
    let connections = ConnectionMetrics::new(&mut registry);
    let incarnation = Incarnation(rand::random());
    let (requests, path_requests) = mpsc::channel(CHANNEL_CAPACITY);
    let (readiness, status) = EntryStatus::new(requests.clone());
    listener::start(settings.ops.address, Arc::new(status), registry)?;
    server::serve(settings.link.ask, peer_server::PeerResponder::new(requests))?;
    let updates = control_follower::start(&settings)?;
    let claim_writer = claim_writer::start(&settings)?;
    let peer_client = peer_client::start(&settings)?;

    let runtime = runtime::current_thread()?;
    let callers = &settings.callers;
    let limits = BudgetLimits::new(Connections(callers.connections.get()), callers.memory);
    let budget = Arc::new(Budget::new("callers", limits).with_metrics(&connections));
    let proxy =
        Proxy::new(settings, incarnation, metrics, budget, claim_writer, peer_client, readiness);
    LocalSet::new().block_on(&runtime, run_path(proxy, updates, path_requests))?;
    Ok(())
}

/// Runs the event loop of the path thread.
async fn run_path(
    proxy: Rc<Proxy>,
    mut updates: ControlUpdates,
    mut path_requests: mpsc::Receiver<PathRequest>,
) -> io::Result<()> {
    let address = proxy.settings.callers.address;
    let listener = reachhead_ops::http::listen(address).await?;
    emit(Event::Started, format_args!("entry of {} on {address}", proxy.settings.host));
    let (stop, stopped) = watch::channel(false);
    let accepting = tokio::task::spawn_local(accept::run(Rc::clone(&proxy), listener, stopped));
    let shutdown = await_shutdown(&proxy, &stop);
    tokio::pin!(shutdown);
    loop {
        tokio::select! {
            Some(update) = updates.recv() => proxy.apply_update(update),
            Some(request) = path_requests.recv() => request.answer(&proxy),
            result = &mut shutdown => {
                result?;
                break;
            }
        }
    }
    finish_requests(&proxy, accepting, &mut updates, &mut path_requests).await;
    Ok(())
}

/// Waits for the shutdown signal and reports not ready, then stops accepting connections after the
/// time that the load balancer needs to notice.
async fn await_shutdown(proxy: &Proxy, stop: &watch::Sender<bool>) -> io::Result<()> {
    runtime::shutdown_signal().await?;
    emit(Event::ShutdownBegun, "not ready from now on");
    proxy.begin_shutdown();
    time::sleep(proxy.settings.shutdown.lag.duration()).await;
    stop.send_replace(true);
    Ok(())
}

/// Waits for the requests in flight, up to the time limit for a shutdown.
///
/// Updates and requests of other threads are still handled meanwhile.
async fn finish_requests(
    proxy: &Proxy,
    accepting: tokio::task::JoinHandle<()>,
    updates: &mut ControlUpdates,
    path_requests: &mut mpsc::Receiver<PathRequest>,
) {
    let limit = time::sleep(proxy.settings.shutdown.limit.duration());
    tokio::pin!(limit, accepting);
    loop {
        tokio::select! {
            result = &mut accepting => {
                if let Err(error) = result {
                    debug!("accept task failed: {error}");
                }
                break;
            }
            () = &mut limit => {
                emit(Event::ShutdownCut, "requests were still in flight at the time limit");
                return;
            }
            Some(update) = updates.recv() => proxy.apply_update(update),
            Some(request) = path_requests.recv() => request.answer(proxy),
        }
    }
    proxy.claim_writer.flush().await;
    emit(Event::ShutdownDone, "entry");
}
