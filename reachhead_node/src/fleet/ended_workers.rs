//! Notification of the owners of pools that workers' incarnations have ended.

use futures::future::join_all;
use reachhead_jobs::{clock::Tick, dead_workers::EndedWorkers, incarnation::Incarnation};
use reachhead_ops::event::{Event, emit};
use reachhead_types::id::PoolName;

use crate::{node::Node, owner_call::call_pool_owner, peer::PoolRequest};

/// Maximum number of workers named in one log line.
const MAX_NAMED_WORKERS: usize = 8;

/// Notifies the owners of pools that have not heard of ended workers yet.
pub(super) async fn notify_owners(node: &Node, workers: &mut EndedWorkers, now: Tick) {
    let lease = |pool: &PoolName| node.view().leases.get(pool).map(|lease| lease.revision);
    let unnotified = workers.unnotified(lease, now);
    let requests = unnotified.into_iter().map(|(pool, ended)| async {
        let current = lease(&pool)?;
        let named = named(&ended);
        call_pool_owner(node, &pool, PoolRequest::WorkersEnded(ended)).await.ok()?;
        emit(Event::WorkerEnded, format_args!("pool={pool} workers={named} notified={current}"));
        Some((pool, current))
    });
    for (pool, lease) in join_all(requests).await.into_iter().flatten() {
        workers.record_notified(&pool, lease);
    }
}

/// Returns the first of the workers for a log line, and the number of the others.
fn named(workers: &[Incarnation]) -> String {
    let first = workers.iter().take(MAX_NAMED_WORKERS).map(ToString::to_string);
    let others = workers.len().saturating_sub(MAX_NAMED_WORKERS);
    format!("{} others={others}", first.collect::<Vec<_>>().join(","))
}
