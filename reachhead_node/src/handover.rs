//! Handover of a pool to a process with much more capacity.
//!
//! The first process that is up takes a vacant pool, and that may be a weak one while the strong
//! ones restart. One process may also take several pools before the others are members.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use reachhead_jobs::{candidate::Candidate, clock::Tick};
use reachhead_ops::event::{Event, emit};
use reachhead_types::{
    id::{NodeName, PoolName},
    size::Millis,
};
use tokio::time;

use crate::{
    fleet,
    node::Node,
    owner::{Input, OwnerHandle, ReleaseRequest},
    peer::{PeerReply, PeerRequest},
};

/// Interval at which a process compares its load with that of its peers.
const CHECK_PERIOD: Duration = Duration::from_millis(700);

/// Minimum time that an owner keeps a pool: a successor has to be settled before the next ownership
/// change.
const MIN_OWNERSHIP: Millis = Millis(3000);

/// Timeout of the ping to the successor; a process that answers later would be no better owner. The
/// time includes the delay of this process itself, which is largest when a handover is most urgent.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum age of the successor's last contact with the store, in milliseconds.
const MAX_STORE_AGE_MS: u64 = 1800;

/// Maximum number of successors that are pinged in one round, since the list may contain dead
/// processes.
const MAX_CANDIDATES: usize = 3;

/// A process that should own one of this process's pools.
struct Successor {
    node: NodeName,
    address: SocketAddr,
}

/// Hands pools over for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    loop {
        time::sleep(CHECK_PERIOD).await;
        if node.is_stopping() {
            continue;
        }
        let Some((pool, handle)) = longest_owned(&node) else {
            continue;
        };
        for successor in successors(&node) {
            if can_serve(&node, &pool, &successor).await {
                hand_over(&node, &pool, &handle, &successor).await;
                break;
            }
        }
    }
}

/// Returns the pool that this process has owned longest, if that is long enough. The fleet lease
/// stays: two holders of it must not follow each other closely.
fn longest_owned(node: &Node) -> Option<(PoolName, OwnerHandle)> {
    let now = node.now();
    let owned = node.owned().clone();
    let view = node.view();
    let since = |pool: &PoolName, handle: &OwnerHandle| -> Option<Tick> {
        let lease = view.leases.get(pool)?;
        (lease.revision == handle.token).then_some(lease.since)
    };
    owned
        .into_iter()
        .filter(|(pool, _)| *pool != fleet::name())
        .filter_map(|(pool, handle)| Some((since(&pool, &handle)?, pool, handle)))
        .filter(|(since, ..)| now.since(*since) >= MIN_OWNERSHIP)
        .min_by_key(|(since, ..)| *since)
        .map(|(_, pool, handle)| (pool, handle))
}

/// Returns the processes that would be loaded much less with one more pool than this one is now, the
/// best first.
fn successors(node: &Node) -> Vec<Successor> {
    let owned = node.owned().len();
    let view = node.view();
    let own = Candidate { node: &node.settings.node, strength: node.strength(), owned };
    let is_better = |other: &Candidate<'_>| {
        if node.gains_by_dispatch() {
            own.should_hand_over(other)
        } else {
            own.should_hand_over_for_link(other)
        }
    };
    let others = view.members.iter().filter(|(other, _)| **other != node.settings.node);
    let mut candidates: Vec<(Candidate<'_>, SocketAddr)> = others
        .map(|(other, member)| (view.candidate(other, &member.record), member.record.address))
        .filter(|(candidate, _)| is_better(candidate))
        .collect();
    candidates.sort_by(|(a, _), (b, _)| a.compare(b));
    let successor = |(candidate, address): (Candidate<'_>, SocketAddr)| Successor {
        node: candidate.node.clone(),
        address,
    };
    candidates.into_iter().take(MAX_CANDIDATES).map(successor).collect()
}

/// Returns whether the process is alive, answers quickly, and reaches the store and the pool's rows.
async fn can_serve(node: &Node, pool: &PoolName, successor: &Successor) -> bool {
    let pong = node.peers.call(successor.address, &PeerRequest::Ping, PING_TIMEOUT).await;
    let Ok(PeerReply::Pong(pong)) = pong else {
        return false;
    };
    pong.store_age <= MAX_STORE_AGE_MS && !pong.unreadable.contains(pool)
}

async fn hand_over(node: &Node, pool: &PoolName, handle: &OwnerHandle, successor: &Successor) {
    let (request, receiver) = ReleaseRequest::new(node.now());
    handle.send(Input::Yield(request));
    // An owner that keeps its pool, or has ended on its own, drops its side of the channel.
    if receiver.await.is_ok() {
        emit(
            Event::PoolYielded,
            format_args!("pool={pool} token={} to={}", handle.token, successor.node),
        );
    }
}

#[cfg(test)]
#[path = "handover_tests.rs"]
mod tests;
