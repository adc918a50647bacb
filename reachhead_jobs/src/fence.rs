//! Fences the shards of a pool in the store, one after the other.
//!
//! A lease lives in one partition of the store and the rows of the pool's jobs in others, and not
//! every store supports transactions across partitions. So each shard has a fence row of its own.
//! The process that takes the lease raises each fence to the token of the lease, in a transaction
//! within the shard. Every write of an owner in a shard checks the revision that its own raise gave
//! the fence there. docs/PLATFORM.md lists the guarantees.

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

/// Next step in raising a fence.
#[derive(Debug, Clone, PartialEq)]
pub enum FenceStep {
    /// The fence carries this owner's token: rows read from now on can't be changed by a
    /// predecessor.
    Raised(Revision),
    /// Transaction to send next.
    Write(Txn),
    /// A later owner has fenced the shard.
    Superseded,
}

/// A fence that is being raised for an owner.
#[derive(Debug, Clone)]
pub struct Fence {
    pool: PoolName,
    shard: Shard,
    token: FencingToken,
    owner: NodeName,
}

impl Fence {
    /// Creates the fence of a shard for the owner that holds the pool's lease with `token`.
    pub const fn new(pool: PoolName, shard: Shard, token: FencingToken, owner: NodeName) -> Self {
        Self { pool, shard, token, owner }
    }

    /// Returns the next step, given the fence row as just read: the first time, after a conflict,
    /// or after a lost answer.
    ///
    /// The transaction depends on exactly the row that was read. A copy of it that the store
    /// carries out late is rejected once any process, including this one, has raised the fence.
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
