//! Paces start orders by the bandwidth of the process's own link.
//!
//! Orders of a burst that are sent at once queue on the link. Those at the end of the queue time out
//! before they have left, are sent again to other workers, and delay heartbeats and transactions.

use reachhead_types::size::{ByteRate, Bytes, Millis};

use crate::clock::Tick;

/// Share of the link that start orders may use. The rest is for reports of workers, transactions,
/// heartbeats and calls of callers.
const LINK_SHARE: f64 = 0.5;

/// Longest burst, as the time that it takes at the paced rate: above the interval between two rounds
/// of an owner, and well below the timeout of an order.
const MAX_BURST: Millis = Millis(60);

/// Bytes of an order besides its payload, with its share of setting up the connection and its answer.
const ORDER_OVERHEAD: Bytes = Bytes(700);

/// Bytes of start orders that may be sent now. The last order may exceed what is left, so that one
/// of any size is sent in the end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartBudget {
    left: f64,
}

impl StartBudget {
    /// Returns a budget that no order exceeds.
    pub const fn unlimited() -> Self {
        Self { left: f64::INFINITY }
    }

    /// Returns whether another order may be sent.
    pub fn has_room(self) -> bool {
        self.left > 0.0
    }

    /// Records an order with this payload.
    pub fn take(&mut self, payload: &str) {
        self.left -= (payload.len() as u64 + ORDER_OVERHEAD.0) as f64;
    }
}

/// A token bucket for the start orders of a process, shared by the pools that it owns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartPacer {
    /// Bytes per millisecond.
    rate: f64,
    budget: StartBudget,
    at: Tick,
}

impl StartPacer {
    /// Returns the pacer of a process on a link with this bandwidth.
    pub fn new(bandwidth: ByteRate, now: Tick) -> Self {
        let rate = LINK_SHARE * bandwidth.0 as f64 / 1000.0;
        Self { rate, budget: StartBudget { left: rate * MAX_BURST.0 as f64 }, at: now }
    }

    /// Returns what may be sent at `now`.
    pub fn budget(&mut self, now: Tick) -> StartBudget {
        let earned = now.since(self.at).0 as f64 * self.rate;
        self.at = self.at.max(now);
        self.budget.left = (self.budget.left + earned).min(self.rate * MAX_BURST.0 as f64);
        self.budget
    }

    /// Records what is left of a budget after a round.
    pub fn record(&mut self, left: StartBudget) {
        self.budget = left;
    }
}
