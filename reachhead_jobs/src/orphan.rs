//! Orphans: runs that a worker reports and that belong to no run of this owner.

use crate::{clock::Tick, ports::RunningEntry};

/// Progress of the order to stop an orphan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOrder {
    /// Not ordered: the job may become known, and then the run is adopted.
    NotOrdered,
    /// The order is in flight.
    InFlight,
    /// The order was answered at `at`, which bars the run for good.
    Confirmed {
        /// When the answer came.
        at: Tick,
    },
    /// The order failed, and is sent again at `retry_at`.
    Failed {
        /// When it is sent again.
        retry_at: Tick,
    },
}

/// A run that belongs to no run of this owner. Its resources are unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Orphan {
    /// The run as last reported.
    pub entry: RunningEntry,
    /// Progress of the order to stop it.
    pub stop: StopOrder,
}

impl Orphan {
    /// Returns an orphan that was just reported.
    pub fn new(entry: RunningEntry) -> Self {
        Self { entry, stop: StopOrder::NotOrdered }
    }

    /// Returns whether it is the reported run.
    pub fn matches(&self, entry: &RunningEntry) -> bool {
        self.entry.task == entry.task && self.entry.run == entry.run
    }
}
