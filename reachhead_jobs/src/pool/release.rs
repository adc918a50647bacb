//! Emptying workers whose hosts the pool is not to keep.
//!
//! Load: a queue's turn ends while the next one's begins. Its work thins out over all hosts of its pool, each keeps a task or
//! two for seconds, and a host only leaves when it is empty.

use std::cmp::Reverse;

use reachhead_types::{id::WorkerId, size::Millis};
use serde::{Deserialize, Serialize};

use crate::{clock::Tick, pool::Pool};

/// How long a decision about the hosts of a pool counts. It is told ten times a second; without the process that decides, a
/// pool uses all that it has again.
const DECISION_TIME: Millis = Millis(400);

/// What was decided about the hosts of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Hosts that the pool is to have.
    pub hosts: u32,
    /// Another pool lacks hosts, so those beyond that get nothing new at all. Else they get what fits nowhere else.
    pub urgent: bool,
}

/// A worker whose host is to leave its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Leaving {
    /// Until when that counts.
    pub until: Tick,
    /// It gets nothing new.
    pub urgent: bool,
}

impl Pool {
    /// Chooses the workers whose hosts are to leave, so that they get empty: those that are leaving already, then those with
    /// least to do. Tasks that run on stay where they are.
    pub fn release(&mut self, allotment: Allotment, now: Tick) {
        let loads = self.worker_loads(now);
        let excess = loads.len().saturating_sub(allotment.hosts as usize);
        let mut others: Vec<_> = loads.into_iter().filter(|load| !load.pinned).collect();
        let is_leaving = |id: &WorkerId| self.workers[id].leaving.until > now;
        others.sort_by_cached_key(|load| (Reverse(is_leaving(&load.worker)), load.used));
        let leaving = Leaving { until: now + DECISION_TIME, urgent: allotment.urgent };
        for (place, load) in others.iter().enumerate() {
            if let Some(worker) = self.workers.get_mut(&load.worker) {
                worker.leaving = if place < excess { leaving } else { Leaving::default() };
            }
        }
    }
}
