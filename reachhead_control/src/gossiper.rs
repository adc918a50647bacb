//! Hands versions on to a few peers: each round, and at once when there is news.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use log::debug;
use rand::seq::IndexedRandom;
use reachhead_link::{
    client::LinkClient,
    message::{ControlReply, ControlRequest, GossipReply},
};
use reachhead_types::{boot_instant::BootInstant, size::Millis};

use crate::view::{Round, View, Witness};

/// Peers that a round of news goes to.
const NEWS_PEERS: usize = 3;

/// Peers that a quiet round goes to.
const QUIET_PEERS: usize = 1;

/// How long a peer that did not answer is left alone while others are there: each question to it holds
/// the round up for [`ASK_TIME`].
const SILENT_TIME: Duration = Duration::from_secs(5);

/// Longest wait for a peer's answer.
const ASK_TIME: Duration = Duration::from_millis(500);

/// Speaks with peers, on a thread of its own.
pub struct Gossiper {
    view: Arc<View>,
    client: LinkClient<ControlRequest, ControlReply>,
    seeds: Vec<SocketAddr>,
    period: Duration,
    /// When peers last left a question without an answer.
    silent: BTreeMap<SocketAddr, BootInstant>,
}

impl Gossiper {
    /// Returns a gossiper with a round each `period`; `seeds` serve until peers are known.
    pub fn new(view: Arc<View>, seeds: Vec<SocketAddr>, period: Duration) -> Self {
        Self { view, client: LinkClient::new(ASK_TIME), seeds, period, silent: BTreeMap::new() }
    }

    /// Speaks with peers for as long as the process lives.
    pub fn run(mut self) {
        loop {
            let round = self.view.next_round(self.period);
            self.speak(&round);
        }
    }

    fn speak(&mut self, round: &Round) {
        let known: Vec<SocketAddr> = round.peers.iter().map(|peer| peer.control).collect();
        let from = if known.is_empty() { self.seeds.clone() } else { known };
        // Without the store peers are the only witnesses, and some may be gone.
        let is_urgent = round.delta.is_some() || self.view.is_blind();
        let count = if is_urgent { NEWS_PEERS } else { QUIET_PEERS };
        self.silent.retain(|peer, _| from.contains(peer));
        let from = self.answering(from, is_urgent);
        for &peer in from.choose_multiple(&mut rand::rng(), count) {
            let request = ControlRequest::Gossip {
                have: round.have,
                delta: round.delta.clone(),
                list: round.list,
                hosts: self.view.hosts_revision(),
            };
            let asked = BootInstant::now();
            match self.client.ask(peer, &request) {
                Ok(ControlReply::Gossip(reply)) => {
                    self.silent.remove(&peer);
                    self.learn(peer, *reply, asked);
                }
                Ok(_) => debug!("gossip with {peer}: an answer to another question"),
                Err(error) => {
                    debug!("gossip with {peer}: {error}");
                    self.silent.insert(peer, BootInstant::now());
                }
            }
        }
    }

    /// Leaves out peers that did not answer lately, and in an urgent round all that did not answer
    /// last, unless there are no others.
    fn answering(&self, peers: Vec<SocketAddr>, is_urgent: bool) -> Vec<SocketAddr> {
        let is_silent = |peer: &SocketAddr| {
            self.silent.get(peer).is_some_and(|at| is_urgent || at.elapsed() < SILENT_TIME)
        };
        let answering: Vec<SocketAddr> =
            peers.iter().filter(|peer| !is_silent(peer)).copied().collect();
        if answering.is_empty() { peers } else { answering }
    }

    fn learn(&self, peer: SocketAddr, reply: GossipReply, asked: BootInstant) {
        let age = reply.age.map(Millis::duration);
        let witness = Witness { is_blind: reply.is_blind, age };
        self.view.learn_list(reply.list, witness, asked);
        if let Some(leaving) = reply.leaving {
            self.view.adopt_leaving(leaving);
        }
        if let Some(Err(gap)) = reply.delta.map(|delta| self.view.apply(&delta)) {
            debug!("gossip with {peer}: {gap}");
        }
    }
}
