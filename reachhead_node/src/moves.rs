//! Moves hosts between pools, as `reachhead_jobs::balance` decides.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use futures::{
    future::join_all,
    stream::{self, StreamExt},
};
use reachhead_jobs::{
    balance::{Balance, HostDemand, Move, PoolState, restart_cost},
    clock::Tick,
    dead_workers::UnreachableWorker,
    pool::{DrainMode, DrainProgress},
    ports::{HostApi, HostOrderError, PlatformHost, PlatformHostState},
};
use reachhead_ops::event::{Event, emit};
use reachhead_types::{
    id::{HostId, PoolName, WorkerId},
    size::Millis,
};
use tokio::time;

use crate::{
    node::Node,
    order_permit::PermitIssuer,
    owner_call::call_pool_owner,
    peer::{PeerReply, PoolRequest},
};

/// How long an order overrides the platform's list, which may not show it yet.
const ORDER_VISIBILITY_DELAY: Millis = Millis(600);

/// Timeout of a pool owner's answer about its load, so that an owner that is gone does not delay
/// the others.
const LOAD_TIMEOUT: Duration = Duration::from_millis(200);

/// Share of the platform's rate of orders that moves use; the rest is for maintenance.
const MOVE_RATE_SHARE: f64 = 0.8;

/// Minimum time between two logs of the pools' demands.
const DEMAND_LOG_PERIOD: Millis = Millis(400);

/// Maximum number of concurrent orders. Each takes some milliseconds, and with a connection for
/// each of hundreds the platform's queue of new connections would be full.
const MAX_CONCURRENT_ORDERS: usize = 32;

/// Minimum number of moves that may start in one round.
const MIN_MOVES_PER_ROUND: usize = 4;

/// A host that was ordered to another pool.
struct PendingMove {
    to: PoolName,
    at: Tick,
}

/// The result of an order.
pub struct Moved {
    /// The ordered move.
    pub step: Move,
    /// The order may have had effect.
    pub may_have_effect: bool,
    /// The platform has seen a newer holder of the fleet lease, so this process must stop.
    pub fenced: bool,
}

/// The moves of hosts in progress.
pub struct Moves {
    node: Arc<Node>,
    permit_issuer: Arc<PermitIssuer>,
    balance: Balance,
    pending: BTreeMap<HostId, PendingMove>,
    /// When the order credit was last updated.
    last: Tick,
    /// Workers that don't answer their pool's owner, with their pools, as of the last round.
    unreachable: Vec<UnreachableWorker>,
    /// The demands that were last logged, and when.
    logged_demands: Vec<HostDemand>,
    demands_logged_at: Tick,
    /// Number of orders that may be given at once.
    order_credit: f64,
}

impl Moves {
    /// Returns the state without moves; orders get their permits from `permit_issuer`.
    pub fn new(node: Arc<Node>, permit_issuer: Arc<PermitIssuer>) -> Self {
        let last = node.now();
        Self {
            node,
            permit_issuer,
            balance: Balance::new(),
            pending: BTreeMap::new(),
            last,
            unreachable: Vec::new(),
            logged_demands: Vec::new(),
            demands_logged_at: last,
            order_credit: 0.0,
        }
    }

    /// Returns whether moves of so many hosts are limited by the platform's rate, so that the
    /// pools' use of hosts is worth storing for a successor.
    pub fn stores_usage(&self, hosts: usize) -> bool {
        restart_cost(hosts, self.rate()) > Millis(0)
    }

    /// Returns the balance that decides on moves.
    pub fn balance(&mut self) -> &mut Balance {
        &mut self.balance
    }

    /// Returns how many orders per second the platform takes.
    fn rate(&self) -> f64 {
        self.node.settings.host_api.map_or(0.0, |hosts| hosts.order_rate)
    }

    /// Requests the load of all pools and moves hosts accordingly. Hosts for which `is_held` is true
    /// have an open order or are drained for maintenance, and stay.
    pub async fn round(
        &mut self,
        platform_hosts: &BTreeMap<HostId, PlatformHost>,
        is_held: impl Fn(&HostId) -> bool,
    ) -> Vec<Moved> {
        let pools = self.request_loads().await;
        self.unreachable = unreachable_workers(&pools);
        let now = self.node.now();
        let platform_hosts = self.with_pending_moves(platform_hosts, now);
        let drained_zones = self.node.view().drained.clone();
        let rate = self.rate();
        let mut steps =
            self.balance.next(&platform_hosts, &pools, &drained_zones, rate, is_held, now);
        self.log_demands(now);
        steps.truncate(self.start_budget(now));
        self.order_credit = (self.order_credit - steps.len() as f64).max(0.0);
        let drained = self.drain_workers(&steps).await;
        let is_drained =
            |step: &Move| step.worker.as_ref().is_none_or(|worker| drained.contains(worker));
        let steps = steps.into_iter().filter(is_drained);
        let orders = stream::iter(steps).map(|step| self.order_move(step));
        let moved: Vec<Moved> = orders
            .buffer_unordered(MAX_CONCURRENT_ORDERS)
            .filter_map(async |moved| moved)
            .collect()
            .await;
        let now = self.node.now();
        for moved in moved.iter().filter(|moved| moved.may_have_effect) {
            let pending = PendingMove { to: moved.step.to.clone(), at: now };
            self.pending.insert(moved.step.host.clone(), pending);
        }
        moved
    }

