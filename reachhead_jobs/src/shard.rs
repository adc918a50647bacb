//! Shards: the partitions of the store that hold the rows of a pool's jobs.
//!
//! A partition of the store carries out one transaction after the other. A slow one manages a few a
//! second, so a single partition for each pool would hold up a burst; docs/PLATFORM.md has the
//! figures.

use std::fmt::{self, Display, Formatter};

use reachhead_types::id::JobId;

/// Number of shards of each pool. More of them cost more calls, as fewer jobs share a transaction.
const SHARDS_PER_POOL: u64 = 4;

/// A shard of a pool's jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(u64);

impl Shard {
    /// Returns the shard of a job.
    pub const fn of(job: JobId) -> Self {
        Self(job.0 % SHARDS_PER_POOL)
    }

    /// Returns all shards.
    pub fn all() -> impl Iterator<Item = Self> + Clone {
        (0..SHARDS_PER_POOL).map(Self)
    }
}

impl Display for Shard {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}
