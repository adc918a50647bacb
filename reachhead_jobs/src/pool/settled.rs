//! What an owner tells its successors about orders that may still have effect: whether any of its
//! predecessors can be left, and, when it gives the pool back, how long something may run on workers
//! that do not answer. See [`order_effect`](crate::order_effect).

use std::collections::BTreeMap;

use reachhead_types::{id::WorkerId, size::Millis};

use crate::{
    clock::{Tick, with_drift},
    pool::Pool,
    record::SettledRecord,
    shard::Shard,
    worker::Worker,
};

/// Maximum number of workers that do not answer in the lease of an owner that gives its pool back:
/// all processes read the row, and where more are silent a link is cut and they may answer soon.
const MAX_SILENT_WORKERS: usize = 64;

/// State of the pool's [`SettledRecord`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Settlement {
    /// It is written once the pool is settled.
    Unrecorded,
    /// The store has it.
    Recorded,
    /// The store rejects it, so successors count on orders that have no effect any more.
    Withheld,
}

impl Pool {
    /// Returns whether no order of a predecessor can have effect any more: each of their workers has
    /// answered, or what was ordered there has expired, and all shards are fenced.
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty() && self.is_fenced()
    }

    fn is_fenced(&self) -> bool {
        Shard::all().all(|shard| self.fences.contains_key(&shard))
    }

    /// Returns whether the pool's [`SettledRecord`] is to be written.
    pub(super) fn is_settlement_due(&self) -> bool {
        self.settlement == Settlement::Unrecorded && self.is_settled()
    }

    pub(super) fn settled_record(&self) -> SettledRecord {
        SettledRecord { token: self.token }
    }

    /// Records that the store rejects the [`SettledRecord`].
    pub(super) fn withhold_settlement(&mut self) {
        if self.settlement == Settlement::Unrecorded {
            self.settlement = Settlement::Withheld;
        }
    }

    /// Returns for how long runs of a predecessor may still be active on workers that have not
    /// answered.
    pub fn remaining_takeover_delay(&self, now: Tick) -> Millis {
        if let Some(recovery) = &self.recovery {
            return recovery.longest_effect();
        }
        let last = self.pending.values().map(|pending| pending.until).max();
        last.map_or(Millis(0), |until| until.since(now))
    }

    /// Returns the workers of the roster that do not answer, with how long something may still run
    /// there, for the lease of an owner that gives its pool back now. Runs on all others end with the
    /// leases that this owner gave. It must give no order after that. `None` if there are too many, or if orders of predecessors may
    /// come to other workers, too, since not all shards are fenced.
    pub fn silent_workers(&self, now: Tick) -> Option<BTreeMap<WorkerId, Millis>> {
        if !self.is_fenced() {
            return None;
        }
        let until = |id: &WorkerId| {
            let pending = self.pending.get(id).map(|pending| pending.until);
            pending.or_else(|| self.silent_until(self.workers.get(id)?))
        };
        let ids = self.roster.stored.workers.keys();
        let silent: BTreeMap<WorkerId, Millis> =
            ids.filter_map(|id| Some((id.clone(), until(id)?.since(now)))).collect();
        (silent.len() <= MAX_SILENT_WORKERS).then_some(silent)
    }

    /// Returns until when something may run on a worker that does not answer and for which no order
    /// of a predecessor is counted any more; `None` if it answers.
    fn silent_until(&self, worker: &Worker) -> Option<Tick> {
        if worker.answered {
            return worker.leases_expire_at().filter(|_| worker.silent);
        }
        // This owner gave it nothing, but may have given something to an earlier incarnation.
        if worker.joined <= self.predecessor.since() {
            return Some(Tick(0));
        }
        let given = worker.joined + with_drift(self.timeouts.hold);
        Some(given.max(self.predecessor.effective_until()))
    }
}