    /// Drains the workers of hosts that are to leave, with one request for each pool; returns the
    /// workers that are empty.
    async fn drain_workers(&self, steps: &[Move]) -> BTreeSet<WorkerId> {
        let mut workers: BTreeMap<&PoolName, Vec<WorkerId>> = BTreeMap::new();
        for step in steps {
            workers.entry(&step.from).or_default().extend(step.worker.clone());
        }
        let requests = workers.into_iter().filter(|(_, workers)| !workers.is_empty()).map(
            |(pool, workers)| async move {
                let request = PoolRequest::DrainWorkers(workers.clone(), DrainMode::Graceful);
                match call_pool_owner(&self.node, pool, request).await {
                    Ok(PeerReply::DrainStatuses(progress)) => workers
                        .into_iter()
                        .zip(progress)
                        .filter(|(_, progress)| *progress == DrainProgress::Empty)
                        .map(|(worker, _)| worker)
                        .collect(),
                    _ => Vec::new(),
                }
            },
        );
        join_all(requests).await.into_iter().flatten().collect()
    }

    /// Returns the workers that don't answer, as reported by their pools' owners in the last round.
    pub fn unreachable(&self) -> &[UnreachableWorker] {
        &self.unreachable
    }

    /// Logs the demand of each pool if it has changed, at most once in each log period.
    fn log_demands(&mut self, now: Tick) {
        if now.since(self.demands_logged_at) < DEMAND_LOG_PERIOD
            || self.balance.demands() == self.logged_demands
        {
            return;
        }
        self.demands_logged_at = now;
        self.logged_demands = self.balance.demands().to_vec();
        for HostDemand { pool, have, claim, want, free, busy } in &self.logged_demands {
            emit(
                Event::RoomPlanned,
                format_args!(
                    "pool={pool} have={have} claim={claim} want={want} free={free} busy={busy}"
                ),
            );
        }
    }

    /// Returns how many moves may start now under the platform's rate, which counts the orders of
    /// one second: unused orders of the last second are kept for a burst.
    fn start_budget(&mut self, now: Tick) -> usize {
        let since = now.since(std::mem::replace(&mut self.last, now));
        let rate = self.rate() * MOVE_RATE_SHARE;
        self.order_credit = (self.order_credit + rate * since.duration().as_secs_f64()).min(rate);
        (self.order_credit as usize).max(MIN_MOVES_PER_ROUND)
    }

    /// Returns the platform's list with this process's own orders that it may not show yet.
    fn with_pending_moves(
        &mut self,
        platform_hosts: &BTreeMap<HostId, PlatformHost>,
        now: Tick,
    ) -> BTreeMap<HostId, PlatformHost> {
        self.pending.retain(|_, pending| now.since(pending.at) < ORDER_VISIBILITY_DELAY);
        let mut platform_hosts = platform_hosts.clone();
        for (host, pending) in &self.pending {
            if let Some(platform_host) = platform_hosts.get_mut(host) {
                platform_host.pool = pending.to.clone();
                platform_host.state = PlatformHostState::Moving;
            }
        }
        platform_hosts
    }

    /// Requests the load of all pools from their owners; a pool without an owner is skipped.
    async fn request_loads(&self) -> BTreeMap<PoolName, PoolState> {
        let Some(config) = self.node.view().config.clone() else {
            return BTreeMap::new();
        };
        let requests = config.pools.values().map(|policy| async {
            let request = call_pool_owner(&self.node, &policy.name, PoolRequest::Load);
            match time::timeout(LOAD_TIMEOUT, request).await {
                Ok(Ok(PeerReply::Load(load))) => {
                    Some((policy.name.clone(), PoolState { load, spare: policy.spare }))
                }
                _ => None,
            }
        });
        join_all(requests).await.into_iter().flatten().collect()
    }

    async fn order_move(&self, step: Move) -> Option<Moved> {
        let api: &Arc<dyn HostApi> = self.node.services.hosts.as_ref()?;
        let permit = self.permit_issuer.permit().await?;
        let result = api.relocate(permit, step.host.clone(), step.to.clone()).await;
        emit(
            Event::HostOrdered,
            format_args!(
                "host={} from={} to={} token={} {result:?}",
                step.host, step.from, step.to, permit.token
            ),
        );
        Some(Moved {
            may_have_effect: matches!(result, Ok(()) | Err(HostOrderError::Lost(_))),
            fenced: result == Err(HostOrderError::Fenced),
            step,
        })
    }
}

fn unreachable_workers(pools: &BTreeMap<PoolName, PoolState>) -> Vec<UnreachableWorker> {
    let mut found = Vec::new();
    for (pool, state) in pools {
        let of_pool = |incarnation| UnreachableWorker { pool: pool.clone(), incarnation };
        found.extend(state.load.deserted_incarnations().map(of_pool));
    }
    found
}
