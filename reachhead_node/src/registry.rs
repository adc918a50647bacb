//! Registered workers: the fleet owner follows them at the store, and owners of pools request
//! theirs from it.
//!
//! An owner of a pool that gets no usable answer for a while follows the table itself. Every owner
//! does so where there is no fleet owner, or where state must not be as old as relayed state gets.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use reachhead_jobs::{
    clock::Tick,
    registry::{WorkerChange, WorkerChangeLog},
};
use reachhead_types::{id::PoolName, size::Millis};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time};

use crate::{
    fleet,
    lock::locked,
    node::Node,
    peer::{PeerReply, PeerRequest},
    relay,
};

/// Maximum time that the fleet owner holds a request until something changes.
const MAX_HOLD: Millis = Millis(500);

/// Timeout of the fleet owner's answer beyond [`MAX_HOLD`].
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause between requests that are answered at once, so that changes of some tenths of a second
/// share one answer.
const POLL_PAUSE: Duration = Duration::from_millis(80);

/// Pause after a request without a usable answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How long an owner of a pool goes without a usable answer before it follows the table itself.
const MAX_ANSWER_AGE: Millis = Millis(1500);

/// Minimum time that an owner of a pool then follows the table itself, since each change to that
/// costs a read of the whole table.
const MIN_DIRECT_PERIOD: Millis = Millis(8000);

/// Maximum age of the fleet owner's own state for it to answer from that state.
const MAX_AGE: Millis = Millis(1900);

/// A request for the workers of some pools.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkersRequest {
    /// The pools.
    pub pools: Vec<PoolName>,
    /// The position up to which the workers are known; `None` requests all workers.
    pub after: Option<Position>,
}

/// A position in the changes of workers that a process relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Identifies the run of the process that relays.
    epoch: u64,
    version: u64,
}

/// Workers that registered, changed or were removed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkersPage {
    position: Position,
    /// The page lists all workers of the pools instead of changes.
    whole: bool,
    changes: Vec<WorkerChange>,
}

/// The log of changes of registered workers, and the state of following it.
pub struct Registry {
    epoch: u64,
    log: Mutex<WorkerChangeLog>,
    changed: watch::Sender<u64>,
    /// When this process, as an owner of pools, last had a usable answer, or began to need one.
    last_answer_at: Mutex<Tick>,
    /// Until when this process follows the table at the store itself.
    direct_until: Mutex<Tick>,
}

impl Registry {
    /// Returns a registry without workers.
    pub fn new() -> Self {
        Self {
            epoch: rand::random(),
            log: Mutex::default(),
            changed: watch::Sender::new(0),
            last_answer_at: Mutex::default(),
            direct_until: Mutex::default(),
        }
    }

