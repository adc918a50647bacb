//! Determines which worker incarnations are dead, and which owners of pools have to be notified.
//!
//! A partitioned worker runs on, so neither silence nor a missing registration proves its death.
//! Two facts together do: its host answered that nothing listens at its address, and the platform's
//! list of hosts, read after that, has no host with this worker. Workers lost by a crash, a
//! move or maintenance are thereby known to be dead within a round. Otherwise the owner would have
//! to wait for their leases to expire, and no host of the pool could be given away meanwhile.
//!
//! The list names workers by id only. It proves the end of the incarnation that was known before the
//! list was read, and of no later one: see
//! [docs/design/restarted-workers.md](../../docs/design/restarted-workers.md).

use std::collections::{BTreeMap, BTreeSet};

use reachhead_types::{
    id::{HostId, PoolName, WorkerId},
    size::{Millis, Revision},
};

use crate::{
    clock::Tick,
    incarnation::{Incarnation, is_newer},
    ports::{PlatformHost, PlatformHostState},
};

/// How long owners of a pool, including successors, are notified of an ended worker: longer than
/// they would wait for its leases to expire.
const NOTIFY_PERIOD: Millis = Millis(12_000);

/// A worker of a pool at whose address nothing listens.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnreachableWorker {
    /// Pool that may have used it.
    pub pool: PoolName,
    /// The newest incarnation that the pool's owner knows.
    pub incarnation: Incarnation,
}

/// Returns the unreachable workers that no host has. `hosts` must have been read after the workers
/// were reported unreachable.
pub fn dead_workers<'a>(
    unreachable: &'a [UnreachableWorker],
    hosts: &BTreeMap<HostId, PlatformHost>,
) -> impl Iterator<Item = &'a UnreachableWorker> {
    let alive: BTreeSet<WorkerId> = hosts.values().filter_map(|host| host.worker.clone()).collect();
    unreachable.iter().filter(move |unreachable| !alive.contains(&unreachable.incarnation.worker))
}

/// An order about a host that ends a worker's incarnation, if it takes effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenOrder {
    /// The worker's pool.
    pub pool: PoolName,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The order was for maintenance, not for a move.
    pub maintenance: bool,
}

/// An incarnation that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EndedWorker {
    pool: PoolName,
    incarnation: Incarnation,
    at: Tick,
    /// The lease of the owner that was notified last.
    notified: Option<Revision>,
}

/// What a list of hosts has shown.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Settled {
    /// The hosts that were taken for maintenance.
    pub maintained: Vec<HostId>,
    /// The incarnations whose end was not known before, by pool.
    pub ended: Vec<(PoolName, Incarnation)>,
}

/// The worker incarnations that have ended or that orders may have ended.
#[derive(Debug, Clone, Default)]
pub struct EndedWorkers {
    /// Orders whose effect the platform's list does not show yet.
    open: BTreeMap<HostId, OpenOrder>,
    /// Ended incarnations, kept until no owner can wait for them any more.
    ended: Vec<EndedWorker>,
}

impl EndedWorkers {
    /// Returns the state without orders.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an order that may have had effect; a repeated order changes nothing.
    pub fn record_order(&mut self, host: &HostId, order: OpenOrder) {
        self.open.entry(host.clone()).or_insert(order);
    }

    /// Returns whether an order about the host is open.
    pub fn is_open(&self, host: &HostId) -> bool {
        self.open.contains_key(host)
    }

    /// Removes the open order about the host, which certainly had no effect.
    pub fn withdraw_order(&mut self, host: &HostId) {
        self.open.remove(host);
    }

    /// Resolves open orders by the platform's list. Only the list is proof: an order is also answered
    /// with success if it had been carried out before, and the host has a new worker since. That worker
    /// may have the same id: `registered` returns the start of the registered incarnation of a worker.
    pub fn settle(
        &mut self,
        platform_hosts: &BTreeMap<HostId, PlatformHost>,
        unreachable: &[UnreachableWorker],
        registered: impl Fn(&WorkerId) -> Option<Millis>,
        now: Tick,
    ) -> Settled {
        let mut settled = Settled::default();
        self.drop_returned(platform_hosts);
        for UnreachableWorker { pool, incarnation } in dead_workers(unreachable, platform_hosts) {
            self.record_ended(pool, incarnation, now, &mut settled);
        }
        let has_ended = |host: &HostId, order: &OpenOrder| {
            platform_hosts.get(host).is_none_or(|platform_host| {
                let Incarnation { worker, started_at } = &order.incarnation;
                platform_host.state != PlatformHostState::Up
                    || platform_host.worker.as_ref() != Some(worker)
                    || is_newer(registered(worker), *started_at)
            })
        };
        let hosts = self.open.iter().filter(|(host, order)| has_ended(host, order));
        let hosts: Vec<HostId> = hosts.map(|(host, _)| host.clone()).collect();
        for host in hosts {
            if let Some(order) = self.open.remove(&host) {
                self.record_ended(&order.pool, &order.incarnation, now, &mut settled);
                if order.maintenance {
                    settled.maintained.push(host);
                }
            }
        }
        settled
    }

    /// Drops the ends of workers that a host has again: what is up there is a later incarnation.
    fn drop_returned(&mut self, platform_hosts: &BTreeMap<HostId, PlatformHost>) {
        if self.ended.is_empty() {
            return;
        }
        let is_up = |host: &&PlatformHost| host.state == PlatformHostState::Up;
        let up: BTreeSet<&WorkerId> =
            platform_hosts.values().filter(is_up).filter_map(|host| host.worker.as_ref()).collect();
        self.ended.retain(|ended| !up.contains(&ended.incarnation.worker));
    }

    fn record_ended(
        &mut self,
        pool: &PoolName,
        incarnation: &Incarnation,
        now: Tick,
        settled: &mut Settled,
    ) {
        let is_same = |ended: &EndedWorker| ended.incarnation.worker == incarnation.worker;
        let known = self.ended.iter().find(|ended| is_same(ended));
        if known.is_some_and(|known| known.incarnation.started_at >= incarnation.started_at) {
            return;
        }
        self.ended.retain(|ended| !is_same(ended));
        settled.ended.push((pool.clone(), incarnation.clone()));
        let (pool, incarnation) = (pool.clone(), incarnation.clone());
        self.ended.push(EndedWorker { pool, incarnation, at: now, notified: None });
    }

    /// Returns the ended incarnations of which the present owner of their pool was not notified. Each
    /// successor is notified again: it would otherwise wait for a worker's answer until its leases
    /// have expired. `lease` returns the revision of a pool's lease.
    pub fn unnotified(
        &mut self,
        lease: impl Fn(&PoolName) -> Option<Revision>,
        now: Tick,
    ) -> BTreeMap<PoolName, Vec<Incarnation>> {
        self.ended.retain(|ended| now.since(ended.at) < NOTIFY_PERIOD);
        let mut unnotified: BTreeMap<PoolName, Vec<Incarnation>> = BTreeMap::new();
        for ended in &self.ended {
            if ended.notified != lease(&ended.pool) {
                unnotified.entry(ended.pool.clone()).or_default().push(ended.incarnation.clone());
            }
        }
        unnotified
    }

    /// Records that the owner with this lease was notified of all ended workers of its pool.
    pub fn record_notified(&mut self, pool: &PoolName, lease: Revision) {
        for ended in self.ended.iter_mut().filter(|ended| ended.pool == *pool) {
            ended.notified = Some(lease);
        }
    }
}
