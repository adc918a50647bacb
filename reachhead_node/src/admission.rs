//! Admission control: maps a call's path and key to its queue and customer, or refuses it.
//!
//! A call is admitted by the followed configuration, which is at most a second old. Before a call
//! is refused, the configuration is refreshed from the store, or from a peer that reaches it, since
//! a key or a route may be new; the store may reject this process while it serves others. All
//! waiting calls share one refresh, so a caller that tries many keys costs the store no more than
//! one.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures::future::{BoxFuture, FutureExt, select_ok};
use reachhead_jobs::{
    clock::Tick,
    model::Configuration,
    ports::{Admission, FeedPage},
};
use reachhead_ops::{
    client::within_deadline,
    event::{Event, emit},
};
use reachhead_types::{
    error::ErrorKind,
    size::{Millis, Revision},
    token::KeyDigest,
};
use thiserror::Error;
use tokio::{
    sync::Mutex,
    time::{self, Instant},
};

use crate::{
    config_reads::{read_changes, read_from_member, read_from_store, run_to_end, run_with},
    follow::{Follower, Operators},
    node::Node,
    peer::{PeerReply, PeerRequest},
    relay,
};

/// Lower bound of the age above which the configuration is refreshed before a call is decided. The
/// followed table is confirmed every second, so this age is only reached when its connection fails.
const MIN_REFRESH_AGE: Millis = Millis(1400);

/// Age of the configuration above which it is refreshed, as a percentage of the time in which a new
/// configuration must take effect.
const REFRESH_AGE_PERCENT: u64 = 45;

/// Timeout of a refresh from the store, and again from a peer.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before a further peer is asked for a refresh: a peer answers within some milliseconds, and
/// one that is gone or frozen counts as alive for about a second.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of peers that are asked for one refresh.
const MAX_REFRESH_PEERS: usize = 3;

/// Timeout of the read that a peer makes for a refresh, so that it can still tell that it failed.
const PEER_READ_TIMEOUT: Duration = Duration::from_millis(250);

/// How long after a failed refresh calls get its result instead of a refresh of their own, so that
/// an outage does not delay them.
const FAILURE_CACHE_PERIOD: Millis = Millis(3000);

/// Delay after a failed refresh until the next one runs in the background.
const FAILURE_RETRY_DELAY: Millis = Millis(800);

/// Minimum time between two refreshes: five a second apply a new key soon enough and are a
/// negligible load for the store, whatever keys are tried.
const MIN_REFRESH_INTERVAL: Millis = Millis(200);

/// Interval at which an owner checks whether its configuration is out of date.
const OWNER_CHECK_PERIOD: Duration = Duration::from_millis(400);

/// Maximum age of a peer's last answer, and of its last contact with the store, for the
/// configuration to be requested from it.
const MAX_PEER_AGE: Millis = Millis(1500);

/// Why the configuration could not be refreshed.
#[derive(Debug, Clone, Error)]
#[error("{reason}")]
struct RefreshFailure {
    reason: String,
    /// A peer that reaches the store can't read the operators' table either.
    table_unavailable: bool,
}

/// The last refresh of the configuration.
#[derive(Debug, Clone, Default)]
struct Refresh {
    started: Tick,
    failure: Option<RefreshFailure>,
}

/// Admits or refuses calls.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    last: Mutex<Refresh>,
}

impl AdmissionControl {
    /// Returns an admission control that has not read the configuration yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the queue and the customer of a call.
    ///
    /// # Errors
    ///
    /// `NoRoute` or `UnknownKey` if the newest configuration says so, `NotReady` if this process
    /// can't read it.
    pub async fn admit(
        &self,
        node: &Arc<Node>,
        host: &str,
        path: &str,
        key: Option<&KeyDigest>,
    ) -> Result<Admission, ErrorKind> {
        let find = || admit_now(node, host, path, key);
        let known = find();
        if !needs_refresh(node) && known.is_ok() {
            return known;
        }
        let Some(failure) = self.refresh_shared(node).await else {
            return find().inspect_err(|refused| {
                let config = node.view().config_state(node.now());
                emit(
                    Event::CallRefused,
                    format_args!("path={path} kind={refused} key={key:?} {config}"),
                );
            });
        };
        // The newest configuration can't be read. In an outage a submission can't be stored anyway,
        // and a job's state is true even if it was found by an old route. Otherwise only this
        // process lacks a version that may have to be in force by now.
        if !is_outdated(node, &failure)
            && let Ok(admission) = find()
        {
            let config = node.view().config_state(node.now());
            log::info!(
                "path={path} admitted by a configuration that is not current: {config} {failure}"
            );
            return Ok(admission);
        }
        let refused = ErrorKind::NotReady;
        let config = node.view().config_state(node.now());
        emit(Event::CallRefused, format_args!("path={path} kind={refused} {config} {failure}"));
        Err(refused)
    }

