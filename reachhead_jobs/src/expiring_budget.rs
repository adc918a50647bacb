//! Limits how much of a pool goes to expiring jobs ahead of jobs that can still be in time.
//!
//! When a burst meets a pool with few hosts, its first jobs are late before more hosts arrive. Jobs
//! that can be in time come first for as long as the burst lasts, so without a budget of their own
//! the first jobs would wait until their callers give up. A late answer is worth little, but an
//! accepted job that is never done costs its caller most.

/// Largest part of a pool's capacity for expiring jobs while others can be in time, in percent. It
/// covers what a burst makes late in the two seconds until hosts arrive. With the whole capacity, a
/// long overload would make every job late, since each would start only when it expires.
const MAX_PERCENT: u64 = 25;

/// Capacity that expiring jobs may still take in a pool, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpiringBudget {
    remaining: u64,
}

impl ExpiringBudget {
    /// Creates the budget of a pool with `capacity`, of which late jobs already have `used`.
    pub fn new(capacity: u64, used: u64) -> Self {
        Self { remaining: (capacity.saturating_mul(MAX_PERCENT) / 100).saturating_sub(used) }
    }

    /// Takes capacity for a job unless the budget is used up. The last job may exceed it, so that a
    /// job larger than the budget is not starved.
    pub fn take(&mut self, cores: u64) -> bool {
        let available = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(cores);
        available
    }
}
