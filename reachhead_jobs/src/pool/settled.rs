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
    /// The store rejected it, so it is not written again, and successors wait for longer than needed.
    Rejected,
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
    pub(super) fn record_rejected_settlement(&mut self) {
        if self.settlement == Settlement::Unrecorded {
            self.settlement = Settlement::Rejected;
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

    /// Returns the workers of the roster on which something may run for another time than a lease from
    /// now, with that time, for the lease of an owner that gives its pool back now. It must give no
    /// order after that. They are those that do not answer, and those with longer leases. `None` if
    /// there are too many, or if orders of predecessors may come to other workers, too, since not all
    /// shards are fenced.
    pub fn silent_workers(&self, now: Tick) -> Option<BTreeMap<WorkerId, Millis>> {
        if !self.is_fenced() {
            return None;
        }
        let until = |id: &WorkerId| {
            let pending = self.pending.get(id).map(|pending| pending.until);
            let worker = self.workers.get(id);
            pending.max(worker.and_then(|worker| self.leased_until(worker, pending.is_some(), now)))
        };
        let ids = self.roster.stored.workers.keys();
        let silent: BTreeMap<WorkerId, Millis> =
            ids.filter_map(|id| Some((id.clone(), until(id)?.since(now)))).collect();
        (silent.len() <= MAX_SILENT_WORKERS).then_some(silent)
    }

    /// Returns until when something that this owner gave a worker may run there; `None` if that is for
    /// a lease from now at most, as it is where a worker answers. One that is pending answers with
    /// partial reports, or not at all.
    fn leased_until(&self, worker: &Worker, is_pending: bool, now: Tick) -> Option<Tick> {
        let lease = with_drift(self.timeouts.hold);
        if worker.answered {
            let is_listed = |expiry: &Tick| worker.silent || is_pending || *expiry > now + lease;
            return worker.leases_expire_at().filter(is_listed);
        }
        // This owner gave it nothing, but may have given something to an earlier incarnation.
        if worker.joined <= self.predecessor.since() {
            return Some(Tick(0));
        }
        Some((worker.joined + lease).max(self.predecessor.effective_until()))
    }
}
