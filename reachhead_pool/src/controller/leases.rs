//! Taking, keeping and handing over the charge of a pool.

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
    controller::{Controller, Held, PoolEvent, RoundInput},
    lease::{self, LeaseStep},
};

impl Controller {
    /// Brings the lease of `pool` to where it should be and tells whether this host is in charge.
    pub(super) async fn keep_lease(
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
            self.awaited.remove(pool);
        }
        match (step, row, lease) {
            (LeaseStep::Keep, Some(row), Some(lease)) => {
                self.note_held(pool, row.revision, lease.epoch);
                Ok(true)
            }
            (LeaseStep::Acquire, row, lease) => {
                self.take(own, pool, row, lease.unwrap_or_default()).await
            }
            (LeaseStep::Release, Some(row), Some(lease)) => {
                self.note_ended(pool);
                self.release(pool, row.revision, lease.epoch).await?;
                Ok(false)
            }
            _ => {
                self.note_ended(pool);
                Ok(false)
            }
        }
    }

    /// Tells whether another host has had for too long what should be this host's.
    fn is_overdue(&mut self, pool: &PoolName) -> bool {
        let since = self.awaited.entry(pool.clone()).or_insert_with(BootInstant::now);
        since.elapsed() >= self.limits.hand_over_timeout
    }

    fn note_ended(&mut self, pool: &PoolName) {
        if self.held.remove(pool).is_some() {
            self.events.push(PoolEvent::LeaseEnded(pool.clone()));
        }
    }

    fn note_held(&mut self, pool: &PoolName, lease: Revision, epoch: Epoch) {
        if self.held.get(pool).is_some_and(|held| held.lease == lease) {
            return;
        }
        let held = Held { lease, epoch, head: None, hosts: BTreeMap::new() };
        self.held.insert(pool.clone(), held);
        self.events.push(PoolEvent::LeaseTaken(pool.clone(), epoch));
    }

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
                self.note_held(pool, revision, lease.epoch);
                Ok(true)
            }
            Commit::Conflict(_) => Ok(false),
        }
    }

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
        // A conflict means that someone else has taken it already.
        self.store.commit(txn).await.map(drop)
    }
}

fn json(lease: &LeaseRow) -> serde_json::Value {
    serde_json::to_value(lease).unwrap_or_default()
}
