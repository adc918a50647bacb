//! Owners that have ended, as their successors know, and owners that give the pool back.

use reachhead_jobs::{
    clock::Tick,
    order_effect::{self, FencedBound, OrderEffect, Predecessor},
    record::{FencedRecord, LeaseRecord, SettledRecord, fenced_key, lease_key, settled_key, value},
};
use reachhead_store::row::{Commit, Txn};
use reachhead_types::size::{FencingToken, Millis, Revision};

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

/// When the rows were written that tell how long orders of earlier owners have effect.
#[derive(Default)]
pub(super) struct EarlierOrders {
    lease_written: Tick,
    fenced_written: Tick,
    /// The owner that has fenced all shards last, and what it knows.
    watched: Option<(FencingToken, OrderEffect)>,
    /// What was known in the last takeover that did not end.
    pub(super) abandoned: Option<OrderEffect>,
}

/// Time after which an owner writes its row again.
const REFRESH_PERIOD: Millis = Millis(1000);

impl Simulation {
    /// Lets owners end one after the other, so that their successors know it, and give the pool back.
    pub fn with_ended_owners(mut self) -> Self {
        self.ending = true;
        self
    }

    /// Returns what a process that takes the lease now knows of the orders of earlier owners, if it knows
    /// whether the owner before it has ended. Every other process was started after the rows were written.
    pub(super) fn order_effect(&self, has_ended: bool) -> OrderEffect {
        let (timeouts, now) = (self.timeouts(), Tick(self.now));
        let Some(row) = self.read(lease_key(&pool_name())) else {
            return OrderEffect::new(&timeouts);
        };
        let record: LeaseRecord = row.parse().unwrap();
        let token = FencingToken(row.revision.0);
        let settled = self.read(settled_key(&pool_name()));
        let is_settled =
            settled.is_some_and(|row| row.parse::<SettledRecord>().unwrap().token == token);
        let is_new = row.revision.0 % 2 == 0;
        let seen = |written: Tick| if is_new { now } else { written };
        let fenced = self.read(fenced_key(&pool_name())).map(|row| {
            let FencedRecord { token, left } = row.parse().unwrap();
            FencedBound { token, until: seen(self.earlier.fenced_written) + left }
        });
        let since = seen(self.earlier.lease_written);
        let predecessor =
            Predecessor { record: &record, token, since, has_ended, is_settled, fenced };
        order_effect::order_effect(&timeouts, Some(predecessor), now)
    }

    /// Writes the lease row.
    pub(super) fn write_lease(&mut self, txn: Txn) -> Revision {
        let Commit::Done(revision) = self.commit(txn) else {
            unreachable!("no other process writes the lease now")
        };
        self.earlier.lease_written = Tick(self.now);
        revision
    }

    /// Records that the newest owner has fenced all shards, as its process does.
    pub(super) fn record_fences(&mut self, token: FencingToken, effect: &mut OrderEffect) {
        let now = Tick(self.now);
        effect.fence(now);
        let left = effect.until().unwrap().since(now);
        let txn = Txn::new()
            .with_check(lease_key(&pool_name()), Some(Revision(token.0)))
            .with_write(fenced_key(&pool_name()), value(&FencedRecord { token, left }));
        if let Commit::Done(_) = self.commit(txn) {
            self.earlier.fenced_written = now;
            self.earlier.watched = Some((token, effect.clone()));
        }
    }

    /// Lets the newest owner ask earlier ones and write its row again, as its process does.
    pub(super) fn watch_earlier_owners(&mut self) {
        let Some((token, mut effect)) = self.earlier.watched.take() else { return };
        let (now, written) = (self.now, self.earlier.fenced_written);
        let owner = self.owners.iter().find(|owner| owner.token.0 == token.0);
        let Some(owner) = owner.filter(|owner| owner.alive) else { return };
        let is_up = owner.paused_until <= now && owner.store_cut_until <= now;
        let ends = self.owners.iter().any(|owner| {
            !owner.alive && effect.open().iter().any(|open| open.token().0 == owner.token.0)
        });
        if is_up && (ends || Tick(now).since(written) >= REFRESH_PERIOD) {
            self.answer_newest(token, &mut effect);
        } else {
            self.earlier.watched = Some((token, effect));
        }
    }

    /// Lets the earlier owners that have ended answer the newest one, which is recovering or serves.
    pub(super) fn answer_newest(&mut self, token: FencingToken, effect: &mut OrderEffect) {
        let ended = self.owners.iter().filter(|owner| !owner.alive);
        for owner in ended.map(|owner| FencingToken(owner.token.0)).collect::<Vec<_>>() {
            effect.end_owner(owner, Tick(self.now));
        }
        if effect.until().is_some() {
            self.record_fences(token, effect);
        }
        if let Some(owner) = self.owners.iter_mut().find(|owner| owner.token.0 == token.0) {
            owner.pool.know_effect(effect.clone());
        }
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
    pub(super) fn kill_owner(&mut self) -> bool {
        self.newest().alive = false;
        true
    }

    /// Lets the newest owner give the pool back, if it runs and reaches the store. Returns whether it
    /// has certainly ended.
    pub(super) fn release_pool(&mut self) -> bool {
        let now = self.now;
        let owner = self.newest();
        if !owner.alive || owner.paused_until > now || owner.store_cut_until > now {
            return !owner.alive;
        }
        let token = owner.token;
        let (pool, key) = (&owner.pool, lease_key(&pool_name()));
        let (settled, left) = (pool.is_settled(), pool.remaining_takeover_delay(Tick(now)));
        let silent = pool.silent_workers(Tick(now));
        let earlier = pool.earlier_owners(Tick(now));
        owner.alive = false;
        let held: LeaseRecord = self.read(key.clone()).unwrap().parse().unwrap();
        let unsettled_for = Some(left);
        let record = LeaseRecord {
            owner: None,
            address: None,
            settled,
            unsettled_for,
            silent,
            earlier,
            ..held
        };
        let txn = Txn::new().with_check(key.clone(), Some(token)).with_write(key, value(&record));
        self.write_lease(txn);
        self.lease_changed = now;
        true
    }
}