    /// Records a change that the store returned.
    pub fn record(&self, change: WorkerChange) {
        locked(&self.log).record(change);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Records that the table was read in full.
    pub fn reset(&self) {
        locked(&self.log).reset();
        self.changed.send_modify(|count| *count += 1);
    }
}

/// Returns whether this process follows the table at the store itself.
pub fn follows_store(node: &Node) -> bool {
    let hosts = fleet::name();
    let owns_hosts = node.owned().contains_key(&hosts) || node.loading().contains_key(&hosts);
    owns_hosts
        || !relay::allows_relayed_age(node)
        || !fleet::is_needed(node)
        || node.now() < *locked(&node.registry.direct_until)
}

fn owned_pools(node: &Node) -> Vec<PoolName> {
    let mut pools: Vec<PoolName> = node.owned().keys().cloned().collect();
    pools.extend(node.loading().keys().cloned());
    pools.sort_unstable();
    pools.dedup();
    pools
}

/// Requests the workers of this process's pools from the fleet owner, for as long as the process
/// runs.
pub async fn run(node: Arc<Node>) {
    let mut known: Option<(Vec<PoolName>, Position)> = None;
    loop {
        let pools = owned_pools(&node);
        // The last poll of the table may return state that is older than an earlier answer of the
        // fleet owner.
        if pools.is_empty() || follows_store(&node) || node.view().follows_workers {
            known = None;
            *locked(&node.registry.last_answer_at) = node.now();
            time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let after = known.as_ref().filter(|(of, _)| *of == pools).map(|(_, position)| *position);
        let source = node.view().owner(&fleet::name()).map(|(_, address)| address);
        let page = match source {
            Some(source) => {
                request_workers(&node, source, WorkersRequest { pools: pools.clone(), after }).await
            }
            None => None,
        };
        match page {
            Some(page) => {
                known = Some((pools, page.position));
                *locked(&node.registry.last_answer_at) = node.now();
                apply_page(&node, page);
                time::sleep(POLL_PAUSE).await;
            }
            None => {
                known = None;
                fall_back_to_store(&node);
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Follows the table at the store for a while, if there has been no usable answer for too long.
fn fall_back_to_store(node: &Node) {
    let now = node.now();
    if now.since(*locked(&node.registry.last_answer_at)) >= MAX_ANSWER_AGE {
        log::info!("the fleet owner does not report workers, following the table instead");
        *locked(&node.registry.direct_until) = now + MIN_DIRECT_PERIOD;
        node.pool_acquired.notify_one();
    }
}

async fn request_workers(
    node: &Node,
    source: SocketAddr,
    request: WorkersRequest,
) -> Option<WorkersPage> {
    let wait = MAX_HOLD.duration() + ANSWER_TIMEOUT;
    match node.peers.call(source, &PeerRequest::Workers(request), wait).await {
        Ok(PeerReply::Workers(page)) => page,
        Ok(_) => None,
        Err(error) => {
            log::info!("workers can't be read from the fleet owner {source}: {error}");
            None
        }
    }
}

fn apply_page(node: &Node, page: WorkersPage) {
    {
        let mut view = node.view();
        if view.workers_loaded && !page.whole && page.changes.is_empty() {
            return;
        }
        if page.whole {
            view.workers.clear();
        }
        for WorkerChange { id, info } in page.changes {
            match info {
                Some(info) => {
                    view.workers.insert(id, info);
                }
                None => {
                    view.workers.remove(&id);
                }
            }
        }
        view.workers_loaded = true;
    }
    node.workers_changed.send_modify(|count| *count += 1);
}

/// Answers an owner of pools; returns `None` if this process does not follow the workers closely
/// enough itself.
pub async fn serve(node: &Node, request: WorkersRequest) -> Option<WorkersPage> {
    let mut changed = node.registry.changed.subscribe();
    let received_at = node.now();
    loop {
        let now = node.now();
        // Workers that this process has from another fleet owner are those of some pools only.
        let follows_all = {
            let view = node.view();
            view.follows_workers && now.since(view.workers_current_at) <= MAX_AGE
        };
        if !follows_all || !node.owned().contains_key(&fleet::name()) {
            return None;
        }
        let page = build_page(node, &request);
        let held = now.since(received_at);
        if page.whole || !page.changes.is_empty() || held >= MAX_HOLD {
            return Some(page);
        }
        let left = Millis(MAX_HOLD.0 - held.0).duration();
        // The state is checked again after a notification as well as after the timeout.
        let _ = time::timeout(left, changed.changed()).await;
    }
}

fn build_page(node: &Node, request: &WorkersRequest) -> WorkersPage {
    let view = node.view();
    let log = locked(&node.registry.log);
    let position = Position { epoch: node.registry.epoch, version: log.version() };
    let after = request.after.filter(|after| after.epoch == position.epoch);
    let own = |pool: &PoolName| request.pools.contains(pool);
    if let Some(newer) = after.and_then(|after| log.since(after.version)) {
        // A worker may have moved to another pool; such a worker is reported as removed.
        let visible_change = |change: &WorkerChange| WorkerChange {
            id: change.id.clone(),
            info: change.info.clone().filter(|info| own(&info.pool)),
        };
        return WorkersPage {
            position,
            whole: false,
            changes: newer.map(visible_change).collect(),
        };
    }
    let all = view.workers.values().filter(|info| own(&info.pool));
    let changes = all.map(|info| WorkerChange { id: info.id.clone(), info: Some(info.clone()) });
    WorkersPage { position, whole: true, changes: changes.collect() }
}

#[cfg(test)]
#[path = "registry_tests.rs"]
mod tests;
