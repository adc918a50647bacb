//! Fencing a pool's parts of the store, one after the other.
//!
//! A lease lives in one part of the store and the rows of the pool's jobs in others, and not every store takes a
//! transaction over several parts. So each part has a fence row of its own: whoever takes the lease raises the
//! fences to the lease's token, each in a transaction within its part, and every write of an owner in a part
//! depends on the revision that its own raise gave the fence there. docs/PLATFORM.md lists what this keeps.

use reachhead_store::{
    StoreError,
    row::{Row, Txn},
};
use reachhead_types::{
    id::{NodeName, PoolName},
    size::{FencingToken, Revision},
};

use crate::{
    record::{FenceRecord, fence_key, value},
    shard::Shard,
};

/// What is to be done about the fence of a part.
#[derive(Debug, Clone, PartialEq)]
pub enum FenceStep {
    /// The fence is this owner's: rows that are read from now on are not changed by a predecessor any more.
    Raised(Revision),
    /// The transaction to send next.
    Write(Txn),
    /// A later owner has fenced the part.
    Superseded,
}

/// A fence that is being raised.
#[derive(Debug, Clone)]
pub struct Fence {
    pool: PoolName,
    shard: Shard,
    token: FencingToken,
    owner: NodeName,
}

impl Fence {
    /// Returns the fence of a part for the owner that holds the pool's lease with `token`.
    pub const fn new(pool: PoolName, shard: Shard, token: FencingToken, owner: NodeName) -> Self {
        Self { pool, shard, token, owner }
    }

    /// Returns what follows from the fence as it was just read, be it for the first time, after a conflict or after
    /// an answer that was lost.
    ///
    /// The transaction depends on exactly the row that was read. A copy of it that the store performs late is
    /// refused once anybody, this owner included, has raised the fence.
    ///
    /// # Errors
    ///
    /// `Refused` if the row belongs to another release.
    pub fn next(&self, found: Option<&Row>) -> Result<FenceStep, StoreError> {
        if let Some(row) = found {
            let stored: FenceRecord = row.parse()?;
            if stored.token == self.token {
                return Ok(FenceStep::Raised(row.revision));
            }
            if stored.token > self.token {
                return Ok(FenceStep::Superseded);
            }
        }
        let key = fence_key(&self.pool, self.shard);
        let record = FenceRecord { token: self.token, owner: self.owner.clone() };
        Ok(FenceStep::Write(
            Txn::new()
                .with_check(key.clone(), found.map(|row| row.revision))
                .with_write(key, value(&record)),
        ))
    }
}
