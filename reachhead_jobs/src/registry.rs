//! Change log of the registered workers, through which one process relays them to the owners of
//! pools.
//!
//! Thousands of workers renew their registration every few seconds. If every owner read them all,
//! the load would be pools times workers; with the log, each owner receives only its own workers,
//! and only what changed.

use std::collections::VecDeque;

use reachhead_types::id::WorkerId;
use serde::{Deserialize, Serialize};

use crate::ports::WorkerInfo;

/// Changes kept in the log; a reader that is further behind gets all workers.
const MAX_CHANGES: usize = 4096;

/// A worker that registered, changed its registration, or is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerChange {
    /// Worker id.
    pub id: WorkerId,
    /// Its registration; `None` if that is gone or can't be read.
    pub info: Option<WorkerInfo>,
}

/// Versioned log of changes among the registered workers.
#[derive(Debug, Clone, Default)]
pub struct WorkerChangeLog {
    version: u64,
    changes: VecDeque<(u64, WorkerChange)>,
}

impl WorkerChangeLog {
    /// Appends a change.
    pub fn record(&mut self, change: WorkerChange) {
        self.version += 1;
        self.changes.push_back((self.version, change));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Discards the log, so that every reader gets all workers: anything may have changed.
    pub fn reset(&mut self) {
        self.version += 1;
        self.changes.clear();
    }

    /// Returns the version of the newest change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the changes after a version; `None` if the log does not reach back that far.
    pub fn since(&self, after: u64) -> Option<impl Iterator<Item = &WorkerChange>> {
        let first = self.changes.front().map_or(self.version + 1, |(version, _)| *version);
        let is_covered = after + 1 >= first && after <= self.version;
        let newer = self.changes.iter().filter(move |(version, _)| *version > after);
        is_covered.then(|| newer.map(|(_, change)| change))
    }
}
