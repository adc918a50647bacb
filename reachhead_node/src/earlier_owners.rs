//! Watches the earlier owners of a pool that may go on, and records until when their orders have effect.
//!
//! A process that has taken a pool pings these owners (`failure_detector`) until each has answered that it
//! gave up. Then its orders end with the leases that it left. The time that is left is kept in the row
//! `lease/POOL/fenced` from when all shards are fenced, so that a successor counts on from there and not
//! from its own fences. See "How a pool changes its owner" in [Platform](../../docs/PLATFORM.md).

use std::{future, sync::Arc, time::Duration};

use futures::future::join;
use reachhead_jobs::{
    clock::Tick,
    order_effect::OrderEffect,
    record::{FencedRecord, fenced_key, lease_key, value},
};
use reachhead_platform::settings::Settings;
use reachhead_store::row::{Commit, Txn};
use reachhead_types::{
    id::PoolName,
    size::{FencingToken, Millis},
};
use tokio::{sync::watch, time};

use crate::{
    fences::Fences,
    node::Node,
    owner::{Input, OwnerHandle},
    view::{LeaseView, View},
};

/// Interval between two checks of the answers of earlier owners.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Time after which the row is written again: a process that was started since counts from when it reads
/// the row, so that this is added to the wait at most.
const REFRESH_PERIOD: Millis = Millis(1000);

/// Time by which the row has to shorten the wait to be written again before that.
const MIN_GAIN: Millis = Millis(500);

/// Pause after the row could not be written.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What is known of the earlier owners of a pool that this process has taken.
pub struct EarlierOwners {
    /// This process.
    pub node: Arc<Node>,
    /// The pool.
    pub pool: PoolName,
    /// Its lease, which this process has taken.
    pub lease: LeaseView,
    /// The fences that the takeover has raised.
    pub fences: Arc<Fences>,
    /// The owner of the pool in this process.
    pub handle: OwnerHandle,
}

impl EarlierOwners {
    /// Watches the earlier owners for as long as the future is polled.
    pub async fn watch(self, effect: &watch::Sender<OrderEffect>) {
        join(self.observe(effect), self.record(effect.subscribe())).await;
        future::pending().await
    }

    /// Tells the owner of the pool what becomes known.
    async fn observe(&self, effect: &watch::Sender<OrderEffect>) {
        loop {
            let now = self.node.now();
            let mut known = effect.borrow().clone();
            let fenced_at = self.fences.complete_at();
            if let Some(at) = fenced_at {
                known.fence(at);
            }
            let settings = &self.node.settings;
            self.node.view().end_owners(&mut known, &self.pool, self.lease.since, settings, now);
            known.expire(now);
            if *effect.borrow() != known {
                log::info!(
                    "pool={} token={} orders of earlier owners have effect for {}ms{}",
                    self.pool,
                    self.lease.revision,
                    known.longest(now),
                    known.describe_open()
                );
                effect.send_replace(known.clone());
                self.handle.send(Input::EffectKnown(Box::new(known.clone())));
            }
            if fenced_at.is_some() && known.open().is_empty() {
                return;
            }
            time::sleep(CHECK_PERIOD).await;
        }
    }

    /// Writes the row once all shards are fenced, and again while orders have effect. It looks for the
    /// fences itself: where no earlier owner may go on, the effect does not change with them.
    async fn record(&self, effect: watch::Receiver<OrderEffect>) {
        let mut written = None;
        let mut written_at = Tick(0);
        while !self.is_settled() {
            let now = self.node.now();
            let is_due = |until: &Tick| {
                written.is_none_or(|stored: Tick| {
                    let is_old = now.since(written_at) >= REFRESH_PERIOD && stored > written_at;
                    stored > *until + MIN_GAIN || is_old
                })
            };
            let until = effect.borrow().until().filter(|_| self.fences.complete_at().is_some());
            let mut pause = CHECK_PERIOD;
            if let Some(until) = until.filter(is_due) {
                let record = FencedRecord { token: self.token(), left: until.since(now) };
                match self.write(record).await {
                    Some(Commit::Done(_)) => (written, written_at) = (Some(until), now),
                    // Another process has the lease.
                    Some(Commit::Conflict(_)) => break,
                    None => pause = RETRY_PAUSE,
                }
            }
            time::sleep(pause).await;
        }
    }

    fn token(&self) -> FencingToken {
        FencingToken(self.lease.revision.0)
    }

    /// Returns whether nothing has to be recorded: no order of an earlier owner is left.
    fn is_settled(&self) -> bool {
        let is_first = self.lease.record.unsettled_for == Some(Millis(0));
        is_first || self.node.view().is_settled(&self.pool, self.token())
    }

    async fn write(&self, record: FencedRecord) -> Option<Commit> {
        let txn = Txn::new()
            .with_check(lease_key(&self.pool), Some(self.lease.revision))
            .with_write(fenced_key(&self.pool), value(&record));
        let result = self.node.services.store.commit(txn).await;
        self.node.record_store_result(&result);
        if let Err(error) = &result {
            log::info!("pool={} the fenced row can't be written: {error}", self.pool);
        }
        result.ok()
    }
}

impl View {
    /// Records which of the earlier owners of a pool have ended, as their answers show since a later
    /// lease was seen, at `since`.
    pub fn end_owners(
        &self,
        effect: &mut OrderEffect,
        pool: &PoolName,
        since: Tick,
        own: &Settings,
        now: Tick,
    ) {
        let ended = effect.open().iter().filter_map(|open| {
            let at = self.ended_at(pool, &open.owner, since, own, now)?;
            Some((open.owner.token, at))
        });
        for (token, at) in ended.collect::<Vec<_>>() {
            effect.end_owner(token, at);
        }
    }
}

#[cfg(test)]
#[path = "earlier_owners_tests.rs"]
mod tests;
