//! Detects owners that answer their peers but can't reach the store.
//!
//! The store may turn single processes away for seconds while it serves others. What such an owner
//! runs continues, but it stores nothing, accepts no jobs and orders no hosts.

use std::collections::VecDeque;

use reachhead_types::size::Millis;

use crate::clock::Tick;

/// How long an owner must be without the store, while this process reaches it, before its pools are
/// taken over. Polls of an idle owner are answered every second, and half a second later with a
/// slow store.
const MAX_IDLE_AGE: Millis = Millis(1800);

/// The same for an owner whose last call failed, so that idleness is no explanation. Its callers
/// are refused for as long as it keeps the pool.
const MAX_FAILING_AGE: Millis = Millis(900);

/// How long this process must have reached the store before it takes over pools of owners that do
/// not. After an outage for all, some processes reach the store a second or two before others.
const MIN_OWN_REACHABILITY: Millis = Millis(2000);

/// Silence of the store from which this process counts as having been without it: longer than one
/// failed call, and longer than the interval between the polls of a process without pools.
pub const MIN_OUTAGE: Millis = Millis(1700);

/// Maximum number of remembered outages. An owner without the store for as long as so many outages
/// last is cut off in any case.
const MAX_OUTAGES: usize = 32;

/// Reachability of the store from a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReachability {
    /// Time since the store last answered.
    pub age: Millis,
    /// The last call failed.
    pub failing: bool,
}

impl StoreReachability {
    /// Returns whether an owner with this reachability should lose its pools to a process that has
    /// reached the store for `own`.
    pub fn is_cut_off(self, own: Millis) -> bool {
        let limit = if self.failing { MAX_FAILING_AGE } else { MAX_IDLE_AGE };
        self.age > limit && own > MIN_OWN_REACHABILITY
    }
}

/// When the store answered this process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreAnswers {
    last: Tick,
    /// Start and end of the latest outages, the oldest first.
    outages: VecDeque<(Tick, Tick)>,
}

impl StoreAnswers {
    /// Records an answer.
    pub fn record(&mut self, now: Tick) {
        let start = std::mem::replace(&mut self.last, now);
        if now.since(start) >= MIN_OUTAGE {
            self.outages.push_back((start, now));
            if self.outages.len() > MAX_OUTAGES {
                self.outages.pop_front();
            }
        }
    }

    /// Returns when the store last answered.
    pub fn last(&self) -> Tick {
        self.last
    }

    /// Returns how long this process has reached the store, as evidence against an owner that last
    /// did so at `since`: without interruption until `now`, or in several stretches since then. An
    /// owner that reached the store in none of them is not merely later than this process.
    pub fn reachability(&self, since: Tick, now: Tick) -> Millis {
        let stable_since = self.outages.back().map_or(Tick(0), |(_, end)| *end);
        now.since(stable_since).max(self.reached_since(since))
    }

    /// Returns how long this process has reached the store since `since`, in all stretches together.
    pub fn reached_since(&self, since: Tick) -> Millis {
        let without = |(start, end): &(Tick, Tick)| end.since((*start).max(since)).0;
        let outages: u64 = self.outages.iter().map(without).sum();
        Millis(self.last.since(since).0.saturating_sub(outages))
    }
}
