//! When an owner that answers its peers is all the same unable to do its duty.
//!
//! Load pattern: the store turns single processes away and serves the others, for seconds. What such an owner runs goes
//! on, but it records nothing, takes no jobs and orders no hosts.

use reachhead_types::size::Millis;

/// How long an owner must be without the store, while this process reaches it, before its pools are taken. The polls of
/// an idle owner are answered every second, with a slow store half a second later.
const BLIND_TIME: Millis = Millis(1800);

/// The same for one whose last call failed, so that an idle owner's pauses are no explanation. Its pool's callers are
/// refused for as long as it keeps the pool.
const FAILING_TIME: Millis = Millis(900);

/// How long this process must have reached the store without a gap before it takes the pools of owners that do not: after
/// an outage for all, some reach it again a second or two before others.
const SIGHT_TIME: Millis = Millis(2000);

/// How a process reaches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReachability {
    /// How long ago the store answered it.
    pub age: Millis,
    /// Its last call failed.
    pub failing: bool,
}

impl StoreReachability {
    /// Tells whether an owner with this sight should lose its pools to a process that has reached the store without a
    /// gap for `own`.
    pub fn is_cut_off(self, own: Millis) -> bool {
        let limit = if self.failing { FAILING_TIME } else { BLIND_TIME };
        self.age > limit && own > SIGHT_TIME
    }
}
