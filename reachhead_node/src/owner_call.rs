//! Calls to the owner of a pool, in this process or at a peer.

use std::time::Duration;

use reachhead_jobs::record::{LeaseRecord, lease_key};
use reachhead_ops::{
    client::{CallError, within_deadline},
    event::{Event, emit},
};
use reachhead_types::{
    id::{NodeName, PoolName},
    size::Millis,
};
use thiserror::Error;
use tokio::time::{self, Instant};

use crate::{
    follow,
    node::Node,
    peer::{PeerReply, PeerRequest, PoolRequest, call_local_owner, local_owner_for},
};

/// Timeout of an owner's answer about one job; the store can answer too.
const OWNER_TIMEOUT: Duration = Duration::from_millis(700);

/// Age of the leases above which an owner that can't be reached may have been replaced unheard. A
/// process that only needs them to find owners polls rarely, and notices late that a poll gets no
/// answer.
const MAX_LEASE_AGE: Millis = Millis(1500);

/// Minimum time between two reads of a pool's lease by this process.
const LEASE_READ_PERIOD: Millis = Millis(400);

/// Timeout of such a read; callers wait for it.
const LEASE_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Why the owner of a pool did not do what was requested.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OwnerError {
    /// The lease of the pool names no owner, or a process without a known address.
    #[error("no owner is known")]
    NoOwner,
    /// The lease names this process, which does not serve the pool.
    #[error("this process holds the lease and does not serve the pool")]
    NotServing,
    /// The owner is in this process and did not answer in time.
    #[error("the owner in this process did not answer in time")]
    TooSlow,
    /// The process that the lease names says that it does not serve the pool.
    #[error("{0} does not serve the pool")]
    NotOwner(NodeName),
    /// The process that the lease names did not answer.
    #[error("{0} did not answer: {1}")]
    NoAnswer(NodeName, CallError),
    /// The owner does not know the job.
    #[error("the owner does not know the job")]
    UnknownJob,
}

/// Sends a request to the owner of a pool. If it can't be reached, the pool's lease is read again,
/// so that the next attempt finds an owner of which this process has not heard.
///
/// # Errors
///
/// Any [`OwnerError`] but `UnknownJob`, which is an answer.
pub async fn call_pool_owner(
    node: &Node,
    pool: &PoolName,
    request: PoolRequest,
) -> Result<PeerReply, OwnerError> {
    let result = call_known_owner(node, pool, request).await;
    if result.is_err() && may_have_moved(node, pool) {
        read_lease(node, pool).await;
    }
    result
}

/// Returns whether the owner of a pool may have moved without this process having heard of it, and
/// records that the lease is read.
fn may_have_moved(node: &Node, pool: &PoolName) -> bool {
    let now = node.now();
    let mut view = node.view();
    let is_due = view.lease_reads.get(pool).is_none_or(|at| now.since(*at) >= LEASE_READ_PERIOD);
    let is_old = now.since(view.leases_current_at) > MAX_LEASE_AGE;
    if is_old && is_due {
        view.lease_reads.insert(pool.clone(), now);
    }
    is_old && is_due
}

async fn read_lease(node: &Node, pool: &PoolName) {
    if node.store_outage().is_some() {
        return;
    }
    let read = async {
        let rows = node.services.store.read(vec![lease_key(pool)]).await;
        node.record_store_result(&rows);
        rows
    };
    match within_deadline(Instant::now() + LEASE_READ_TIMEOUT, read).await {
        Some(Ok(rows)) => {
            for row in rows.into_iter().flatten() {
                match row.parse::<LeaseRecord>() {
                    Ok(record) => {
                        follow::update_lease(node, pool.clone(), record, row.revision, node.now());
                    }
                    Err(error) => emit(Event::RowRefused, error),
                }
            }
        }
        Some(Err(error)) => log::info!("pool={pool} the lease can't be read: {error}"),
        None => log::info!("pool={pool} the lease is not read in time"),
    }
}

async fn call_known_owner(
    node: &Node,
    pool: &PoolName,
    request: PoolRequest,
) -> Result<PeerReply, OwnerError> {
    if let Some(owner) = local_owner_for(node, pool, &request) {
        return match time::timeout(OWNER_TIMEOUT, call_local_owner(&owner, request)).await {
            Ok(PeerReply::NotOwner) => Err(OwnerError::NotServing),
            Ok(reply) => Ok(reply),
            Err(_) => Err(OwnerError::TooSlow),
        };
    }
    let (owner, address) = node.view().owner(pool).ok_or(OwnerError::NoOwner)?;
    if owner == node.settings.node {
        return Err(OwnerError::NotServing);
    }
    match node.peers.call(address, &PeerRequest::Pool(pool.clone(), request), OWNER_TIMEOUT).await {
        Ok(PeerReply::NotOwner) => Err(OwnerError::NotOwner(owner)),
        Ok(reply) => Ok(reply),
        Err(error) => {
            log::info!("pool={pool} owner={owner} did not answer: {error}");
            Err(OwnerError::NoAnswer(owner, error))
        }
    }
}

#[cfg(test)]
#[path = "owner_call_tests.rs"]
mod tests;
