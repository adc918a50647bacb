//! Failure detection: heartbeats to pool owners, and the status that peers report in their answers.
//!
//! Members ping all owners four times a second. Every other process pings one member a second to
//! check that the members are alive, so the load on an owner does not grow with the number of
//! hosts. Such a process watches the owners itself only when none of several members answers.

use std::{collections::BTreeMap, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use rand::seq::IteratorRandom;
use reachhead_jobs::clock::Tick;
use reachhead_ops::client::{CallError, within_deadline};
use reachhead_types::{
    id::{NodeName, PoolName},
    size::{FencingToken, Millis},
};
use tokio::time;

use crate::{
    node::Node,
    peer::{PeerReply, PeerRequest},
    view::{LeaseView, PeerStatus, View},
};

/// Interval between two heartbeat rounds.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);

/// Timeout of one heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which the answer to a missed heartbeat is not waited for any more: below the silence
/// after which an owner is replaced, so that an answer never extends it by more than that.
const LATE_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Interval at which a process checks whether a large answer is arriving, and time from which one
/// that arrives counts: on a wide link none takes as long.
const READ_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Interval at which a process that is no member pings a member.
const MEMBER_PING_PERIOD: Millis = Millis(1000);

/// How long a member's answer counts; by then four other members have been pinged without an
/// answer.
const MAX_MEMBER_STATUS_AGE: Millis = Millis(2600);

/// Maximum age of a member's last contact with the store for it to count as able to take over a
/// pool.
const MAX_MEMBER_STORE_AGE: Millis = Millis(1800);

/// Maximum number of members that a process without access to the store pings in one round. A few
/// suffice to learn the owners, and the store may reject hundreds of processes at the same time.
const MAX_OUTAGE_PINGS: usize = 3;

/// How long a peer's status is kept. No decision uses a status older than this.
const STATUS_RETENTION: Millis = Millis(20_000);

/// Timeout of the heartbeat to an owner that is sent while a caller waits.
const OWNER_PING_TIMEOUT: Duration = Duration::from_millis(150);

/// Sends heartbeats to peers for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut next_member_ping = Tick(0);
    loop {
        time::sleep(HEARTBEAT_PERIOD).await;
        let now = node.now();
        for (peer, address) in ping_targets(&node, &mut next_member_ping, now) {
            let node = Arc::clone(&node);
            tokio::spawn(async move { send_heartbeat(&node, peer, address).await });
        }
        let mut view = node.view();
        view.peers.retain(|_, status| now.since(status.at) < STATUS_RETENTION);
        view.late_answers.retain(|_, at| now.since(*at) < STATUS_RETENTION);
        view.missed.retain(|_, missed| now.since(missed.last_sent()) < STATUS_RETENTION);
    }
}

/// Tells the members that this process is alive while a large answer arrives, for as long as the
/// process runs. An owner's own link is filled then, so heartbeats reach it late, and its pools would
/// be taken over; what it sends itself is not delayed. Only a process whose event loop runs does so.
pub async fn report_reads(node: Arc<Node>) {
    let mut reported = node.now();
    loop {
        time::sleep(READ_CHECK_PERIOD).await;
        let now = node.now();
        let is_slow = |time| time >= READ_CHECK_PERIOD;
        let is_reading = node.peers.large_answers_arriving_for().is_some_and(is_slow);
        if !is_reading || !node.owns_any() || now.since(reported).duration() < HEARTBEAT_PERIOD {
            continue;
        }
        reported = now;
        let own = &node.settings.node;
        let members = node.view().members.clone();
        for (_, member) in members.into_iter().filter(|(name, _)| name != own) {
            let node = Arc::clone(&node);
            tokio::spawn(async move {
                let (address, own) = (member.record.address, &node.settings.node);
                // The message is lost like a heartbeat, and another one follows.
                let _ = node.peers.report_reading(address, own, LATE_HEARTBEAT_TIMEOUT).await;
            });
        }
    }
}

/// Sends a heartbeat to a peer, and records whether it is answered.
///
/// A heartbeat counts as missed after [`HEARTBEAT_TIMEOUT`], but an answer that comes later still
/// shows that the peer is alive: heartbeats wait behind a large answer that the peer is reading on a
/// narrow link (docs/design/large-reads.md). What such an answer reports is too old to be used.
async fn send_heartbeat(node: &Node, peer: NodeName, address: SocketAddr) {
    let sent = node.now();
    let end = time::Instant::now() + HEARTBEAT_TIMEOUT;
    let mut call = pin!(node.peers.call(address, &PeerRequest::Ping, LATE_HEARTBEAT_TIMEOUT));
    if let Some(reply) = within_deadline(end, &mut call).await {
        if !record_reply(node, &peer, address, sent, reply) {
            node.view().missed.entry(peer).or_default().record(sent);
        }
        return;
    }
    // The connection may have stopped delivering, and so may those that are idle.
    node.peers.close_idle(address);
    node.view().missed.entry(peer.clone()).or_default().record(sent);
    if let Ok(PeerReply::Pong(pong)) = call.await
        && pong.is_of(&peer)
    {
        let now = node.now();
        node.view().late_answers.insert(peer, now);
    }
}

