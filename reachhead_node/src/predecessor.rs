//! What this process knows of the owner before it when it takes a pool.

use reachhead_jobs::{
    clock::Tick,
    order_effect::Predecessor,
    record::{EarlierOwner, LeaseRecord},
};
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
            token: FencingToken(lease.revision.0),
            since: lease.since,
            has_ended: self.has_ended(pool, lease, own),
            is_settled: self.is_settled(pool, FencingToken(lease.revision.0)),
            fenced: self.fenced.get(pool).map(|fenced| fenced.bound),
        }
    }

    /// Returns whether the owner that a pool's lease names has certainly ended.
    fn has_ended(&self, pool: &PoolName, lease: &LeaseView, own: &Settings) -> bool {
        let LeaseRecord { owner, address, .. } = &lease.record;
        let Some(node) = owner else {
            return true;
        };
        address.is_some_and(|address| {
            let token = FencingToken(lease.revision.0);
            let owner = EarlierOwner { node: node.clone(), address, token, left: None };
            self.ended_at(pool, &owner, lease.since, own, lease.since).is_some()
        })
    }

    /// Returns when an owner had ended at the latest; `None` if it may go on. It has if this process
    /// listens at its address, which is known at `now`, or if it has answered there that it neither owns
    /// the pool nor may go on, to a question after its lease was seen or taken from it, at `since`. A
    /// process of its name at another address does not show that the one before has ended. An earlier
    /// release does not report that it is writing a lease, but its leases have no time for earlier owners
    /// either, and its successor counts the full time.
    pub fn ended_at(
        &self,
        pool: &PoolName,
        owner: &EarlierOwner,
        since: Tick,
        own: &Settings,
        now: Tick,
    ) -> Option<Tick> {
        let EarlierOwner { node, address, token, .. } = owner;
        if *node == own.node {
            return (*address == own.peer).then_some(now);
        }
        let status = self.peers.get(node)?;
        let pong = &status.pong;
        let is_owner = status.address == *address && pong.is_of(node);
        let is_absent = pong.owned.get(pool).is_none_or(|owned| owned.0 < token.0);
        let has_ended = is_owner && is_absent && !pong.stalled.contains(pool);
        (has_ended && status.asked > since).then_some(status.at)
    }
}

#[cfg(test)]
#[path = "predecessor_tests.rs"]
mod tests;
