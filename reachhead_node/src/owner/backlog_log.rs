//! Logs what fills the link of an owner whose start orders wait.

use reachhead_jobs::{clock::Tick, pool::Pool};
use reachhead_ops::{
    event::{Event, emit},
    traffic::Totals,
};
use reachhead_types::size::Millis;

use crate::node::Node;

/// Minimum time between two lines of an owner.
const LOG_PERIOD: Millis = Millis(2000);

/// The last line of an owner, and the process's traffic up to then.
#[derive(Default)]
pub(super) struct BacklogLog {
    logged_at: Tick,
    traffic: Totals,
}

impl BacklogLog {
    /// Logs the backlog of an owner whose last round was limited, unless that was done recently.
    pub(super) fn record(&mut self, node: &Node, pool: &Pool, now: Tick) {
        if !pool.round_outcome().limited || now.since(self.logged_at) < LOG_PERIOD {
            return;
        }
        self.logged_at = now;
        let backlog = pool.start_backlog();
        let time = node.start_pacer().transfer_time(backlog.size);
        let round_trip = node.peers.link_delay();
        let round_trip = round_trip.map_or("-".to_owned(), |delay| format!("{delay}ms"));
        let traffic = node.peers.traffic();
        emit(
            Event::StartsLimited,
            format_args!(
                "pool={} {backlog} time={time}ms round_trip={round_trip} owned={} {}",
                pool.name(),
                node.owned().len(),
                traffic.since(&self.traffic)
            ),
        );
        self.traffic = traffic;
    }
}
