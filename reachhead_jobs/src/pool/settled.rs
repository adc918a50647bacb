//! What an owner tells its successors about orders that may still have effect: whether any of its
//! predecessors can be left, and, when it gives the pool back, how long something may run on workers
//! that do not answer. See [`order_effect`](crate::order_effect).

use std::collections::BTreeMap;

use reachhead_types::{
    id::WorkerId,
    size::{Millis, WorkerCount},
};

use crate::{
    clock::{Tick, with_drift},
    order_effect::OrderEffect,
    pool::{PendingWorker, Pool, PoolTimeouts, restarted_worker::YOUNG_INCARNATION_AGE},
    record::{EarlierOwners, SettledRecord},
    shard::Shard,
    worker::Worker,
};

/// Maximum number of workers that do not answer in the lease of an owner that gives its pool back:
/// all processes read the row, and where more are silent a link is cut and they may answer soon.
const MAX_SILENT_WORKERS: usize = 64;

/// Time in which the tasks that waited for orders of predecessors start: a few rounds of the start
/// budget on a link that carries some tens of orders a second.
const START_TIME: Millis = Millis(2000);

/// Number of workers up to which the pool's recorded size is not corrected: their rows cross the slowest
/// links in a tenth of a second.
const MIN_RECORDED_WORKERS: u32 = 20;

/// State of the pool's [`SettledRecord`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Settlement {
    /// It is written once the pool is settled.
    Unrecorded,
    /// The store has it, with this number of workers.
    Recorded(WorkerCount),
    /// The store rejected it, so it is not written again, and successors wait for longer than needed.
    Rejected,
}