    /// Applies the operators' changes up to now; returns the error if that failed. Calls that
    /// arrive during a refresh share the next one.
    async fn refresh_shared(&self, node: &Arc<Node>) -> Option<RefreshFailure> {
        let arrived = node.now();
        let mut last = self.last.lock().await;
        let elapsed = node.now().since(last.started);
        let recently_failed = last.failure.is_some() && elapsed < FAILURE_CACHE_PERIOD;
        if recently_failed && elapsed >= FAILURE_RETRY_DELAY {
            // Calls during the background refresh get the result of the last one.
            last.started = node.now();
            tokio::spawn(Self::refresh_in_background(Arc::clone(node)));
        }
        if last.started >= arrived || recently_failed {
            return last.failure.clone();
        }
        time::sleep(Millis(MIN_REFRESH_INTERVAL.0.saturating_sub(elapsed.0)).duration()).await;
        last.started = node.now();
        last.failure = refresh(node).await.err();
        last.failure.clone()
    }

    /// Records a refresh that was started at `started` and succeeded after its caller had stopped
    /// waiting.
    pub async fn record_success(&self, started: Tick) {
        *self.last.lock().await = Refresh { started, failure: None };
    }

    /// Refreshes the configuration in the background after a failure.
    async fn refresh_in_background(node: Arc<Node>) {
        let started = node.now();
        let failure = refresh(&node).await.err();
        let mut last = node.admission.last.lock().await;
        if last.started <= started || failure.is_none() {
            *last = Refresh { started, failure };
        }
    }
}

/// Returns the age above which the configuration is refreshed before it decides anything.
pub fn max_config_age(node: &Node) -> Millis {
    Millis(node.settings.apply_timeout.0 * REFRESH_AGE_PERCENT / 100).max(MIN_REFRESH_AGE)
}

/// Returns whether the configuration has to be refreshed before it decides anything: it was not
/// confirmed recently, or a peer has a newer one.
fn needs_refresh(node: &Node) -> bool {
    let now = node.now();
    let max_age = max_config_age(node);
    let view = node.view();
    now.since(view.config_current_at) > max_age || view.is_config_behind()
}

/// Keeps the configuration of an owner of pools current, for as long as the process runs. If the
/// store rejects this process, a peer is asked, since an owner with an outdated configuration
/// starts nothing.
pub async fn keep_config_current(node: Arc<Node>) {
    loop {
        time::sleep(OWNER_CHECK_PERIOD).await;
        if needs_refresh(&node)
            && !node.owned().is_empty()
            && let Some(failure) = node.admission.refresh_shared(&node).await
        {
            let config = node.view().config_state(node.now());
            log::info!("the configuration can't be refreshed: {config} {failure}");
        }
    }
}

/// Returns whether a newer configuration than that of this process may have to be in force: its own
/// was confirmed too long ago or a peer has a newer one, and the store serves others.
fn is_outdated(node: &Node, failure: &RefreshFailure) -> bool {
    let now = node.now();
    let view = node.view();
    let too_old = now.since(view.config_current_at) > node.settings.apply_timeout;
    (too_old || view.is_config_behind())
        && !failure.table_unavailable
        && view.peer_reaching_store(now, MAX_PEER_AGE, MAX_PEER_AGE).is_some()
}

/// Returns the queue and the customer of a call under the configuration in force, which is not
/// refreshed.
///
/// A read that waited for an owner is decided again by this before it is answered. Otherwise it could
/// be answered by an older version than a call that arrived before it and waited for a refresh.
///
/// # Errors
///
/// `NoRoute` or `UnknownKey` if that configuration says so, `NotReady` if there is none.
pub fn admit_now(
    node: &Node,
    host: &str,
    path: &str,
    key: Option<&KeyDigest>,
) -> Result<Admission, ErrorKind> {
    match &node.view().config {
        Some(config) => find(config, host, path, key),
        None => Err(ErrorKind::NotReady),
    }
}

/// Returns the queue and the customer of a call under a configuration.
fn find(
    config: &Configuration,
    host: &str,
    path: &str,
    key: Option<&KeyDigest>,
) -> Result<Admission, ErrorKind> {
    let queue = config.route(host, path).ok_or(ErrorKind::NoRoute)?;
    let customer = key.and_then(|key| config.customers.customer_of_key(key));
    if customer.is_none() && !queue.allows_anonymous {
        return Err(ErrorKind::UnknownKey);
    }
    Ok(Admission { queue: Arc::clone(queue), customer: customer.cloned() })
}

