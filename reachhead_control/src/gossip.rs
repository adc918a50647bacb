//! Hands versions on to a few peers: each round, and at once when there is news.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use log::debug;
use rand::seq::IndexedRandom;
use reachhead_link::{
    client::Asker,
    message::{ControlReply, ControlRequest},
};

use crate::view::{Round, View};

/// Peers that a round of news goes to.
const NEWS_PEERS: usize = 3;

/// Peers that a quiet round goes to.
const QUIET_PEERS: usize = 1;

/// Longest wait for a peer's answer.
const ASK_TIME: Duration = Duration::from_millis(500);

/// Speaks with peers, on a thread of its own.
pub struct Gossiper {
    view: Arc<View>,
    asker: Asker<ControlRequest, ControlReply>,
    seeds: Vec<SocketAddr>,
    period: Duration,
}

impl Gossiper {
    /// Returns a gossiper with a round each `period`; `seeds` serve until peers are known.
    pub fn new(view: Arc<View>, seeds: Vec<SocketAddr>, period: Duration) -> Self {
        Self { view, asker: Asker::new(ASK_TIME), seeds, period }
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
        let wants_members = known.is_empty();
        let from = if wants_members { self.seeds.clone() } else { known };
        let count = if round.delta.is_some() { NEWS_PEERS } else { QUIET_PEERS };
        let chosen: Vec<SocketAddr> =
            from.choose_multiple(&mut rand::rng(), count).copied().collect();
        for peer in chosen {
            let request = ControlRequest::Gossip {
                host: self.view.host().clone(),
                have: round.have,
                delta: round.delta.clone(),
                wants_members,
            };
            match self.asker.ask(peer, &request) {
                Ok(ControlReply::Gossip { delta, members, .. }) => {
                    self.view.note_peer();
                    self.view.start_members(members);
                    if let Some(Err(gap)) = delta.map(|delta| self.view.apply(&delta)) {
                        debug!("gossip from {peer}: {gap}");
                    }
                }
                Ok(_) => debug!("gossip with {peer}: an answer to another question"),
                Err(error) => debug!("gossip with {peer}: {error}"),
            }
        }
    }
}
