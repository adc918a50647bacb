//! Determines which worker incarnations are dead.
//!
//! A partitioned worker runs on, so neither silence nor a missing registration proves its death.
//! Two facts together do: its host answered that nothing listens at its address, and the platform's
//! list of hosts, read after that, has no host with this incarnation. Workers lost by a crash, a
//! move or maintenance are thereby known to be dead within a round. Otherwise the owner would have
//! to wait for their leases to expire, and no host of the pool could be given away meanwhile.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_types::id::{HostId, PoolName, WorkerId};

use crate::ports::PlatformHost;

/// A worker of a pool at whose address nothing listens.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnreachableWorker {
    /// Pool that may have used it.
    pub pool: PoolName,
    /// Id of the incarnation.
    pub worker: WorkerId,
}

/// Returns the unreachable workers that no host has. `hosts` must have been read after the workers
/// were reported unreachable.
pub fn dead_workers<'a>(
    unreachable: &'a [UnreachableWorker],
    hosts: &BTreeMap<HostId, PlatformHost>,
) -> impl Iterator<Item = &'a UnreachableWorker> {
    let alive: BTreeSet<WorkerId> = hosts.values().filter_map(|host| host.worker.clone()).collect();
    unreachable.iter().filter(move |unreachable| !alive.contains(&unreachable.worker))
}
