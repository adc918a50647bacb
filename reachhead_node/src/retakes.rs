//! Pools of this process that its link can't carry in time, and that peers take instead.

use std::{sync::Arc, time::Duration};

use reachhead_jobs::{
    candidate::Candidate,
    retake::{Retakes, Takeovers, WaitingTakeover, carried_bytes, roster_bytes},
    silence::OWNER_TIMEOUT,
};
use reachhead_types::{
    id::{NodeName, PoolName},
    size::{Bytes, Millis, WorkerCount},
};
use tokio::time;

use crate::{
    claim::Takeover,
    election, lease,
    node::{self, Node},
    view::{LeaseView, PeerStatus},
};

/// Interval between two checks of a takeover.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Age from which a takeover without its roster keeps no other pool waiting: its rows may be unreadable.
const MAX_ROSTER_TIME: Millis = Millis(2000);

/// Maximum age of the store's last answer to a peer for it to take a pool, in milliseconds.
const MAX_STORE_AGE_MS: u64 = 1800;

/// Returns the state in which the process decides about a pool of its own. `running` are the pools of
/// its takeovers under way, and `released` is the number of those that it has released for peers.
pub fn retakes(node: &Node, pool: &PoolName, running: &[PoolName], released: usize) -> Retakes {
    let (bandwidth, lease) = (node::bandwidth(&node.settings), election::timeouts(node).hold);
    let now = node.now();
    let has_read = |takeover: &Takeover| {
        takeover.roster.is_some() || now.since(takeover.started) >= MAX_ROSTER_TIME
    };
    let is_unread = |pool: &&PoolName| !node.loading().get(*pool).is_some_and(has_read);
    let add = |all: Takeovers, pool: &PoolName| all.with(roster_bytes_of(node, pool));
    Retakes {
        carried: carried_bytes(bandwidth, lease),
        running: running.iter().fold(Takeovers::default(), add),
        unread: running.iter().filter(is_unread).fold(Takeovers::default(), add),
        free_peers: free_peers(node, pool, running.len()),
        released,
    }
}

/// Returns the bytes of a pool's roster and first calls, by the roster if it has been read, or else by what
/// an owner has recorded.
pub fn roster_bytes_of(node: &Node, pool: &PoolName) -> Bytes {
    let read = node.loading().get(pool).and_then(|takeover| takeover.roster);
    let read = read.map(|workers| WorkerCount(workers as u32));
    let recorded = || node.view().settled.get(pool).and_then(|record| record.workers);
    roster_bytes(read.or_else(recorded))
}

/// Returns how many members would have less load with the pool than this process with `running`
/// takeovers, were heard lately, and are able to take it.
fn free_peers(node: &Node, pool: &PoolName, running: usize) -> usize {
    let now = node.now();
    let (name, owned) = (&node.settings.node, node.owned().len() + running);
    let own = Candidate { node: name, strength: node.strength(), owned };
    let view = node.view();
    let is_able = |status: &PeerStatus| {
        let pong = &status.pong;
        let reaches_store = pong.store_age <= MAX_STORE_AGE_MS && !pong.failing;
        let is_heard = now.since(status.at) <= OWNER_TIMEOUT;
        is_heard && reaches_store && !pong.stopping && !pong.unreadable.contains(pool)
    };
    let is_free = |other: &NodeName| view.peers.get(other).is_some_and(is_able);
    let others = view.members.iter().filter(|(other, _)| *other != name && is_free(other));
    others
        .filter(|(other, member)| view.candidate(other, &member.record).precedes(&own, pool))
        .count()
}

/// Releases the lease of a pool that this process held before it restarted, so that a peer takes it at
/// once.
pub async fn release(node: Arc<Node>, pool: PoolName, lease: LeaseView) {
    let now = node.now();
    let effect = election::order_effect(&node, &pool, Some(&lease), now);
    log::info!(
        "pool={pool} released for peers, since other takeovers fill the link of this process"
    );
    let record = lease.record.returned(effect.longest(now), effect.earlier_owners(now));
    lease::release(&node, &pool, &lease, record).await;
}

/// Waits until the takeover of a pool should be given back, since other takeovers of this process are
/// before it and a peer is free.
pub async fn wait_until_given_back(node: &Node, pool: &PoolName) {
    loop {
        time::sleep(CHECK_PERIOD).await;
        let Some(waiting) = waiting_takeover(node, pool) else {
            continue;
        };
        let others: Vec<PoolName> =
            node.loading().keys().filter(|other| *other != pool).cloned().collect();
        if retakes(node, pool, &others, 0).is_to_give_back(&waiting) {
            return;
        }
    }
}

fn waiting_takeover(node: &Node, pool: &PoolName) -> Option<WaitingTakeover> {
    let bytes = roster_bytes_of(node, pool);
    let loading = node.loading();
    let takeover = loading.get(pool)?;
    let is_earlier = |(other, started)| (started, other) < (takeover.started, pool);
    let others = loading.iter().map(|(other, takeover)| (other, takeover.started));
    let earlier = others.filter(|other| is_earlier(*other)).count();
    Some(WaitingTakeover {
        bytes,
        age: node.now().since(takeover.started),
        earlier,
        later: loading.len() - earlier - 1,
        abandoned: takeover.abandoned,
    })
}
