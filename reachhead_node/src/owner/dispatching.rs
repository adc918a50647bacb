//! Decides in each round of an owner whether other processes send its orders, and which.

use reachhead_jobs::{
    clock::Tick,
    dispatch::{assignment::Dispatcher, need::NeedDetector},
    pool::{Pool, RoundOutcome},
};
use reachhead_ops::event::{Event, emit};
use reachhead_types::{
    id::{NodeName, WorkerId},
    size::{Millis, Strength},
};

use crate::{
    dispatch::{Candidate, DispatchedWorkers},
    node::Node,
    view::View,
};

/// Minimum time between two updates of the dispatchers.
const UPDATE_PERIOD: Millis = Millis(100);

/// Whether an owner needs dispatchers, and when they were last chosen.
pub(super) struct Dispatching {
    need: NeedDetector,
    capacity: Strength,
    is_active: bool,
    /// Dispatchers still have orders.
    has_orders: bool,
    updated_at: Tick,
}

impl Dispatching {
    /// Returns the state of an owner in a process of this capacity, without dispatchers.
    pub(super) fn new(capacity: Strength) -> Self {
        let need = NeedDetector::new(capacity);
        Self { need, capacity, is_active: false, has_orders: false, updated_at: Tick::default() }
    }

    /// Records what a round ordered.
    pub(super) fn record(&mut self, round: RoundOutcome, now: Tick) {
        self.need.record(round.started, round.limited, now);
    }

    /// Chooses the dispatchers, if that is due, and logs when dispatch begins or ends.
    pub(super) fn update(
        &mut self,
        node: &Node,
        pool: &Pool,
        workers: &DispatchedWorkers,
        now: Tick,
    ) {
        if now.since(self.updated_at) < UPDATE_PERIOD {
            return;
        }
        self.updated_at = now;
        let is_needed = node.gains_by_dispatch() && self.need.is_needed(now);
        if !is_needed && !self.is_active && !self.has_orders {
            return;
        }
        let demand = self.need.demand(now);
        if is_needed {
            let ids: Vec<WorkerId> = pool.workers().keys().cloned().collect();
            let candidates = candidates(&node.view(), &node.settings.node);
            workers.assign(&ids, candidates, Some(demand));
        } else {
            workers.assign(&[], Vec::new(), None);
        }
        let status = workers.status();
        self.has_orders = status.iter().any(|status| status.outstanding > 0);
        if is_needed != self.is_active {
            self.is_active = is_needed;
            let nodes: Vec<String> = status
                .into_iter()
                .filter(|status| status.workers > 0)
                .map(|status| status.node.to_string())
                .collect();
            emit(
                Event::DispatchChanged,
                format_args!(
                    "pool={} active={is_needed} demand={demand} capacity={} dispatchers={}",
                    pool.name(),
                    self.capacity,
                    nodes.join(",")
                ),
            );
        }
    }
}

/// Returns the members that may become dispatchers of `own`. One that is shutting down would soon be a
/// failed one.
fn candidates(view: &View, own: &NodeName) -> Vec<Candidate> {
    let is_stopping =
        |node: &NodeName| view.peers.get(node).is_some_and(|status| status.pong.stopping);
    let members = view.members.iter().filter(|(node, _)| *node != own && !is_stopping(node));
    let candidate = |(node, member): (&NodeName, &crate::view::MemberView)| {
        let owned = view.candidate(node, &member.record).owned;
        let dispatcher = Dispatcher { node: node.clone(), strength: member.record.strength, owned };
        Candidate { dispatcher, address: member.record.address }
    };
    members.map(candidate).collect()
}
