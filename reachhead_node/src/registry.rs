//! Registered workers: the owner of all hosts follows them at the store, and owners of pools ask it for their own.
//!
//! An owner of a pool that gets no good answer for a while follows the table itself, as every owner does where there is no owner of
//! all hosts, or where knowledge must not be as old as it gets by way of another process.

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

/// How long the owner of all hosts may hold a question until something changes.
const WAIT: Millis = Millis(500);

/// Longest wait for its answer beyond that.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Pause between questions that are answered at once, so that changes of some tenths of a second share one answer.
const GAP: Duration = Duration::from_millis(80);

/// Pause after a question that was not answered well.
const PAUSE: Duration = Duration::from_millis(100);

/// How long an owner of a pool goes without a good answer before it follows the table itself.
const PATIENCE: Millis = Millis(1500);

/// How long it does so at least; each change costs a read of the whole table.
const DIRECT_TIME: Millis = Millis(8000);

/// How old the knowledge may be that is passed on.
const AGE_MOST: Millis = Millis(1900);

/// A question for the workers of some pools.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkersRequest {
    /// The pools.
    pub pools: Vec<PoolName>,
    /// Up to where they are known; `None` asks for all of them.
    pub after: Option<Position>,
}

/// Up to where somebody knows the workers that a process passes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Which life of which process.
    epoch: u64,
    version: u64,
}

/// Workers that registered, changed or are gone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkersPage {
    position: Position,
    /// These are all workers of the pools, and no changes.
    whole: bool,
    changes: Vec<WorkerChange>,
}

/// What is passed on, and how it comes in.
pub struct Registry {
    epoch: u64,
    log: Mutex<WorkerChangeLog>,
    changed: watch::Sender<u64>,
    /// When this process, as an owner of pools, last had a good answer, or began to need one.
    last_answer: Mutex<Tick>,
    /// Until when it follows the table itself.
    direct: Mutex<Tick>,
}

impl Registry {
    /// Returns a registry without workers.
    pub fn new() -> Self {
        Self {
            epoch: rand::random(),
            log: Mutex::default(),
            changed: watch::Sender::new(0),
            last_answer: Mutex::default(),
            direct: Mutex::default(),
        }
    }

    /// Notes a change that the store told of.
    pub fn record(&self, change: WorkerChange) {
        locked(&self.log).record(change);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Notes that the table was read anew.
    pub fn reset(&self) {
        locked(&self.log).reset();
        self.changed.send_modify(|count| *count += 1);
    }
}

/// Tells whether this process follows the table itself.
pub fn is_direct(node: &Node) -> bool {
    let hosts = fleet::name();
    let owns_hosts = node.owned().contains_key(&hosts) || node.loading().contains_key(&hosts);
    owns_hosts
        || !relay::allows_relayed_age(node)
        || !fleet::is_wanted(node)
        || node.now() < *locked(&node.registry.direct)
}

fn pools(node: &Node) -> Vec<PoolName> {
    let mut pools: Vec<PoolName> = node.owned().keys().cloned().collect();
    pools.extend(node.loading().keys().cloned());
    pools.sort_unstable();
    pools.dedup();
    pools
}

/// Asks the owner of all hosts for the workers of this process's pools, for as long as the process lives.
pub async fn run(node: Arc<Node>) {
    let mut known: Option<(Vec<PoolName>, Position)> = None;
    loop {
        let pools = pools(&node);
        // What the table's last poll tells may be older than an answer that comes before it.
        if pools.is_empty() || is_direct(&node) || node.view().follows_workers {
            known = None;
            *locked(&node.registry.last_answer) = node.now();
            time::sleep(PAUSE).await;
            continue;
        }
        let after = known.as_ref().filter(|(of, _)| *of == pools).map(|(_, position)| *position);
        let source = node.view().owner(&fleet::name()).map(|(_, address)| address);
        let page = match source {
            Some(source) => {
                ask(&node, source, WorkersRequest { pools: pools.clone(), after }).await
            }
            None => None,
        };
        match page {
            Some(page) => {
                known = Some((pools, page.position));
                *locked(&node.registry.last_answer) = node.now();
                apply(&node, page);
                time::sleep(GAP).await;
            }
            None => {
                known = None;
                fall_back(&node);
                time::sleep(PAUSE).await;
            }
        }
    }
}

/// Follows the table itself for a while, if there has been no good answer for too long.
fn fall_back(node: &Node) {
    let now = node.now();
    if now.since(*locked(&node.registry.last_answer)) >= PATIENCE {
        log::info!("the owner of all hosts does not tell of workers, so they are followed");
        *locked(&node.registry.direct) = now + DIRECT_TIME;
        node.pool_acquired.notify_one();
    }
}

async fn ask(node: &Node, source: SocketAddr, request: WorkersRequest) -> Option<WorkersPage> {
    let wait = WAIT.duration() + ANSWER_TIME;
    match node.peers.ask(source, &PeerRequest::Workers(request), wait).await {
        Ok(PeerReply::Workers(page)) => page,
        Ok(_) => None,
        Err(error) => {
            log::info!("workers are not told by {source}: {error}");
            None
        }
    }
}

fn apply(node: &Node, page: WorkersPage) {
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

/// Answers an owner of pools; `None` if this process does not follow the workers closely enough itself.
pub async fn answer(node: &Node, request: WorkersRequest) -> Option<WorkersPage> {
    let mut changed = node.registry.changed.subscribe();
    let begun = node.now();
    loop {
        let now = node.now();
        let fresh = now.since(node.view().workers_current_at) <= AGE_MOST;
        if !node.owned().contains_key(&fleet::name()) || !node.view().workers_loaded || !fresh {
            return None;
        }
        let page = page(node, &request);
        let held = now.since(begun);
        if page.whole || !page.changes.is_empty() || held >= WAIT {
            return Some(page);
        }
        let left = Millis(WAIT.0 - held.0).duration();
        // Either end of the wait leads to another look.
        let _ = time::timeout(left, changed.changed()).await;
    }
}

fn page(node: &Node, request: &WorkersRequest) -> WorkersPage {
    let view = node.view();
    let log = locked(&node.registry.log);
    let position = Position { epoch: node.registry.epoch, version: log.version() };
    let after = request.after.filter(|after| after.epoch == position.epoch);
    let own = |pool: &PoolName| request.pools.contains(pool);
    if let Some(newer) = after.and_then(|after| log.since(after.version)) {
        // A worker may have come from another pool, so those that are elsewhere now are gone here.
        let told = |change: &WorkerChange| WorkerChange {
            id: change.id.clone(),
            info: change.info.clone().filter(|info| own(&info.pool)),
        };
        return WorkersPage { position, whole: false, changes: newer.map(told).collect() };
    }
    let all = view.workers.values().filter(|info| own(&info.pool));
    let changes = all.map(|info| WorkerChange { id: info.id.clone(), info: Some(info.clone()) });
    WorkersPage { position, whole: true, changes: changes.collect() }
}