/// Pings a peer and stores the status that it reports; returns whether it answered.
async fn ping(node: &Node, peer: &NodeName, address: SocketAddr, deadline: Duration) -> bool {
    let asked = node.now();
    let reply = node.peers.call(address, &PeerRequest::Ping, deadline).await;
    record_reply(node, peer, address, asked, reply)
}

/// Stores the status that a peer reports; returns whether it answered.
fn record_reply(
    node: &Node,
    peer: &NodeName,
    address: SocketAddr,
    asked: Tick,
    reply: Result<PeerReply, CallError>,
) -> bool {
    let Ok(PeerReply::Pong(pong)) = reply else {
        return false;
    };
    let status = PeerStatus { asked, at: node.now(), address, pong };
    node.view().peers.insert(peer.clone(), status);
    true
}

/// Returns the peers to ping in this round.
pub fn ping_targets(
    node: &Node,
    next_member_ping: &mut Tick,
    now: Tick,
) -> BTreeMap<NodeName, SocketAddr> {
    let own = &node.settings.node;
    let store_outage = node.store_outage().is_some();
    let view = node.view();
    let mut targets = BTreeMap::new();
    if view.is_watching_owners(own, now) || store_outage {
        targets.extend(view.leases.keys().filter_map(|pool| view.owner(pool)));
    }
    // If a member does not answer, the next one is pinged in the next round.
    let has_live_member =
        view.last_member_contact(now).is_some_and(|at| now.since(at) < MEMBER_PING_PERIOD);
    if !view.members.contains_key(own) && (*next_member_ping <= now || !has_live_member) {
        *next_member_ping = now + MEMBER_PING_PERIOD;
        targets.extend(random_members(&view, own, 1));
    }
    if store_outage {
        targets.extend(random_members(&view, own, MAX_OUTAGE_PINGS));
    }
    // An owner of all pools has no owner to ping, and still has to know whether it is isolated.
    if now.since(view.last_heard()) >= MEMBER_PING_PERIOD {
        targets.extend(random_members(&view, own, 1));
    }
    // If links are cut, this process has to know which group of members it is in.
    if view.leases.values().any(|lease| view.is_taken_by_unheard(own, lease)) {
        let members = view.members.iter();
        targets.extend(members.map(|(name, member)| (name.clone(), member.record.address)));
    }
    for (owner, address) in view.open_owners(own) {
        targets.entry(owner).or_insert(address);
    }
    targets.remove(own);
    targets
}

fn random_members(view: &View, own: &NodeName, count: usize) -> Vec<(NodeName, SocketAddr)> {
    let others = view.members.iter().filter(|(name, _)| *name != own);
    let others = others.map(|(name, member)| (name.clone(), member.record.address));
    others.choose_multiple(&mut rand::rng(), count)
}

impl View {
    /// Returns the earlier owners that may go on of the pools that this process has taken: once they
    /// answer that they gave up, tasks wait for them no more.
    fn open_owners(&self, own: &NodeName) -> Vec<(NodeName, SocketAddr)> {
        let is_open = |(pool, lease): &(&PoolName, &LeaseView)| {
            let is_settled = self.is_settled(pool, FencingToken(lease.revision.0));
            lease.record.owner.as_ref() == Some(own) && !is_settled
        };
        let held = self.leases.iter().filter(is_open);
        let earlier = held.filter_map(|(_, lease)| lease.record.earlier.as_ref());
        let open = earlier.flat_map(|earlier| &earlier.open);
        open.map(|owner| (owner.node.clone(), owner.address)).collect()
    }

    /// Returns whether this process must detect failed owners itself, because it is a member or no
    /// member reports that it does so.
    pub fn is_watching_owners(&self, own: &NodeName, now: Tick) -> bool {
        self.members.contains_key(own) || self.last_member_contact(now).is_none()
    }

    /// Returns when a member that can reach the store last answered, if that is recent enough.
    fn last_member_contact(&self, now: Tick) -> Option<Tick> {
        let can_take_over = |status: &&PeerStatus| {
            let pong = &status.pong;
            !pong.stopping && !pong.failing && pong.store_age <= MAX_MEMBER_STORE_AGE.0
        };
        let is_recent = |status: &&PeerStatus| now.since(status.at) <= MAX_MEMBER_STATUS_AGE;
        let members = self.peers.iter().filter(|(name, _)| self.members.contains_key(*name));
        members
            .map(|(_, status)| status)
            .filter(can_take_over)
            .filter(is_recent)
            .map(|status| status.at)
            .max()
    }
}

/// Pings the owner of a pool now, unless this process watches the owners anyway.
pub async fn check_owner(node: &Node, pool: &PoolName) {
    let owner = {
        let view = node.view();
        if view.is_watching_owners(&node.settings.node, node.now()) {
            return;
        }
        view.owner(pool)
    };
    if let Some((owner, address)) = owner.filter(|(owner, _)| *owner != node.settings.node) {
        ping(node, &owner, address, OWNER_PING_TIMEOUT).await;
    }
}
