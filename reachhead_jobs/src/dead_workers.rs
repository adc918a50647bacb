//! Which lives of workers are over.
//!
//! A worker that is cut off runs on, so silence proves nothing, nor does a missing registration. Two words together
//! do: its host answered that nobody listens there, and the platform's list of hosts, read after that, has no host
//! with that life. A worker that an owner lost by a crash of its own, a move or maintenance is known as over by that
//! within a round, where else its leases would be waited out and no host of the pool be given away meanwhile.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_types::id::{HostId, PoolName, WorkerId};

use crate::ports::PlatformHost;

/// A worker of a pool that nobody answers for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnreachableWorker {
    /// The pool that may have used it.
    pub pool: PoolName,
    /// The life.
    pub worker: WorkerId,
}

/// Returns those that no host has; `hosts` is a list that was read after their owners told of them.
pub fn dead_workers<'a>(
    unreachable: &'a [UnreachableWorker],
    hosts: &BTreeMap<HostId, PlatformHost>,
) -> impl Iterator<Item = &'a UnreachableWorker> {
    let alive: BTreeSet<WorkerId> = hosts.values().filter_map(|host| host.worker.clone()).collect();
    unreachable.iter().filter(move |unreachable| !alive.contains(&unreachable.worker))
}
