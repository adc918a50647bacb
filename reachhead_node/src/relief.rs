//! Handing a pool over to a process that bears it much better.
//!
//! Whoever is there first takes a vacant pool, which may be a weak process while the strong ones restart.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use reachhead_jobs::{candidate::Candidate, clock::Tick};
use reachhead_ops::event::{Event, emit};
use reachhead_types::{
    id::{NodeName, PoolName},
    size::Millis,
};
use tokio::{sync::oneshot, time};

use crate::{
    fleet,
    node::Node,
    owner::{Input, OwnerHandle},
    peer::{PeerReply, PeerRequest},
};

/// How often a process compares what it bears with its peers.
const PERIOD: Duration = Duration::from_millis(700);

/// How long an owner keeps a pool at least: a successor has to be settled before the next change.
const KEEP_TIME: Millis = Millis(3000);

/// How long the process that would take the pool has to answer; one that is slow is no better owner. It includes how late
/// this process is itself, which is the more the sooner it should hand over.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// How lately that process must have reached the store.
const STORE_AGE: u64 = 1800;

/// Processes that are asked in one turn at most: the list also has those that are gone.
const TRIES: usize = 3;

/// A process that should have one of this process's pools.
struct Successor {
    node: NodeName,
    address: SocketAddr,
}

/// Hands pools over for as long as the process lives.
pub async fn run(node: Arc<Node>) {
    loop {
        time::sleep(PERIOD).await;
        if node.is_stopping() {
            continue;
        }
        let Some((pool, handle)) = oldest(&node) else {
            continue;
        };
        for successor in successors(&node) {
            if answers(&node, &successor).await {
                hand_over(&pool, &handle, &successor).await;
                break;
            }
        }
    }
}

/// Returns a pool that this process has been in charge of for long enough. The hosts stay: two holders of
/// their orders must not follow each other closely.
fn oldest(node: &Node) -> Option<(PoolName, OwnerHandle)> {
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
        .filter(|(since, ..)| now.since(*since) >= KEEP_TIME)
        .min_by_key(|(since, ..)| *since)
        .map(|(_, pool, handle)| (pool, handle))
}

/// Returns the processes that would bear much less with one more pool than this one does, the best first.
fn successors(node: &Node) -> Vec<Successor> {
    let owned = node.owned().len();
    let view = node.view();
    let own = Candidate { node: &node.settings.node, strength: node.strength(), owned };
    let others = view.members.iter().filter(|(other, _)| **other != node.settings.node);
    let mut found: Vec<(Candidate<'_>, SocketAddr)> = others
        .map(|(other, member)| (view.candidate(other, &member.record), member.record.address))
        .filter(|(candidate, _)| own.should_hand_over(candidate))
        .collect();
    found.sort_by(|(a, _), (b, _)| a.compare(b));
    let successor = |(candidate, address): (Candidate<'_>, SocketAddr)| Successor {
        node: candidate.node.clone(),
        address,
    };
    found.into_iter().take(TRIES).map(successor).collect()
}

/// Tells whether the process lives, is quick and reaches the store.
async fn answers(node: &Node, successor: &Successor) -> bool {
    let pong = node.peers.ask(successor.address, &PeerRequest::Ping, ANSWER_TIME).await;
    matches!(pong, Ok(PeerReply::Pong(pong)) if pong.store_age <= STORE_AGE)
}

async fn hand_over(pool: &PoolName, handle: &OwnerHandle, successor: &Successor) {
    let (sender, receiver) = oneshot::channel();
    handle.send(Input::Yield(sender));
    // An owner that keeps its pool, or has ended on its own, drops its side.
    if receiver.await.is_ok() {
        emit(
            Event::PoolYielded,
            format_args!("pool={pool} token={} to={}", handle.token, successor.node),
        );
    }
}
