//! Asking owners whether they live, and what is known of peers by that.
//!
//! Members ask all owners four times a second. Everybody else asks one member a second whether the members are there, so that what
//! an owner is asked does not follow the number of hosts; only when none of several answers does such a process watch the owners
//! itself.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IteratorRandom;
use reachhead_jobs::clock::Tick;
use reachhead_types::{
    id::{NodeName, PoolName},
    size::Millis,
};
use tokio::time;

use crate::{
    node::Node,
    peer::{PeerReply, PeerRequest},
    view::{PeerStatus, View},
};

/// How often a process that watches the owners asks them.
const PERIOD: Duration = Duration::from_millis(250);

/// How long it waits for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// How often any other process asks a member.
const MEMBER_PERIOD: Millis = Millis(1000);

/// How long the word of a member counts: until then four others were asked in vain.
const MEMBER_TIME: Millis = Millis(2600);

/// How lately a member must have reached the store to count as one that would take a pool.
const MEMBER_STORE_AGE: Millis = Millis(1800);

/// Members that a process asks at once that the store turns away. A few suffice to learn who owns what, and hundreds of processes
/// may be turned away together.
const OUTAGE_PEERS: usize = 3;

/// Peers of which something is remembered, in time: nobody goes by what was heard before.
const HEARD_TIME: Millis = Millis(20_000);

/// How long a caller's process waits for the word of an owner that it has not asked lately.
const OWNER_TIME: Duration = Duration::from_millis(150);

/// Asks peers for as long as the process lives.
pub async fn run(node: Arc<Node>) {
    let mut member_next = Tick(0);
    loop {
        time::sleep(PERIOD).await;
        let now = node.now();
        for (peer, address) in asked(&node, &mut member_next, now) {
            let node = Arc::clone(&node);
            tokio::spawn(async move { ask(&node, peer, address, ANSWER_TIME).await });
        }
        node.view().peers.retain(|_, status| now.since(status.at) < HEARD_TIME);
    }
}

/// Asks a peer what it owns, and remembers what it says.
async fn ask(node: &Node, peer: NodeName, address: SocketAddr, wait: Duration) {
    if let Ok(PeerReply::Pong(pong)) = node.peers.ask(address, &PeerRequest::Ping, wait).await {
        let status = PeerStatus { at: node.now(), address, pong };
        node.view().peers.insert(peer, status);
    }
}

/// Returns whom to ask now.
fn asked(node: &Node, member_next: &mut Tick, now: Tick) -> BTreeMap<NodeName, SocketAddr> {
    let own = &node.settings.node;
    let away = node.outage().is_some();
    let view = node.view();
    let mut asked = BTreeMap::new();
    if view.is_watching_owners(own, now) || away {
        asked.extend(view.leases.keys().filter_map(|pool| view.owner(pool)));
    }
    // After an answer that does not come the next member is asked at once.
    let relieved = view.last_member_contact(now).is_some_and(|at| now.since(at) < MEMBER_PERIOD);
    if !view.members.contains_key(own) && (*member_next <= now || !relieved) {
        *member_next = now + MEMBER_PERIOD;
        asked.extend(random_members(&view, own, 1));
    }
    if away {
        asked.extend(random_members(&view, own, OUTAGE_PEERS));
    }
    asked.remove(own);
    asked
}

fn random_members(view: &View, own: &NodeName, count: usize) -> Vec<(NodeName, SocketAddr)> {
    let others = view.members.iter().filter(|(name, _)| *name != own);
    let others = others.map(|(name, member)| (name.clone(), member.record.address));
    others.choose_multiple(&mut rand::rng(), count)
}

impl View {
    /// Tells whether this process has to notice itself that an owner is gone: it is a member, or no member tells that it would.
    pub fn is_watching_owners(&self, own: &NodeName, now: Tick) -> bool {
        self.members.contains_key(own) || self.last_member_contact(now).is_none()
    }

    /// Returns when a member last said, lately enough, that it is there and reaches the store.
    fn last_member_contact(&self, now: Tick) -> Option<Tick> {
        let able = |status: &&PeerStatus| {
            let pong = &status.pong;
            !pong.stopping && !pong.failing && pong.store_age <= MEMBER_STORE_AGE.0
        };
        let lately = |status: &&PeerStatus| now.since(status.at) <= MEMBER_TIME;
        let members = self.peers.iter().filter(|(name, _)| self.members.contains_key(*name));
        members.map(|(_, status)| status).filter(able).filter(lately).map(|status| status.at).max()
    }
}

/// Asks the owner of a pool whether it lives, if this process does not watch the owners.
pub async fn check_owner(node: &Node, pool: &PoolName) {
    let owner = {
        let view = node.view();
        if view.is_watching_owners(&node.settings.node, node.now()) {
            return;
        }
        view.owner(pool)
    };
    if let Some((owner, address)) = owner.filter(|(owner, _)| *owner != node.settings.node) {
        ask(node, owner, address, OWNER_TIME).await;
    }
}
