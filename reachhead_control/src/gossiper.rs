//! Spreads configuration and membership to random peers: once per period, and at once after a
//! change.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use log::debug;
use rand::seq::IndexedRandom;
use reachhead_link::{
    client::LinkClient,
    message::{ControlReply, ControlRequest, GossipReply},
};
use reachhead_types::{boot_instant::BootInstant, size::Millis};

use crate::view::{GossipRound, PeerList, View};

/// Number of peers contacted in a round that carries a change, or while the store is lost.
const URGENT_PEERS: usize = 3;

/// Number of peers contacted in any other round.
const IDLE_PEERS: usize = 1;

/// How long a peer that did not answer is skipped while there are others: each request to it delays
/// the round by [`REQUEST_TIMEOUT`].
const UNRESPONSIVE_PAUSE: Duration = Duration::from_secs(5);

/// Timeout of a request to a peer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Exchanges state with peers, on its own thread.
pub struct Gossiper {
    view: Arc<View>,
    client: LinkClient<ControlRequest, ControlReply>,
    seeds: Vec<SocketAddr>,
    period: Duration,
    /// When the last request to a peer failed, by peer.
    unresponsive: BTreeMap<SocketAddr, BootInstant>,
}

impl Gossiper {
    /// Returns a gossiper with one round per `period`; `seeds` are contacted until members are
    /// known.
    pub fn new(view: Arc<View>, seeds: Vec<SocketAddr>, period: Duration) -> Self {
        Self {
            view,
            client: LinkClient::new(REQUEST_TIMEOUT),
            seeds,
            period,
            unresponsive: BTreeMap::new(),
        }
    }

    /// Runs gossip rounds for the lifetime of the process.
    pub fn run(mut self) {
        loop {
            let round = self.view.wait_for_round(self.period);
            self.gossip(&round);
        }
    }

    fn gossip(&mut self, round: &GossipRound) {
        let members: Vec<SocketAddr> = round.peers.iter().map(|peer| peer.control).collect();
        let candidates = if members.is_empty() { self.seeds.clone() } else { members };
        // Without the store, peers are the only source of membership, and some may be down.
        let is_urgent = round.delta.is_some() || self.view.is_store_lost();
        let count = if is_urgent { URGENT_PEERS } else { IDLE_PEERS };
        self.unresponsive.retain(|peer, _| candidates.contains(peer));
        let candidates = self.responsive_peers(candidates, is_urgent);
        for &peer in candidates.choose_multiple(&mut rand::rng(), count) {
            let request = ControlRequest::Gossip {
                have: round.have,
                delta: round.delta.clone(),
                list: round.list,
                hosts: self.view.hosts_revision(),
            };
            let requested_at = BootInstant::now();
            match self.client.request(peer, &request) {
                Ok(ControlReply::Gossip(reply)) => {
                    self.unresponsive.remove(&peer);
                    self.process_reply(peer, *reply, requested_at);
                }
                Ok(_) => debug!("gossip with {peer}: unexpected reply"),
                Err(error) => {
                    debug!("gossip with {peer}: {error}");
                    self.unresponsive.insert(peer, BootInstant::now());
                }
            }
        }
    }

    /// Drops peers whose last request failed: in an urgent round all of them, otherwise those
    /// within [`UNRESPONSIVE_PAUSE`]. Returns all `peers` if none would be left.
    fn responsive_peers(&self, peers: Vec<SocketAddr>, is_urgent: bool) -> Vec<SocketAddr> {
        let is_unresponsive = |peer: &SocketAddr| {
            self.unresponsive
                .get(peer)
                .is_some_and(|at| is_urgent || at.elapsed() < UNRESPONSIVE_PAUSE)
        };
        let responsive: Vec<SocketAddr> =
            peers.iter().filter(|peer| !is_unresponsive(peer)).copied().collect();
        if responsive.is_empty() { peers } else { responsive }
    }

    fn process_reply(&self, peer: SocketAddr, reply: GossipReply, requested_at: BootInstant) {
        let age = reply.age.map(Millis::duration);
        let peer_list = PeerList { is_store_lost: reply.is_cut_off, age };
        self.view.merge_peer_list(reply.list, peer_list, requested_at);
        if let Some(leaving) = reply.leaving {
            self.view.adopt_leaving(leaving);
        }
        if let Some(Err(gap)) = reply.delta.map(|delta| self.view.apply_delta(&delta)) {
            debug!("gossip with {peer}: {gap}");
        }
    }
}
