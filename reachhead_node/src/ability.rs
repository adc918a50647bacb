//! What a process knows about its own ability to serve pools: whether it has run without a pause, and
//! which pools it gave up because it can't read their rows.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_jobs::{claim::probe_pause, clock::Tick};
use reachhead_types::{id::PoolName, size::Millis};

/// Gap between two checks from which the process counts as having paused.
const DELAYED_CHECK_GAP: Millis = Millis(350);

/// How long a process that has left a pool to its peers takes it only after all of them.
const DECLINED_TIME: Millis = Millis(5000);

/// A pool whose rows this process could not read.
#[derive(Debug, Clone, Copy)]
struct Unreadable {
    /// Failures in a row.
    failures: u32,
    next_probe: Tick,
}

/// What this process knows about its own ability to serve pools.
#[derive(Debug, Default)]
pub struct Ability {
    /// Since when the process has run without a pause, as of the last check.
    running_since: Tick,
    /// When this was last checked.
    checked_at: Tick,
    /// The pools whose rows it could not read; they are probed until it can.
    unreadable: BTreeMap<PoolName, Unreadable>,
    /// When this process left a pool to peers, since its link did not carry the takeover in time.
    declined: BTreeMap<PoolName, Tick>,
}

impl Ability {
    /// Returns since when the process has run without a pause. The first message after a pause may be
    /// answered before the next check.
    pub fn running_since(&self, now: Tick) -> Tick {
        let paused = now.since(self.checked_at) >= DELAYED_CHECK_GAP;
        if paused { now } else { self.running_since }
    }

    /// Records a check.
    pub fn check(&mut self, now: Tick) {
        self.running_since = self.running_since(now);
        self.checked_at = now;
    }

    /// Records that this process leaves a pool to peers.
    pub fn record_declined(&mut self, pool: &PoolName, now: Tick) {
        self.declined.retain(|_, declined| now.since(*declined) < DECLINED_TIME);
        self.declined.insert(pool.clone(), now);
    }

    /// Returns whether other processes should take a pool before this one: it could not read the rows,
    /// or has just left the pool to them.
    pub fn is_unable(&self, pool: &PoolName, now: Tick) -> bool {
        let declined = self.declined.get(pool);
        self.is_unreadable(pool) || declined.is_some_and(|at| now.since(*at) < DECLINED_TIME)
    }

    /// Returns the pools whose rows this process could not read.
    pub fn unreadable(&self) -> BTreeSet<PoolName> {
        self.unreadable.keys().cloned().collect()
    }

    /// Returns whether this process could not read the rows of a pool.
    pub fn is_unreadable(&self, pool: &PoolName) -> bool {
        self.unreadable.contains_key(pool)
    }

    /// Records that the pool's rows can be read.
    pub fn record_readable(&mut self, pool: &PoolName) {
        self.unreadable.remove(pool);
    }

    /// Records that the pool's rows can't be read, or for the fleet owner the platform's hosts.
    pub fn record_unreadable(&mut self, pool: &PoolName, now: Tick) {
        let failures = self.unreadable.get(pool).map_or(0, |known| known.failures + 1);
        let next_probe = now + probe_pause(failures);
        self.unreadable.insert(pool.clone(), Unreadable { failures, next_probe });
    }

    /// Returns the pools to probe now, none of them again before its pause is over.
    pub fn take_due_probes(&mut self, now: Tick) -> Vec<PoolName> {
        let mut due = Vec::new();
        for (pool, unreadable) in &mut self.unreadable {
            if unreadable.next_probe <= now {
                unreadable.next_probe = now + probe_pause(unreadable.failures);
                due.push(pool.clone());
            }
        }
        due
    }
}
