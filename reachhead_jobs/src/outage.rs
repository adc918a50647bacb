//! Recognizes that many workers die of a cause of their own, and not of what they run.
//!
//! A rack, a zone or a service that goes down takes dozens of workers with it within a second, whatever
//! runs there. Deaths in that time say nothing about the tasks that happened to be starting. Deaths
//! with a task just started are not taken for an outage, since that task may be the cause. See "Tasks
//! that crash their workers" in [docs/PLATFORM.md](../../docs/PLATFORM.md).

use std::collections::VecDeque;

use reachhead_types::{id::WorkerId, size::Millis};

use crate::clock::Tick;

/// Time within which deaths belong to one outage. An owner notices the deaths of one moment over the
/// duration of a long poll.
pub(crate) const OUTAGE_WINDOW: Millis = Millis(2000);

/// Number of deaths within [`OUTAGE_WINDOW`], without a task that may have caused them, that make an
/// outage. Single hosts fail at any time.
const MIN_DEATHS: usize = 3;

/// Longest duration of an outage. Tasks that crash workers late in their runs cause deaths without a
/// visible cause, which must not exempt them from being counted for good.
const MAX_OUTAGE: Millis = Millis(5000);

/// When a worker was found dead.
#[derive(Debug, Clone)]
struct Death {
    worker: WorkerId,
    at: Tick,
}

/// The recent deaths of workers that no starting task explains.
#[derive(Debug, Clone, Default)]
pub struct OutageDetector {
    deaths: VecDeque<Death>,
    /// When the outage began, if there is one.
    since: Option<Tick>,
}

impl OutageDetector {
    /// Creates a detector that has seen no deaths.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the death of a worker that no starting task explains, and returns whether an outage
    /// begins with it. A worker that restarts again and again counts once.
    pub fn record_death(&mut self, worker: &WorkerId, now: Tick) -> bool {
        self.deaths.retain(|death| now.since(death.at) < OUTAGE_WINDOW && death.worker != *worker);
        self.deaths.push_back(Death { worker: worker.clone(), at: now });
        if self.deaths.len() < MIN_DEATHS {
            self.since = None;
            return false;
        }
        self.deaths.drain(..self.deaths.len() - MIN_DEATHS);
        let begins = self.since.is_none();
        self.since.get_or_insert(now);
        begins
    }

    /// Returns whether an outage goes on.
    pub fn is_active(&self, now: Tick) -> bool {
        let is_recent = self.deaths.back().is_some_and(|last| now.since(last.at) < OUTAGE_WINDOW);
        is_recent && self.since.is_some_and(|since| now.since(since) < MAX_OUTAGE)
    }
}
