//! Paces the polls of workers by the bandwidth of the process's own link.
//!
//! A worker answers a poll as soon as a task ends there, with all its runs. In a burst the reports of a
//! pool exceed a narrow link; leases are then renewed too late, and heartbeats and transactions are
//! delayed.

use reachhead_types::size::{ByteRate, Millis};

use crate::clock::Tick;

/// Share of the link that reports may use.
const LINK_SHARE: f64 = 0.4;

/// Longest burst, as the time that it takes at the paced rate.
const MAX_BURST: Millis = Millis(100);

/// Bytes of a poll and its answer besides the runs.
const POLL_OVERHEAD: f64 = 600.0;

/// Bytes of a run, or of an end, in a report.
const RUN_SIZE: f64 = 60.0;

/// Longest delay of a poll: well below the lease of a worker, less the longest wait of a poll.
pub const MAX_POLL_DELAY: Millis = Millis(600);

/// Longest delay of a poll of a worker that lists its ends again until they are recorded. Such
/// reports are large, and while they fill the link no end is recorded. It holds only while more than
/// half of the worker's lease is left, so that a lost poll still ends no run.
pub const MAX_REPEATED_POLL_DELAY: Millis = Millis(2000);

/// Bytes of reports that may be requested now. The last poll may exceed what is left.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PollBudget {
    left: f64,
}

impl PollBudget {
    /// Returns a budget that no poll exceeds.
    pub const fn unlimited() -> Self {
        Self { left: f64::INFINITY }
    }

    /// Returns whether another poll may be sent.
    pub fn has_room(self) -> bool {
        self.left > 0.0
    }

    /// Records a poll of a worker whose report has this number of runs and ends.
    pub fn take(&mut self, entries: usize) {
        self.left -= POLL_OVERHEAD + RUN_SIZE * entries as f64;
    }
}

/// A token bucket for the polls of a process, shared by the pools that it owns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PollPacer {
    /// Bytes per millisecond.
    rate: f64,
    budget: PollBudget,
    at: Tick,
}

impl PollPacer {
    /// Returns the pacer of a process on a link with this bandwidth.
    pub fn new(bandwidth: ByteRate, now: Tick) -> Self {
        let rate = LINK_SHARE * bandwidth.0 as f64 / 1000.0;
        Self { rate, budget: PollBudget { left: rate * MAX_BURST.0 as f64 }, at: now }
    }

    /// Returns what may be requested at `now`.
    pub fn budget(&mut self, now: Tick) -> PollBudget {
        let earned = now.since(self.at).0 as f64 * self.rate;
        self.at = self.at.max(now);
        self.budget.left = (self.budget.left + earned).min(self.rate * MAX_BURST.0 as f64);
        self.budget
    }

    /// Records what is left of a budget after a round.
    pub fn record(&mut self, left: PollBudget) {
        self.budget = left;
    }
}
