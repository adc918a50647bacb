//! Moving hosts between pools, as `reachhead_jobs::balance` decides.

use std::{collections::BTreeMap, sync::Arc};

use futures::future::join_all;
use reachhead_jobs::{
    balance::{Balance, Move, PoolState},
    clock::Tick,
    pool::{Haste, Vacancy},
    ports::{Machine, MachineApi, MachineError, MachineState},
};
use reachhead_ops::event::{Event, emit};
use reachhead_types::{
    id::{HostId, PoolName},
    size::{FencingToken, Millis},
};

use crate::{
    frontend::ask_pool,
    node::Node,
    peer::{PoolAsk, Reply},
};

/// How long an order counts before the platform's list shows it.
const ORDER_TIME: Millis = Millis(600);

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
    token: FencingToken,
    balance: Balance,
    ordered: BTreeMap<HostId, Ordered>,
}

impl Moves {
    /// Returns no moves, for the holder of this token.
    pub fn new(node: Arc<Node>, token: FencingToken) -> Self {
        Self { node, token, balance: Balance::new(), ordered: BTreeMap::new() }
    }

    /// Looks at all pools and moves what should be elsewhere. `held` are hosts that something else is
    /// done with.
    pub async fn round(
        &mut self,
        machines: &BTreeMap<HostId, Machine>,
        held: impl Fn(&HostId) -> bool,
    ) -> Vec<Moved> {
        let pools = self.pools().await;
        let now = self.node.now();
        let machines = self.corrected(machines, now);
        let steps = self.balance.next(&machines, &pools, held, now);
        let moved = join_all(steps.into_iter().map(|step| self.carry_out(step))).await;
        let now = self.node.now();
        for moved in moved.iter().flatten().filter(|moved| moved.possible) {
            let ordered = Ordered { to: moved.step.to.clone(), at: now };
            self.ordered.insert(moved.step.host.clone(), ordered);
        }
        moved.into_iter().flatten().collect()
    }

    /// Returns the platform's list with the orders that it may not show yet.
    fn corrected(
        &mut self,
        machines: &BTreeMap<HostId, Machine>,
        now: Tick,
    ) -> BTreeMap<HostId, Machine> {
        self.ordered.retain(|_, ordered| now.since(ordered.at) < ORDER_TIME);
        let mut machines = machines.clone();
        for (host, ordered) in &self.ordered {
            if let Some(machine) = machines.get_mut(host) {
                machine.pool = ordered.to.clone();
                machine.state = MachineState::Moving;
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
            let reply = ask_pool(&self.node, &policy.name, PoolAsk::Load).await;
            match reply {
                Some(Reply::Load(load)) => {
                    Some((policy.name.clone(), PoolState { load, spare: policy.spare }))
                }
                _ => None,
            }
        });
        join_all(asks).await.into_iter().flatten().collect()
    }

    async fn carry_out(&self, step: Move) -> Option<Moved> {
        if let Some(worker) = &step.worker {
            let ask = PoolAsk::Vacate(worker.clone(), Haste::Wait);
            match ask_pool(&self.node, &step.from, ask).await {
                Some(Reply::Vacancy(Vacancy::Empty)) => {}
                _ => return None,
            }
        }
        let api: &Arc<dyn MachineApi> = self.node.services.machines.as_ref()?;
        let result = api.relocate(self.token, step.host.clone(), step.to.clone()).await;
        emit(
            Event::HostOrdered,
            format_args!(
                "host={} from={} to={} token={} {result:?}",
                step.host, step.from, step.to, self.token
            ),
        );
        Some(Moved {
            possible: matches!(result, Ok(()) | Err(MachineError::Lost(_))),
            fenced: result == Err(MachineError::Fenced),
            step,
        })
    }
}
