//! Acquiring, keeping and releasing the leases of pools.

use std::collections::BTreeMap;

use reachhead_store::{
    StoreError, keys,
    row::{Commit, Row, Txn},
};
use reachhead_types::{
    boot_instant::BootInstant,
    id::PoolName,
    member::MemberId,
    pool::LeaseRow,
    size::{Epoch, Revision},
};

use crate::{
    controller::{Controller, OwnedPool, PoolEvent, RoundInput},
    lease::{self, LeaseStep},
};

impl Controller {
    /// Reconciles the lease of `pool` and returns whether this host owns the pool.
    pub(super) async fn reconcile_lease(
        &mut self,
        input: &RoundInput,
        own: &MemberId,
        pool: &PoolName,
        row: Option<&Row>,
    ) -> Result<bool, StoreError> {
        let lease: Option<LeaseRow> = row.map(Row::parse).transpose()?;
        let is_overdue = self.is_overdue(pool);
        let step = lease::next_step(own, pool, &input.candidates, lease.as_ref(), is_overdue);
        if step != LeaseStep::Wait {
            self.awaited_since.remove(pool);
        }
        match (step, row, lease) {
            (LeaseStep::Keep, Some(row), Some(lease)) => {
                self.record_owned(pool, row.revision, lease.epoch);
                Ok(true)
            }
            (LeaseStep::Acquire, row, lease) => {
                self.take(own, pool, row, lease.unwrap_or_default()).await
            }
            (LeaseStep::Release, Some(row), Some(lease)) => {
                self.record_lost(pool);
                self.release(pool, row.revision, lease.epoch).await?;
                Ok(false)
            }
            _ => {
                self.record_lost(pool);
                Ok(false)
            }
        }
    }

    /// Returns whether another host has owned the pool for longer than the handover timeout
    /// although this host is preferred.
    fn is_overdue(&mut self, pool: &PoolName) -> bool {
        let since = self.awaited_since.entry(pool.clone()).or_insert_with(BootInstant::now);
        since.elapsed() >= self.limits.hand_over_timeout
    }

    fn record_lost(&mut self, pool: &PoolName) {
        if self.owned.remove(pool).is_some() {
            self.events.push(PoolEvent::LeaseEnded(pool.clone()));
        }
    }

    fn record_owned(&mut self, pool: &PoolName, lease: Revision, epoch: Epoch) {
        if self.owned.get(pool).is_some_and(|owned| owned.lease == lease) {
            return;
        }
        let owned = OwnedPool { lease, epoch, head: None, hosts: BTreeMap::new() };
        self.owned.insert(pool.clone(), owned);
        self.events.push(PoolEvent::LeaseTaken(pool.clone(), epoch));
    }

    /// Acquires the lease and returns whether this host holds it now.
    async fn take(
        &mut self,
        own: &MemberId,
        pool: &PoolName,
        row: Option<&Row>,
        lease: LeaseRow,
    ) -> Result<bool, StoreError> {
        let lease = LeaseRow { owner: Some(own.clone()), epoch: lease.epoch.next() };
        let txn = Txn::new()
            .with_check(keys::lease(pool), row.map(|row| row.revision))
            .with_write(keys::lease(pool), json(&lease));
        match self.store.commit(txn).await? {
            Commit::Done(revision) => {
                self.record_owned(pool, revision, lease.epoch);
                Ok(true)
            }
            Commit::Conflict(_) => Ok(false),
        }
    }

    /// Clears the owner of the lease, so that another host can acquire it at once.
    pub(super) async fn release(
        &self,
        pool: &PoolName,
        revision: Revision,
        epoch: Epoch,
    ) -> Result<(), StoreError> {
        let lease = LeaseRow { owner: None, epoch };
        let txn = Txn::new()
            .with_check(keys::lease(pool), Some(revision))
            .with_write(keys::lease(pool), json(&lease));
        // A conflict means that another host has already acquired the lease.
        self.store.commit(txn).await.map(drop)
    }
}

fn json(lease: &LeaseRow) -> serde_json::Value {
    serde_json::to_value(lease).unwrap_or_default()
}
