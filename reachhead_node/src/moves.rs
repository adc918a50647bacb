//! Moving hosts between pools, as `reachhead_jobs::balance` decides.

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
    frontend::ask_pool,
    mandate::Authority,
    node::Node,
    peer::{PeerReply, PoolRequest},
};

/// How long an order counts before the platform's list shows it.
const ORDER_TIME: Millis = Millis(600);

/// How long the owner of a pool may take to tell its load; the others are not kept waiting for one that is
/// gone.
const LOAD_TIME: Duration = Duration::from_millis(200);

/// Part of the platform's rate of orders that moves use; the rest is for maintenance.
const RATE_PART: f64 = 0.8;

/// Least time between two logs of what the pools have and need.
const ROOMS_PERIOD: Millis = Millis(400);

/// Orders that are under way at once. Each takes some milliseconds, and with a connection for each of hundreds the platform's
/// queue of new connections would be full.
const ORDERS_MOST: usize = 32;

/// Moves that are begun in one round at least.
const ROUND_LEAST: usize = 4;

/// A host that was ordered to another pool.
struct Ordered {
    to: PoolName,
    at: Tick,
}

/// What came of an order.
pub struct Moved {
    /// The order.
    pub step: Move,
    /// It may have had effect.
    pub possible: bool,
    /// Another process has given orders about the host.
    pub fenced: bool,
}

/// The moves of hosts that are under way.
pub struct Moves {
    node: Arc<Node>,
    authority: Arc<Authority>,
    balance: Balance,
    ordered: BTreeMap<HostId, Ordered>,
    /// When the last round looked at the pools.
    last: Tick,
    /// Workers that nobody answers for, with their pools, as of the last round.
    unreachable: Vec<UnreachableWorker>,
    /// The rooms that were logged last, and when.
    told: Vec<HostDemand>,
    told_at: Tick,
    /// Orders that may be given at once.
    saved: f64,
}

impl Moves {
    /// Returns no moves, which will be ordered on this authority.
    pub fn new(node: Arc<Node>, authority: Arc<Authority>) -> Self {
        let last = node.now();
        Self {
            node,
            authority,
            balance: Balance::new(),
            ordered: BTreeMap::new(),
            last,
            unreachable: Vec::new(),
            told: Vec::new(),
            told_at: last,
            saved: 0.0,
        }
    }

    /// Tells whether moves of so many hosts are scarce, so that what their pools use is remembered.
    pub fn remembers(&self, hosts: usize) -> bool {
        restart_cost(hosts, self.rate()) > Millis(0)
    }

    /// Returns what decides on moves.
    pub fn balance(&mut self) -> &mut Balance {
        &mut self.balance
    }

    /// Returns how many orders a second the platform takes.
    fn rate(&self) -> f64 {
        self.node.settings.host_api.map_or(0.0, |machines| machines.order_rate)
    }

    /// Looks at all pools and moves what should be elsewhere. `held` are hosts that something else is
    /// done with.
    pub async fn round(
        &mut self,
        machines: &BTreeMap<HostId, PlatformHost>,
        held: impl Fn(&HostId) -> bool,
    ) -> Vec<Moved> {
        let pools = self.pools().await;
        self.unreachable = unreachable(&pools);
        let now = self.node.now();
        let machines = self.corrected(machines, now);
        let drained = self.node.view().drained.clone();
        let rate = self.rate();
        let mut steps = self.balance.next(&machines, &pools, &drained, rate, held, now);
        self.tell_rooms(now);
        steps.truncate(self.allowance(now));
        self.saved = (self.saved - steps.len() as f64).max(0.0);
        let empty = self.vacate(&steps).await;
        let may_go = |step: &Move| step.worker.as_ref().is_none_or(|worker| empty.contains(worker));
        let steps = steps.into_iter().filter(may_go);
        let orders = stream::iter(steps).map(|step| self.carry_out(step));
        let moved: Vec<Moved> =
            orders.buffer_unordered(ORDERS_MOST).filter_map(async |moved| moved).collect().await;
        let now = self.node.now();
        for moved in moved.iter().filter(|moved| moved.possible) {
            let ordered = Ordered { to: moved.step.to.clone(), at: now };
            self.ordered.insert(moved.step.host.clone(), ordered);
        }
        moved
    }

