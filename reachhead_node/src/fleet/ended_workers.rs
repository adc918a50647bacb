//! Lives of workers that orders about hosts have ended, and who has to know.

use std::{collections::BTreeMap, sync::Arc};

use futures::future::join_all;
use reachhead_jobs::{
    clock::Tick,
    dead_workers::{self, UnreachableWorker},
    ports::{PlatformHost, PlatformHostState},
};
use reachhead_types::{
    id::{HostId, PoolName, WorkerId},
    size::{Millis, Revision},
};

use crate::{frontend::call_pool_owner, node::Node, peer::PoolRequest};

/// How long successors of a pool's owner are told that a life of a worker is over: longer than they would wait
/// for its leases to lapse.
const TOLD_TIME: Millis = Millis(12_000);

/// A life of a worker that an order about its host ends, if the order has effect.
pub struct OpenOrder {
    /// The worker's pool.
    pub pool: PoolName,
    /// The worker.
    pub worker: WorkerId,
    /// The order was for maintenance, not for a move.
    pub maintenance: bool,
}

/// A life of a worker that is over.
struct EndedWorker {
    pool: PoolName,
    worker: WorkerId,
    at: Tick,
    /// The lease of the owner that was told.
    told: Option<Revision>,
}

/// What orders about hosts have ended.
pub struct EndedWorkers {
    node: Arc<Node>,
    /// Orders whose effect the platform's list does not show yet.
    open: BTreeMap<HostId, OpenOrder>,
    /// Lives that are over, until no owner can wait for them any more.
    ended: Vec<EndedWorker>,
}

impl EndedWorkers {
    /// Returns none.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node, open: BTreeMap::new(), ended: Vec::new() }
    }

    /// Notes an order that may have had effect; a repeated one tells nothing new.
    pub fn ordered(&mut self, host: &HostId, order: OpenOrder) {
        self.open.entry(host.clone()).or_insert(order);
    }

    /// Tells whether an order about the host is open.
    pub fn is_open(&self, host: &HostId) -> bool {
        self.open.contains_key(host)
    }

    /// Notes that the open order about the host surely had no effect.
    pub fn withdrawn(&mut self, host: &HostId) {
        self.open.remove(host);
    }

    /// Looks at the platform's list and returns the hosts that it shows as taken by maintenance. Only the list proves
    /// it: an order is also answered with success when it had been carried out before, and the host has a new life since.
    pub fn settle(
        &mut self,
        machines: &BTreeMap<HostId, PlatformHost>,
        unreachable: &[UnreachableWorker],
        now: Tick,
    ) -> Vec<HostId> {
        for UnreachableWorker { pool, worker } in dead_workers::dead_workers(unreachable, machines)
        {
            self.note_ended(pool.clone(), worker.clone(), now);
        }
        let over = |host: &HostId, order: &OpenOrder| {
            machines.get(host).is_none_or(|machine| {
                machine.state != PlatformHostState::Up
                    || machine.worker.as_ref() != Some(&order.worker)
            })
        };
        let hosts = self.open.iter().filter(|(host, order)| over(host, order));
        let hosts: Vec<HostId> = hosts.map(|(host, _)| host.clone()).collect();
        let mut maintained = Vec::new();
        for host in hosts {
            if let Some(order) = self.open.remove(&host) {
                self.note_ended(order.pool, order.worker, now);
                if order.maintenance {
                    maintained.push(host);
                }
            }
        }
        maintained
    }

    fn note_ended(&mut self, pool: PoolName, worker: WorkerId, now: Tick) {
        if !self.ended.iter().any(|ended| ended.worker == worker) {
            self.ended.push(EndedWorker { pool, worker, at: now, told: None });
        }
    }

    /// Tells the owners of pools of the lives that are over, and their successors once more: who takes a pool
    /// over would wait for a worker's answer until its leases have lapsed.
    pub async fn tell_owners(&mut self, now: Tick) {
        self.ended.retain(|ended| now.since(ended.at) < TOLD_TIME);
        let node = Arc::clone(&self.node);
        let lease = |pool: &PoolName| node.view().leases.get(pool).map(|lease| lease.revision);
        let mut news: BTreeMap<PoolName, Vec<WorkerId>> = BTreeMap::new();
        for ended in &self.ended {
            if ended.told != lease(&ended.pool) {
                news.entry(ended.pool.clone()).or_default().push(ended.worker.clone());
            }
        }
        let asks = news.into_iter().map(|(pool, workers)| async {
            let current = lease(&pool)?;
            call_pool_owner(&node, &pool, PoolRequest::WorkersDied(workers)).await?;
            Some((pool, current))
        });
        let told: BTreeMap<PoolName, Revision> =
            join_all(asks).await.into_iter().flatten().collect();
        for ended in &mut self.ended {
            if let Some(revision) = told.get(&ended.pool) {
                ended.told = Some(*revision);
            }
        }
    }
}