impl Pool {
    /// Returns whether no order of a predecessor can have effect any more: each of their workers has
    /// answered, or what was ordered there has expired, and all shards are fenced.
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty() && self.is_fenced()
    }

    /// Returns whether the pool can be given to another owner without a task that waits longer for it:
    /// the tasks that waited for orders of predecessors had time to start after it was settled.
    pub fn may_change_owner(&self, now: Tick) -> bool {
        let since = self.all_answered_at.filter(|_| self.is_settled());
        since.is_some_and(|at| now.since(at.max(self.recovered_at)) >= START_TIME)
    }

    fn is_fenced(&self) -> bool {
        Shard::all().all(|shard| self.fences.contains_key(&shard))
    }

    /// Returns whether the pool's [`SettledRecord`] is to be written: the store has none of this owner, or
    /// its number of workers is less than half or more than twice the present one.
    pub(super) fn is_settlement_due(&self) -> bool {
        let is_due = match self.settlement {
            Settlement::Unrecorded => true,
            Settlement::Recorded(recorded) => is_outdated(recorded, self.roster.worker_count()),
            Settlement::Rejected => false,
        };
        is_due && self.is_settled()
    }

    pub(super) fn settled_record(&self, workers: WorkerCount) -> SettledRecord {
        SettledRecord::new(self.token).with_workers(workers)
    }

    /// Records that the store rejects the [`SettledRecord`].
    pub(super) fn record_rejected_settlement(&mut self) {
        self.settlement = Settlement::Rejected;
    }

    /// Returns for how long runs of a predecessor may still be active on workers that have not
    /// answered.
    pub fn remaining_takeover_delay(&self, now: Tick) -> Millis {
        if self.is_recovering() {
            return self.predecessor.effect().longest(now);
        }
        let until = |(id, pending)| self.pending_until(id, pending).map(|until| until.since(now));
        let longest = || self.predecessor.effect().longest(now);
        self.pending
            .iter()
            .map(|left| until(left).unwrap_or_else(longest))
            .max()
            .unwrap_or_default()
    }

    /// Returns when everything that predecessors started on a pending worker has expired; `None` if that
    /// is known only once all shards are fenced.
    pub(super) fn pending_until(&self, id: &WorkerId, pending: &PendingWorker) -> Option<Tick> {
        let usual = self.predecessor.effect().until_at(id)?.max(pending.answer_until);
        // A predecessor may not have noticed the restart, and such an incarnation grants its longest
        // lease for a deadline by the earlier clock.
        let PoolTimeouts { hold, grant, .. } = self.timeouts;
        let longer = with_drift(grant).0.saturating_sub(with_drift(hold).0);
        Some(if self.was_young(id) { usual + Millis(longer) } else { usual })
    }

    /// Returns whether the registered or recorded incarnation of a worker was young when this owner began to call
    /// workers, so that its predecessors may not have noticed that it is a new one.
    fn was_young(&self, id: &WorkerId) -> bool {
        let started = self.workers.get(id).and_then(Worker::latest_start);
        let began = Millis(self.wall_offset.0 + self.predecessor.since().0);
        started.is_some_and(|at| began.0 < at.0.saturating_add(YOUNG_INCARNATION_AGE.0))
    }

    /// Returns the owners before this one whose orders may still have effect, for the lease of an owner
    /// that gives its pool back now. Those of this owner have effect for a lease.
    pub fn earlier_owners(&self, now: Tick) -> Option<EarlierOwners> {
        let effect = self.predecessor.effect();
        effect.until()?;
        let leases = with_drift(self.timeouts.hold);
        let left = self.remaining_takeover_delay(now).max(effect.longest(now));
        let ended = if self.is_settled() { leases } else { leases.max(left) };
        // Leases of workers that have restarted may be longer than usual.
        let ids = self.roster.stored.workers.keys();
        let occupied = ids.filter_map(|id| Some(self.occupied_until(id, now)?.since(now)));
        Some(EarlierOwners { open: Vec::new(), ended: occupied.fold(ended, Millis::max) })
    }

    /// Replaces what is known of the orders of predecessors: an owner that may have gone on has ended,
    /// or all shards are fenced.
    pub fn know_effect(&mut self, effect: OrderEffect) {
        self.predecessor.know_effect(effect);
    }

    /// Returns the workers of the roster on which something may run for another time than a lease from
    /// now, with that time, for the lease of an owner that gives its pool back now. It must give no
    /// order after that. They are those that do not answer, and those with longer leases. `None` if
    /// there are too many, or if orders of predecessors may come to other workers, too, since not all
    /// shards are fenced.
    pub fn silent_workers(&self, now: Tick) -> Option<BTreeMap<WorkerId, Millis>> {
        if !self.is_fenced() || self.predecessor.effect().until().is_none() {
            return None;
        }
        let until = |id: &WorkerId| self.occupied_until(id, now);
        let ids = self.roster.stored.workers.keys();
        let silent: BTreeMap<WorkerId, Millis> =
            ids.filter_map(|id| Some((id.clone(), until(id)?.since(now)))).collect();
        (silent.len() <= MAX_SILENT_WORKERS).then_some(silent)
    }

    /// Returns until when something may run on a worker of the roster; `None` if that is for a lease from
    /// now at most.
    fn occupied_until(&self, id: &WorkerId, now: Tick) -> Option<Tick> {
        let pending = self.pending.get(id);
        let worker = self.workers.get(id);
        let is_pending = pending.is_some();
        let pending = pending.and_then(|pending| self.pending_until(id, pending));
        pending.max(worker.and_then(|worker| self.leased_until(worker, is_pending, now)))
    }

    /// Returns until when something that this owner gave a worker may run there; `None` if that is for
    /// a lease from now at most, as it is where a worker answers. One that is pending answers with
    /// partial reports, or not at all.
    fn leased_until(&self, worker: &Worker, is_pending: bool, now: Tick) -> Option<Tick> {
        let lease = with_drift(self.timeouts.hold);
        if worker.answered {
            let is_listed = |expiry: &Tick| worker.silent || is_pending || *expiry > now + lease;
            let known = worker.leases_expire_at();
            return known.max(self.unreported_until(worker, now)).filter(is_listed);
        }
        // This owner gave it nothing, but may have given something to an earlier incarnation.
        if worker.joined <= self.predecessor.since() {
            return Some(Tick(0));
        }
        Some((worker.joined + lease).max(self.predecessor.effect().until()?))
    }

    /// Returns until when a run may be active that no report has listed, on an incarnation that was not
    /// noticed; orders for it may be on their way. `None` without such a run.
    fn unreported_until(&self, worker: &Worker, now: Tick) -> Option<Tick> {
        let grant = self.timeouts.grant;
        if worker.started_at.is_none() || self.unreported_tasks(worker).is_empty() {
            return None;
        }
        let on_its_way = (!worker.silent).then_some(now + with_drift(grant));
        worker.unreported_expire_at(grant).max(on_its_way)
    }
}

fn is_outdated(recorded: WorkerCount, workers: WorkerCount) -> bool {
    let (less, more) = (recorded.min(workers).0, recorded.max(workers).0);
    more >= MIN_RECORDED_WORKERS && more > less.saturating_mul(2)
}
