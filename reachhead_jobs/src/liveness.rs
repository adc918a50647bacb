//! Detects owners that answer their peers but can't reach the store.
//!
//! The store may turn single processes away for seconds while it serves others. What such an owner
//! runs continues, but it stores nothing, accepts no jobs and orders no hosts.

use reachhead_types::size::Millis;

/// How long an owner must be without the store, while this process reaches it, before its pools are
/// taken over. Polls of an idle owner are answered every second, and half a second later with a
/// slow store.
const MAX_IDLE_AGE: Millis = Millis(1800);

/// The same for an owner whose last call failed, so that idleness is no explanation. Its callers
/// are refused for as long as it keeps the pool.
const MAX_FAILING_AGE: Millis = Millis(900);

/// How long this process must have reached the store without interruption before it takes over
/// pools of owners that do not. After an outage for all, some processes reach the store a second or
/// two before others.
const MIN_OWN_REACHABILITY: Millis = Millis(2000);

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
    /// reached the store without interruption for `own`.
    pub fn is_cut_off(self, own: Millis) -> bool {
        let limit = if self.failing { MAX_FAILING_AGE } else { MAX_IDLE_AGE };
        self.age > limit && own > MIN_OWN_REACHABILITY
    }
}
