//! Rounds of the owners, which send orders to workers and transactions to the store.

use reachhead_jobs::{
    clock::Tick,
    pool::{Action, Due},
    record::lease_key,
};
use reachhead_store::StoreError;
use reachhead_types::size::Millis;

use super::{Answer, Event, MIN_UNDISTURBED_TIME, NETWORK_DELAY, Owner, Simulation, pool_name};

/// Period at which the store confirms an owner's lease without a request, in milliseconds.
const CONFIRMATION_PERIOD: u64 = 1000;

/// Delay until an owner notices that the lease was taken by another process, in milliseconds.
const LEASE_NOTICE_DELAY: u64 = 120;

/// Time until an owner repeats a rejected transaction, in milliseconds.
const REJECTION_PAUSE: u64 = 150;

impl Owner {
    /// Returns whether the owner was not disturbed for a while.
    pub(super) fn is_undisturbed(&self, now: u64) -> bool {
        let workers_cut = self.workers_cut.values().copied().max().unwrap_or_default();
        let disturbed =
            self.owner_since.max(self.paused_until).max(self.store_cut_until).max(workers_cut);
        now >= disturbed + MIN_UNDISTURBED_TIME
    }
}

impl Simulation {
    pub(super) fn poll_owners(&mut self) {
        for index in 0..self.owners.len() {
            let now = Tick(self.now);
            let owner = &mut self.owners[index];
            if !owner.alive || owner.paused_until > self.now {
                continue;
            }
            if owner.store_cut_until <= self.now {
                let lease = self.read(lease_key(&pool_name())).map(|row| row.revision);
                let owner = &mut self.owners[index];
                if lease == Some(owner.token) {
                    owner.pool.verify(Tick(self.now - self.now % CONFIRMATION_PERIOD));
                } else if self.now >= self.lease_changed + LEASE_NOTICE_DELAY {
                    owner.alive = false;
                    continue;
                }
            }
            let owner = &mut self.owners[index];
            let actions = owner.pool.poll(now, Millis(now.0));
            self.waiting.keep_notes(self.now, owner.pool.take_notes());
            if actions.contains(&Action::Fenced) {
                owner.alive = false;
                continue;
            }
            for action in actions {
                self.send(index, action, now);
            }
            self.record(index, now);
        }
    }

    fn record(&mut self, index: usize, now: Tick) {
        if self.owners[index].store_cut_until > now.0 {
            return;
        }
        for Due { lane, .. } in self.owners[index].pool.due() {
            let owner = &mut self.owners[index];
            if owner.recording.contains(&lane) {
                continue;
            }
            let Some(batch) = owner.pool.batch(lane, Millis(now.0)) else { continue };
            owner.recording.insert(lane);
            if owner.rejected_until > now.0 {
                let result = Err(StoreError::Busy("rejected by the simulation".to_owned()));
                let answer = Answer::Committed(Box::new(batch), result);
                self.push(REJECTION_PAUSE, Event::Answer { owner: index, answer });
                continue;
            }
            let (lost, delay) = self.fault();
            let event =
                Event::Commit { owner: index, batch: Box::new(batch.clone()), answered: !lost };
            self.push(NETWORK_DELAY + delay, event);
            if lost {
                let result = Err(StoreError::Lost("lost by the simulation".to_owned()));
                let answer = Answer::Committed(Box::new(batch), result);
                self.push(200, Event::Answer { owner: index, answer });
            }
        }
    }
}
