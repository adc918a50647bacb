//! Failures of pool owners in a process, and the pauses after them in which it leaves the pool to
//! others.
//!
//! What made an owner fail may be in the pool's stored state, and end each owner in turn. The
//! first failure costs no pause, since most causes don't last; after that pauses double, so that
//! the pool moves on to other processes and does not occupy this one.

use std::collections::BTreeMap;

use reachhead_types::{id::PoolName, size::Millis};

use crate::clock::Tick;

/// Pause after the second failure: other processes notice within it that the pool is vacant, and
/// take it.
const MIN_PAUSE: Millis = Millis(3000);

/// Longest pause.
const MAX_PAUSE: Millis = Millis(24_000);

/// Time without a failure, after a pause, from which the next one counts as the first.
const MEMORY: Millis = Millis(60_000);

/// The last failure of a pool's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Failure {
    pause: Millis,
    until: Tick,
}

/// Failures of owners by pool.
#[derive(Debug, Clone, Default)]
pub struct OwnerFailures {
    pools: BTreeMap<PoolName, Failure>,
}

impl OwnerFailures {
    /// Returns a record without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the pool's owner failed, and returns the pause before this process may take
    /// the pool again.
    pub fn record(&mut self, pool: &PoolName, now: Tick) -> Millis {
        self.pools.retain(|_, failure| now.since(failure.until) < MEMORY);
        let pause = self
            .pools
            .get(pool)
            .map_or(Millis(0), |last| Millis(2 * last.pause.0).clamp(MIN_PAUSE, MAX_PAUSE));
        self.pools.insert(pool.clone(), Failure { pause, until: now + pause });
        pause
    }

    /// Returns whether this process leaves the pool to others now.
    pub fn is_paused(&self, pool: &PoolName, now: Tick) -> bool {
        self.pools.get(pool).is_some_and(|failure| now < failure.until)
    }
}
