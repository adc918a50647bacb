//! Calls to the owner of a pool, in this process or at a peer.

use std::time::Duration;

use reachhead_ops::client::CallError;
use reachhead_types::id::{NodeName, PoolName};
use thiserror::Error;

use crate::{
    node::Node,
    peer::{PeerReply, PeerRequest, PoolRequest, call_local_owner},
};

/// Timeout of an owner's answer about one job; the store can answer too.
const OWNER_TIMEOUT: Duration = Duration::from_millis(700);

/// Why the owner of a pool did not do what was requested.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OwnerError {
    /// The lease of the pool names nobody, or a process without a known address.
    #[error("no owner is known")]
    NoOwner,
    /// The lease names this process, which does not serve the pool.
    #[error("this process holds the lease and does not serve the pool")]
    NotServing,
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

/// Sends a request to the owner of a pool.
///
/// # Errors
///
/// Any [`OwnerError`] but `UnknownJob`, which is an answer.
pub async fn call_pool_owner(
    node: &Node,
    pool: &PoolName,
    request: PoolRequest,
) -> Result<PeerReply, OwnerError> {
    if let Some(owner) = node.local_owner(pool) {
        return match call_local_owner(&owner, request).await {
            PeerReply::NotOwner => Err(OwnerError::NotServing),
            reply => Ok(reply),
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
