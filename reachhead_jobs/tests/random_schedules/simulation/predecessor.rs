//! Owners that have ended, as their successors know, and owners that give the pool back.

use reachhead_jobs::{
    clock::Tick,
    order_effect::{self, OrderEffect, Predecessor},
    record::{LeaseRecord, SettledRecord, lease_key, settled_key, value},
};
use reachhead_store::row::{Commit, Txn};

use super::{Simulation, pool_name};

/// Shortest time for which an owner does not notice its successors and a worker is silent for them, in
/// milliseconds: the last successor has waited for its leases by then.
const MIN_SILENCE: u64 = 4000;

/// A kind of jobs that are long-running.
const LONG_RUNNING_KIND: u8 = 2;

/// Time in which a job starts, in milliseconds.
const START_TIME: u64 = 400;

/// Time between two ends of owners, in parts of the span of an act.
const END_PAUSES: u64 = 8;

impl Simulation {
    /// Lets owners end one after the other, so that their successors know it, and give the pool back.
    pub fn with_ended_owners(mut self) -> Self {
        self.ending = true;
        self
    }

    /// Returns how long orders of earlier owners have effect for a process that takes the lease now and
    /// knows whether the owner before it has ended.
    pub(super) fn order_effect(&self, has_ended: bool) -> OrderEffect {
        let Some(row) = self.read(lease_key(&pool_name())) else { return OrderEffect::default() };
        let record: LeaseRecord = row.parse().unwrap();
        let settled = self.read(settled_key(&pool_name()));
        let token = settled.map(|row| row.parse::<SettledRecord>().unwrap().token);
        let is_settled = token.is_some_and(|token| token.0 == row.revision.0);
        let predecessor = Predecessor { record: &record, has_ended, is_settled };
        order_effect::order_effect(&self.timeouts(), Some(predecessor))
    }

    /// Lets owners end one after the other. The first one may go on without noticing that it is
    /// replaced, and a worker may be silent for the others.
    pub(super) fn end_owners(&mut self, choice: u8, span: u64) {
        // Something has to run at the silent worker.
        self.submit(LONG_RUNNING_KIND);
        self.run(START_TIME);
        let until = self.now + MIN_SILENCE + span;
        let goes_on = choice & 1 == 0;
        let silent = (choice & 2 == 0).then(|| self.pick(choice / 8)).flatten();
        if goes_on {
            // Workers that have answered a successor would tell it.
            let others = self.workers.keys().filter(|id| Some(*id) != silent.as_ref());
            let cut = others.map(|id| (id.clone(), until)).collect::<Vec<_>>();
            let owner = self.newest();
            owner.store_cut_until = until;
            owner.workers_cut.extend(cut);
            self.run(span / END_PAUSES);
            self.take_over();
        }
        for end in 0..=choice / 4 % 4 {
            if let Some(id) = &silent {
                self.newest().workers_cut.insert(id.clone(), until);
            }
            self.run(span / END_PAUSES);
            let releases = (choice ^ end) & 4 == 0;
            let has_ended = if releases { self.release_pool() } else { self.kill_owner() };
            self.take_over_from(has_ended);
        }
        if let Some(id) = silent {
            self.newest().workers_cut.insert(id, until);
        }
        self.run(MIN_SILENCE);
    }

    /// Ends the newest owner, and returns that it has ended.
    fn kill_owner(&mut self) -> bool {
        self.newest().alive = false;
        true
    }

    /// Lets the newest owner give the pool back, if it runs and reaches the store. Returns whether it
    /// has certainly ended.
    fn release_pool(&mut self) -> bool {
        let now = self.now;
        let owner = self.newest();
        if !owner.alive || owner.paused_until > now || owner.store_cut_until > now {
            return !owner.alive;
        }
        let token = owner.token;
        let (pool, key) = (&owner.pool, lease_key(&pool_name()));
        let (settled, left) = (pool.is_settled(), pool.remaining_takeover_delay(Tick(now)));
        let silent = pool.silent_workers(Tick(now));
        owner.alive = false;
        let held: LeaseRecord = self.read(key.clone()).unwrap().parse().unwrap();
        let unsettled_for = Some(left);
        let record =
            LeaseRecord { owner: None, address: None, settled, unsettled_for, silent, ..held };
        let txn = Txn::new().with_check(key.clone(), Some(token)).with_write(key, value(&record));
        assert!(matches!(self.commit(txn), Commit::Done(_)), "nobody else has taken the lease");
        self.lease_changed = now;
        true
    }
}