/// Applies the operators' changes since the last confirmation, from the store or, if that rejects
/// this process, from a peer: a revoked key must not stay valid here.
async fn refresh(node: &Arc<Node>) -> Result<(), RefreshFailure> {
    let member = relay::uses_relay(node)
        && with_timeout(run_to_end(node, |node| read_from_member(node).boxed())).await.is_ok();
    if member && !node.view().is_config_behind() {
        return Ok(());
    }
    let table_unavailable = AtomicBool::new(false);
    read_newest(node, &table_unavailable).await.map_err(|reason| RefreshFailure {
        reason,
        table_unavailable: table_unavailable.load(Ordering::Relaxed),
    })
}

/// Applies the operators' changes from the store or a peer. Sets `table_unavailable` if a peer that
/// reaches the store can't read them.
async fn read_newest(node: &Arc<Node>, table_unavailable: &AtomicBool) -> Result<(), String> {
    // A process that was paused finds its calls failed although the store is available, so the
    // store is always asked.
    let store = with_timeout(run_to_end(node, |node| read_from_store(node).boxed()));
    if node.view().store_failing {
        let peer = with_timeout(read_from_peers(node, table_unavailable));
        let both: [BoxFuture<'_, Result<(), String>>; 2] = [store.boxed(), peer.boxed()];
        return select_ok(both).await.map(|((), _)| ());
    }
    match store.await {
        Ok(()) => Ok(()),
        // What peers know would arrive behind it, over the same link.
        Err(error) if node.peers.is_link_filled() => {
            Err(format!("{error}, a large answer is arriving"))
        }
        Err(error) => with_timeout(read_from_peers(node, table_unavailable))
            .await
            .map_err(|peer| format!("{error}, {peer}")),
    }
}

/// Waits for an answer of the store or a peer. An answer that arrived in time counts, also if this
/// process was paused meanwhile and reads it late.
async fn with_timeout<T>(call: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    match within_deadline(Instant::now() + REFRESH_TIMEOUT, call).await {
        Some(result) => result,
        None => Err("no answer in time".to_owned()),
    }
}

/// Reads the operators' changes for a peer; returns `None` if the store does not return them soon.
///
/// A process that is reading them for itself does not read them again for others. It answers when
/// the peer has stopped waiting, since `None` would tell that the store does not return them.
pub async fn read_for_peer(node: &Arc<Node>, revision: Revision) -> Option<FeedPage> {
    let Some(permit) = node.config_reads.try_begin() else {
        time::sleep(REFRESH_TIMEOUT + PEER_READ_TIMEOUT).await;
        return None;
    };
    let known = revision.min(node.view().config_revision);
    let read = run_with(node, permit, |node| read_changes(node, known).boxed());
    match within_deadline(Instant::now() + PEER_READ_TIMEOUT, read).await {
        Some(Ok(page)) => Some(page),
        Some(Err(error)) => {
            log::info!("the operators' changes can't be read for a peer: {error}");
            None
        }
        None => {
            log::info!("the operators' changes are not read for a peer in time");
            None
        }
    }
}

/// Applies the operators' changes from peers that reach the store. Each further one is asked if
/// those before it have not answered for [`HEDGE_DELAY`].
async fn read_from_peers(node: &Arc<Node>, table_unavailable: &AtomicBool) -> Result<(), String> {
    let sent = node.now();
    let peers = node.view().peers_reaching_store(node.now(), MAX_PEER_AGE, MAX_PEER_AGE);
    let reads = peers.into_iter().take(MAX_REFRESH_PEERS).zip(0..).map(|(peer, rank)| {
        async move {
            time::sleep(HEDGE_DELAY * rank).await;
            read_from_peer(node, peer, table_unavailable).await
        }
        .boxed()
    });
    let reads: Vec<BoxFuture<'_, Result<FeedPage, String>>> = reads.collect();
    if reads.is_empty() {
        return Err("no peer reaches the store".to_owned());
    }
    let (page, _) = select_ok(reads).await?;
    let operators = Operators(Arc::clone(node));
    operators.apply(&page.changes);
    operators.confirm_current(sent, page.revision);
    Ok(())
}

async fn read_from_peer(
    node: &Node,
    peer: SocketAddr,
    table_unavailable: &AtomicBool,
) -> Result<FeedPage, String> {
    let request = PeerRequest::OperatorChanges(node.view().config_revision);
    match node.peers.call(peer, &request, REFRESH_TIMEOUT).await {
        Ok(PeerReply::OperatorChanges(Some(page))) => Ok(page),
        Ok(_) => {
            table_unavailable.store(true, Ordering::Relaxed);
            Err(format!("peer={peer} can't read the operators' changes"))
        }
        Err(error) => Err(format!("peer={peer} {error}")),
    }
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
