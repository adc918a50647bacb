//! Writes of a pool's lease before its owner serves the pool.
//!
//! A takeover that stops half-way, because the process is killed or the store fails, leaves a lease
//! that names this process and some fences at its token. The next takeover, by any process, takes
//! the lease with a higher token and raises every fence above it.

use std::time::Duration;

use reachhead_jobs::{
    order_effect::OrderEffect,
    record::{LeaseRecord, lease_key, value},
};
use reachhead_store::{
    StoreError,
    row::{Commit, Txn},
};
use reachhead_types::{id::PoolName, size::Revision};
use tokio::time;

use crate::{node::Node, view::LeaseView};

/// Maximum attempts to release the lease of an abandoned takeover.
const MAX_RELEASE_ATTEMPTS: usize = 5;

/// Pause between two of these attempts.
const RELEASE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The time in which this process writes the lease of a pool. It may become the owner without knowing
/// so yet, while others see the lease.
pub struct Taking<'a> {
    node: &'a Node,
    pool: &'a PoolName,
}

impl<'a> Taking<'a> {
    /// Records that the lease of a pool is about to be written.
    pub fn new(node: &'a Node, pool: &'a PoolName) -> Self {
        node.taking().insert(pool.clone());
        Self { node, pool }
    }
}

impl Drop for Taking<'_> {
    fn drop(&mut self) {
        self.node.taking().remove(self.pool);
    }
}

/// Writes the lease of a pool; returns `None` if another process wrote it first. `order_effect` is
/// what is known of the orders of earlier owners, for the case that this process ends before it is
/// settled; the fleet owner has none.
/// The caller keeps a [`Taking`] until the process claims the pool.
///
/// # Errors
///
/// The error of the store. After any error but `Lost` this process does not hold the lease.
pub async fn take(
    node: &Node,
    pool: &PoolName,
    known: Option<&LeaseView>,
    order_effect: Option<&OrderEffect>,
) -> Result<Option<LeaseView>, StoreError> {
    let term = known.map_or(0, |known| known.record.term + 1);
    let abandoned = known.map_or(0, |known| abandoned_before(node, pool, known));
    let now = node.now();
    let owner = Some(node.settings.node.clone());
    let address = Some(node.settings.peer);
    let record = LeaseRecord {
        owner,
        address,
        term,
        settled: false,
        unsettled_for: order_effect.map(|effect| effect.longest(now)),
        abandoned,
        knows_storer: known.is_none_or(|known| known.record.successor_knows_storer()),
        silent: None,
        earlier: order_effect.and_then(|effect| effect.earlier_owners(now)),
    };
    let key = lease_key(pool);
    let txn = Txn::new()
        .with_check(key.clone(), known.map(|known| known.revision))
        .with_write(key.clone(), value(&record));
    let result = node.services.store.commit(txn).await;
    node.record_store_result(&result);
    match result {
        Ok(Commit::Done(revision)) => Ok(Some(record_lease(node, pool, record, revision))),
        Ok(Commit::Conflict(conflicts)) => {
            let row = conflicts.into_iter().find_map(|conflict| conflict.row);
            if let Some(row) = row {
                record_lease(node, pool, row.parse()?, row.revision);
            }
            Ok(None)
        }
        Err(StoreError::Lost(error)) => {
            log::info!(
                "pool={pool} the answer to the lease write was lost, reading the lease: {error}"
            );
            let rows = node.services.store.read(vec![key]).await?;
            let Some(row) = rows.into_iter().flatten().next() else {
                return Ok(None);
            };
            let found: LeaseRecord = row.parse()?;
            let view = record_lease(node, pool, found.clone(), row.revision);
            Ok((found == record).then_some(view))
        }
        Err(error) => Err(error),
    }
}

/// Returns how many takeovers in a row were abandoned up to this lease. An owner that did not release
/// it has abandoned its takeover if it says that it can't read the rows.
fn abandoned_before(node: &Node, pool: &PoolName, known: &LeaseView) -> u32 {
    let Some(owner) = &known.record.owner else {
        return known.record.abandoned;
    };
    let has_abandoned = if *owner == node.settings.node {
        node.ability().is_unreadable(pool)
    } else {
        let view = node.view();
        view.peers.get(owner).is_some_and(|status| status.pong.unreadable.contains(pool))
    };
    if has_abandoned { known.record.abandoned + 1 } else { 0 }
}

/// Releases the lease of a takeover that was given up, so that another process takes the pool at once.
/// `record` is the released lease.
pub async fn release(node: &Node, pool: &PoolName, lease: &LeaseView, record: LeaseRecord) {
    let key = lease_key(pool);
    let txn =
        Txn::new().with_check(key.clone(), Some(lease.revision)).with_write(key, value(&record));
    // If no attempt succeeds, peers take the pool over, since it is no longer reported as owned.
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        let result = node.services.store.commit(txn.clone()).await;
        node.record_store_result(&result);
        match result {
            Ok(Commit::Done(revision)) => {
                record_lease(node, pool, record, revision);
                return;
            }
            Ok(Commit::Conflict(_)) => return,
            Err(error) => log::info!("pool={pool} the lease can't be released: {error}"),
        }
        time::sleep(RELEASE_RETRY_PAUSE).await;
    }
}

fn record_lease(
    node: &Node,
    pool: &PoolName,
    record: LeaseRecord,
    revision: Revision,
) -> LeaseView {
    let now = node.now();
    node.view().update_lease(pool.clone(), record.clone(), revision, now);
    LeaseView { record, revision, since: now, taken_from: None }
}