    /// Asks the owners to empty the workers of hosts that are to leave, one question a pool; returns those that are empty.
    async fn vacate(&self, steps: &[Move]) -> BTreeSet<WorkerId> {
        let mut workers: BTreeMap<&PoolName, Vec<WorkerId>> = BTreeMap::new();
        for step in steps {
            workers.entry(&step.from).or_default().extend(step.worker.clone());
        }
        let asks = workers.into_iter().filter(|(_, workers)| !workers.is_empty()).map(
            |(pool, workers)| async move {
                let request = PoolRequest::VacateAll(workers.clone(), DrainMode::Graceful);
                match ask_pool(&self.node, pool, request).await {
                    Some(PeerReply::Vacancies(told)) => workers
                        .into_iter()
                        .zip(told)
                        .filter(|(_, progress)| *progress == DrainProgress::Empty)
                        .map(|(worker, _)| worker)
                        .collect(),
                    _ => Vec::new(),
                }
            },
        );
        join_all(asks).await.into_iter().flatten().collect()
    }

    /// Returns the workers that nobody answers for, as their pools' owners said in the last round.
    pub fn unreachable(&self) -> &[UnreachableWorker] {
        &self.unreachable
    }

    /// Logs what each pool has and needs, now and then, if that has changed.
    fn tell_rooms(&mut self, now: Tick) {
        if now.since(self.told_at) < ROOMS_PERIOD || self.balance.demands() == self.told {
            return;
        }
        self.told_at = now;
        self.told = self.balance.demands().to_vec();
        for HostDemand { pool, have, claim, want, free, busy } in &self.told {
            emit(
                Event::RoomPlanned,
                format_args!(
                    "pool={pool} have={have} claim={claim} want={want} free={free} busy={busy}"
                ),
            );
        }
    }

    /// Returns how many moves may be begun now by the platform's rate, which counts orders of a second: what was not
    /// used of the last one is there for a burst.
    fn allowance(&mut self, now: Tick) -> usize {
        let since = now.since(std::mem::replace(&mut self.last, now));
        let rate = self.rate() * RATE_PART;
        self.saved = (self.saved + rate * since.duration().as_secs_f64()).min(rate);
        (self.saved as usize).max(ROUND_LEAST)
    }

    /// Returns the platform's list with the orders that it may not show yet.
    fn corrected(
        &mut self,
        machines: &BTreeMap<HostId, PlatformHost>,
        now: Tick,
    ) -> BTreeMap<HostId, PlatformHost> {
        self.ordered.retain(|_, ordered| now.since(ordered.at) < ORDER_TIME);
        let mut machines = machines.clone();
        for (host, ordered) in &self.ordered {
            if let Some(machine) = machines.get_mut(host) {
                machine.pool = ordered.to.clone();
                machine.state = PlatformHostState::Moving;
            }
        }
        machines
    }

    /// Asks the owners of all pools; a pool without an owner is left alone.
    async fn pools(&self) -> BTreeMap<PoolName, PoolState> {
        let Some(config) = self.node.view().config.clone() else {
            return BTreeMap::new();
        };
        let asks = config.pools.values().map(|policy| async {
            let request = ask_pool(&self.node, &policy.name, PoolRequest::Load);
            match time::timeout(LOAD_TIME, request).await {
                Ok(Some(PeerReply::Load(load))) => {
                    Some((policy.name.clone(), PoolState { load, spare: policy.spare }))
                }
                _ => None,
            }
        });
        join_all(asks).await.into_iter().flatten().collect()
    }

    async fn carry_out(&self, step: Move) -> Option<Moved> {
        let api: &Arc<dyn HostApi> = self.node.services.machines.as_ref()?;
        let permit = self.authority.permit().await?;
        let result = api.relocate(permit, step.host.clone(), step.to.clone()).await;
        emit(
            Event::HostOrdered,
            format_args!(
                "host={} from={} to={} token={} {result:?}",
                step.host, step.from, step.to, permit.token
            ),
        );
        Some(Moved {
            possible: matches!(result, Ok(()) | Err(HostOrderError::Lost(_))),
            fenced: result == Err(HostOrderError::Fenced),
            step,
        })
    }
}

fn unreachable(pools: &BTreeMap<PoolName, PoolState>) -> Vec<UnreachableWorker> {
    let mut found = Vec::new();
    for (pool, state) in pools {
        let of_pool =
            |worker: &WorkerId| UnreachableWorker { pool: pool.clone(), worker: worker.clone() };
        found.extend(state.load.deserted.iter().map(of_pool));
    }
    found
}
