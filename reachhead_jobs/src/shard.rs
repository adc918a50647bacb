//! The parts of the store among which the rows of a pool's jobs are partitioned.
//!
//! A part of the store carries out one transaction after the other. When it is slow that is a few a second, and
//! one part for each pool would hold up a burst; docs/PLATFORM.md has the figures.

use std::fmt::{self, Display, Formatter};

use reachhead_types::id::JobId;

/// Parts for each pool. More of them cost more calls, as fewer jobs share a transaction.
const COUNT: u64 = 4;

/// A part of the store for jobs of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(u64);

impl Shard {
    /// Returns where the rows of a job are.
    pub const fn of(job: JobId) -> Self {
        Self(job.0 % COUNT)
    }

    /// Returns all of them.
    pub fn all() -> impl Iterator<Item = Self> + Clone {
        (0..COUNT).map(Self)
    }
}

impl Display for Shard {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}
