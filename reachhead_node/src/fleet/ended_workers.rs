//! Workers whose incarnations were ended by orders about their hosts, and the notification of the
//! owners that wait for them.

use std::{collections::BTreeMap, sync::Arc};

use futures::future::join_all;
use reachhead_jobs::{
    clock::Tick,
    dead_workers::{self, UnreachableWorker},
    ports::{PlatformHost, PlatformHostState},
};
use reachhead_ops::event::{Event, emit};
use reachhead_types::{
    id::{HostId, PoolName, WorkerId},
    size::{Millis, Revision},
};

use crate::{node::Node, owner_call::call_pool_owner, peer::PoolRequest};

/// How long owners of a pool, including successors, are notified of an ended worker: longer than
/// they would wait for its leases to expire.
const NOTIFY_PERIOD: Millis = Millis(12_000);

/// Maximum number of workers named in one log line.
const MAX_NAMED_WORKERS: usize = 8;

/// An order about a host that ends a worker's incarnation, if it takes effect.
pub struct OpenOrder {
    /// The worker's pool.
    pub pool: PoolName,
    /// The worker.
    pub worker: WorkerId,
    /// The order was for maintenance, not for a move.
    pub maintenance: bool,
}

/// A worker whose incarnation has ended.
struct EndedWorker {
    pool: PoolName,
    worker: WorkerId,
    at: Tick,
    /// The lease of the owner that was notified last.
    notified: Option<Revision>,
}

/// The workers that orders have ended or may have ended.
pub struct EndedWorkers {
    node: Arc<Node>,
    /// Orders whose effect the platform's list does not show yet.
    open: BTreeMap<HostId, OpenOrder>,
    /// Ended workers, kept until no owner can wait for them any more.
    ended: Vec<EndedWorker>,
}

impl EndedWorkers {
    /// Returns the state without orders.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node, open: BTreeMap::new(), ended: Vec::new() }
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

    /// Resolves open orders by the platform's list and returns the hosts that it shows as taken for
    /// maintenance. Only the list is proof: an order is also answered with success if it had been
    /// carried out before, and the host has a new worker since.
    pub fn settle(
        &mut self,
        platform_hosts: &BTreeMap<HostId, PlatformHost>,
        unreachable: &[UnreachableWorker],
        now: Tick,
    ) -> Vec<HostId> {
        for UnreachableWorker { pool, worker } in
            dead_workers::dead_workers(unreachable, platform_hosts)
        {
            self.record_ended(pool.clone(), worker.clone(), now);
        }
        let has_ended = |host: &HostId, order: &OpenOrder| {
            platform_hosts.get(host).is_none_or(|platform_host| {
                platform_host.state != PlatformHostState::Up
                    || platform_host.worker.as_ref() != Some(&order.worker)
            })
        };
        let hosts = self.open.iter().filter(|(host, order)| has_ended(host, order));
        let hosts: Vec<HostId> = hosts.map(|(host, _)| host.clone()).collect();
        let mut maintained = Vec::new();
        for host in hosts {
            if let Some(order) = self.open.remove(&host) {
                self.record_ended(order.pool, order.worker, now);
                if order.maintenance {
                    maintained.push(host);
                }
            }
        }
        maintained
    }

    fn record_ended(&mut self, pool: PoolName, worker: WorkerId, now: Tick) {
        if !self.ended.iter().any(|ended| ended.worker == worker) {
            emit(Event::WorkerEnded, format_args!("pool={pool} worker={worker}"));
            self.ended.push(EndedWorker { pool, worker, at: now, notified: None });
        }
    }

    /// Notifies the pools' owners of ended workers, and each successor again: a successor would
    /// otherwise wait for a worker's answer until its leases have expired.
    pub async fn notify_owners(&mut self, now: Tick) {
        self.ended.retain(|ended| now.since(ended.at) < NOTIFY_PERIOD);
        let node = Arc::clone(&self.node);
        let lease = |pool: &PoolName| node.view().leases.get(pool).map(|lease| lease.revision);
        let mut unnotified: BTreeMap<PoolName, Vec<WorkerId>> = BTreeMap::new();
        for ended in &self.ended {
            if ended.notified != lease(&ended.pool) {
                unnotified.entry(ended.pool.clone()).or_default().push(ended.worker.clone());
            }
        }
        let requests = unnotified.into_iter().map(|(pool, workers)| async {
            let current = lease(&pool)?;
            let named = named(&workers);
            call_pool_owner(&node, &pool, PoolRequest::WorkersDied(workers)).await.ok()?;
            emit(
                Event::WorkerEnded,
                format_args!("pool={pool} workers={named} notified={current}"),
            );
            Some((pool, current))
        });
        let notified: BTreeMap<PoolName, Revision> =
            join_all(requests).await.into_iter().flatten().collect();
        for ended in &mut self.ended {
            if let Some(revision) = notified.get(&ended.pool) {
                ended.notified = Some(*revision);
            }
        }
    }
}

/// Returns the first of the workers for a log line, and the number of the others.
fn named(workers: &[WorkerId]) -> String {
    let first = workers.iter().take(MAX_NAMED_WORKERS).map(ToString::to_string);
    let others = workers.len().saturating_sub(MAX_NAMED_WORKERS);
    format!("{} others={others}", first.collect::<Vec<_>>().join(","))
}
