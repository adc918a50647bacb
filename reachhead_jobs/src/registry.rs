//! Registered workers as one process passes them on to the owners of pools.
//!
//! Load: thousands of workers that say every few seconds that they live. Read by each owner of a pool, that is pools times workers;
//! here each owner is told of its own workers, and only of what is new.

use std::collections::VecDeque;

use reachhead_types::id::WorkerId;
use serde::{Deserialize, Serialize};

use crate::ports::WorkerInfo;

/// Changes that are kept; who is further behind gets all workers.
const CHANGES_KEPT: usize = 4096;

/// A worker that registered, changed its entry, or is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerChange {
    /// The worker.
    pub id: WorkerId,
    /// What it says of itself; `None` if its entry is gone or can't be read.
    pub info: Option<WorkerInfo>,
}

/// What changed among the registered workers.
#[derive(Debug, Clone, Default)]
pub struct WorkerChangeLog {
    version: u64,
    changes: VecDeque<(u64, WorkerChange)>,
}

impl WorkerChangeLog {
    /// Notes a change.
    pub fn record(&mut self, change: WorkerChange) {
        self.version += 1;
        self.changes.push_back((self.version, change));
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
    }

    /// Notes that anything may have changed: everybody gets all workers.
    pub fn reset(&mut self) {
        self.version += 1;
        self.changes.clear();
    }

    /// Returns the version of the newest change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns what changed after a version; `None` if that is not kept.
    pub fn since(&self, after: u64) -> Option<impl Iterator<Item = &WorkerChange>> {
        let first = self.changes.front().map_or(self.version + 1, |(version, _)| *version);
        let kept = after + 1 >= first && after <= self.version;
        let newer = self.changes.iter().filter(move |(version, _)| *version > after);
        kept.then(|| newer.map(|(_, change)| change))
    }
}
