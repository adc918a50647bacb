//! What this process knows of the owner before it when it takes a pool.

use reachhead_jobs::order_effect::Predecessor;
use reachhead_platform::settings::Settings;
use reachhead_types::{id::PoolName, size::FencingToken};

use crate::view::{LeaseView, View};

impl View {
    /// Returns what is known of the owner that a pool's lease names. `own` are the settings of this
    /// process, which has no owner for that lease.
    pub fn predecessor<'a>(
        &self,
        pool: &PoolName,
        lease: &'a LeaseView,
        own: &Settings,
    ) -> Predecessor<'a> {
        Predecessor {
            record: &lease.record,
            has_ended: self.has_ended(pool, lease, own),
            is_settled: self.settled.get(pool) == Some(&FencingToken(lease.revision.0)),
        }
    }

    /// Returns whether the owner that a pool's lease names has certainly ended: this process listens at
    /// its address, or it has answered there since that it neither owns the pool nor may go on. A process
    /// of its name at another address does not show that the one before has ended. An earlier release
    /// does not report that it is writing a lease, but its leases have no time for earlier owners either,
    /// and its successor counts the full time.
    fn has_ended(&self, pool: &PoolName, lease: &LeaseView, own: &Settings) -> bool {
        let Some(owner) = &lease.record.owner else {
            return true;
        };
        if *owner == own.node {
            return lease.record.address == Some(own.peer);
        }
        self.peers.get(owner).is_some_and(|status| {
            let pong = &status.pong;
            let is_owner = lease.record.address == Some(status.address) && pong.is_of(owner);
            let is_absent = pong.owned.get(pool).is_none_or(|token| *token < lease.revision);
            is_owner && is_absent && !pong.stalled.contains(pool) && status.asked > lease.since
        })
    }
}

#[cfg(test)]
#[path = "predecessor_tests.rs"]
mod tests;
