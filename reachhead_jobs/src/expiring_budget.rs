//! How much of a pool goes to late jobs before those that can still be in time.
//!
//! Load: a burst meets a pool that has few hosts, and its first jobs are late before more hosts come. Work that can be in
//! time comes first as long as the burst lasts, so without a share of their own the first callers wait until nobody waits
//! for them any more. A late answer is worth little, but a job that was accepted and never done costs its caller most.

/// Largest part of a pool's room that late jobs may have while others can be in time, in percent. It is enough for what
/// a burst makes late in the two seconds that hosts take to come; with all of the room a long overload would make every
/// job late, since each would be begun only when it expires.
const SHARE_PERCENT: u64 = 25;

/// What late jobs may still take of a pool's room, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpiringBudget {
    left: u64,
}

impl ExpiringBudget {
    /// Returns the share in a pool with `room`, of which late jobs have `used`.
    pub fn new(room: u64, used: u64) -> Self {
        Self { left: (room * SHARE_PERCENT / 100).saturating_sub(used) }
    }

    /// Takes room for a job, unless the share is used up. The last one may go beyond it, so that a job wider than
    /// the share is not left out.
    pub fn take(&mut self, cores: u64) -> bool {
        let open = self.left > 0;
        self.left = self.left.saturating_sub(cores);
        open
    }
}
